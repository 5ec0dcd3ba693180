package interfere

import (
	"math"
	"time"

	"github.com/sesamestream/sesamestream/pkg/fleet"
)

// An EstimateSet holds the interference estimates that are sent to a host or to the
// next scheduler.
type EstimateSet struct {
	// Estimates are the estimates of pairs of images; those sent to a host cover
	// the images colocated on it.
	Estimates []Estimate
	// IdleTails is the lowest tail latency observed of each victim.
	IdleTails map[fleet.Kind]time.Duration
}

const (
	// minWeightChange is the smallest change of a weight that has to be sent. It
	// changes a pace by some percent.
	minWeightChange = 0.02
	// minIdleTailChange is the smallest change of an idle tail latency that has to
	// be sent, as a share of it.
	minIdleTailChange = 0.05
)

// Covers reports whether l contains all estimates of m, up to minWeightChange and
// minIdleTailChange, so that m need not be sent to a host that has l.
func (l EstimateSet) Covers(m EstimateSet) bool {
	known := make(map[Pair]float32, len(l.Estimates))
	for _, e := range l.Estimates {
		known[e.Pair] = e.Weight
	}
	for _, e := range m.Estimates {
		w, ok := known[e.Pair]
		if !ok || math.Abs(float64(w-e.Weight)) > minWeightChange {
			return false
		}
	}
	for k, d := range m.IdleTails {
		if math.Abs(float64(l.IdleTails[k]-d)) > minIdleTailChange*float64(d) {
			return false
		}
	}
	return true
}
