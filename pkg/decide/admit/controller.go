package admit

import (
	"time"

	"github.com/sesamestream/sesamestream/pkg/fleet"
)

const (
	// maxColdQueuedPerKind is the maximum queue length of a kind whose service time is unknown.
	maxColdQueuedPerKind = 32
	// coldRetryAfter is the RetryAfter of refusals while the service time is unknown.
	coldRetryAfter = 100 * time.Millisecond
	// coldServiceCharge is the service time charged for a start while the service time is unknown.
	coldServiceCharge = 10 * time.Millisecond
	// probeInterval is the minimum time between two probes of a kind, each of which
	// starts a request to check the service time estimate.
	probeInterval = time.Second
)

// A controller is the Admitter that New and NewWith return.
type controller struct {
	policy    Policy
	algorithm LimitAlgorithm

	kinds        map[fleet.Kind]*Queue
	queues       []*Queue
	shareFactors map[fleet.Kind]float64
	requests     map[RequestID]*request
	freeList     []*request

	// epoch is the time of the first call. Points in time are kept as durations since it.
	epoch      time.Time
	sequence   uint64
	inFlight   int
	capacity   int
	exactLimit float64
	limit      int
	window     window
	draining   bool
}

// sinceEpoch returns the time from the epoch to t. The first call sets the epoch to t.
func (c *controller) sinceEpoch(t time.Time) time.Duration {
	if c.epoch.IsZero() {
		c.epoch = t
	}
	return t.Sub(c.epoch)
}

// Offer starts, queues or refuses r.
func (c *controller) Offer(now time.Time, r Request, out []Action) []Action {
	if _, known := c.requests[r.ID]; known {
		return out
	}
	n := c.sinceEpoch(now)
	q := c.kinds[r.Kind]
	if reason := c.refusalReason(q); reason != ReasonNone {
		return append(out, Action{Decision: Refuse, RequestID: r.ID, Reason: reason})
	}
	deadline := c.sinceEpoch(r.Deadline)
	v := c.checkOffer(n, q, deadline)
	if v.reason != ReasonNone {
		return append(out, Action{Decision: Refuse, RequestID: r.ID, Reason: v.reason, RetryAfter: v.retryAfter})
	}
	c.enqueue(q, r.ID, deadline, v.probe)
	return c.dispatch(n, out)
}

// Done releases the permit of a running request and records its latency.
func (c *controller) Done(now time.Time, id RequestID, latency time.Duration, ok bool, out []Action) []Action {
	r := c.requests[id]
	if r == nil || r.heapIndex != runningIndex {
		return out
	}
	n := c.sinceEpoch(now)
	c.recordCompletion(n, r, latency, ok)
	c.releasePermit(n, r)
	return c.dispatch(n, out)
}

// Cancel removes a queued request or releases the permit of a running one.
func (c *controller) Cancel(now time.Time, id RequestID, out []Action) []Action {
	r := c.requests[id]
	if r == nil {
		return out
	}
	if r.heapIndex != runningIndex {
		r.queue.remove(r)
		c.recycle(r)
		return out
	}
	n := c.sinceEpoch(now)
	c.releasePermit(n, r)
	return c.dispatch(n, out)
}

// Drain refuses all queued requests and all later offers.
func (c *controller) Drain(now time.Time, out []Action) []Action {
	c.sinceEpoch(now)
	c.draining = true
	for _, q := range c.queues {
		out = c.refuseQueued(q, ReasonDraining, out)
	}
	return out
}

// Tick refuses requests that can no longer meet their deadline and starts requests
// of kinds whose cooldown has ended.
func (c *controller) Tick(now time.Time, out []Action) []Action {
	n := c.sinceEpoch(now)
	if c.policy.Timely() {
		out = c.refuseExpired(n, out)
	}
	return c.dispatch(n, out)
}

// refuseExpired refuses all queued requests that can no longer meet their deadline.
func (c *controller) refuseExpired(now time.Duration, out []Action) []Action {
	for _, q := range c.queues {
		for q.Queued() > 0 && now >= q.latestStart(q.waiting[0]) {
			out = c.refuseExpiredHead(q, out)
		}
	}
	return out
}

// refusalReason returns why all requests of q are refused now, or ReasonNone if they are not.
func (c *controller) refusalReason(q *Queue) Reason {
	switch {
	case c.draining:
		return ReasonDraining
	case q == nil || !q.inTable:
		return ReasonUnknownKind
	case c.capacity == 0:
		return ReasonNoTarget
	case q.Ceiling == 0:
		return ReasonCeiling
	default:
		return ReasonNone
	}
}

// enqueue adds a new request to q.
func (c *controller) enqueue(q *Queue, id RequestID, deadline time.Duration, probe bool) {
	r := c.allocate()
	c.sequence++
	*r = request{id: id, queue: q, sequence: c.sequence, deadline: deadline, probe: probe}
	if c.policy.Timely() {
		r.heapKey = int64(deadline)
	}
	c.requests[id] = r
	q.push(r)
}

// allocate returns a request from the free list, or a new one if the list is empty.
func (c *controller) allocate() *request {
	n := len(c.freeList) - 1
	if n < 0 {
		return new(request)
	}
	r := c.freeList[n]
	c.freeList = c.freeList[:n]
	return r
}

// recycle stops tracking r and returns it to the free list.
func (c *controller) recycle(r *request) {
	delete(c.requests, r.id)
	r.queue = nil
	c.freeList = append(c.freeList, r)
}

// dispatch starts queued requests while the policy grants permits. It refuses
// requests that can no longer meet their deadline instead of starting them.
func (c *controller) dispatch(now time.Duration, out []Action) []Action {
	c.endCooldowns(now)
	for {
		q := c.nextQueue()
		if q == nil {
			return out
		}
		r := q.waiting[0]
		if c.policy.Timely() && now >= q.latestStart(r) {
			out = c.refuseExpiredHead(q, out)
			continue
		}
		out = c.start(now, q, r, out)
	}
}

// nextQueue returns the queue that may start a request now, or nil.
func (c *controller) nextQueue() *Queue {
	if c.inFlight < c.limit {
		return c.policy.Pick(c.queues, c.limit)
	}
	c.window.saturated = true
	if c.inFlight < c.capacity && c.limit > 0 {
		return c.policy.Recall(c.queues)
	}
	return nil
}

// start gives r a permit. A start above the floor is charged to the virtual time of
// the kind, at the mean service time.
func (c *controller) start(now time.Duration, q *Queue, r *request, out []Action) []Action {
	q.remove(r)
	r.heapIndex = runningIndex
	r.startedAt = now
	if q.InFlight >= q.Floor {
		r.charge = q.service.mean
		if r.charge == 0 {
			r.charge = coldServiceCharge
		}
		q.virtualTime += q.virtualCost(r.charge.Seconds())
	}
	q.InFlight++
	c.inFlight++
	c.sequence++
	q.lastStartSequence = c.sequence
	return append(out, Action{Decision: Start, RequestID: r.id})
}

// releasePermit releases the permit of r and stops tracking r.
func (c *controller) releasePermit(now time.Duration, r *request) {
	r.queue.startCooldown(now, now-r.startedAt)
	r.queue.InFlight--
	c.inFlight--
	c.recycle(r)
}

// refuseExpiredHead refuses the first request in q because of its deadline.
func (c *controller) refuseExpiredHead(q *Queue, out []Action) []Action {
	return c.refuseHead(q, ReasonDeadline, q.expectedDelay(q.Queued()), out)
}

// refuseQueued refuses all queued requests of q.
func (c *controller) refuseQueued(q *Queue, reason Reason, out []Action) []Action {
	for q.Queued() > 0 {
		out = c.refuseHead(q, reason, 0, out)
	}
	return out
}

// refuseHead refuses the first request in q.
func (c *controller) refuseHead(q *Queue, reason Reason, retryAfter time.Duration, out []Action) []Action {
	r := q.waiting[0]
	id := r.id
	q.remove(r)
	c.recycle(r)
	return append(out, Action{Decision: Refuse, RequestID: id, Reason: reason, RetryAfter: retryAfter})
}
