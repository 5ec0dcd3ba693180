package route

import (
	"time"

	"github.com/sesamestream/sesamestream/pkg/fleet"
)

// minRefusalBackoff is the least time for which an agent is avoided after a refusal.
const minRefusalBackoff = 20 * time.Millisecond

// answerSizeSmoothing is the weight of a new sample in the average size of answers.
const answerSizeSmoothing = 0.1

// Done records how c ended. It is called once for each Choice. For an agent that was
// removed or replaced by a newer incarnation it only updates the link budget.
func (r *Router) Done(now time.Time, c Choice, o Result) {
	p, ok := r.pools[c.Kind]
	if !ok {
		return
	}
	if c.OtherRegion {
		p.chargeLink(now, c, o)
	}
	if e := r.currentEndpoint(c); e != nil {
		e.ownInFlight--
		p.recordResult(now, e, o)
		p.updateState(now, e)
	}
	if o.HasLoad {
		r.Observe(now, o.Load)
	}
}

// currentEndpoint returns the endpoint of c, or nil if its incarnation is no longer
// known.
func (r *Router) currentEndpoint(c Choice) *endpoint {
	l, ok := r.agents[c.Agent.ID]
	if !ok || l.removed || l.incarnation != c.Agent.Incarnation {
		return nil
	}
	return l.endpoint(c.Kind)
}

// chargeLink charges the bytes that exceed the reservation and updates the average
// size of answers. Unused bytes of a reservation are not refunded.
func (p *pool) chargeLink(now time.Time, c Choice, o Result) {
	if o.LinkBytes > c.ReservedBytes {
		p.linkBudget.charge(now, o.LinkBytes-c.ReservedBytes)
	}
	if o.Status == StatusAnswered {
		p.answerSize += fleet.Bytes(answerSizeSmoothing * float64(max(o.LinkBytes-c.Size, 0)-p.answerSize))
	}
}

// linkCost returns the bytes to reserve in the link budget for a request of size
// and its expected answer. It is capped at the burst of the budget, unless the
// request alone is larger.
func (p *pool) linkCost(size fleet.Bytes) fleet.Bytes {
	return max(size, min(size+p.answerSize, fleet.Bytes(p.linkBudget.burst())))
}

// recordResult updates the health and the backoff of e. Failures and answers of
// requests that were in flight when a backoff began neither extend it nor end the
// probation.
func (p *pool) recordResult(now time.Time, e *endpoint, o Result) {
	switch o.Status {
	case StatusAnswered:
		p.recordAnswer(now, e, o)
	case StatusRefused:
		e.backOff(now, max(o.RetryAfter, minRefusalBackoff))
	case StatusFailed:
		if e.backoffEnd.After(now) {
			return
		}
		e.health.recordFailure(now)
		if e.health.probation || e.health.failureRate > ejectFailureRate {
			p.eject(now, e)
		}
	}
}

func (p *pool) recordAnswer(now time.Time, e *endpoint, o Result) {
	if o.NetworkRTT > 0 {
		e.path.oneWayDelay = movingAverage(e.path.oneWayDelay, o.NetworkRTT/2, oneWayDelaySmoothing)
	}
	s := max(o.Latency-2*e.path.oneWayDelay, 0)
	e.health.recordAnswer(s)
	if e.backoffEnd.After(now) {
		return
	}
	if e.health.probation {
		p.judgeProbation(now, e, s)
		return
	}
	if p.serviceTime == 0 {
		p.serviceTime = s
	}
	p.serviceTime = movingAverage(p.serviceTime, s, serviceTimeSmoothing)
	if e.health.isOutlier(p.serviceTime) {
		p.eject(now, e)
		return
	}
	e.health.resetEjections()
}

// judgeProbation ends the probation of e after an answer with service time s, or
// ejects e again if the answer was slow.
func (p *pool) judgeProbation(now time.Time, e *endpoint, s time.Duration) {
	if s > ejectLatencyFactor*p.serviceTime && s > p.serviceTime+ejectLatencyMargin {
		p.eject(now, e)
		return
	}
	e.health.endProbation()
	p.ejectedCount--
}

// eject makes e back off, unless too many endpoints of the kind are ejected already.
func (p *pool) eject(now time.Time, e *endpoint) {
	if !e.health.probation {
		if !p.canEject() {
			return
		}
		p.ejectedCount++
	}
	e.backOff(now, e.health.startProbation())
}

// backOff avoids e for at least d from now on.
func (e *endpoint) backOff(now time.Time, d time.Duration) {
	if t := now.Add(d); t.After(e.backoffEnd) {
		e.backoffEnd = t
	}
}
