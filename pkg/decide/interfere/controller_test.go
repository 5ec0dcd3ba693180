package interfere

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/sesamestream/sesamestream/pkg/decide"
	"github.com/sesamestream/sesamestream/pkg/decide/host"
	"github.com/sesamestream/sesamestream/pkg/fleet"
)

var _ decide.Machine[Event, Action] = (*Controller)(nil)

// TestControllerEscalatesAndRelaxes drives a controller with noisy waves of load.
// It checks the order of the escalation levels, the bound on evictions, and that
// the escalations are lowered slowly and completely.
func TestControllerEscalatesAndRelaxes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := rand.New(rand.NewPCG(7, rapid.Uint64().Draw(t, "seed")))
		c := &Controller{Model: &LatencyModel{}}
		now := time.Unix(1e9, 0)
		var loads []Load
		for i := range 9 {
			l := Load{Key: host.Key{Attempt: 1, Shard: host.Shard(i)}, Kind: kinds[i%4], Share: 0.05 + 0.2*r.Float64(), Service: i == 0 || i%4 == 2 || i == 5}
			l.LastCheckpoint = now.Add(time.Duration(-r.IntN(100)) * time.Second)
			loads = append(loads, l)
		}
		notAdmitted := map[fleet.Kind]bool{}
		share := map[host.Key]float64{}
		var evicted []time.Time
		var lastResumed time.Time
		step := func(e Event) {
			for _, a := range c.Step(now, e, nil) {
				switch a := a.(type) {
				case Throttle:
					if loads[a.Shard].Service {
						t.Fatal("a service is throttled")
					}
					share[a.Key] = a.Share
				case StopAdmitting:
					if a.Kind == kinds[2] {
						t.Fatal("admission is stopped for a kind that has services only")
					}
					if len(share) == 0 {
						t.Fatal("admission is stopped before any attempt is throttled")
					}
					notAdmitted[a.Kind] = true
				case ResumeAdmitting:
					if now.Sub(lastResumed) < relaxInterval && !lastResumed.Equal(now) {
						t.Fatal("admission is resumed too soon")
					}
					lastResumed = now
					delete(notAdmitted, a.Kind)
				case RequestEviction:
					l := loads[a.Key.Shard]
					if l.Service || !notAdmitted[l.Kind] || share[a.Key] != strongThrottleShare {
						t.Fatalf("%s is evicted before its admission is stopped and it is throttled", l.Kind)
					}
					for _, o := range loads {
						if o.Kind == l.Kind && !o.Service && o.LastCheckpoint.After(l.LastCheckpoint) {
							t.Fatal("the evicted attempt is not the cheapest to move")
						}
					}
					evicted = append(evicted, now)
				}
			}
		}
		wave := 1 + r.IntN(300)
		for s := range 1800 {
			now = now.Add(time.Second)
			step(Loads{loads})
			step(Tick{})
			tail := time.Duration(20+r.IntN(40)) * time.Millisecond
			if s < 1500 && s/wave%2 == 0 {
				tail *= 3
			}
			if s >= 1500 {
				tail = 10 * time.Millisecond
			}
			step(Window{Kind: "alert", TailLatency: tail, LatencyBudget: 50 * time.Millisecond})
		}
		for i := range evicted {
			if i >= maxEvictions && evicted[i].Sub(evicted[i-maxEvictions]) < evictionWindow {
				t.Fatalf("%d evictions within %v", maxEvictions+1, evictionWindow)
			}
		}
		for _, s := range share {
			if s != 1 || len(notAdmitted) > 0 {
				t.Fatalf("escalations are not lowered at the end: share %v, admission stopped %v", s, notAdmitted)
			}
		}
	})
}
