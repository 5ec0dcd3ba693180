// Package interfere learns which kinds of work interfere with which others on
// one host, and decides how a host reacts while a kind exceeds its latency budget.
//
// A LatencyModel takes the logarithm of a kind's tail latency as the sum of a
// baseline and, for each colocated kind, a weight times the share of the
// processors that the colocated kind uses. The weights are learned by normalised
// least mean squares (Widrow and Hoff). The step size falls with the evidence, so
// that a host needs only its own windows, which are reported late.
package interfere

import (
	"math"
	"time"

	"github.com/sesamestream/sesamestream/pkg/fleet"
)

// The parameters of a LatencyModel.
const (
	// maxWeightEvidence and maxBaselineWindows bound the evidence that reduces the
	// step size, so that the model keeps following shifts of the load.
	maxWeightEvidence  = 12
	maxBaselineWindows = 40
	// maxWeight bounds the weight of a pair.
	maxWeight = 4
	// evidenceHalfLife is the time after which evidence counts half.
	evidenceHalfLife = 24 * time.Hour
	// halfConfidenceEvidence is the evidence at which a weight counts half, in
	// windows in which the aggressor uses all processors.
	halfConfidenceEvidence = 2
	// MaxPairs bounds the pairs that a LatencyModel holds and that are sent to others.
	MaxPairs = 2048
)

// A Pair names a victim and an aggressor that interferes with it.
type Pair struct {
	Victim    fleet.Kind `cbor:"1,keyasint"`
	Aggressor fleet.Kind `cbor:"2,keyasint"`
}

// An Estimate is the estimated interference of one pair.
type Estimate struct {
	Pair
	// Weight is the effect of an aggressor with a share of 1. In a LatencyModel it
	// is the increase of the logarithm of the victim's tail latency, in an
	// OccupancyModel that of the victim's occupancy.
	Weight float32 `cbor:"3,keyasint"`
	// Evidence is the number of windows, weighted by the squared share, as of Seen.
	Evidence float32 `cbor:"4,keyasint"`
	// Seen is the Unix time of the last update in seconds.
	Seen int64 `cbor:"5,keyasint"`
}

// Shares holds the share of a host's processors that each kind on it uses.
type Shares map[fleet.Kind]float64

// A LatencyModel estimates the effect of pairs of kinds on tail latencies. The zero
// value is an empty model.
type LatencyModel struct {
	pairs     map[Pair]Estimate
	baselines map[fleet.Kind]baseline
}

// A baseline is the tail latency of a kind without colocated kinds.
type baseline struct {
	// logTail is the logarithm of the tail latency in seconds.
	logTail float64
	// windows is the number of windows observed, up to maxBaselineWindows.
	windows float64
}

// Observe updates the model with one window: the tail latency of victim and the
// shares of the colocated kinds.
func (m *LatencyModel) Observe(now time.Time, victim fleet.Kind, tail time.Duration, shares Shares) {
	if tail <= 0 {
		return
	}
	if m.pairs == nil {
		m.pairs = make(map[Pair]Estimate)
		m.baselines = make(map[fleet.Kind]baseline)
	}
	y := math.Log(tail.Seconds())
	base := m.baselines[victim]
	if base.windows == 0 {
		base.logTail = y
	}
	residual := y - base.logTail
	norm := 1.0
	for k, s := range shares {
		residual -= float64(m.pairs[Pair{victim, k}].Weight) * s
		norm += s * s
	}
	base.windows = min(base.windows+1, maxBaselineWindows)
	base.logTail += residual / norm / base.windows
	m.baselines[victim] = base
	for k, s := range shares {
		if k != victim && s > 0 {
			m.adjustWeight(now, Pair{victim, k}, residual*s/norm, s*s)
		}
	}
}

// adjustWeight changes the weight of a pair by a part of correction, which is
// smaller the more evidence there is.
func (m *LatencyModel) adjustWeight(now time.Time, p Pair, correction, evidence float64) {
	e, known := m.pairs[p]
	if !known && len(m.pairs) >= MaxPairs {
		m.dropWeakest(now)
	}
	e.Pair = p
	old := e.evidenceAt(now)
	correction /= 1 + min(old, maxWeightEvidence)
	e.Evidence = float32(old + evidence)
	e.Weight = float32(min(max(float64(e.Weight)+correction, 0), maxWeight))
	e.Seen = now.Unix()
	m.pairs[p] = e
}

// dropWeakest removes the pair with the least evidence.
func (m *LatencyModel) dropWeakest(now time.Time) {
	var weakest Estimate
	least := math.Inf(1)
	for _, e := range m.pairs {
		v := e.evidenceAt(now)
		if v < least || v == least && e.before(weakest) {
			least = v
			weakest = e
		}
	}
	delete(m.pairs, weakest.Pair)
}

// Merge adds the estimates of another host. For each pair, the estimate with
// more evidence is kept, so that merging is idempotent and independent of order.
func (m *LatencyModel) Merge(now time.Time, estimates []Estimate) {
	if m.pairs == nil {
		m.pairs = make(map[Pair]Estimate)
		m.baselines = make(map[fleet.Kind]baseline)
	}
	for _, e := range estimates {
		if !e.valid() {
			continue
		}
		own, known := m.pairs[e.Pair]
		if known && !e.supersedes(own) {
			continue
		}
		if !known && len(m.pairs) >= MaxPairs {
			m.dropWeakest(now)
		}
		m.pairs[e.Pair] = e
	}
}
