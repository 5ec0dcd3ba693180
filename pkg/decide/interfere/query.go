package interfere

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/sesamestream/sesamestream/pkg/fleet"
)

// evidenceAt returns the evidence of e after its decay up to now.
func (e Estimate) evidenceAt(now time.Time) float64 {
	age := max(now.Sub(time.Unix(e.Seen, 0)), 0)
	return float64(e.Evidence) * math.Exp2(-age.Hours()/evidenceHalfLife.Hours())
}

// supersedes reports whether e has more evidence than o, both decayed to the
// same time. All hosts break ties in the same way.
func (e Estimate) supersedes(o Estimate) bool {
	at := time.Unix(max(e.Seen, o.Seen), 0)
	return cmp.Or(
		cmp.Compare(e.evidenceAt(at), o.evidenceAt(at)),
		cmp.Compare(e.Seen, o.Seen),
		cmp.Compare(e.Weight, o.Weight),
	) > 0
}

// before orders estimates by victim and aggressor.
func (e Estimate) before(o Estimate) bool {
	return cmp.Or(cmp.Compare(e.Victim, o.Victim), cmp.Compare(e.Aggressor, o.Aggressor)) < 0
}

// valid reports whether the weight and the evidence of e are within their bounds.
func (e Estimate) valid() bool {
	return e.Weight >= 0 && e.Weight <= maxWeight && e.Evidence >= 0 && !math.IsInf(float64(e.Evidence), 0)
}

// Interference returns the estimated interference of a share of the aggressor with
// the victim, scaled by its confidence, from 0 for none or unknown to 1 for the worst.
func (m *LatencyModel) Interference(now time.Time, victim, aggressor fleet.Kind, share float64) float64 {
	e, ok := m.pairs[Pair{victim, aggressor}]
	if !ok {
		return 0
	}
	v := e.evidenceAt(now)
	return (1 - math.Exp(-float64(e.Weight)*share)) * v / (v + halfConfidenceEvidence)
}

// Penalty returns the worst interference between k, which would use share, and the
// kinds on a host in both directions, from 0 for none to 1 for the worst.
func (m *LatencyModel) Penalty(now time.Time, k fleet.Kind, share float64, colocated Shares) float64 {
	worst := 0.0
	for o, s := range colocated {
		worst = max(worst, m.Interference(now, o, k, share), m.Interference(now, k, o, s))
	}
	return worst
}

// Estimates returns up to n estimates, those with the most evidence first.
func (m *LatencyModel) Estimates(now time.Time, n int) []Estimate {
	out := make([]Estimate, 0, len(m.pairs))
	for _, e := range m.pairs {
		out = append(out, e)
	}
	slices.SortFunc(out, func(a, b Estimate) int {
		if c := cmp.Compare(b.evidenceAt(now), a.evidenceAt(now)); c != 0 {
			return c
		}
		if a.before(b) {
			return -1
		}
		return 1
	})
	return out[:min(n, len(out))]
}

// A FleetView computes interference penalties over many hosts for placement. It
// implements place.Interference. Its fields are set before each use.
type FleetView struct {
	Model *LatencyModel
	// Now is the time of the placement decisions.
	Now time.Time
	// HostShares returns the shares of the kinds on a host.
	HostShares func(fleet.ID) Shares
	// KindShare returns the share of a host's processors that an attempt of a kind uses.
	KindShare func(fleet.Kind) float64
}

// Penalty returns the interference penalty of placing k on a host, from 0 for none
// to 1 for the worst.
func (f *FleetView) Penalty(k fleet.Kind, on fleet.ID) float64 {
	return f.Model.Penalty(f.Now, k, f.KindShare(k), f.HostShares(on))
}
