package interfere

import (
	"cmp"
	"slices"
	"time"

	"github.com/sesamestream/sesamestream/pkg/fleet"
)

// capacityPerShare is the part of a worker's processors that counts as a share of
// 1 in an OccupancyModel.
const capacityPerShare = 0.25

// Share returns the share, in the units of an OccupancyModel, of an aggressor that
// uses some processor time of a worker. Both are in thousandths of a core. Tasks
// are sized for the workers that they run on, so a share means about as much on
// workers of any size.
func Share(usedMilliCPU, capacityMilliCPU int) float64 {
	return float64(usedMilliCPU) / (capacityPerShare * float64(max(capacityMilliCPU, 1)))
}

// PriorWeight is the weight of an unknown pair: half that of a strong aggressor.
const PriorWeight = 0.25

// Occupancy returns the part of a victim's capacity that is taken, from 0 to 1,
// given its tail latency on an idle host and its current one.
func Occupancy(idle, tail time.Duration) float64 {
	if idle == 0 || tail <= idle {
		return 0
	}
	return 1 - float64(idle)/float64(tail)
}

// SaturatedOccupancy is the occupancy from which a tail latency shows only that
// no capacity is left, not how much is missing.
const SaturatedOccupancy = 0.93

// The parameters of an OccupancyModel.
const (
	// priorEvidence is the evidence of the prior, in windows at a share of 1.
	priorEvidence = 0.1
	// evidenceRetention is the factor by which each window decays the evidence,
	// so that the weights follow changes within about a thousand windows.
	evidenceRetention = 0.999
	// minNewEvidence is the share of the evidence that has to be new for the weights to be computed again.
	minNewEvidence = 0.02
	// maxAggressors bounds the aggressors of one victim.
	maxAggressors = 48
	// maxOccupancyWeight bounds the weight of a pair.
	maxOccupancyWeight = 2
)

// An OccupancyModel learns which kinds of work take capacity from which others.
// It models a tail latency as that of a queue: the tail latency on an idle host
// divided by the free part of the capacity. Each aggressor takes a weight times
// its share of the victim's capacity, so that the same aggressor has a small
// effect on an idle victim and a large one on a busy victim. The weights result
// from a regularised least squares fit over all aggressors of a victim together,
// which takes some seconds to converge. The zero value is an empty model.
type OccupancyModel struct {
	victims map[fleet.Kind]*normalEquations
	// aggressors holds the aggressors of all victims, sorted.
	aggressors []fleet.Kind
}

// normalEquations holds the equations a·w = b of the least squares fit of one victim.
type normalEquations struct {
	// idleTail is the lowest tail latency observed.
	idleTail time.Duration
	// columns maps an aggressor to its index, aggressors an index to its aggressor.
	columns    map[fleet.Kind]int
	aggressors []fleet.Kind
	a          [][]float64
	b          []float64
	// w holds the weights; they are up to date while solved is set.
	w      []float64
	solved bool
	// evidence is that of all observations, unsolvedEvidence that of those since the weights were computed.
	evidence, unsolvedEvidence float64
}

// equations returns the equations of a victim and creates them on first use.
func (c *OccupancyModel) equations(k fleet.Kind) *normalEquations {
	if c.victims == nil {
		c.victims = map[fleet.Kind]*normalEquations{}
	}
	n := c.victims[k]
	if n == nil {
		n = &normalEquations{columns: map[fleet.Kind]int{}}
		c.victims[k] = n
	}
	return n
}

// addAggressor adds an aggressor to n, with the prior as its evidence, and returns its index.
func (c *OccupancyModel) addAggressor(n *normalEquations, k fleet.Kind) int {
	if at, known := slices.BinarySearch(c.aggressors, k); !known {
		c.aggressors = slices.Insert(c.aggressors, at, k)
	}
	i := len(n.aggressors)
	n.aggressors = append(n.aggressors, k)
	n.columns[k] = i
	for j := range n.a {
		n.a[j] = append(n.a[j], 0)
	}
	n.a = append(n.a, make([]float64, i+1))
	n.a[i][i] = priorEvidence
	n.b = append(n.b, priorEvidence*PriorWeight)
	n.solved = false
	return i
}

func (n *normalEquations) occupancy(tail time.Duration) float64 { return Occupancy(n.idleTail, tail) }

// solve computes the weights by Gaussian elimination. It needs no pivoting, as the
// matrix is positive definite.
func (n *normalEquations) solve() {
	if n.solved {
		return
	}
	size := len(n.b)
	m := make([][]float64, size)
	for i := range m {
		m[i] = append(append(make([]float64, 0, size+1), n.a[i]...), n.b[i])
	}
	for i := range m {
		for k := i + 1; k < size; k++ {
			f := m[k][i] / m[i][i]
			if f == 0 {
				continue
			}
			for j := i; j <= size; j++ {
				m[k][j] -= f * m[i][j]
			}
		}
	}
	n.w = make([]float64, size)
	for i := size - 1; i >= 0; i-- {
		v := m[i][size]
		for j := i + 1; j < size; j++ {
			v -= m[i][j] * n.w[j]
		}
		n.w[i] = v / m[i][i]
	}
	n.solved, n.unsolvedEvidence = true, 0
}

// IdleTail returns the lowest tail latency observed of the victim, or 0.
func (c *OccupancyModel) IdleTail(victim fleet.Kind) time.Duration {
	if n := c.victims[victim]; n != nil {
		return n.idleTail
	}
	return 0
}

// Occupancy returns the part of the victim's capacity that is taken at a tail
// latency, from 0 to 1.
func (c *OccupancyModel) Occupancy(victim fleet.Kind, tail time.Duration) float64 {
	if n := c.victims[victim]; n != nil {
		return n.occupancy(tail)
	}
	return 0
}

// Weight returns the occupancy of the victim that a share of 1 of the aggressor adds.
func (c *OccupancyModel) Weight(victim, aggressor fleet.Kind) float64 {
	n := c.victims[victim]
	if n == nil {
		return PriorWeight
	}
	i, ok := n.columns[aggressor]
	if !ok {
		return PriorWeight
	}
	n.solve()
	return min(max(n.w[i], 0), maxOccupancyWeight)
}

// Aggressors returns the aggressors of all victims, sorted. The caller must not
// modify the slice.
func (c *OccupancyModel) Aggressors() []fleet.Kind { return c.aggressors }

// IdleTails returns the lowest tail latency observed of each victim.
func (c *OccupancyModel) IdleTails() map[fleet.Kind]time.Duration {
	out := make(map[fleet.Kind]time.Duration, len(c.victims))
	for k, n := range c.victims {
		out[k] = n.idleTail
	}
	return out
}

// maxImportedEvidence bounds the evidence of an imported pair, in windows at a
// share of 1, so that some seconds of own windows outweigh it.
const maxImportedEvidence = 3

// Import adds the estimates of another model for pairs that are unknown here,
// and takes over its lower idle tail latencies.
func (c *OccupancyModel) Import(estimates []Estimate, idleTails map[fleet.Kind]time.Duration) {
	for k, d := range idleTails {
		if n := c.equations(k); d > 0 && (n.idleTail == 0 || d < n.idleTail) {
			n.idleTail = d
		}
	}
	for _, e := range estimates {
		n := c.equations(e.Victim)
		if _, known := n.columns[e.Aggressor]; known || !e.valid() || len(n.aggressors) >= maxAggressors {
			continue
		}
		i := c.addAggressor(n, e.Aggressor)
		v := min(float64(e.Evidence), maxImportedEvidence)
		n.a[i][i] += v
		n.b[i] += v * float64(e.Weight)
	}
}

// Estimates returns up to n estimates, those with the most evidence first.
func (c *OccupancyModel) Estimates(now time.Time, n int) []Estimate {
	var out []Estimate
	for v, x := range c.victims {
		for i, d := range x.aggressors {
			out = append(out, Estimate{
				Pair: Pair{Victim: v, Aggressor: d}, Weight: float32(c.Weight(v, d)),
				Evidence: float32(x.a[i][i] - priorEvidence), Seen: now.Unix(),
			})
		}
	}
	slices.SortFunc(out, func(a, b Estimate) int {
		if c := cmp.Compare(b.Evidence, a.Evidence); c != 0 {
			return c
		}
		if a.before(b) {
			return -1
		}
		return 1
	})
	return out[:min(n, len(out))]
}
