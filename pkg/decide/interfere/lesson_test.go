package interfere

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sesamestream/sesamestream/pkg/fleet"
)

// A host is told again only of what it can't know from before.
func TestEstimateSetCovers(t *testing.T) {
	entry := func(v, d fleet.Kind, w float32) Estimate {
		return Estimate{Pair: Pair{Victim: v, Aggressor: d}, Weight: w}
	}
	idle := func(d time.Duration) map[fleet.Kind]time.Duration { return map[fleet.Kind]time.Duration{"v": d} }
	const ms = time.Millisecond
	for name, c := range map[string]struct {
		before, now EstimateSet
		want        bool
	}{
		"nothing to know":        {EstimateSet{}, EstimateSet{}, true},
		"a new pair":             {EstimateSet{}, EstimateSet{Estimates: []Estimate{entry("v", "d", 0.3)}}, false},
		"a pair that went":       {EstimateSet{Estimates: []Estimate{entry("v", "d", 0.3)}}, EstimateSet{}, true},
		"about the same":         {EstimateSet{Estimates: []Estimate{entry("v", "d", 0.3)}}, EstimateSet{Estimates: []Estimate{entry("v", "d", 0.31)}}, true},
		"another weight":         {EstimateSet{Estimates: []Estimate{entry("v", "d", 0.3)}}, EstimateSet{Estimates: []Estimate{entry("v", "d", 0.4)}}, false},
		"a least tail that fell": {EstimateSet{IdleTails: idle(12 * ms)}, EstimateSet{IdleTails: idle(10 * ms)}, false},
		"a first least tail":     {EstimateSet{}, EstimateSet{IdleTails: idle(10 * ms)}, false},
	} {
		t.Run(name, func(t *testing.T) {
			NewWithT(t).Expect(c.before.Covers(c.now)).To(Equal(c.want))
		})
	}
}
