package interfere

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/sesamestream/sesamestream/pkg/fleet"
)

// evidence returns the evidence of e at now, after its decay.
func (e Estimate) evidence(now time.Time) float64 {
	age := max(now.Sub(time.Unix(e.Seen, 0)), 0)
	return float64(e.Evidence) * math.Exp2(-age.Hours()/halfLife.Hours())
}

// stronger reports whether e has more evidence than o, both decayed to the
// same time, with ties broken in one way everywhere.
func (e Estimate) stronger(o Estimate) bool {
	at := time.Unix(max(e.Seen, o.Seen), 0)
	return cmp.Or(
		cmp.Compare(e.evidence(at), o.evidence(at)),
		cmp.Compare(e.Seen, o.Seen),
		cmp.Compare(e.Weight, o.Weight),
	) > 0
}

func (e Estimate) before(o Estimate) bool {
	return cmp.Or(cmp.Compare(e.Victim, o.Victim), cmp.Compare(e.Aggressor, o.Aggressor)) < 0
}

func (e Estimate) valid() bool {
	return e.Weight >= 0 && e.Weight <= maxWeight && e.Evidence >= 0 && !math.IsInf(float64(e.Evidence), 0)
}

// Interference returns how likely a share of the disturber harms the victim: 0 for
// not at all or nothing known, 1 for the worst.
func (m *LatencyModel) Interference(now time.Time, victim, disturber fleet.Kind, share float64) float64 {
	e, ok := m.pairs[Pair{victim, disturber}]
	if !ok {
		return 0
	}
	v := e.evidence(now)
	return (1 - math.Exp(-float64(e.Weight)*share)) * v / (v + sureAt)
}

// Penalty returns the harm of k to and from what runs on a host, 0 for none
// and 1 for the worst; share is what k would use.
func (m *LatencyModel) Penalty(now time.Time, k fleet.Kind, share float64, beside Shares) float64 {
	worst := 0.0
	for o, s := range beside {
		worst = max(worst, m.Interference(now, o, k, share), m.Interference(now, k, o, s))
	}
	return worst
}

// Estimates returns up to n entries, those with the most evidence first.
func (m *LatencyModel) Estimates(now time.Time, n int) []Estimate {
	out := make([]Estimate, 0, len(m.pairs))
	for _, e := range m.pairs {
		out = append(out, e)
	}
	slices.SortFunc(out, func(a, b Estimate) int {
		if c := cmp.Compare(b.evidence(now), a.evidence(now)); c != 0 {
			return c
		}
		if a.before(b) {
			return -1
		}
		return 1
	})
	return out[:min(n, len(out))]
}

// A FleetView is the view of many hosts that placement asks. It implements
// place.Interference. Its fields are set before each use.
type FleetView struct {
	Model *LatencyModel
	// Now is the time of the decisions that follow.
	Now time.Time
	// HostShares returns what runs on a host.
	HostShares func(fleet.ID) Shares
	// KindShare returns what an attempt of a kind uses of a host.
	KindShare func(fleet.Kind) float64
}

// Penalty returns 0 for none and 1 for the worst.
func (f *FleetView) Penalty(k fleet.Kind, on fleet.ID) float64 {
	return f.Model.Penalty(f.Now, k, f.KindShare(k), f.HostShares(on))
}
