package interfere

import (
	"math"
	"time"

	"github.com/sesamestream/sesamestream/pkg/fleet"
)

// A Lesson is what a host has to know of the images that run on it.
type Lesson struct {
	// Entries are the pairs of images that run beside each other there.
	Entries []Entry
	// Idle is the least tail of each victim.
	Idle map[fleet.Kind]time.Duration
}

const (
	// weightStep is the change of a weight that is worth a message: it moves a pace by some percent.
	weightStep = 0.02
	// idleStep is the change of a least tail that is worth one, as a share of it.
	idleStep = 0.05
)

// Covers reports whether a host that was taught l knows all that m says, near enough.
func (l Lesson) Covers(m Lesson) bool {
	known := make(map[Pair]float32, len(l.Entries))
	for _, e := range l.Entries {
		known[e.Pair] = e.Weight
	}
	for _, e := range m.Entries {
		w, ok := known[e.Pair]
		if !ok || math.Abs(float64(w-e.Weight)) > weightStep {
			return false
		}
	}
	for k, d := range m.Idle {
		if math.Abs(float64(l.Idle[k]-d)) > idleStep*float64(d) {
			return false
		}
	}
	return true
}
