package route

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sesamestream/sesamestream/pkg/fleet"
)

// A herd is a deterministic run of entries that route to agents whose reports lag.
type herd struct {
	entries, agents, limit, choices int
	lag, service, length            time.Duration
	use                             float64
	skew                            float64 // share of requests at the first entry
	slow                            int     // agents that take twice the service time
	policy                          Policy
}

type herdEvent struct {
	at time.Time
	do func(now time.Time)
}

type herdQueue []herdEvent

func (q herdQueue) Len() int           { return len(q) }
func (q herdQueue) Less(i, j int) bool { return q[i].at.Before(q[j].at) }
func (q herdQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *herdQueue) Push(x any)        { *q = append(*q, x.(herdEvent)) }
func (q *herdQueue) Pop() any          { l := *q; e := l[len(l)-1]; *q = l[:len(l)-1]; return e }

// run returns the mean over time of the busiest agent's load over the mean load,
// and the share of requests that had to wait at their agent.
func (h herd) run() (spread, waited float64) {
	rnd := rand.New(rand.NewPCG(7, 7))
	t0 := time.Unix(0, 0)
	var q herdQueue
	after := func(now time.Time, d time.Duration, f func(time.Time)) { heap.Push(&q, herdEvent{now.Add(d), f}) }
	busy, waiting := make([]int, h.agents), make([][]func(time.Time), h.agents)
	id := func(i int) fleet.ID { return fleet.ID(fmt.Sprint(i)) }
	index := map[fleet.ID]int{}
	var routers []*Router
	for range h.entries {
		r := &Router{Self: here, Rand: rnd, Policy: h.policy, Choices: h.choices}
		r.SetEntries(h.entries)
		routers = append(routers, r)
	}
	report := func(i int, now time.Time) Report {
		return Report{Life: fleet.Life{ID: id(i)}, Place: here, Kind: "k", Limit: h.limit, InFlight: busy[i], Queued: len(waiting[i]), At: now}
	}
	var tell func(i int) func(time.Time)
	tell = func(i int) func(time.Time) {
		return func(now time.Time) {
			o := report(i, now)
			after(now, h.lag, func(now time.Time) {
				for _, r := range routers {
					r.Observe(now, o)
				}
			})
			after(now, 100*time.Millisecond, tell(i))
		}
	}
	for i := range h.agents {
		index[id(i)] = i
		for _, r := range routers {
			r.Observe(t0, report(i, t0.Add(-1)))
		}
		after(t0, time.Duration(i)*5*time.Millisecond, tell(i))
	}
	total, late := 0.0, 0.0
	serve := func(i int, now time.Time, done func(time.Time)) {
		busy[i]++
		s := float64(h.service)
		if i < h.slow {
			s *= 2
		}
		after(now, time.Duration(rnd.ExpFloat64()*s), func(now time.Time) {
			busy[i]--
			done(now)
			if w := waiting[i]; len(w) > 0 {
				waiting[i] = w[1:]
				w[0](now)
			}
		})
	}
	send := func(r *Router, now time.Time) {
		c, err := r.Pick(now, Query{Kind: "k"})
		if err != nil {
			panic(err)
		}
		i, t := index[c.Life.ID], now
		done := func(now time.Time) { r.Done(now, c, Result{Latency: now.Sub(t)}) }
		total++
		if busy[i] < h.limit {
			serve(i, now, done)
			return
		}
		late++
		waiting[i] = append(waiting[i], func(now time.Time) { serve(i, now, done) })
	}
	gap := float64(h.service) / (h.use * float64(h.agents*h.limit))
	var arrive func(r *Router) func(time.Time)
	arrive = func(r *Router) func(time.Time) {
		return func(now time.Time) {
			send(r, now)
			share := (1 - h.skew) / float64(h.entries-1)
			if r == routers[0] {
				share = h.skew
			}
			after(now, time.Duration(rnd.ExpFloat64()*gap/share), arrive(r))
		}
	}
	for _, r := range routers {
		after(t0, 0, arrive(r))
	}
	samples := 0.0
	next := t0.Add(time.Second)
	for len(q) > 0 && q[0].at.Before(t0.Add(h.length)) {
		e := heap.Pop(&q).(herdEvent)
		e.do(e.at)
		if e.at.Before(next) {
			continue
		}
		next = next.Add(10 * time.Millisecond)
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

func TestLaggingReportsDoNotHerd(t *testing.T) {
	g := NewWithT(t)
	for _, h := range []herd{{skew: 0.25}, {skew: 0.7, slow: 8}} {
		h.entries, h.agents, h.limit, h.use = 4, 20, 32, 0.7
		h.lag, h.service, h.length = 500*time.Millisecond, 50*time.Millisecond, 5*time.Second
		measure := func(name string, p Policy, choices int) (float64, float64) {
			h.policy, h.choices = p, choices
			spread, waited := h.run()
			t.Logf("%.0f%% from one entry, %d slow agents: %-18s max/mean %.2f, waited %.1f%%", 100*h.skew, h.slow, name, spread, 100*waited)
			return spread, waited
		}
		base, baseWaited := measure("least reported", LeastReported{}, MaxChoices)
		measure("least of 2", LeastReported{}, 2)
		measure("random", nil, 1)
		measure("default of all", nil, MaxChoices)
		spread, waited := measure("default", nil, 0)
		g.Expect(spread).To(BeNumerically("<", min(1.5, base/2)))
		g.Expect(waited).To(BeNumerically("<", baseWaited/2))
	}
}
