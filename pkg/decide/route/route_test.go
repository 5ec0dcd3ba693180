package route

import (
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/sesamestream/sesamestream/pkg/fleet"
	"github.com/sesamestream/sesamestream/pkg/table"
)

func init() {
	_ = flag.Set("rapid.seed", "7")
	_ = flag.Set("rapid.checks", "1000")
}

var entryPlace = fleet.Place{Region: "a", DataCentre: "a1", Rack: "r"}

var places = []fleet.Place{entryPlace, {Region: "a", DataCentre: "a1", Rack: "s"}, {Region: "a", DataCentre: "a2", Rack: "r"}, {Region: "b", DataCentre: "b1", Rack: "r"}}

const linkRate = 1000

// agentModel is the state that the test tracks of one agent.
type agentModel struct {
	Report
	removed     bool
	backoffEnd  time.Time
	ownInFlight int
	failed      bool
}

func (k *agentModel) eligible(now time.Time, x []fleet.ID) bool {
	return !k.removed && !k.Leaving && k.Limit > 0 && !slices.Contains(x, k.Agent.ID) && !k.backoffEnd.After(now)
}

// TestRouterMatchesModel compares the router with a model for random sequences of
// calls. Pick never returns an agent that is removed, leaving, excluded or backing
// off, prefers a near agent with free capacity, and keeps to the link budget.
func TestRouterMatchesModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := &Router{Place: entryPlace, Rand: rand.New(rand.NewPCG(1, 2)), SampleSize: MaxSampleSize}
		r.SetTable([]table.Row{{Kind: "k", CrossRegion: true, LinkRate: 2 * linkRate}})
		r.SetEntryCount(2)
		now := time.Unix(1000, 0)
		model := map[fleet.ID]*agentModel{}
		var openChoices []Choice
		type transfer struct {
			at   time.Time
			size fleet.Bytes
		}
		var transfers []transfer
		drawAgent := func(t *rapid.T) (fleet.ProcessIncarnation, int) {
			n := rapid.IntRange(0, 11).Draw(t, "agent")
			return fleet.ProcessIncarnation{ID: fleet.ID(fmt.Sprint(n)), Incarnation: fleet.Incarnation(rapid.IntRange(1, 3).Draw(t, "incarnation"))}, n
		}
		t.Repeat(map[string]func(*rapid.T){
			"advance": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
			},
			"observe": func(t *rapid.T) {
				l, n := drawAgent(t)
				o := Report{Agent: l, Place: places[n%len(places)], Kind: "k", Limit: rapid.IntRange(0, 4).Draw(t, "limit"),
					At: time.Unix(int64(rapid.IntRange(0, 20).Draw(t, "at")), 0), Leaving: rapid.IntRange(0, 9).Draw(t, "leaving") == 0}
				r.Observe(now, o)
				m := model[l.ID]
				switch {
				case m == nil || l.Incarnation > m.Agent.Incarnation:
					model[l.ID] = &agentModel{Report: o}
				case l.Incarnation < m.Agent.Incarnation || m.removed:
				case o.At.After(m.At):
					o.Leaving = o.Leaving || m.Leaving
					m.Report = o
				default:
					m.Leaving = m.Leaving || o.Leaving
				}
			},
			"remove": func(t *rapid.T) {
				l, _ := drawAgent(t)
				r.Remove(now, l)
				if m := model[l.ID]; m == nil || l.Incarnation >= m.Agent.Incarnation {
					model[l.ID] = &agentModel{Report: Report{Agent: l}, removed: true}
				}
			},
			"pick": func(t *rapid.T) {
				g := NewWithT(t)
				q := Query{Kind: "k", Size: fleet.Bytes(rapid.IntRange(1, 400).Draw(t, "size"))}
				for range rapid.IntRange(0, 3).Draw(t, "tried") {
					l, _ := drawAgent(t)
					q.Exclude = append(q.Exclude, l.ID)
				}
				freeTier, anyBackingOff, anyFailed := tierCount, false, false
				for _, m := range model {
					anyBackingOff = anyBackingOff || !m.removed && !m.Leaving && m.Limit > 0 && m.backoffEnd.After(now)
					anyFailed = anyFailed || m.failed
					if m.eligible(now, q.Exclude) && !m.failed && m.ownInFlight < m.Limit {
						freeTier = min(freeTier, tierOf(entryPlace.Distance(m.Place)))
					}
				}
				c, err := r.Pick(now, q)
				if err != nil {
					g.Expect(freeTier == tierCount || freeTier == otherRegion && errors.Is(err, ErrOverLinkBudget)).To(BeTrue(), "%v with free capacity in tier %d", err, freeTier)
					g.Expect(anyFailed || errors.Is(err, ErrOverLinkBudget) || errors.Is(err, ErrAllBackingOff) == anyBackingOff).To(BeTrue(), "%v", err)
					return
				}
				m := model[c.Agent.ID]
				g.Expect(m.Agent).To(Equal(c.Agent))
				g.Expect(m.eligible(now, q.Exclude)).To(BeTrue(), "%+v", m)
				g.Expect(tierOf(entryPlace.Distance(c.Place))).To(BeNumerically("<=", freeTier), "nearer agent with free capacity was not chosen")
				m.ownInFlight++
				openChoices = append(openChoices, c)
				if !c.OtherRegion {
					return
				}
				transfers = append(transfers, transfer{now, q.Size})
				sum := fleet.Bytes(0)
				for i := len(transfers) - 1; i >= 0; i-- {
					sum += transfers[i].size
					g.Expect(float64(sum)).To(BeNumerically("<=", linkRate*(now.Sub(transfers[i].at)+linkBurstPeriod).Seconds()+1e-6))
				}
			},
			"done": func(t *rapid.T) {
				if len(openChoices) == 0 {
					return
				}
				i := rapid.IntRange(0, len(openChoices)-1).Draw(t, "choice")
				c := openChoices[i]
				openChoices = slices.Delete(openChoices, i, i+1)
				o := Result{Status: Status(rapid.IntRange(0, 3).Draw(t, "status")), Latency: c.OneWayDelay * 3, RetryAfter: time.Duration(rapid.IntRange(1, 30).Draw(t, "retryAfter")) * 100 * time.Millisecond}
				r.Done(now, c, o)
				m := model[c.Agent.ID]
				if m.Agent != c.Agent || m.removed {
					return
				}
				m.ownInFlight--
				switch o.Status {
				case StatusRefused:
					if p := now.Add(o.RetryAfter); p.After(m.backoffEnd) {
						m.backoffEnd = p
					}
				case StatusFailed:
					m.failed = true
				}
			},
		})
	})
}

// TestUnhealthyAgentIsEjectedAndProbed guards against an agent that attracts requests
// because it fails fast, and against one that is never used again after it recovers.
func TestUnhealthyAgentIsEjectedAndProbed(t *testing.T) {
	for name, unhealthy := range map[string]Result{
		"fails fast": {Status: StatusFailed, Latency: time.Millisecond},
		"slow":       {Status: StatusAnswered, Latency: time.Second},
	} {
		g := NewWithT(t)
		r := routerWithAgents(10)
		now := time.Unix(1000, 0)
		run := func(o Result) (n int) {
			for range 10000 {
				now = now.Add(time.Millisecond)
				c, err := r.Pick(now, Query{Kind: "k"})
				g.Expect(err).NotTo(HaveOccurred())
				if c.Agent.ID != "3" {
					r.Done(now, c, Result{Latency: 10 * time.Millisecond})
					continue
				}
				n++
				r.Done(now, c, o)
			}
			return n
		}
		g.Expect(run(unhealthy)).To(And(BeNumerically(">", 0), BeNumerically("<", 100)), name)
		run(Result{Latency: 10 * time.Millisecond})
		run(Result{Latency: 10 * time.Millisecond})
		g.Expect(run(Result{Latency: 10 * time.Millisecond})).To(BeNumerically(">", 800), name+", recovered")
	}
}

func routerWithAgents(n int) *Router {
	r := &Router{Place: entryPlace, Rand: rand.New(rand.NewPCG(1, 2))}
	for i := range n {
		r.Observe(time.Unix(0, 0), Report{Agent: fleet.ProcessIncarnation{ID: fleet.ID(fmt.Sprint(i))}, Place: entryPlace, Kind: "k", Limit: 64, At: time.Unix(1, 0)})
	}
	return r
}

func BenchmarkPick(b *testing.B) {
	for name, o := range map[string]Result{"answered": {Latency: 10 * time.Millisecond}, "refused": {Status: StatusRefused}} {
		for _, n := range []int{10, 100, 1000, 4000} {
			b.Run(fmt.Sprint(name, "/", n), func(b *testing.B) {
				r := routerWithAgents(n)
				now := time.Unix(1000, 0)
				q := Query{Kind: "k", Size: 1000, Deadline: now.Add(time.Hour), Exclude: []fleet.ID{"1", "2"}}
				b.ReportAllocs()
				for b.Loop() {
					now = now.Add(20 * time.Microsecond)
					if c, err := r.Pick(now, q); err == nil {
						r.Done(now, c, o)
					}
				}
			})
		}
	}
}

func TestLinkBudgetIsUsedUpAndNotExceeded(t *testing.T) {
	g := NewWithT(t)
	r := &Router{Place: entryPlace, Rand: rand.New(rand.NewPCG(1, 2))}
	r.SetTable([]table.Row{{Kind: "k", CrossRegion: true, LinkRate: 2 * linkRate}})
	r.SetEntryCount(2)
	now := time.Unix(1000, 0)
	r.Observe(now, Report{Agent: fleet.ProcessIncarnation{ID: "b"}, Place: places[3], Kind: "k", Limit: 64, At: now})
	linkBytes := 0
	for range 4000 {
		now = now.Add(time.Millisecond)
		c, err := r.Pick(now, Query{Kind: "k", Size: 10})
		if err != nil {
			g.Expect(err).To(MatchError(ErrOverLinkBudget))
			continue
		}
		linkBytes += 30
		r.Done(now, c, Result{LinkBytes: 30})
	}
	g.Expect(linkBytes).To(And(BeNumerically(">", 4900), BeNumerically("<=", 5000)))
	_, err := r.Pick(now, Query{Kind: "k", Deadline: now.Add(2*defaultDelayOtherRegion - 1)})
	g.Expect(err).To(MatchError(ErrUnreachableInTime))
}

// TestOneCrashCausesOneEjectionAndOneProbe guards against counting the requests in
// flight at a crash as several ejections, which would lengthen the backoff, and
// against ejecting every agent.
func TestOneCrashCausesOneEjectionAndOneProbe(t *testing.T) {
	g := NewWithT(t)
	r := routerWithAgents(2)
	now := time.Unix(1000, 0)
	run := func(failures int) (n int) {
		var choices []Choice
		for range 40 {
			c, err := r.Pick(now, Query{Kind: "k"})
			g.Expect(err).NotTo(HaveOccurred())
			choices = append(choices, c)
		}
		for _, c := range choices {
			o := Result{Latency: time.Millisecond}
			if c.Agent.ID == "1" {
				if n < failures {
					o.Status = StatusFailed
				}
				n++
			}
			r.Done(now, c, o)
		}
		return n
	}
	for crash := range 3 {
		g.Expect(run(10)).To(BeNumerically(">=", 10))
		g.Expect(run(0)).To(BeZero())
		now = now.Add(minEjection << crash)
		g.Expect(run(0)).To(Equal(1))
	}
	for range 100 {
		c, err := r.Pick(now, Query{Kind: "k"})
		g.Expect(err).NotTo(HaveOccurred(), "every agent ejected")
		r.Done(now, c, Result{Status: StatusFailed})
	}
}

func TestLoadOfOtherEntriesCounts(t *testing.T) {
	g := NewWithT(t)
	r := routerWithAgents(4)
	r.Observe(time.Unix(5, 0), Report{Agent: fleet.ProcessIncarnation{ID: "3"}, Place: entryPlace, Kind: "k", Limit: 64, InFlight: 60, At: time.Unix(5, 0)})
	n := map[fleet.ID]int{}
	for range 100 {
		c, _ := r.Pick(time.Unix(5, 0), Query{Kind: "k"})
		n[c.Agent.ID]++
	}
	g.Expect(n["3"]).To(BeNumerically("<", 5), "%v", n)
}

func TestBackoffQueuePopsInOrder(t *testing.T) {
	g := NewWithT(t)
	rnd := rand.New(rand.NewPCG(1, 2))
	var p backoffQueue
	for range 200 {
		p.push(&endpoint{backoffEnd: time.Unix(0, rnd.Int64N(100))})
	}
	for i := range int64(100) {
		for e := p.pop(time.Unix(0, i)); e != nil; e = p.pop(time.Unix(0, i)) {
			g.Expect(e.backoffEnd.UnixNano()).To(Equal(i))
		}
	}
	g.Expect(p).To(BeEmpty())
}
