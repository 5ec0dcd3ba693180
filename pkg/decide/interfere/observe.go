package interfere

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/sesamestream/sesamestream/pkg/fleet"
)

// minShareDifference is the smallest difference of an aggressor's shares that shows its effect.
const minShareDifference = 0.01

// difference is by how much the share of an aggressor differs between two hosts.
type difference struct {
	column int
	share  float64
}

// Observe updates the model with one window of a task of the victim: its tail
// latency and the shares of the aggressors beside it, and those of a reference
// under the same load of its own. Only where the shares differ do the tail
// latencies show an effect of the aggressors.
func (c *OccupancyModel) Observe(victim fleet.Kind, tail, reference time.Duration, shares, referenceShares Shares) {
	if tail <= 0 || reference <= 0 {
		return
	}
	n := c.equations(victim)
	if lowest := min(tail, reference); n.idleTail == 0 || lowest < n.idleTail {
		n.idleTail = lowest
	}
	x := c.differences(n, shares, referenceShares)
	if len(x) == 0 {
		return
	}
	taken := n.occupancy(tail) - n.occupancy(reference)
	// A saturated tail latency gives only a lower bound, so it can't reduce the weights.
	if n.occupancy(tail) < SaturatedOccupancy || n.expected(x) < taken {
		n.decay()
		n.add(x, taken)
	}
}

// differences returns the aggressors of which the shares differ between a and b,
// in a fixed order.
func (c *OccupancyModel) differences(n *normalEquations, a, b Shares) []difference {
	kinds := slices.Concat(slices.Collect(maps.Keys(a)), slices.Collect(maps.Keys(b)))
	slices.Sort(kinds)
	var out []difference
	for _, k := range slices.Compact(kinds) {
		d := a[k] - b[k]
		if math.Abs(d) < minShareDifference {
			continue
		}
		i, ok := n.columns[k]
		if !ok {
			if len(n.aggressors) >= maxAggressors {
				continue
			}
			i = c.addAggressor(n, k)
		}
		out = append(out, difference{i, d})
	}
	return out
}

// expected returns the difference of the occupancies that the weights predict.
func (n *normalEquations) expected(x []difference) float64 {
	n.solve()
	sum := 0.0
	for _, d := range x {
		sum += n.w[d.column] * d.share
	}
	return sum
}

// decay lets all evidence but the prior decay by one window.
func (n *normalEquations) decay() {
	for i := range n.a {
		for j := range n.a[i] {
			n.a[i][j] *= evidenceRetention
		}
		n.b[i] *= evidenceRetention
		n.a[i][i] += (1 - evidenceRetention) * priorEvidence
		n.b[i] += (1 - evidenceRetention) * priorEvidence * PriorWeight
	}
	n.evidence *= evidenceRetention
}

// add adds one window to the equations.
func (n *normalEquations) add(x []difference, taken float64) {
	for _, d := range x {
		for _, o := range x {
			n.a[d.column][o.column] += d.share * o.share
		}
		n.b[d.column] += d.share * taken
		n.evidence += d.share * d.share
		n.unsolvedEvidence += d.share * d.share
	}
	if n.unsolvedEvidence > minNewEvidence*n.evidence {
		n.solved = false
	}
}
