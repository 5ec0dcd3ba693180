package route

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sesamestream/sesamestream/pkg/fleet"
)

// A simulation runs entries that route requests to agents whose load reports are
// delayed. It is deterministic and advances in steps of 1 ms.
type simulation struct {
	entries, agents, limit, sampleSize int
	reportLag, serviceTime, duration   int // ms
	utilisation                        float64
	firstEntryShare                    float64 // share of requests at the first entry
	slowAgents                         int     // agents that take twice the service time
	policy                             Policy
}

// run returns the ratio of the busiest agent's load to the mean load, averaged over
// time, and the share of requests that had to wait at their agent.
func (h simulation) run() (spread, waited float64) {
	rnd := rand.New(rand.NewPCG(7, 7))
	callbacks := make([][]func(), h.duration+1)
	step := 0
	at := func() time.Time { return time.UnixMilli(int64(step)) }
	after := func(ms int, f func()) {
		i := min(step+max(ms, 1), h.duration)
		callbacks[i] = append(callbacks[i], f)
	}
	busy, waiting, index := make([]int, h.agents), make([][]func(), h.agents), map[fleet.ID]int{}
	routers := make([]*Router, h.entries)
	for i := range routers {
		routers[i] = &Router{Place: entryPlace, Rand: rnd, Policy: h.policy, SampleSize: h.sampleSize}
	}
	report := func(i, lag int) {
		o := Report{Agent: fleet.ProcessIncarnation{ID: fleet.ID(fmt.Sprint(i))}, Place: entryPlace, Kind: "k", Limit: h.limit, InFlight: busy[i], Queued: len(waiting[i]), At: at()}
		index[o.Agent.ID] = i
		after(lag, func() {
			for _, r := range routers {
				r.Observe(at(), o)
			}
		})
	}
	var serve func(i int, done func())
	serve = func(i int, done func()) {
		busy[i]++
		ms := rnd.ExpFloat64() * float64(h.serviceTime)
		if i < h.slowAgents {
			ms *= 2
		}
		after(int(ms), func() {
			busy[i]--
			done()
			if w := waiting[i]; len(w) > 0 {
				waiting[i] = w[1:]
				serve(i, w[0])
			}
		})
	}
	total, queued, samples := 0.0, 0.0, 0.0
	send := func(r *Router) {
		c, _ := r.Pick(at(), Query{Kind: "k"})
		i, t := index[c.Agent.ID], at()
		done := func() { r.Done(at(), c, Result{Latency: at().Sub(t)}) }
		total++
		if busy[i] < h.limit {
			serve(i, done)
			return
		}
		queued++
		waiting[i] = append(waiting[i], done)
	}
	rate := h.utilisation * float64(h.agents*h.limit) / float64(h.serviceTime)
	for i := range h.agents {
		report(i, 1)
	}
	for step = 1; step < h.duration; step++ {
		for _, f := range callbacks[step] {
			f()
		}
		for n := rate + rnd.NormFloat64()*math.Sqrt(rate); n > 0; n-- {
			r := routers[0]
			if rnd.Float64() >= h.firstEntryShare {
				r = routers[1+rnd.IntN(h.entries-1)]
			}
			send(r)
		}
		for i := range h.agents {
			if (step+5*i)%100 == 0 {
				report(i, h.reportLag)
			}
		}
		if step < 1000 {
			continue
		}
		busiest, sum := 0, 0
		for i := range busy {
			n := busy[i] + len(waiting[i])
			busiest, sum = max(busiest, n), sum+n
		}
		spread += float64(busiest) * float64(h.agents) / float64(sum)
		samples++
	}
	return spread / samples, queued / total
}

// TestDelayedReportsDoNotCauseHerding guards against herding: entries that act on the
// same delayed reports all send to the agent that was least loaded, until the next
// report shows it as overloaded.
func TestDelayedReportsDoNotCauseHerding(t *testing.T) {
	g := NewWithT(t)
	for _, h := range []simulation{{firstEntryShare: 0.25}, {firstEntryShare: 0.7, slowAgents: 8}} {
		h.entries, h.agents, h.limit, h.utilisation = 4, 20, 32, 0.7
		h.reportLag, h.serviceTime, h.duration = 500, 50, 5000
		measure := func(name string, p Policy, sampleSize int) (float64, float64) {
			h.policy, h.sampleSize = p, sampleSize
			spread, waited := h.run()
			t.Logf("%.0f%% from one entry, %d slow agents: %-18s max/mean %.2f, waited %.1f%%", 100*h.firstEntryShare, h.slowAgents, name, spread, 100*waited)
			return spread, waited
		}
		base, baseWaited := measure("least reported", LeastReportedLoad{}, MaxSampleSize)
		measure("least of 2", LeastReportedLoad{}, 2)
		measure("random", nil, 1)
		measure("default of all", nil, MaxSampleSize)
		spread, waited := measure("default", nil, 0)
		g.Expect(spread).To(BeNumerically("<", min(1.5, base/2)))
		g.Expect(waited).To(BeNumerically("<", baseWaited/2))
	}
}
