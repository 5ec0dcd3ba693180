package admit

import (
	"math"
	"time"

	"github.com/sesamestream/sesamestream/pkg/fleet"
	"github.com/sesamestream/sesamestream/pkg/table"
)

// roundingTolerance keeps floating-point error in products of shares from changing the
// rounded number of permits.
const roundingTolerance = 1e-9

// SetTable applies the request rows and refuses the queued requests of removed kinds.
func (c *controller) SetTable(now time.Time, rows []table.Row, out []Action) []Action {
	n := c.sinceEpoch(now)
	for _, q := range c.queues {
		q.inTable = false
	}
	old := c.queues
	c.queues = make([]*Queue, 0, len(rows))
	for _, r := range rows {
		if r.Class == table.ClassRequest {
			c.applyRow(r)
		}
	}
	for _, q := range old {
		out = c.removeIfNotInTable(q, out)
	}
	c.setLimit(c.exactLimit)
	c.assignPermits()
	out = c.refuseZeroCeiling(out)
	return c.dispatch(n, out)
}

// applyRow applies the row of one kind. If a kind has several rows, the first one applies.
func (c *controller) applyRow(r table.Row) {
	q := c.kinds[r.Kind]
	if q == nil {
		q = &Queue{shareFactor: c.shareFactor(r.Kind)}
		c.kinds[r.Kind] = q
	}
	if q.inTable {
		return
	}
	q.inTable = true
	q.Row = r
	c.queues = append(c.queues, q)
}

// removeIfNotInTable refuses the queued requests of a kind that is no longer in the table
// and removes the kind. A kind with running requests is kept, with no permits, so that they
// still count if the kind returns to the table.
func (c *controller) removeIfNotInTable(q *Queue, out []Action) []Action {
	if q.inTable {
		return out
	}
	out = c.refuseQueued(q, ReasonUnknownKind, out)
	if q.InFlight == 0 {
		delete(c.kinds, q.Row.Kind)
		return out
	}
	q.Floor, q.Ceiling, q.exactCeiling = 0, 0, 0
	c.queues = append(c.queues, q)
	return out
}

// SetCapacity sets the upper bound of the limit. When the capacity rises from zero, the limit
// starts at its initial value.
func (c *controller) SetCapacity(now time.Time, connections int, out []Action) []Action {
	n := c.sinceEpoch(now)
	first := c.capacity == 0
	c.capacity = max(0, connections)
	if first {
		c.exactLimit = c.algorithm.Next(c.initialLimit(), WindowStats{Slowdown: 1})
	}
	c.setLimit(c.exactLimit)
	if c.capacity > 0 {
		return c.dispatch(n, out)
	}
	for _, q := range c.queues {
		out = c.refuseQueued(q, ReasonNoTarget, out)
	}
	return out
}

// SetShareFactors sets the factors of the kinds in factors, and 1 for all others.
func (c *controller) SetShareFactors(now time.Time, factors []ShareFactor, out []Action) []Action {
	n := c.sinceEpoch(now)
	c.shareFactors = make(map[fleet.Kind]float64, len(factors))
	for _, f := range factors {
		c.shareFactors[f.Kind] = f.Factor
	}
	for k, q := range c.kinds {
		q.shareFactor = c.shareFactor(k)
	}
	c.assignPermits()
	out = c.refuseZeroCeiling(out)
	return c.dispatch(n, out)
}

// shareFactor returns the factor of k, which is 1 by default and never negative.
func (c *controller) shareFactor(k fleet.Kind) float64 {
	if f, ok := c.shareFactors[k]; ok {
		return max(0, f)
	}
	return 1
}

// refuseZeroCeiling refuses the queued requests of kinds whose ceiling is zero.
func (c *controller) refuseZeroCeiling(out []Action) []Action {
	for _, q := range c.queues {
		if q.Ceiling == 0 && c.capacity > 0 {
			out = c.refuseQueued(q, ReasonCeiling, out)
		}
	}
	return out
}

// minLimit returns the lower bound of the limit: one permit for each kind with a floor, and
// at least minThrottledLimit, so that enough requests run to sample their latency.
func (c *controller) minLimit() int {
	n := 0
	for _, q := range c.queues {
		if q.inTable && q.Row.Floor > 0 {
			n++
		}
	}
	return min(c.capacity, max(minThrottledLimit, n))
}

// initialLimit returns the limit of a host without latency samples.
func (c *controller) initialLimit() float64 {
	return max(float64(c.minLimit()), float64(c.capacity)/initialLimitDivisor)
}

// setLimit sets the limit to v, clamped to its bounds, and reassigns the permits if it changes.
func (c *controller) setLimit(v float64) {
	c.exactLimit = min(float64(c.capacity), max(float64(c.minLimit()), v))
	if int(c.exactLimit) == c.limit {
		return
	}
	c.limit = int(c.exactLimit)
	c.assignPermits()
}

// assignPermits converts the floor and ceiling shares of all kinds to permits of the current
// limit. Floors that add up to more than the host are scaled down, and floors that exceed the
// limit by rounding are lowered.
func (c *controller) assignPermits() {
	floorShares := 0.0
	for _, q := range c.queues {
		floorShares += q.floorShare()
	}
	fullShare := float64(c.limit) / max(1, floorShares)
	floorPermits := 0
	for _, q := range c.queues {
		q.exactCeiling = q.exactCeilingFor(c.limit)
		q.Ceiling = q.ceilingPermits()
		q.Floor = min(q.Ceiling, q.floorPermits(fullShare))
		floorPermits += q.Floor
	}
	for floorPermits > c.limit && c.lowerFloor(fullShare) {
		floorPermits--
	}
}

// lowerFloor takes one permit from the floor that was rounded up the most. It reports false
// if no floor is above one permit.
func (c *controller) lowerFloor(fullShare float64) bool {
	var b *Queue
	maxExcess := 0.0
	for _, q := range c.queues {
		excess := float64(q.Floor) - q.floorShare()*fullShare
		if q.Floor > 1 && (b == nil || excess > maxExcess) {
			b, maxExcess = q, excess
		}
	}
	if b == nil {
		return false
	}
	b.Floor--
	return true
}

// floorShare returns the share of this host that is guaranteed to the kind.
func (q *Queue) floorShare() float64 {
	if !q.inTable {
		return 0
	}
	return min(1, max(0, float64(q.Row.Floor)*q.shareFactor))
}

// floorPermits returns the floor in permits, rounded up, where a share of 1 is fullShare permits.
func (q *Queue) floorPermits(fullShare float64) int {
	if q.floorShare() == 0 {
		return 0
	}
	return max(1, int(math.Ceil(q.floorShare()*fullShare-roundingTolerance)))
}

// ceilingPermits returns the maximum number of permits of the kind, which is the exact
// ceiling rounded down. An exact ceiling below one permit becomes one permit, which the kind
// may hold for that fraction of the time.
func (q *Queue) ceilingPermits() int {
	if q.exactCeiling <= 0 {
		return 0
	}
	return max(1, int(q.exactCeiling+roundingTolerance))
}

// exactCeilingFor returns the ceiling of the kind as a fractional number of the limit's permits.
func (q *Queue) exactCeilingFor(limit int) float64 {
	if !q.inTable {
		return 0
	}
	return min(1, max(0, float64(q.Row.Ceiling)*q.shareFactor)) * float64(limit)
}
