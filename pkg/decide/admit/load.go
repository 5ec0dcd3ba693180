package admit

import "time"

// Wake returns when the next queued request can no longer be answered in time
// or the next kind with queued requests has rested. It changes with each command.
func (c *controller) Wake() (time.Time, bool) {
	var first time.Duration
	found := false
	for _, q := range c.queues {
		t, ok := c.wakeOf(q)
		if ok && (!found || t < first) {
			first, found = t, true
		}
	}
	return c.epoch.Add(first), found
}

// wakeOf returns when q wants a tick.
func (c *controller) wakeOf(q *Queue) (time.Duration, bool) {
	if q.Queued() == 0 {
		return 0, false
	}
	late := q.latestStart(q.waiting[0])
	switch {
	case q.resting && c.policy.Timely():
		return min(q.restEnd, late), true
	case q.resting:
		return q.restEnd, true
	default:
		return late, c.policy.Timely()
	}
}

// Limit returns how many permits the host has now.
func (c *controller) Limit() int { return c.limit }

// Load appends the state of each kind to out.
func (c *controller) Load(now time.Time, out []Load) []Load {
	n := now.Sub(c.epoch)
	spare := c.spare()
	for _, q := range c.queues {
		if q.listed {
			out = append(out, c.loadOf(n, q, spare))
		}
	}
	return out
}

// loadOf returns the state of one kind.
func (c *controller) loadOf(now time.Duration, q *Queue, spare int) Load {
	l := Load{
		Kind:     q.Row.Kind,
		InFlight: q.InFlight,
		Queued:   q.Queued(),
		Delay:    q.delay(q.Queued()) + q.restLeft(now),
		Limit:    q.Ceiling,
	}
	if c.draining || c.capacity == 0 {
		l.Limit = 0
		return l
	}
	if q.restLeft(now) > 0 {
		return l
	}
	l.Headroom = max(0, min(q.Ceiling-q.InFlight, max(spare, c.recallable(q)))-q.Queued())
	if l.Headroom == 0 {
		l.Delay = q.delay(q.Queued() + 1)
	}
	return l
}

// spare returns the permits that are free and not awaited.
func (c *controller) spare() int {
	return max(0, c.limit-c.inFlight)
}

// recallable returns the permits of its floor that q may have above the limit.
func (c *controller) recallable(q *Queue) int {
	if !q.Row.Urgent {
		return 0
	}
	return max(0, min(q.Floor-q.InFlight, c.capacity-c.inFlight))
}
