package admit

import "time"

// A judgement is what an offer meets before it is queued.
type judgement struct {
	reason     Reason
	retryAfter time.Duration
	probe      bool
}

// judge decides whether a request of q with this deadline may be queued.
func (c *controller) judge(now time.Duration, q *Queue, deadline time.Duration) judgement {
	if !c.policy.Timely() {
		return q.judgeCount(maxQueued)
	}
	budget := deadline - now
	bound := q.service.bound()
	switch {
	case budget <= 0:
		return judgement{reason: ReasonDeadline}
	case q.service.mean == 0:
		return q.judgeCount(coldQueued)
	case budget <= bound:
		return q.judgeProbe(now)
	}
	wait := q.delay(q.ahead(deadline)) + q.restLeft(now)
	most := min(maxQueueDelay, budget/queuePart)
	switch {
	case wait+bound >= budget:
		return judgement{reason: ReasonDeadline, retryAfter: q.retryAfter(wait + bound - budget)}
	case wait > most:
		return judgement{reason: ReasonQueue, retryAfter: q.retryAfter(wait - most)}
	default:
		return q.judgeCount(maxQueued)
	}
}

// judgeCount refuses where limit requests wait.
func (q *Queue) judgeCount(limit int) judgement {
	if q.Queued() < limit {
		return judgement{}
	}
	return judgement{reason: ReasonQueue, retryAfter: q.retryAfter(0)}
}

// judgeProbe lets one request through from time to time although the estimate
// says that it is late, so that a wrong estimate does not last.
func (q *Queue) judgeProbe(now time.Duration) judgement {
	if now < q.nextProbe {
		return judgement{reason: ReasonDeadline, retryAfter: q.nextProbe - now}
	}
	if q.InFlight > 0 || q.Queued() > 0 {
		return judgement{reason: ReasonDeadline, retryAfter: q.retryAfter(q.delay(q.Queued()))}
	}
	q.nextProbe = now + probeInterval
	return judgement{probe: true}
}

// retryAfter returns when a queue that is too long by excess has room for one more.
func (q *Queue) retryAfter(excess time.Duration) time.Duration {
	if q.service.mean == 0 {
		return coldRetry
	}
	return excess + q.delay(1)
}

// learn takes the latency of r into the estimates and moves the limit.
// A failure says something only where it took long.
func (c *controller) learn(now time.Duration, r *request, latency time.Duration, ok bool) {
	q := r.queue
	if r.charge > 0 {
		q.virtual += q.perWeight((latency - r.charge).Seconds())
	}
	if !ok && latency <= q.service.mean {
		return
	}
	if r.probe && ok {
		q.service.restart(latency)
	}
	q.service.add(now, latency)
	if q.service.base == 0 {
		return
	}
	c.window.add(float64(latency) / float64(q.service.base))
	if c.window.full(c.limit) {
		c.setLimit(c.window.next(c.law, c.exact))
	}
}
