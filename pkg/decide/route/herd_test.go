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

// A herd is a deterministic run, in steps of 1 ms, of entries that route to
// agents whose reports lag.
type herd struct {
	entries, agents, limit, choices int
	lag, service, length            int // ms
	use                             float64
	skew                            float64 // share of requests at the first entry
	slow                            int     // agents that take twice the service time
	policy                          Policy
}

// run returns the mean over time of the busiest agent's load over the mean load,
// and the share of requests that had to wait at their agent.
func (h herd) run() (spread, waited float64) {
	rnd := rand.New(rand.NewPCG(7, 7))
	due := make([][]func(), h.length+1)
	step := 0
	at := func() time.Time { return time.UnixMilli(int64(step)) }
	after := func(ms int, f func()) {
		i := min(step+max(ms, 1), h.length)
		due[i] = append(due[i], f)
	}
	busy, waiting, index := make([]int, h.agents), make([][]func(), h.agents), map[fleet.ID]int{}
	routers := make([]*Router, h.entries)
	for i := range routers {
		routers[i] = &Router{Place: here, Rand: rnd, Policy: h.policy, SampleSize: h.choices}
	}
	report := func(i, lag int) {
		o := Report{Agent: fleet.Life{ID: fleet.ID(fmt.Sprint(i))}, Place: here, Kind: "k", Limit: h.limit, InFlight: busy[i], Queued: len(waiting[i]), At: at()}
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
		ms := rnd.ExpFloat64() * float64(h.service)
		if i < h.slow {
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
	total, late, samples := 0.0, 0.0, 0.0
	send := func(r *Router) {
		c, _ := r.Pick(at(), Query{Kind: "k"})
		i, t := index[c.Agent.ID], at()
		done := func() { r.Done(at(), c, Result{Latency: at().Sub(t)}) }
		total++
		if busy[i] < h.limit {
			serve(i, done)
			return
		}
		late++
		waiting[i] = append(waiting[i], done)
	}
	rate := h.use * float64(h.agents*h.limit) / float64(h.service)
	for i := range h.agents {
		report(i, 1)
	}
	for step = 1; step < h.length; step++ {
		for _, f := range due[step] {
			f()
		}
		for n := rate + rnd.NormFloat64()*math.Sqrt(rate); n > 0; n-- {
			r := routers[0]
			if rnd.Float64() >= h.skew {
				r = routers[1+rnd.IntN(h.entries-1)]
			}
			send(r)
		}
		for i := range h.agents {
			if (step+5*i)%100 == 0 {
				report(i, h.lag)
			}
		}
		if step < 1000 {
			continue
		}
		most, sum := 0, 0
		for i := range busy {
			n := busy[i] + len(waiting[i])
			most, sum = max(most, n), sum+n
		}
		spread += float64(most) * float64(h.agents) / float64(sum)
		samples++
	}
	return spread / samples, late / total
}

func TestDelayedReportsDoNotCauseHerding(t *testing.T) {
	g := NewWithT(t)
	for _, h := range []herd{{skew: 0.25}, {skew: 0.7, slow: 8}} {
		h.entries, h.agents, h.limit, h.use = 4, 20, 32, 0.7
		h.lag, h.service, h.length = 500, 50, 5000
		measure := func(name string, p Policy, choices int) (float64, float64) {
			h.policy, h.choices = p, choices
			spread, waited := h.run()
			t.Logf("%.0f%% from one entry, %d slow agents: %-18s max/mean %.2f, waited %.1f%%", 100*h.skew, h.slow, name, spread, 100*waited)
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
