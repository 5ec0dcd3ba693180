package interfere

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sesamestream/sesamestream/pkg/fleet"
)

// Estimates are sent to a host again only if they differ from those sent before.
func TestEstimateSetCovers(t *testing.T) {
	estimate := func(v, d fleet.Kind, w float32) Estimate {
		return Estimate{Pair: Pair{Victim: v, Aggressor: d}, Weight: w}
	}
	idle := func(d time.Duration) map[fleet.Kind]time.Duration { return map[fleet.Kind]time.Duration{"v": d} }
	const ms = time.Millisecond
	for name, c := range map[string]struct {
		before, now EstimateSet
		want        bool
	}{
		"no estimates":                  {EstimateSet{}, EstimateSet{}, true},
		"a new pair":                    {EstimateSet{}, EstimateSet{Estimates: []Estimate{estimate("v", "d", 0.3)}}, false},
		"a pair that was removed":       {EstimateSet{Estimates: []Estimate{estimate("v", "d", 0.3)}}, EstimateSet{}, true},
		"a weight within the tolerance": {EstimateSet{Estimates: []Estimate{estimate("v", "d", 0.3)}}, EstimateSet{Estimates: []Estimate{estimate("v", "d", 0.31)}}, true},
		"a changed weight":              {EstimateSet{Estimates: []Estimate{estimate("v", "d", 0.3)}}, EstimateSet{Estimates: []Estimate{estimate("v", "d", 0.4)}}, false},
		"a lower idle tail":             {EstimateSet{IdleTails: idle(12 * ms)}, EstimateSet{IdleTails: idle(10 * ms)}, false},
		"a first idle tail":             {EstimateSet{}, EstimateSet{IdleTails: idle(10 * ms)}, false},
	} {
		t.Run(name, func(t *testing.T) {
			NewWithT(t).Expect(c.before.Covers(c.now)).To(Equal(c.want))
		})
	}
}
