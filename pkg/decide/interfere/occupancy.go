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
	// priorDeviation is the standard deviation of the weights of unknown pairs: from none to a strong aggressor.
	priorDeviation = 0.4
	// weightNoise is the deviation by which a weight changes in a second.
	weightNoise = 0.005
	// priorLoad and priorLoadVariance are those of the load of a group without observations.
	priorLoad         = 0.45
	priorLoadVariance = 0.25 * 0.25
	// priorSlopeVariance is the variance of the change of a load per second, and
	// slopeNoise the deviation by which this changes in a second.
	priorSlopeVariance = 0.1 * 0.1
	slopeNoise         = 0.05
	// tailNoise is the relative deviation of a reported tail latency.
	tailNoise = 0.07
	// modelNoise is the deviation of the occupancies from the model.
	modelNoise = 0.03
	// knownVariance is the variance of an expected occupancy from which more evidence changes no decision.
	knownVariance = 0.015 * 0.015
	// maxInnovation bounds the effect of one observation, in standard deviations.
	maxInnovation = 3
	// maxAggressors bounds the aggressors of one victim.
	maxAggressors = 48
	// maxOccupancyWeight bounds the weight of a pair.
	maxOccupancyWeight = 2
	// maxLoadAge bounds the age of the last observation of a load in use.
	maxLoadAge = 2 * time.Second
)

// An OccupancyModel learns which kinds of work take capacity from which others, and
// the load of the victims themselves. It models a tail latency as that of a queue:
// the tail latency on an idle host divided by the free part of the capacity. Each
// aggressor takes a weight times its share of the victim's capacity, so that the
// same aggressor has a small effect on an idle victim and a large one on a busy
// victim. Tasks of the same group G share their load. The zero value is an empty model.
type OccupancyModel[G comparable] struct {
	victims map[fleet.Kind]*victimModel[G]
	// aggressors holds the aggressors of all victims, sorted.
	aggressors []fleet.Kind
}

// victimModel holds what is known of one victim.
type victimModel[G comparable] struct {
	// idleTail is the lowest tail latency observed.
	idleTail time.Duration
	filter   filter
	// rows maps an aggressor to the row of its weight in the filter, groups a group to its load.
	rows       map[fleet.Kind]int
	groups     map[G]*groupLoad
	observedAt time.Time
}

// groupLoad is the load of a group of tasks: its row in the filter and the time that the row stands for.
type groupLoad struct {
	row int
	at  time.Time
}

// victim returns the model of a victim and creates it on first use.
func (c *OccupancyModel[G]) victim(k fleet.Kind) *victimModel[G] {
	if c.victims == nil {
		c.victims = map[fleet.Kind]*victimModel[G]{}
	}
	n := c.victims[k]
	if n == nil {
		n = &victimModel[G]{rows: map[fleet.Kind]int{}, groups: map[G]*groupLoad{}}
		c.victims[k] = n
	}
	return n
}

// addAggressor adds an aggressor to n, with the prior, and returns its row.
func (c *OccupancyModel[G]) addAggressor(n *victimModel[G], k fleet.Kind) int {
	if at, known := slices.BinarySearch(c.aggressors, k); !known {
		c.aggressors = slices.Insert(c.aggressors, at, k)
	}
	n.rows[k] = n.filter.addRow(PriorWeight, priorDeviation*priorDeviation)
	return n.rows[k]
}

func (n *victimModel[G]) occupancy(tail time.Duration) float64 { return Occupancy(n.idleTail, tail) }

// IdleTail returns the lowest tail latency observed of the victim, or 0.
func (c *OccupancyModel[G]) IdleTail(victim fleet.Kind) time.Duration {
	if n := c.victims[victim]; n != nil {
		return n.idleTail
	}
	return 0
}

// Occupancy returns the part of the victim's capacity that is taken at a tail
// latency, from 0 to 1.
func (c *OccupancyModel[G]) Occupancy(victim fleet.Kind, tail time.Duration) float64 {
	if n := c.victims[victim]; n != nil {
		return n.occupancy(tail)
	}
	return 0
}

// Weight returns the occupancy of the victim that a share of 1 of the aggressor adds.
func (c *OccupancyModel[G]) Weight(victim, aggressor fleet.Kind) float64 {
	n := c.victims[victim]
	if n == nil {
		return PriorWeight
	}
	i, ok := n.rows[aggressor]
	if !ok {
		return PriorWeight
	}
	return min(max(n.filter.mean[i], 0), maxOccupancyWeight)
}

// Aggressors returns the aggressors of all victims, sorted. The caller must not
// modify the slice.
func (c *OccupancyModel[G]) Aggressors() []fleet.Kind { return c.aggressors }

// IdleTails returns the lowest tail latency observed of each victim.
func (c *OccupancyModel[G]) IdleTails() map[fleet.Kind]time.Duration {
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
func (c *OccupancyModel[G]) Import(estimates []Estimate, idleTails map[fleet.Kind]time.Duration) {
	for k, d := range idleTails {
		if n := c.victim(k); d > 0 && (n.idleTail == 0 || d < n.idleTail) {
			n.idleTail = d
		}
	}
	for _, e := range estimates {
		n := c.victim(e.Victim)
		if _, known := n.rows[e.Aggressor]; known || !e.valid() || len(n.rows) >= maxAggressors {
			continue
		}
		i := c.addAggressor(n, e.Aggressor)
		f := &n.filter
		f.mean[i] = float64(e.Weight)
		f.covariance[i][i] = varianceOf(min(float64(e.Evidence), maxImportedEvidence))
	}
}

// Estimates returns up to n estimates, those with the most evidence first.
func (c *OccupancyModel[G]) Estimates(now time.Time, n int) []Estimate {
	var out []Estimate
	for v, x := range c.victims {
		for d, i := range x.rows {
			out = append(out, Estimate{
				Pair: Pair{Victim: v, Aggressor: d}, Weight: float32(c.Weight(v, d)),
				Evidence: float32(evidenceOf(x.filter.covariance[i][i])), Seen: now.Unix(),
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

// evidenceOf returns the evidence behind a weight, in observations at a share of 1,
// from its variance; varianceOf is its inverse.
func evidenceOf(variance float64) float64 {
	return max(modelNoise*modelNoise*(1/variance-1/(priorDeviation*priorDeviation)), 0)
}

func varianceOf(evidence float64) float64 {
	return 1 / (evidence/(modelNoise*modelNoise) + 1/(priorDeviation*priorDeviation))
}
