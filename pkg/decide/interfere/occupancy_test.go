package interfere

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sesamestream/sesamestream/pkg/fleet"
)

const (
	testWindow   = 500 * time.Millisecond
	testIdleTail = 10 * time.Millisecond
)

// windowTime returns the time of a window.
func windowTime(window int) time.Time {
	return time.Unix(1, 0).Add(time.Duration(window) * testWindow)
}

// tailAt returns the tail latency of a victim at an occupancy.
func tailAt(occupancy float64) time.Duration {
	return time.Duration(float64(testIdleTail) / (1 - min(occupancy, 0.98)))
}

// newTestModel returns a model that knows the idle tail latency of a victim.
func newTestModel() *OccupancyModel[string] {
	c := &OccupancyModel[string]{}
	c.ObserveIdle("victim", testIdleTail)
	return c
}

// The victim's own load varies by half within 14 s, and the aggressors beside it,
// one of them heavy, start and stop. The model has to attribute the tail latency
// to the heavy aggressor within some seconds.
func TestOccupancyModelFindsTheAggressorInSeconds(t *testing.T) {
	g := NewWithT(t)
	r := rand.New(rand.NewPCG(3, 4))
	c := newTestModel()
	const heavy = 0.5
	ownOccupancy := func(window int) float64 { return 0.35 + 0.3*float64(window%28)/28 }
	for window := range 40 {
		shares := Shares{}
		own := ownOccupancy(window)
		taken := own
		for _, k := range []fleet.Kind{"heavy", "light", "other"} {
			if s := r.Float64(); s > 0.4 {
				shares[k] = s * 0.5
				if k == "heavy" {
					taken += heavy * shares[k]
				}
			}
		}
		c.Observe(windowTime(window), "victim", "group", tailAt(taken), shares)
		c.Observe(windowTime(window), "victim", "group", tailAt(own), nil)
	}
	g.Expect(c.Weight("victim", "heavy")).To(BeNumerically(">", 0.3))
	g.Expect(c.Weight("victim", "light")).To(BeNumerically("<", 0.12))
	g.Expect(c.Weight("victim", "unseen")).To(Equal(PriorWeight))
	g.Expect(c.Weight("unseen", "heavy")).To(Equal(PriorWeight))
	g.Expect(c.Aggressors()).To(Equal([]fleet.Kind{"heavy", "light", "other"}))
}

// All tasks of a group have the same aggressors beside them, so that no difference
// between them shows what these take. It shows in how the tail latencies change when
// an aggressor comes and goes, while the load of the group rises and falls slowly.
func TestOccupancyModelLearnsFromChangesOverTime(t *testing.T) {
	g := NewWithT(t)
	r := rand.New(rand.NewPCG(5, 6))
	c := newTestModel()
	const heavy, light = 0.4, 0.02
	load := func(window int) float64 {
		return 0.4 + 0.2*math.Sin(2*math.Pi*float64(window)/28)
	}
	for window := range 60 {
		shares := Shares{}
		if window%9 < 4 {
			shares["heavy"] = 0.5
		}
		if window%7 < 4 {
			shares["light"] = 0.6
		}
		for range 3 {
			u := load(window) + heavy*shares["heavy"] + light*shares["light"]
			tail := time.Duration(float64(tailAt(u)) * (1 + 0.05*r.NormFloat64()))
			c.Observe(windowTime(window), "victim", "group", tail, shares)
		}
	}
	g.Expect(c.Weight("victim", "heavy")).To(BeNumerically("~", heavy, 0.1))
	g.Expect(c.Weight("victim", "light")).To(BeNumerically("~", light, 0.1))
	now := windowTime(59)
	for _, ahead := range []time.Duration{0, testWindow} {
		v, known := c.Load(now, "victim", "group", ahead)
		g.Expect(known).To(BeTrue())
		g.Expect(v).To(BeNumerically("~", load(59+int(ahead/testWindow)), 0.05), "%s ahead", ahead)
	}
	_, known := c.Load(now.Add(time.Minute), "victim", "group", 0)
	g.Expect(known).To(BeFalse(), "a load that wasn't observed for a minute")
}

// Groups come and go. One that is gone must leave the weights and the other loads as
// they were.
func TestOccupancyModelForgetsGroups(t *testing.T) {
	g := NewWithT(t)
	c := newTestModel()
	at := windowTime(0)
	for _, k := range []string{"first", "second"} {
		c.Observe(at, "victim", k, tailAt(0.5), Shares{"d-" + fleet.Kind(k): 0.5})
	}
	at = at.Add(groupRetention)
	c.Observe(at, "victim", "second", tailAt(0.6), Shares{"d-second": 0.5})
	weight := c.Weight("victim", "d-second")
	load, _ := c.Load(at, "victim", "second", 0)
	c.Observe(at, "victim", "third", tailAt(0.6), Shares{"d-third": 0.5})
	n := c.victims["victim"]
	g.Expect(n.groups).To(HaveLen(2))
	g.Expect(n.filter.mean).To(HaveLen(3 + 2*2))
	g.Expect(c.Weight("victim", "d-second")).To(BeNumerically("~", weight, 0.05))
	g.Expect(c.Weight("victim", "d-third")).NotTo(Equal(PriorWeight))
	after, known := c.Load(at, "victim", "second", 0)
	g.Expect(known).To(BeTrue())
	g.Expect(after).To(BeNumerically("~", load, 0.05))
}

// A group that wasn't observed for long has any load when it's seen again, which must
// not be taken for a trend, and must not upset what is known of the aggressors.
func TestOccupancyModelResumesGroups(t *testing.T) {
	g := NewWithT(t)
	c := newTestModel()
	for window := range 20 {
		share := 0.5 * float64(window%2)
		c.Observe(windowTime(window), "victim", "group", tailAt(0.3+0.01*float64(window)+0.4*share), Shares{"d": share})
	}
	weight := c.Weight("victim", "d")
	later := windowTime(20).Add(time.Minute)
	c.Observe(later, "victim", "group", tailAt(0.5), Shares{"d": 0.5})
	g.Expect(c.Weight("victim", "d")).To(BeNumerically("~", weight, 0.15))
	load, known := c.Load(later, "victim", "group", 0)
	g.Expect(known).To(BeTrue())
	g.Expect(load).To(BeNumerically("~", 0.5-0.5*weight, 0.1))
}

// A tail latency far above the idle one shows only that no capacity is left, so
// it must not reduce the weight of an aggressor.
func TestOccupancyModelKeepsWeightsAtSaturation(t *testing.T) {
	g := NewWithT(t)
	c := newTestModel()
	for window := range 20 {
		c.Observe(windowTime(window), "victim", "group", 4*testIdleTail, Shares{"d": 0.5})
		c.Observe(windowTime(window), "victim", "group", testIdleTail, nil)
	}
	before := c.Weight("victim", "d")
	for window := range 20 {
		c.Observe(windowTime(20+window), "victim", "group", 40*testIdleTail, Shares{"d": 0.5})
		c.Observe(windowTime(20+window), "victim", "group", 30*testIdleTail, nil)
	}
	g.Expect(c.Weight("victim", "d")).To(BeNumerically(">=", before))
}

// Estimates of another model are imported for unknown pairs only; pairs that the
// model has learned itself keep their weights.
func TestOccupancyModelImportsOnlyUnknownPairs(t *testing.T) {
	g := NewWithT(t)
	c, next := newTestModel(), &OccupancyModel[string]{}
	for window := range 30 {
		c.Observe(windowTime(window), "victim", "group", 4*testIdleTail, Shares{"heavy": 0.5})
		c.Observe(windowTime(window), "victim", "group", testIdleTail, nil)
	}
	next.Observe(windowTime(0), "victim", "group", 12*time.Millisecond, Shares{"own": 0.5})
	own := next.Weight("victim", "own")
	next.Import(append(c.Estimates(time.Unix(0, 0), 10), Estimate{Pair: Pair{"victim", "own"}, Weight: 2, Evidence: 9}), c.IdleTails())
	g.Expect(next.Weight("victim", "heavy")).To(BeNumerically("~", c.Weight("victim", "heavy"), 0.15))
	g.Expect(next.Weight("victim", "own")).To(Equal(own))
	g.Expect(next.IdleTail("victim")).To(Equal(testIdleTail))
}
