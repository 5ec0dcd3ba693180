package route

import (
	"time"

	"github.com/sesamestream/sesamestream/pkg/fleet"
)

// A pool holds the peers of one kind: those ready for work by their distance,
// and those avoided by the time their pause ends.
type pool struct {
	ready  [tiers][]*peer
	pauses pauses

	known, avoided, ejected int

	service time.Duration
	answer  fleet.Bytes

	cross bool
	rate  fleet.Bytes
	link  bucket
}

// expected returns the kind's time to an answer.
func (p *pool) expected() time.Duration {
	if p.service == 0 {
		return serviceUnknown
	}
	return p.service
}

// wake returns the peers whose pause has ended to work.
func (p *pool) wake(now time.Time) {
	for e := p.pauses.pop(now); e != nil; e = p.pauses.pop(now) {
		p.settle(now, e)
	}
}

// settle moves e to the state it belongs in.
func (p *pool) settle(now time.Time, e *peer) {
	p.lift(e)
	switch {
	case !e.usable():
		return
	case e.until.After(now):
		e.state = avoided
		p.avoided++
		p.pauses.push(e)
	default:
		e.state = ready
		e.index = len(p.ready[e.tier])
		p.ready[e.tier] = append(p.ready[e.tier], e)
	}
}

// lift parks e.
func (p *pool) lift(e *peer) {
	switch e.state {
	case ready:
		p.unready(e)
	case avoided:
		p.avoided--
	}
	e.state = parked
}

func (p *pool) unready(e *peer) {
	l := p.ready[e.tier]
	last := l[len(l)-1]
	l[e.index] = last
	last.index = e.index
	l[len(l)-1] = nil
	p.ready[e.tier] = l[:len(l)-1]
}

// drop forgets e.
func (p *pool) drop(e *peer) {
	p.lift(e)
	p.known--
	if e.health.trial {
		p.ejected--
	}
}

// mayEject reports whether at most half of the peers would be ejected with one more.
func (p *pool) mayEject() bool {
	return 2*(p.ejected+1) <= p.known
}
