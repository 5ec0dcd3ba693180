package route

import (
	"math"
	"slices"
	"time"

	"github.com/sesamestream/sesamestream/pkg/fleet"
)

// crossRegionSpeedup is how many times faster the expected answer of an agent in
// another region must be to justify the use of the link.
const crossRegionSpeedup = 2

// A candidate is the endpoint with the best score of a sample.
type candidate struct {
	endpoint   *endpoint
	score      float64
	wouldQueue bool
	// unreachableInTime is set if an endpoint was skipped because its round trip
	// exceeds the time left.
	unreachableInTime bool
}

// Pick chooses the agent for a request, or returns one of the errors of this package.
// The request counts as in flight at the agent until Done.
func (r *Router) Pick(now time.Time, q Query) (Choice, error) {
	p, ok := r.pools[q.Kind]
	if !ok {
		return Choice{}, ErrNoAgent
	}
	p.endBackoffs(now)
	timeLeft := remaining(now, q.Deadline)
	c := r.sampleBest(now, p, sameDataCentre, &q, timeLeft)
	if c.endpoint == nil || c.wouldQueue {
		c = c.orFaster(r.sampleBest(now, p, sameRegion, &q, timeLeft), 1)
	}
	if c.endpoint == nil || c.wouldQueue {
		return r.pickOtherRegion(now, p, &q, timeLeft, c)
	}
	return r.choose(now, p, c, q.Size), nil
}

// pickOtherRegion chooses an agent of another region if the table allows it, the link
// budget covers it and it is fast enough. Otherwise it chooses c, or fails if c has no
// endpoint.
func (r *Router) pickOtherRegion(now time.Time, p *pool, q *Query, timeLeft time.Duration, c candidate) (Choice, error) {
	if !p.crossRegion {
		return r.chooseOrFail(now, p, q, c)
	}
	f := r.sampleBest(now, p, otherRegion, q, timeLeft)
	b := c.orFaster(f, crossRegionSpeedup)
	if b.endpoint == nil || b.endpoint.tier != otherRegion {
		return r.chooseOrFail(now, p, q, b)
	}
	cost := p.linkCost(q.Size)
	switch {
	case p.linkBudget.trySpend(now, cost):
		v := r.choose(now, p, b, q.Size)
		v.ReservedBytes = cost
		return v, nil
	case c.endpoint != nil:
		return r.choose(now, p, c, q.Size), nil
	default:
		return Choice{}, ErrOverLinkBudget
	}
}

// chooseOrFail chooses c, or returns the reason why it has no endpoint.
func (r *Router) chooseOrFail(now time.Time, p *pool, q *Query, c candidate) (Choice, error) {
	switch {
	case c.endpoint != nil:
		return r.choose(now, p, c, q.Size), nil
	case c.unreachableInTime:
		return Choice{}, ErrUnreachableInTime
	case p.backingOffCount > 0:
		return Choice{}, ErrAllBackingOff
	default:
		return Choice{}, ErrNoAgent
	}
}

// orFaster returns f if c has no endpoint or is more than factor times slower than f.
// Otherwise it returns c.
func (c candidate) orFaster(f candidate, factor float64) candidate {
	unreachable := c.unreachableInTime || f.unreachableInTime
	if f.endpoint != nil && (c.endpoint == nil || f.score*factor < c.score) {
		c = f
	}
	c.unreachableInTime = unreachable
	return c
}

// choose counts a request as in flight at the endpoint of c and returns its Choice.
func (r *Router) choose(now time.Time, p *pool, c candidate, size fleet.Bytes) Choice {
	e := c.endpoint
	e.ownInFlight++
	if e.health.probation {
		p.updateState(now, e)
	}
	return Choice{
		Agent:           fleet.ProcessIncarnation{ID: e.id, Incarnation: e.agent.incarnation},
		Place:           e.place,
		Kind:            e.kind,
		OtherRegion:     e.tier == otherRegion,
		Size:            size,
		OneWayDelay:     e.path.oneWayDelay,
		ExpectedLatency: time.Duration(c.score),
	}
}

// sampleBest returns the best of a random sample of the ready endpoints of t.
func (r *Router) sampleBest(now time.Time, p *pool, t tier, q *Query, timeLeft time.Duration) candidate {
	var seen [MaxSampleSize]int
	var b candidate
	l := p.ready[t]
	s := r.policy()
	serviceTime := p.expectedServiceTime()
	for n := range min(r.sampleSize(), len(l)) {
		i := r.drawIndex(l, q.Exclude, seen[:n])
		if i < 0 {
			return b
		}
		seen[n] = i
		if 2*l[i].path.oneWayDelay > timeLeft {
			b.unreachableInTime = true
			continue
		}
		v := l[i].view(now, serviceTime)
		if c := s.Score(v); b.endpoint == nil || c < b.score {
			b.endpoint, b.score, b.wouldQueue = l[i], c, wouldQueue(v)
		}
	}
	return b
}

// drawIndex returns the index of a random endpoint that is neither excluded nor seen,
// or -1. It probes on from a random index, past at most as many endpoints as are
// excluded or seen.
func (r *Router) drawIndex(l []*endpoint, exclude []fleet.ID, seen []int) int {
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

// remaining returns the time until the deadline, or the maximum if there is none.
func remaining(now, deadline time.Time) time.Duration {
	if deadline.IsZero() {
		return math.MaxInt64
	}
	return deadline.Sub(now)
}
