// Package interfere learns which kinds of work disturb which others on one
// host, and decides what a host does while a kind's latency budget burns.
//
// The logarithm of a kind's tail latency is taken as a base of its own plus,
// for each kind beside it, a weight times the share of the processors that the
// kind beside it uses. The weights are learned by normalised least mean squares
// (Widrow and Hoff) with a step that falls with the evidence, so that no host needs more than its own lagging windows.
package interfere

import (
	"math"
	"time"

	"github.com/sesamestream/sesamestream/pkg/fleet"
)

// The parameters of learning.
const (
	// trackWeight and trackBase bound the evidence that slows corrections, so
	// that shifts of the load are still followed.
	trackWeight = 12
	trackBase   = 40
	// maxWeight bounds what one kind does to another.
	maxWeight = 4
	// halfLife is how long evidence counts half.
	halfLife = 24 * time.Hour
	// sureAt is the evidence, in windows of a full host, at which a weight counts half.
	sureAt = 2
	// MaxPairs bounds what a Model holds and shares.
	MaxPairs = 2048
)

// A Pair names who is disturbed and by whom.
type Pair struct {
	Victim    fleet.Kind `cbor:"1,keyasint"`
	Aggressor fleet.Kind `cbor:"2,keyasint"`
}

// An Estimate is what is known of one pair.
type Estimate struct {
	Pair
	// Weight is how much the logarithm of the victim's latency grows while the
	// disturber uses all processors.
	Weight float32 `cbor:"3,keyasint"`
	// Evidence counts windows, weighted by the share squared, at Seen.
	Evidence float32 `cbor:"4,keyasint"`
	// Seen is in seconds since 1970.
	Seen int64 `cbor:"5,keyasint"`
}

// Shares are the parts of a host's processors that the kinds on it use.
type Shares map[fleet.Kind]float64

// A LatencyModel knows pairs of kinds. Its zero value knows none.
type LatencyModel struct {
	pairs map[Pair]Estimate
	base  map[fleet.Kind]level
}

// A level is the logarithm of a kind's tail latency with nothing beside it.
type level struct {
	value   float64
	windows float64
}

// Observe learns from one window: the tail latency of victim while the kinds
// beside it had shares.
func (m *LatencyModel) Observe(now time.Time, victim fleet.Kind, tail time.Duration, shares Shares) {
	if tail <= 0 {
		return
	}
	if m.pairs == nil {
		m.pairs = make(map[Pair]Estimate)
		m.base = make(map[fleet.Kind]level)
	}
	y := math.Log(tail.Seconds())
	base := m.base[victim]
	if base.windows == 0 {
		base.value = y
	}
	wrong := y - base.value
	norm := 1.0
	for k, s := range shares {
		wrong -= float64(m.pairs[Pair{victim, k}].Weight) * s
		norm += s * s
	}
	base.windows = min(base.windows+1, trackBase)
	base.value += wrong / norm / base.windows
	m.base[victim] = base
	for k, s := range shares {
		if k != victim && s > 0 {
			m.correct(now, Pair{victim, k}, wrong*s/norm, s*s)
		}
	}
}

// correct moves a weight by a part of by, a smaller one the more is known.
func (m *LatencyModel) correct(now time.Time, p Pair, by, evidence float64) {
	e, known := m.pairs[p]
	if !known && len(m.pairs) >= MaxPairs {
		m.dropWeakest(now)
	}
	e.Pair = p
	old := e.evidence(now)
	by /= 1 + min(old, trackWeight)
	e.Evidence = float32(old + evidence)
	e.Weight = float32(min(max(float64(e.Weight)+by, 0), maxWeight))
	e.Seen = now.Unix()
	m.pairs[p] = e
}

func (m *LatencyModel) dropWeakest(now time.Time) {
	var weakest Estimate
	least := math.Inf(1)
	for _, e := range m.pairs {
		v := e.evidence(now)
		if v < least || v == least && e.before(weakest) {
			least = v
			weakest = e
		}
	}
	delete(m.pairs, weakest.Pair)
}

// Merge takes what another host knows: of each pair the entry with more
// evidence stays, so that repeating or reordering merges changes nothing.
func (m *LatencyModel) Merge(now time.Time, entries []Estimate) {
	if m.pairs == nil {
		m.pairs = make(map[Pair]Estimate)
		m.base = make(map[fleet.Kind]level)
	}
	for _, e := range entries {
		if !e.valid() {
			continue
		}
		mine, known := m.pairs[e.Pair]
		if known && !e.stronger(mine) {
			continue
		}
		if !known && len(m.pairs) >= MaxPairs {
			m.dropWeakest(now)
		}
		m.pairs[e.Pair] = e
	}
}
