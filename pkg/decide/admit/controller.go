package admit

import (
	"time"

	"github.com/sesamestream/sesamestream/pkg/fleet"
)

const (
	// coldQueued bounds the queue of a kind whose service time is unknown.
	coldQueued = 32
	// coldRetry is the retry time told while the service time is unknown.
	coldRetry = 100 * time.Millisecond
	// coldCharge is the service charged for a start while its time is unknown.
	coldCharge = 10 * time.Millisecond
	// probeInterval is how often a kind may try whether its estimate still holds.
	probeInterval = time.Second
)

// A controller implements Admitter.
type controller struct {
	policy Policy
	law    LimitAlgorithm

	kinds   map[fleet.Kind]*Queue
	queues  []*Queue
	scales  map[fleet.Kind]float64
	tickets map[RequestID]*request
	free    []*request

	// epoch is the zero of all durations that stand for points in time.
	epoch    time.Time
	sequence uint64
	inFlight int
	capacity int
	exact    float64
	limit    int
	window   window
	draining bool
}

// at returns t as the time since the epoch.
func (c *controller) at(t time.Time) time.Duration {
	if c.epoch.IsZero() {
		c.epoch = t
	}
	return t.Sub(c.epoch)
}

// Offer starts, queues or refuses r.
func (c *controller) Offer(now time.Time, r Request, out []Action) []Action {
	if _, known := c.tickets[r.ID]; known {
		return out
	}
	n := c.at(now)
	q := c.kinds[r.Kind]
	if reason := c.closed(q); reason != ReasonNone {
		return append(out, Action{Decision: Refuse, RequestID: r.ID, Reason: reason})
	}
	deadline := c.at(r.Deadline)
	v := c.judge(n, q, deadline)
	if v.reason != ReasonNone {
		return append(out, Action{Decision: Refuse, RequestID: r.ID, Reason: v.reason, RetryAfter: v.retryAfter})
	}
	c.queue(q, r.ID, deadline, v.probe)
	return c.dispatch(n, out)
}

// Done gives the permit of t back.
func (c *controller) Done(now time.Time, t RequestID, latency time.Duration, ok bool, out []Action) []Action {
	r := c.tickets[t]
	if r == nil || r.index != running {
		return out
	}
	n := c.at(now)
	c.learn(n, r, latency, ok)
	c.release(n, r)
	return c.dispatch(n, out)
}

// Cancel forgets t.
func (c *controller) Cancel(now time.Time, t RequestID, out []Action) []Action {
	r := c.tickets[t]
	if r == nil {
		return out
	}
	if r.index != running {
		r.queue.remove(r)
		c.forget(r)
		return out
	}
	n := c.at(now)
	c.release(n, r)
	return c.dispatch(n, out)
}

// Drain refuses what is queued and all that is offered from now on.
func (c *controller) Drain(now time.Time, out []Action) []Action {
	c.at(now)
	c.draining = true
	for _, q := range c.queues {
		out = c.refuseAll(q, ReasonDraining, out)
	}
	return out
}

// Tick refuses what can no longer be answered in time and starts kinds that rested.
func (c *controller) Tick(now time.Time, out []Action) []Action {
	n := c.at(now)
	if c.policy.Timely() {
		out = c.refuseLates(n, out)
	}
	return c.dispatch(n, out)
}

// refuseLates refuses all that can no longer be answered in time.
func (c *controller) refuseLates(now time.Duration, out []Action) []Action {
	for _, q := range c.queues {
		for q.Queued() > 0 && now >= q.latestStart(q.waiting[0]) {
			out = c.refuseLate(q, out)
		}
	}
	return out
}

// closed returns why nothing of q is taken now, ReasonNone where it is.
func (c *controller) closed(q *Queue) Reason {
	switch {
	case c.draining:
		return ReasonDraining
	case q == nil || !q.listed:
		return ReasonUnknownKind
	case c.capacity == 0:
		return ReasonNoTarget
	case q.Ceiling == 0:
		return ReasonCeiling
	default:
		return ReasonNone
	}
}

// queue puts a new request into q.
func (c *controller) queue(q *Queue, t RequestID, deadline time.Duration, probe bool) {
	r := c.allocate()
	c.sequence++
	*r = request{ticket: t, queue: q, sequence: c.sequence, deadline: deadline, probe: probe}
	if c.policy.Timely() {
		r.order = int64(deadline)
	}
	c.tickets[t] = r
	q.push(r)
}

// allocate returns a request from the free list.
func (c *controller) allocate() *request {
	n := len(c.free) - 1
	if n < 0 {
		return new(request)
	}
	r := c.free[n]
	c.free = c.free[:n]
	return r
}

// forget returns r to the free list.
func (c *controller) forget(r *request) {
	delete(c.tickets, r.ticket)
	r.queue = nil
	c.free = append(c.free, r)
}

// dispatch starts requests while permits are free.
func (c *controller) dispatch(now time.Duration, out []Action) []Action {
	c.endRests(now)
	for {
		q := c.next()
		if q == nil {
			return out
		}
		r := q.waiting[0]
		if c.policy.Timely() && now >= q.latestStart(r) {
			out = c.refuseLate(q, out)
			continue
		}
		out = c.start(now, q, r, out)
	}
}

// next returns the queue whose next request may start now.
func (c *controller) next() *Queue {
	if c.inFlight < c.limit {
		return c.policy.Pick(c.queues, c.limit)
	}
	c.window.saturated = true
	if c.inFlight < c.capacity && c.limit > 0 {
		return c.policy.Recall(c.queues)
	}
	return nil
}

// start gives r a permit. What is above the floor is charged to its kind.
func (c *controller) start(now time.Duration, q *Queue, r *request, out []Action) []Action {
	q.remove(r)
	r.index = running
	r.started = now
	if q.InFlight >= q.Floor {
		r.charge = q.service.mean
		if r.charge == 0 {
			r.charge = coldCharge
		}
		q.virtual += q.perWeight(r.charge.Seconds())
	}
	q.InFlight++
	c.inFlight++
	c.sequence++
	q.started = c.sequence
	return append(out, Action{Decision: Start, RequestID: r.ticket})
}

// release takes the permit of r back.
func (c *controller) release(now time.Duration, r *request) {
	r.queue.rest(now, now-r.started)
	r.queue.InFlight--
	c.inFlight--
	c.forget(r)
}

// refuseLate refuses the request that is next in q.
func (c *controller) refuseLate(q *Queue, out []Action) []Action {
	return c.refuseNext(q, ReasonDeadline, q.delay(q.Queued()), out)
}

// refuseAll empties q.
func (c *controller) refuseAll(q *Queue, reason Reason, out []Action) []Action {
	for q.Queued() > 0 {
		out = c.refuseNext(q, reason, 0, out)
	}
	return out
}

// refuseNext refuses the request that is next in q.
func (c *controller) refuseNext(q *Queue, reason Reason, after time.Duration, out []Action) []Action {
	r := q.waiting[0]
	t := r.ticket
	q.remove(r)
	c.forget(r)
	return append(out, Action{Decision: Refuse, RequestID: t, Reason: reason, RetryAfter: after})
}
