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

// TestControllerEscalatesAndRelaxes drives a controller with noisy waves and checks the order of
// its measures, the bound on evictions, and that all is given back slowly.
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
		closed := map[fleet.Kind]bool{}
		share := map[host.Key]float64{}
		var evicted []time.Time
		var lastOpen time.Time
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
						t.Fatal("closed to a kind that has services only")
					}
					if len(share) == 0 {
						t.Fatal("closed before anything was throttled")
					}
					closed[a.Kind] = true
				case ResumeAdmitting:
					if now.Sub(lastOpen) < calmFor && !lastOpen.Equal(now) {
						t.Fatal("given back too soon")
					}
					lastOpen = now
					delete(closed, a.Kind)
				case RequestEviction:
					l := loads[a.Key.Shard]
					if l.Service || !closed[l.Kind] || share[a.Key] != lastShare {
						t.Fatalf("%s is evicted before it is closed and throttled", l.Kind)
					}
					for _, o := range loads {
						if o.Kind == l.Kind && !o.Service && o.LastCheckpoint.After(l.LastCheckpoint) {
							t.Fatal("not the cheapest is evicted")
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
			if i >= maxEvictions && evicted[i].Sub(evicted[i-maxEvictions]) < evictWindow {
				t.Fatalf("%d evictions within %v", maxEvictions+1, evictWindow)
			}
		}
		for _, s := range share {
			if s != 1 || len(closed) > 0 {
				t.Fatalf("not given back: share %v, closed %v", s, closed)
			}
		}
	})
}
