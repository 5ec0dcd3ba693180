package interfere

import (
	"math"
	"time"

	"github.com/sesamestream/sesamestream/pkg/fleet"
)

// A EstimateSet is what a host has to know of the images that run on it.
type EstimateSet struct {
	// Estimates are the pairs of images that run beside each other there.
	Estimates []Estimate
	// IdleTails is the least tail of each victim.
	IdleTails map[fleet.Kind]time.Duration
}

const (
	// weightStep is the change of a weight that is worth a message: it moves a pace by some percent.
	weightStep = 0.02
	// idleStep is the change of a least tail that is worth one, as a share of it.
	idleStep = 0.05
)

// Covers reports whether a host that was taught l knows all that m says, near enough.
func (l EstimateSet) Covers(m EstimateSet) bool {
	known := make(map[Pair]float32, len(l.Estimates))
	for _, e := range l.Estimates {
		known[e.Pair] = e.Weight
	}
	for _, e := range m.Estimates {
		w, ok := known[e.Pair]
		if !ok || math.Abs(float64(w-e.Weight)) > weightStep {
			return false
		}
	}
	for k, d := range m.IdleTails {
		if math.Abs(float64(l.IdleTails[k]-d)) > idleStep*float64(d) {
			return false
		}
	}
	return true
}
