package admit

import (
	"math"
	"time"

	"github.com/sesamestream/sesamestream/pkg/fleet"
	"github.com/sesamestream/sesamestream/pkg/table"
)

// rounding keeps products of shares from being rounded up for their last bits.
const rounding = 1e-9

// SetTable puts the request rows in force.
func (c *controller) SetTable(now time.Time, rows []table.Row, out []Action) []Action {
	n := c.at(now)
	for _, q := range c.queues {
		q.listed = false
	}
	old := c.queues
	c.queues = make([]*Queue, 0, len(rows))
	for _, r := range rows {
		if r.Class == table.ClassRequest {
			c.list(r)
		}
	}
	for _, q := range old {
		out = c.unlist(q, out)
	}
	c.setLimit(c.exact)
	c.divide()
	out = c.refuseBarred(out)
	return c.dispatch(n, out)
}

// list puts the row of one kind in force. The first of two rows of a kind holds.
func (c *controller) list(r table.Row) {
	q := c.kinds[r.Kind]
	if q == nil {
		q = &Queue{scale: c.scale(r.Kind)}
		c.kinds[r.Kind] = q
	}
	if q.listed {
		return
	}
	q.listed = true
	q.Row = r
	c.queues = append(c.queues, q)
}

// unlist refuses what waits of a kind that left the table. The kind is kept
// while requests of it run, so that it counts them if it comes back.
func (c *controller) unlist(q *Queue, out []Action) []Action {
	if q.listed {
		return out
	}
	out = c.refuseAll(q, ReasonUnknownKind, out)
	if q.InFlight == 0 {
		delete(c.kinds, q.Row.Kind)
		return out
	}
	q.Floor, q.Ceiling, q.share = 0, 0, 0
	c.queues = append(c.queues, q)
	return out
}

// SetCapacity bounds the permits by the connections of the host's targets.
func (c *controller) SetCapacity(now time.Time, connections int, out []Action) []Action {
	n := c.at(now)
	first := c.capacity == 0
	c.capacity = max(0, connections)
	if first {
		c.exact = c.law.Next(c.first(), WindowStats{Slowdown: 1})
	}
	c.setLimit(c.exact)
	if c.capacity > 0 {
		return c.dispatch(n, out)
	}
	for _, q := range c.queues {
		out = c.refuseAll(q, ReasonNoTarget, out)
	}
	return out
}

// SetShareFactors sets the factors of the kinds listed and one for the rest.
func (c *controller) SetShareFactors(now time.Time, scales []ShareFactor, out []Action) []Action {
	n := c.at(now)
	c.scales = make(map[fleet.Kind]float64, len(scales))
	for _, s := range scales {
		c.scales[s.Kind] = s.Factor
	}
	for k, q := range c.kinds {
		q.scale = c.scale(k)
	}
	c.divide()
	out = c.refuseBarred(out)
	return c.dispatch(n, out)
}

// scale returns the factor of k.
func (c *controller) scale(k fleet.Kind) float64 {
	if f, ok := c.scales[k]; ok {
		return max(0, f)
	}
	return 1
}

// refuseBarred refuses what waits of kinds whose ceiling became zero.
func (c *controller) refuseBarred(out []Action) []Action {
	for _, q := range c.queues {
		if q.Ceiling == 0 && c.capacity > 0 {
			out = c.refuseAll(q, ReasonCeiling, out)
		}
	}
	return out
}

// least returns the least limit: a permit for each floor, and enough to learn from.
func (c *controller) least() int {
	n := 0
	for _, q := range c.queues {
		if q.listed && q.Row.Floor > 0 {
			n++
		}
	}
	return min(c.capacity, max(leastLimit, n))
}

// first returns the limit of a host that has not been measured.
func (c *controller) first() float64 {
	return max(float64(c.least()), float64(c.capacity)/firstPart)
}

// setLimit moves the limit to v within its bounds.
func (c *controller) setLimit(v float64) {
	c.exact = min(float64(c.capacity), max(float64(c.least()), v))
	if int(c.exact) == c.limit {
		return
	}
	c.limit = int(c.exact)
	c.divide()
}

// divide turns the shares into permits of the present limit.
func (c *controller) divide() {
	sum := 0.0
	for _, q := range c.queues {
		sum += q.floorShare()
	}
	per := float64(c.limit) / max(1, sum)
	permits := 0
	for _, q := range c.queues {
		q.share = q.ceilingShare(c.limit)
		q.Ceiling = q.ceilingPermits()
		q.Floor = min(q.Ceiling, q.floorPermits(per))
		permits += q.Floor
	}
	for permits > c.limit && c.lowerFloor(per) {
		permits--
	}
}

// lowerFloor takes one permit from the floor that was rounded up the most, and
// reports whether there was one above a single permit.
func (c *controller) lowerFloor(per float64) bool {
	var b *Queue
	most := 0.0
	for _, q := range c.queues {
		over := float64(q.Floor) - q.floorShare()*per
		if q.Floor > 1 && (b == nil || over > most) {
			b, most = q, over
		}
	}
	if b == nil {
		return false
	}
	b.Floor--
	return true
}

// floorShare returns the share of this host that the kind has for certain.
func (q *Queue) floorShare() float64 {
	if !q.listed {
		return 0
	}
	return min(1, max(0, float64(q.Row.Floor)*q.scale))
}

// floorPermits returns the share rounded up where a full share is per permits.
func (q *Queue) floorPermits(per float64) int {
	if q.floorShare() == 0 {
		return 0
	}
	return max(1, int(math.Ceil(q.floorShare()*per-rounding)))
}

// ceilingPermits returns the permits that the kind never exceeds: its share
// rounded down. A share below one permit is one permit for a part of the time.
func (q *Queue) ceilingPermits() int {
	if q.share <= 0 {
		return 0
	}
	return max(1, int(q.share+rounding))
}

// ceilingShare returns the kind's part of limit before it is rounded.
func (q *Queue) ceilingShare(limit int) float64 {
	if !q.listed {
		return 0
	}
	return min(1, max(0, float64(q.Row.Ceiling)*q.scale)) * float64(limit)
}
