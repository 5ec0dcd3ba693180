package admit

import "time"

// Wake returns the earliest time at which a queued request can no longer meet its
// deadline or the cooldown of a kind with queued requests ends. Any other call may
// change it.
func (c *controller) Wake() (time.Time, bool) {
	var first time.Duration
	found := false
	for _, q := range c.queues {
		t, ok := c.nextTick(q)
		if ok && (!found || t < first) {
			first, found = t, true
		}
	}
	return c.epoch.Add(first), found
}

// nextTick returns when Tick must be called for q, and false if no call is needed.
func (c *controller) nextTick(q *Queue) (time.Duration, bool) {
	if q.Queued() == 0 {
		return 0, false
	}
	late := q.latestStart(q.waiting[0])
	switch {
	case q.coolingDown && c.policy.Timely():
		return min(q.cooldownEnd, late), true
	case q.coolingDown:
		return q.cooldownEnd, true
	default:
		return late, c.policy.Timely()
	}
}

// Limit returns the current number of permits of the host.
func (c *controller) Limit() int { return c.limit }

// Load appends the state of each kind in the table to out.
func (c *controller) Load(now time.Time, out []Load) []Load {
	n := now.Sub(c.epoch)
	free := c.freePermits()
	for _, q := range c.queues {
		if q.inTable {
			out = append(out, c.loadOf(n, q, free))
		}
	}
	return out
}

// loadOf returns the state of one kind on a host with the given number of free permits.
func (c *controller) loadOf(now time.Duration, q *Queue, free int) Load {
	l := Load{
		Kind:     q.Row.Kind,
		InFlight: q.InFlight,
		Queued:   q.Queued(),
		Delay:    q.expectedDelay(q.Queued()) + q.cooldownLeft(now),
		Limit:    q.Ceiling,
	}
	if c.draining || c.capacity == 0 {
		l.Limit = 0
		return l
	}
	if q.cooldownLeft(now) > 0 {
		return l
	}
	l.Headroom = max(0, min(q.Ceiling-q.InFlight, max(free, c.overLimitHeadroom(q)))-q.Queued())
	if l.Headroom == 0 {
		l.Delay = q.expectedDelay(q.Queued() + 1)
	}
	return l
}

// freePermits returns the number of permits within the limit that are not in use.
func (c *controller) freePermits() int {
	return max(0, c.limit-c.inFlight)
}

// overLimitHeadroom returns how many permits of its floor q may still take, above the limit
// if necessary.
func (c *controller) overLimitHeadroom(q *Queue) int {
	if !q.Row.Urgent {
		return 0
	}
	return max(0, min(q.Floor-q.InFlight, c.capacity-c.inFlight))
}
