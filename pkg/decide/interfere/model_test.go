package interfere

import (
	"flag"
	"math"
	"math/rand/v2"
	"reflect"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"pgregory.net/rapid"

	"github.com/sesamestream/sesamestream/pkg/decide/place"
	"github.com/sesamestream/sesamestream/pkg/fleet"
)

func init() { _ = flag.Set("rapid.seed", "7") }

var _ place.Interference = (*FleetView)(nil)

// interferenceThreshold lies between no interference and that of the weakest
// planted pair at half a host.
const interferenceThreshold = 0.26

var kinds = []fleet.Kind{"alert", "lookup", "forecast", "dossier"}

// plantedWeights draws the actual interference weights of the kinds.
func plantedWeights(r *rand.Rand) map[Pair]float64 {
	w := map[Pair]float64{}
	for _, v := range kinds[:2] {
		w[Pair{v, kinds[2+r.IntN(2)]}] = 1.5 + r.Float64()
	}
	return w
}

// drawWindow draws the shares of the kinds that are colocated with v, and the
// resulting tail latency of v.
func drawWindow(r *rand.Rand, v fleet.Kind, w map[Pair]float64) (time.Duration, Shares) {
	s := Shares{}
	for _, k := range kinds {
		if k != v && r.IntN(2) == 0 {
			s[k] = 0.1 + 0.4*r.Float64()
		}
	}
	y := math.Log(0.02) + 0.2*r.NormFloat64()
	for k, x := range s {
		y += w[Pair{v, k}] * x
	}
	return time.Duration(math.Exp(y) * float64(time.Second)), s
}

// TestInterferingPairsAreLearned plants interfering pairs under noise. It checks
// that the merged models of several hosts separate them from harmless pairs,
// whatever the order of the merges.
func TestInterferingPairsAreLearned(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := rand.New(rand.NewPCG(7, rapid.Uint64().Draw(t, "seed")))
		w := plantedWeights(r)
		now := time.Unix(1e9, 0)
		hosts := []*LatencyModel{{}, {}, {}}
		for range 600 {
			now = now.Add(10 * time.Second)
			for _, m := range hosts {
				v := kinds[r.IntN(2)]
				tail, s := drawWindow(r, v, w)
				m.Observe(now, v, tail, s)
			}
		}
		a, b := &LatencyModel{}, &LatencyModel{}
		for i := range hosts {
			a.Merge(now, hosts[i].Estimates(now, 100))
			b.Merge(now, hosts[len(hosts)-1-i].Estimates(now, 100))
			b.Merge(now, hosts[0].Estimates(now, 100))
		}
		if !reflect.DeepEqual(a.pairs, b.pairs) {
			t.Fatalf("merges in different orders differ: %v, %v", a.pairs, b.pairs)
		}
		for _, v := range kinds[:2] {
			for _, d := range kinds[2:] {
				h := a.Interference(now, v, d, 0.5)
				if planted := w[Pair{v, d}] > 0; planted != (h > interferenceThreshold) {
					t.Fatalf("%s by %s: interference %.2f, planted %v", v, d, h, planted)
				}
			}
		}
		if h := a.Interference(now.Add(30*evidenceHalfLife), "alert", "forecast", 1); h > 0.05 {
			t.Fatalf("interference %.2f after a month without evidence", h)
		}
	})
}

// TestLatencyModelIsBounded observes more pairs than a model holds.
func TestLatencyModelIsBounded(t *testing.T) {
	m := &LatencyModel{}
	now := time.Unix(1e9, 0)
	for i := range MaxPairs + 100 {
		m.Observe(now, "alert", time.Second, Shares{fleet.Kind(rune(0x4e00 + i)): 0.5})
	}
	b, err := cbor.Marshal(m.Estimates(now, 100))
	if len(m.pairs) != MaxPairs || err != nil || len(b) > 100*40 {
		t.Fatalf("%d pairs, %d bytes for 100, %v", len(m.pairs), len(b), err)
	}
}
