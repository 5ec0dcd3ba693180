package liveness

import (
	"flag"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

func init() {
	_ = flag.Set("rapid.seed", "7")
	_ = flag.Set("rapid.checks", "2000")
}

const simStep = 20 * time.Millisecond

// TestUnresponsiveConnectionIsReplacedOrSuspected drives a connection that goes silent at some
// moment, for a while or for good, by traffic with pauses.
func TestUnresponsiveConnectionIsReplacedOrSuspected(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		m := &Machine{}
		t0 := time.Unix(1000, 0)
		dies := time.Duration(rapid.IntRange(0, 300).Draw(t, "dies")) * simStep
		back := dies + time.Duration(rapid.SampledFrom([]int{500, 2000, 4000, 20000}).Draw(t, "lasts"))*time.Millisecond
		heals := rapid.Bool().Draw(t, "heals")
		newWorks := rapid.Bool().Draw(t, "newWorks")
		answer := time.Duration(rapid.SampledFrom([]int{20, 100, 3000}).Draw(t, "answer")) * time.Millisecond
		silent := func(at time.Duration) bool { return at >= dies && (at < back || !heals) }
		coming := map[time.Duration][]Event{}
		later := func(at time.Duration, e Event) { coming[at] = append(coming[at], e) }
		for _, s := range rapid.SliceOfN(rapid.IntRange(0, 500), 1, 12).Draw(t, "sends") {
			later(time.Duration(s)*simStep, Sent)
		}
		inFlight, unheard, parallel, suspected, found := 0, false, false, false, false
		waits, idle := time.Duration(-1), time.Duration(0)
		for now := time.Duration(0); now < 15*time.Second && !found; now += simStep {
			var out []Action
			heard := false
			step := func(e Event) { out = m.Step(t0.Add(now), e, out) }
			for _, e := range coming[now] {
				switch {
				case e == Received && silent(now):
					continue
				case e == Received:
					unheard, heard, waits = false, true, -1
				case e == Ended:
					inFlight--
				case e == Sent:
					inFlight++
					unheard = true
					later(now+answer, Received)
					later(now+answer+simStep, Ended)
				}
				step(e)
			}
			if at, ok := m.Wake(); ok && !at.After(t0.Add(now)) {
				step(Tick)
			}
			for _, a := range out {
				switch a {
				case Probe:
					g.Expect(inFlight > 0 || unheard).To(BeTrue(), "probe of an idle connection")
					later(now+3*simStep, Received)
				case OpenParallel:
					g.Expect(parallel).To(BeFalse())
					parallel = true
					if newWorks || now < dies || now >= back {
						later(now+6*simStep, ParallelAnswered)
					}
				case CloseParallel:
					g.Expect(parallel).To(BeTrue())
					parallel, unheard = false, false
				case Replace:
					g.Expect(parallel && now >= dies && !suspected).To(BeTrue(), "replaced a connection that works")
					found = true
				case Suspect:
					g.Expect(newWorks || suspected).To(BeFalse(), "suspected a peer that works")
					suspected = true
				case ClearSuspicion:
					g.Expect(suspected).To(BeTrue())
					suspected = false
				}
			}
			g.Expect(m.Suspected()).To(Equal(suspected))
			g.Expect(heard && !found && (suspected || parallel)).To(BeFalse(), "heard and not cleared")
			if inFlight > 0 || unheard {
				idle = now
			} else {
				waits = -1
			}
			if waits < 0 && silent(now) && idle == now {
				waits = now
			}
			if waits >= 0 && now-waits > 1500*time.Millisecond {
				g.Expect(found || suspected).To(BeTrue(), "not found in 1.5 s of traffic")
			}
			if !newWorks && waits >= 0 && now-max(waits, back) > 3*time.Second {
				g.Expect(found).To(BeTrue(), "suspected for good")
			}
			if _, wakes := m.Wake(); now-idle > 2500*time.Millisecond {
				g.Expect(wakes).To(BeFalse(), "idle connection has a timer")
			}
		}
	})
}
