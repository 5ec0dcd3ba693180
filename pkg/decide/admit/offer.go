package admit

import "time"

// An offerCheck is the result of the checks on an offered request before it is queued.
// The request may be queued if reason is ReasonNone.
type offerCheck struct {
	reason     Reason
	retryAfter time.Duration
	probe      bool
}

// checkOffer decides whether a request of q with the given deadline may be queued.
func (c *controller) checkOffer(now time.Duration, q *Queue, deadline time.Duration) offerCheck {
	if !c.policy.Timely() {
		return q.checkQueueLength(maxQueuedPerKind)
	}
	budget := deadline - now
	bound := q.service.upperBound()
	switch {
	case budget <= 0:
		return offerCheck{reason: ReasonDeadline}
	case q.service.mean == 0:
		return q.checkQueueLength(maxColdQueuedPerKind)
	case budget <= bound:
		return q.checkProbe(now)
	}
	wait := q.expectedDelay(q.estimateAhead(deadline)) + q.cooldownLeft(now)
	maxWait := min(maxQueueDelay, budget/queueDelayBudgetDivisor)
	switch {
	case wait+bound >= budget:
		return offerCheck{reason: ReasonDeadline, retryAfter: q.retryAfter(wait + bound - budget)}
	case wait > maxWait:
		return offerCheck{reason: ReasonQueue, retryAfter: q.retryAfter(wait - maxWait)}
	default:
		return q.checkQueueLength(maxQueuedPerKind)
	}
}

// checkQueueLength refuses a request if limit requests are queued.
func (q *Queue) checkQueueLength(limit int) offerCheck {
	if q.Queued() < limit {
		return offerCheck{}
	}
	return offerCheck{reason: ReasonQueue, retryAfter: q.retryAfter(0)}
}

// checkProbe accepts one request per probeInterval on an idle queue although the
// estimate says that it will be late. Without probes, a service time estimate that is
// too high would refuse all requests and would never be corrected.
func (q *Queue) checkProbe(now time.Duration) offerCheck {
	if now < q.nextProbe {
		return offerCheck{reason: ReasonDeadline, retryAfter: q.nextProbe - now}
	}
	if q.InFlight > 0 || q.Queued() > 0 {
		return offerCheck{reason: ReasonDeadline, retryAfter: q.retryAfter(q.expectedDelay(q.Queued()))}
	}
	q.nextProbe = now + probeInterval
	return offerCheck{probe: true}
}

// retryAfter estimates when a queue whose delay is too long by excess accepts another request.
func (q *Queue) retryAfter(excess time.Duration) time.Duration {
	if q.service.mean == 0 {
		return coldRetryAfter
	}
	return excess + q.expectedDelay(1)
}

// recordCompletion replaces the estimated charge of r by its latency, adds the latency to
// the service time estimates and updates the limit at the end of a sample window. A failure
// that took no longer than the mean is no sample: it says nothing about the service time.
func (c *controller) recordCompletion(now time.Duration, r *request, latency time.Duration, ok bool) {
	q := r.queue
	if r.charge > 0 {
		q.virtualTime += q.virtualCost((latency - r.charge).Seconds())
	}
	if !ok && latency <= q.service.mean {
		return
	}
	if r.probe && ok {
		q.service.reset(latency)
	}
	q.service.add(now, latency)
	if q.service.baseLatency == 0 {
		return
	}
	c.window.add(float64(latency) / float64(q.service.baseLatency))
	if c.window.full(c.limit) {
		c.setLimit(c.window.nextLimit(c.algorithm, c.exactLimit))
	}
}
