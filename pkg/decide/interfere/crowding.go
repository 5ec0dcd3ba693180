package interfere

import (
	"cmp"
	"slices"
	"time"

	"github.com/sesamestream/sesamestream/pkg/fleet"
)

// MilliCPUPerShare is the processor time that counts as a share of 1 in a
// Crowding, in thousandths of a core: about that of two tasks.
const MilliCPUPerShare = 4000

// PriorWeight is the weight of a pair of which nothing is known: half that of a strong disturber.
const PriorWeight = 0.25

// Occupancy returns how much of its room a victim with a tail lacks, from 0 to
// 1, where idle is its tail on an idle host.
func Occupancy(idle, tail time.Duration) float64 {
	if idle == 0 || tail <= idle {
		return 0
	}
	return 1 - float64(idle)/float64(tail)
}

// SaturatedOccupancy is the occupancy from which a tail tells only that there's no room left, not how much is missing.
const SaturatedOccupancy = 0.93

// The parameters of a Crowding.
const (
	// priorEvidence is how much the prior counts, in windows at a share of 1.
	priorEvidence = 0.3
	// keep is the part of the evidence that each window leaves, so that changes are followed in about a thousand windows.
	keep = 0.999
	// maxDisturbers bounds the disturbers of one victim.
	maxDisturbers = 48
	// maxCrowding bounds a weight.
	maxCrowding = 2
)

// A OccupancyModel learns which kinds of work take room from which others. It reads
// a tail latency as that of a queue: the latency of an idle host divided by
// the room that is left. What is left of a victim's room falls by a weight
// times the share of each disturber, so that the same disturber does little
// beside an idle victim and much beside a busy one. The weights come from
// regularised least squares over all that runs beside a victim together, and
// are known after some seconds. Its zero value knows nothing.
type OccupancyModel struct {
	victims map[fleet.Kind]*normal
	// disturbers are the names of all columns, in order.
	disturbers []fleet.Kind
}

// normal holds the normal equations of one victim.
type normal struct {
	// idle is the least tail seen.
	idle    time.Duration
	columns map[fleet.Kind]int
	names   []fleet.Kind
	a       [][]float64
	b       []float64
	w       []float64
	solved  bool
}

func (c *OccupancyModel) victim(k fleet.Kind) *normal {
	if c.victims == nil {
		c.victims = map[fleet.Kind]*normal{}
	}
	n := c.victims[k]
	if n == nil {
		n = &normal{columns: map[fleet.Kind]int{}}
		c.victims[k] = n
	}
	return n
}

// add opens a column for a disturber of n.
func (c *OccupancyModel) add(n *normal, k fleet.Kind) int {
	if at, known := slices.BinarySearch(c.disturbers, k); !known {
		c.disturbers = slices.Insert(c.disturbers, at, k)
	}
	i := len(n.names)
	n.names = append(n.names, k)
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

// Observe learns from one window of a task of the victim: its tail, and what
// its tail would be without those that have shares.
func (c *OccupancyModel) Observe(victim fleet.Kind, tail, alone time.Duration, shares Shares) {
	if tail <= 0 || alone <= 0 {
		return
	}
	n := c.victim(victim)
	if least := min(tail, alone); n.idle == 0 || least < n.idle {
		n.idle = least
	}
	if len(shares) == 0 {
		return
	}
	x := map[int]float64{}
	for k, s := range shares {
		if s <= 0 {
			continue
		}
		i, ok := n.columns[k]
		if !ok {
			if len(n.names) >= maxDisturbers {
				continue
			}
			i = c.add(n, k)
		}
		x[i] = s
	}
	taken := max(n.occupancy(tail)-n.occupancy(alone), 0)
	if n.occupancy(tail) >= SaturatedOccupancy {
		n.solve()
		expected := 0.0
		for i, s := range x {
			expected += n.w[i] * s
		}
		if expected >= taken {
			return
		}
	}
	for i := range n.a {
		for j := range n.a[i] {
			n.a[i][j] *= keep
		}
		n.b[i] *= keep
		// The prior isn't forgotten.
		n.a[i][i] += (1 - keep) * priorEvidence
		n.b[i] += (1 - keep) * priorEvidence * PriorWeight
	}
	for i, u := range x {
		for j, v := range x {
			n.a[i][j] += u * v
		}
		n.b[i] += u * taken
	}
	n.solved = false
}

func (n *normal) occupancy(tail time.Duration) float64 { return Occupancy(n.idle, tail) }

// solve finds the weights by elimination; the matrix is positive definite.
func (n *normal) solve() {
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
	n.solved = true
}

// IdleTail returns the least tail that was seen of the victim, or 0.
func (c *OccupancyModel) IdleTail(victim fleet.Kind) time.Duration {
	if n := c.victims[victim]; n != nil {
		return n.idle
	}
	return 0
}

// Occupancy returns how much of its room a victim with that tail lacks, from 0 to 1.
func (c *OccupancyModel) Occupancy(victim fleet.Kind, tail time.Duration) float64 {
	if n := c.victims[victim]; n != nil {
		return n.occupancy(tail)
	}
	return 0
}

// Weight returns how much of its room a victim loses to a share of the disturber.
func (c *OccupancyModel) Weight(victim, disturber fleet.Kind) float64 {
	n := c.victims[victim]
	if n == nil {
		return PriorWeight
	}
	i, ok := n.columns[disturber]
	if !ok {
		return PriorWeight
	}
	n.solve()
	return min(max(n.w[i], 0), maxCrowding)
}

// Aggressors returns all that was seen beside a victim, in order. The slice is the learner's own.
func (c *OccupancyModel) Aggressors() []fleet.Kind { return c.disturbers }

// IdleTails returns the least tail of each victim.
func (c *OccupancyModel) IdleTails() map[fleet.Kind]time.Duration {
	out := make(map[fleet.Kind]time.Duration, len(c.victims))
	for k, n := range c.victims {
		out[k] = n.idle
	}
	return out
}

// keptEvidence is how much of what another learner knew counts here, in
// windows at a share of 1: some seconds of own windows outweigh it.
const keptEvidence = 3

// Import takes in what another learner knew, as far as nothing is known here.
func (c *OccupancyModel) Import(entries []Estimate, idle map[fleet.Kind]time.Duration) {
	for k, d := range idle {
		if n := c.victim(k); d > 0 && (n.idle == 0 || d < n.idle) {
			n.idle = d
		}
	}
	for _, e := range entries {
		n := c.victim(e.Victim)
		if _, known := n.columns[e.Aggressor]; known || !e.valid() || len(n.names) >= maxDisturbers {
			continue
		}
		i := c.add(n, e.Aggressor)
		v := min(float64(e.Evidence), keptEvidence)
		n.a[i][i] += v
		n.b[i] += v * float64(e.Weight)
	}
}

// Estimates returns up to n pairs, those with the most evidence first.
func (c *OccupancyModel) Estimates(now time.Time, n int) []Estimate {
	var out []Estimate
	for v, x := range c.victims {
		for i, d := range x.names {
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
