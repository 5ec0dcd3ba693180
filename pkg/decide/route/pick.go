package route

import (
	"math"
	"slices"
	"time"

	"github.com/sesamestream/sesamestream/pkg/fleet"
)

// farMargin is how many times sooner an answer from another region must come
// to be worth the link.
const farMargin = 2

// A candidate is the best peer of a sample.
type candidate struct {
	peer    *peer
	score   float64
	crowded bool
	// late says that some peer was passed over since its travel is too long.
	late bool
}

// Pick returns the agent that gets the request, or one of the package's errors.
// The choice counts as in flight until Done.
func (r *Router) Pick(now time.Time, q Query) (Choice, error) {
	p, ok := r.pools[q.Kind]
	if !ok {
		return Choice{}, ErrNoAgent
	}
	p.wake(now)
	left := remaining(now, q.Deadline)
	c := r.sample(now, p, near, &q, left)
	if c.peer == nil || c.crowded {
		c = c.or(r.sample(now, p, region, &q, left), 1)
	}
	if c.peer == nil || c.crowded {
		return r.pickFar(now, p, &q, left, c)
	}
	return r.choose(now, p, c, q.Size), nil
}

// pickFar takes an agent of another region if that is allowed, in budget and
// worth the delay, and else c.
func (r *Router) pickFar(now time.Time, p *pool, q *Query, left time.Duration, c candidate) (Choice, error) {
	if !p.cross {
		return r.settled(now, p, q, c)
	}
	f := r.sample(now, p, far, q, left)
	b := c.or(f, farMargin)
	if b.peer == nil || b.peer.tier != far {
		return r.settled(now, p, q, b)
	}
	need := p.need(q.Size)
	switch {
	case p.link.take(now, need):
		v := r.choose(now, p, b, q.Size)
		v.ReservedBytes = need
		return v, nil
	case c.peer != nil:
		return r.choose(now, p, c, q.Size), nil
	default:
		return Choice{}, ErrOverLinkBudget
	}
}

func (r *Router) settled(now time.Time, p *pool, q *Query, c candidate) (Choice, error) {
	switch {
	case c.peer != nil:
		return r.choose(now, p, c, q.Size), nil
	case c.late:
		return Choice{}, ErrUnreachableInTime
	case p.avoided > 0:
		return Choice{}, ErrAllBackingOff
	default:
		return Choice{}, ErrNoAgent
	}
}

// or returns f where c has no peer or is margin times slower than it.
func (c candidate) or(f candidate, margin float64) candidate {
	late := c.late || f.late
	if f.peer != nil && (c.peer == nil || f.score*margin < c.score) {
		c = f
	}
	c.late = late
	return c
}

func (r *Router) choose(now time.Time, p *pool, c candidate, size fleet.Bytes) Choice {
	e := c.peer
	e.own++
	if e.health.trial {
		p.settle(now, e)
	}
	return Choice{
		Agent:           fleet.Life{ID: e.id, Incarnation: e.life.incarnation},
		Place:           e.place,
		Kind:            e.kind,
		OtherRegion:     e.tier == far,
		Size:            size,
		OneWayDelay:     e.path.travel,
		ExpectedLatency: time.Duration(c.score),
	}
}

// sample returns the best of a few ready peers of t.
func (r *Router) sample(now time.Time, p *pool, t tier, q *Query, left time.Duration) candidate {
	var seen [MaxSampleSize]int
	var b candidate
	l := p.ready[t]
	s := r.policy()
	service := p.expected()
	for n := range min(r.choices(), len(l)) {
		i := r.draw(l, q.Exclude, seen[:n])
		if i < 0 {
			return b
		}
		seen[n] = i
		if 2*l[i].path.travel > left {
			b.late = true
			continue
		}
		v := l[i].view(now, service)
		if c := s.Score(v); b.peer == nil || c < b.score {
			b.peer, b.score, b.crowded = l[i], c, crowded(v)
		}
	}
	return b
}

// draw returns the index of a random peer that is neither excluded nor seen,
// or -1. It steps over at most as many as are excluded or seen.
func (r *Router) draw(l []*peer, exclude []fleet.ID, seen []int) int {
	i := r.Rand.IntN(len(l))
	for range min(len(l), len(exclude)+len(seen)+1) {
		if !slices.Contains(seen, i) && !slices.Contains(exclude, l[i].id) {
			return i
		}
		i++
		if i == len(l) {
			i = 0
		}
	}
	return -1
}

func remaining(now, deadline time.Time) time.Duration {
	if deadline.IsZero() {
		return math.MaxInt64
	}
	return deadline.Sub(now)
}
