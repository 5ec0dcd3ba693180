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

// TestUnresponsiveConnectionIsReplacedOrSuspected drives a Machine by intermittent
// traffic on a connection that fails at some moment, temporarily or permanently.
func TestUnresponsiveConnectionIsReplacedOrSuspected(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		m := &Machine{}
		t0 := time.Unix(1000, 0)
		failsAt := time.Duration(rapid.IntRange(0, 300).Draw(t, "dies")) * simStep
		recoversAt := failsAt + time.Duration(rapid.SampledFrom([]int{500, 2000, 4000, 20000}).Draw(t, "lasts"))*time.Millisecond
		recovers := rapid.Bool().Draw(t, "heals")
		parallelWorks := rapid.Bool().Draw(t, "newWorks")
		answerDelay := time.Duration(rapid.SampledFrom([]int{20, 100, 3000}).Draw(t, "answer")) * time.Millisecond
		unresponsive := func(at time.Duration) bool { return at >= failsAt && (at < recoversAt || !recovers) }
		events := map[time.Duration][]Event{}
		schedule := func(at time.Duration, e Event) { events[at] = append(events[at], e) }
		for _, s := range rapid.SliceOfN(rapid.IntRange(0, 500), 1, 12).Draw(t, "sends") {
			schedule(time.Duration(s)*simStep, Sent)
		}
		inFlight, sentSinceReceived, parallel, suspected, replaced := 0, false, false, false, false
		waitingSince, lastBusy := time.Duration(-1), time.Duration(0)
		for now := time.Duration(0); now < 15*time.Second && !replaced; now += simStep {
			var out []Action
			received := false
			step := func(e Event) { out = m.Step(t0.Add(now), e, out) }
			for _, e := range events[now] {
				switch {
				case e == Received && unresponsive(now):
					continue
				case e == Received:
					sentSinceReceived, received, waitingSince = false, true, -1
				case e == Ended:
					inFlight--
				case e == Sent:
					inFlight++
					sentSinceReceived = true
					schedule(now+answerDelay, Received)
					schedule(now+answerDelay+simStep, Ended)
				}
				step(e)
			}
			if at, ok := m.Wake(); ok && !at.After(t0.Add(now)) {
				step(Tick)
			}
			for _, a := range out {
				switch a {
				case Probe:
					g.Expect(inFlight > 0 || sentSinceReceived).To(BeTrue(), "probe of an idle connection")
					schedule(now+3*simStep, Received)
				case OpenParallel:
					g.Expect(parallel).To(BeFalse())
					parallel = true
					if parallelWorks || now < failsAt || now >= recoversAt {
						schedule(now+6*simStep, ParallelAnswered)
					}
				case CloseParallel:
					g.Expect(parallel).To(BeTrue())
					parallel, sentSinceReceived = false, false
				case Replace:
					g.Expect(parallel && now >= failsAt && !suspected).To(BeTrue(), "replaced a connection that works")
					replaced = true
				case Suspect:
					g.Expect(parallelWorks || suspected).To(BeFalse(), "suspected a peer that works")
					suspected = true
				case ClearSuspicion:
					g.Expect(suspected).To(BeTrue())
					suspected = false
				}
			}
			g.Expect(m.Suspected()).To(Equal(suspected))
			g.Expect(received && !replaced && (suspected || parallel)).To(BeFalse(), "bytes received, but still suspected or a parallel connection open")
			if inFlight > 0 || sentSinceReceived {
				lastBusy = now
			} else {
				waitingSince = -1
			}
			if waitingSince < 0 && unresponsive(now) && lastBusy == now {
				waitingSince = now
			}
			if waitingSince >= 0 && now-waitingSince > 1500*time.Millisecond {
				g.Expect(replaced || suspected).To(BeTrue(), "neither replaced nor suspected within 1.5 s of traffic")
			}
			if !parallelWorks && waitingSince >= 0 && now-max(waitingSince, recoversAt) > 3*time.Second {
				g.Expect(replaced).To(BeTrue(), "still suspected 3 s after recovery")
			}
			if _, hasTimer := m.Wake(); now-lastBusy > 2500*time.Millisecond {
				g.Expect(hasTimer).To(BeFalse(), "idle connection has a timer")
			}
		}
	})
}
