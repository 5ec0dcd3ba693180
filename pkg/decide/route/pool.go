package route

import (
	"container/heap"
	"time"

	"github.com/sesamestream/sesamestream/pkg/fleet"
)

// A pool holds the peers of one kind: those ready for work by their distance,
// and those avoided by the time their pause ends.
type pool struct {
	ready   [tiers][]*peer
	avoided pauses
	known   int
	ejected int

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
	for len(p.avoided) > 0 && !p.avoided[0].until.After(now) {
		p.settle(now, p.avoided[0])
	}
}

// settle moves e to the list it belongs to.
func (p *pool) settle(now time.Time, e *peer) {
	p.lift(e)
	switch {
	case !e.usable():
		return
	case e.until.After(now):
		e.state = avoided
		heap.Push(&p.avoided, e)
	default:
		e.state = ready
		e.index = len(p.ready[e.tier])
		p.ready[e.tier] = append(p.ready[e.tier], e)
	}
}

// lift takes e out of its list.
func (p *pool) lift(e *peer) {
	switch e.state {
	case ready:
		p.unready(e)
	case avoided:
		heap.Remove(&p.avoided, e.index)
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

// pauses is a heap of avoided peers, the first to come back on top.
type pauses []*peer

func (p pauses) Len() int           { return len(p) }
func (p pauses) Less(i, j int) bool { return p[i].until.Before(p[j].until) }

func (p pauses) Swap(i, j int) {
	p[i], p[j] = p[j], p[i]
	p[i].index = i
	p[j].index = j
}

func (p *pauses) Push(x any) {
	e := x.(*peer)
	e.index = len(*p)
	*p = append(*p, e)
}

func (p *pauses) Pop() any {
	l := *p
	e := l[len(l)-1]
	l[len(l)-1] = nil
	*p = l[:len(l)-1]
	return e
}
