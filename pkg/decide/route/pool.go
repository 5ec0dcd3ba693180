package route

import (
	"time"

	"github.com/sesamestream/sesamestream/pkg/fleet"
)

// A pool holds the endpoints of one kind: the ready ones by tier, and those that
// back off by the end of their backoff.
type pool struct {
	ready    [tierCount][]*endpoint
	backoffs backoffQueue

	endpointCount, backingOffCount, ejectedCount int

	serviceTime time.Duration // average without network delay, 0 until measured
	answerSize  fleet.Bytes   // average over the link between regions

	crossRegion bool
	linkRate    fleet.Bytes
	linkBudget  tokenBucket
}

// expectedServiceTime returns the average service time, or a default until it is measured.
func (p *pool) expectedServiceTime() time.Duration {
	if p.serviceTime == 0 {
		return defaultServiceTime
	}
	return p.serviceTime
}

// endBackoffs makes the endpoints ready whose backoff has ended.
func (p *pool) endBackoffs(now time.Time) {
	for e := p.backoffs.pop(now); e != nil; e = p.backoffs.pop(now) {
		p.updateState(now, e)
	}
}

// updateState sets the state of e from its agent, health and backoff.
func (p *pool) updateState(now time.Time, e *endpoint) {
	p.makeUnavailable(e)
	switch {
	case !e.canServe():
		return
	case e.backoffEnd.After(now):
		e.state = backingOff
		p.backingOffCount++
		p.backoffs.push(e)
	default:
		e.state = ready
		e.readyIndex = len(p.ready[e.tier])
		p.ready[e.tier] = append(p.ready[e.tier], e)
	}
}

// makeUnavailable removes e from the ready or backing-off endpoints. An item in
// backoffs stays until it ends.
func (p *pool) makeUnavailable(e *endpoint) {
	switch e.state {
	case ready:
		p.removeReady(e)
	case backingOff:
		p.backingOffCount--
	}
	e.state = unavailable
}

func (p *pool) removeReady(e *endpoint) {
	l := p.ready[e.tier]
	last := l[len(l)-1]
	l[e.readyIndex] = last
	last.readyIndex = e.readyIndex
	l[len(l)-1] = nil
	p.ready[e.tier] = l[:len(l)-1]
}

// remove removes e from the pool.
func (p *pool) remove(e *endpoint) {
	p.makeUnavailable(e)
	p.endpointCount--
	if e.health.probation {
		p.ejectedCount--
	}
}

// canEject reports whether at most half of the endpoints would be ejected after one
// more ejection.
func (p *pool) canEject() bool {
	return 2*(p.ejectedCount+1) <= p.endpointCount
}
