package place

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/sesamestream/sesamestream/pkg/fleet"
	"github.com/sesamestream/sesamestream/pkg/table"
)

func init() { _ = flag.Set("rapid.seed", "7") }

func newFleet(n, cores, slots int) *Placer[int] {
	p := &Placer[int]{Rand: rand.New(rand.NewPCG(7, 7)), Shards: 1}
	r := fleet.Resources{Processors: fleet.MilliProcessors(cores) * 1000, Slots: slots}
	for i := range n {
		id := fleet.ID(fmt.Sprint("h", i))
		p.UpdateHost(Host{ID: id, Place: fleet.Place{Region: "yug", Rack: fmt.Sprint(i / 3)}, Total: r, Free: r})
		p.SetExcluded(id, false)
	}
	return p
}

// TestHostsAndLimitsAreNotExceeded places and releases tasks at random, and compares an independent
// count of used resources with the hosts, the ceilings and the quotas.
func TestHostsAndLimitsAreNotExceeded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := newFleet(5, 4, 4)
		p.SetTable(&table.Table{
			Rows:  []table.Row{{Kind: "a", Weight: 1, Ceiling: 0.5}, {Kind: "b", Weight: 2, Ceiling: 1, Floor: 0.5}},
			Teams: []table.TeamRow{{Team: "t", Weight: 1, Quota: 0.6}},
		})
		now := time.Unix(1e6, 0)
		specs := map[int]TaskSpec{}
		placed := map[int]fleet.ID{}
		for k := range rapid.IntRange(1, 120).Draw(t, "steps") {
			s := TaskSpec{Kind: "a", Need: fleet.Resources{Processors: fleet.MilliProcessors(rapid.IntRange(1, 4000).Draw(t, "need")), Slots: 1}}
			if rapid.Bool().Draw(t, "b") {
				s.Kind = "b"
				s.Team = "t"
			}
			specs[k] = s
			p.Enqueue(now, k, s)
			if rapid.Bool().Draw(t, "free") {
				d := rapid.IntRange(0, k).Draw(t, "which")
				p.Release(d)
				delete(placed, d)
			}
			now = now.Add(time.Second)
			for {
				i, h, ok := p.Next(now)
				if !ok {
					break
				}
				placed[i] = h
			}
			used := map[fleet.ID]fleet.Resources{}
			kinds := map[fleet.Kind]int{}
			for i, h := range placed {
				used[h] = used[h].Plus(specs[i].Need)
				kinds[specs[i].Kind]++
				if !used[h].Fits(fleet.Resources{Processors: 4000, Slots: 4}) {
					t.Fatalf("host %s exceeds its capacity: %+v", h, used[h])
				}
			}
			if kinds["a"] > 10 || kinds["b"] > 12 {
				t.Fatalf("slots used exceed a ceiling or quota: %v", kinds)
			}
		}
	})
}

// TestLargeTaskIsNotStarved places a task that needs a whole host while smaller tasks of
// another kind are always queued.
func TestLargeTaskIsNotStarved(t *testing.T) {
	p := newFleet(3, 4, 4)
	now := time.Unix(1e6, 0)
	small := TaskSpec{Kind: "a", Need: fleet.Resources{Processors: 1000, Slots: 1}}
	for k := 1; k < 2000; k++ {
		p.Enqueue(now, k, small)
	}
	var running []int
	for range 12 {
		k, _, _ := p.Next(now)
		running = append(running, k)
	}
	p.Enqueue(now, 0, TaskSpec{Kind: "b", Need: fleet.Resources{Processors: 4000, Slots: 1}})
	for range 600 {
		now = now.Add(300 * time.Millisecond)
		for {
			k, _, ok := p.Next(now)
			if !ok {
				break
			}
			if k == 0 {
				return
			}
			running = append(running, k)
		}
		p.Release(running[0])
		running = running[1:]
	}
	t.Fatal("the large task was never placed")
}

func TestUrgentTaskEvictsFewestTasks(t *testing.T) {
	p := newFleet(2, 4, 4)
	now := time.Unix(1e6, 0)
	for k := range 5 {
		need := fleet.MilliProcessors(4000)
		if k > 0 {
			need = 1000
		}
		p.Enqueue(now, k, TaskSpec{Kind: "a", Class: table.ClassBatch, Need: fleet.Resources{Processors: need, Slots: 1}})
		p.Next(now)
	}
	p.Enqueue(now, 9, TaskSpec{Kind: "u", Urgent: true, Need: fleet.Resources{Processors: 4000, Slots: 1}})
	if v := p.Victims(now.Add(time.Second)); len(v) != 1 || v[0] != 0 {
		t.Fatalf("victims are %v", v)
	}
}

func BenchmarkNext(b *testing.B) {
	for _, hosts := range []int{22, 400, 3800} {
		b.Run(fmt.Sprint(hosts), func(b *testing.B) {
			p := newFleet(hosts, 16, 8)
			now := time.Unix(1e6, 0)
			w := TaskSpec{Kind: "dossier", Need: fleet.Resources{Processors: 1500, Slots: 1}}
			full := hosts * 25000 / 3800
			for k := range full {
				p.Enqueue(now, k, w)
				p.Next(now)
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				now = now.Add(time.Millisecond)
				p.Release(i)
				p.Enqueue(now, i+full, w)
				p.Next(now)
			}
		})
	}
}
