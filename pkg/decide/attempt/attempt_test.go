package attempt

import (
	"flag"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/sesamestream/sesamestream/pkg/fleet"
)

func init() {
	_ = flag.Set("rapid.seed", "7")
	_ = flag.Set("rapid.checks", "5000")
}

var t0 = time.Unix(1000, 0)

// eventTypes holds every event type. Those that advance a request are repeated, so
// that they are drawn more often.
var eventTypes = []EventType{Begin, ClaimGranted, ClaimGranted, ClaimDenied, ClaimFailed, RouteChosen, RouteChosen, RouteChosen, RouteFailed, Dispatched,
	Refused, Refused, ConnectFailed, Broken, AnswerHead, AnswerHead, AnswerComplete, AnswerTruncated, DeadlinePassed, CallerGone, HedgeTimer, HedgeTimer}

// attemptModel is the state that the test tracks of one attempt.
type attemptModel struct {
	sent, over, cancelled, head, proved, complete bool
}

// TestOutcomeIsTrueForAnyEvents checks the invariants of the package for random
// sequences of events, also late, repeated and contradictory ones.
func TestOutcomeIsTrueForAnyEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		m := &Machine{HedgeDelay: 20 * time.Millisecond, Budget: &Budget{Burst: 3}}
		now := t0
		unrepeatable := rapid.Bool().Draw(t, "unrepeatable")
		var attempts [MaxAttempts + 2]attemptModel
		attemptCount, pendingRoutes, forwarded, endCount, reported := 0, 0, Number(0), 0, 0
		mayStop, hedgeDue, inFlightAttempts := false, false, 0
		granted, noEarlierRun, claims := false, !unrepeatable, 0
		allProved := func() bool {
			for _, s := range attempts[1 : attemptCount+1] {
				if !s.proved {
					return false
				}
			}
			return true
		}
		ran := func() bool { return forwarded > 0 && attempts[forwarded].complete }
		observe := func(e Event) {
			switch e.Type {
			case ClaimGranted:
				granted = granted || endCount == 0 && claims > 0
				noEarlierRun = noEarlierRun || granted
			case ClaimFailed:
				noEarlierRun = noEarlierRun || e.Commit == NotCommitted
			case ClaimDenied:
				noEarlierRun = noEarlierRun || e.EarlierOutcome == fleet.NotRun
			case RouteChosen, RouteFailed:
				pendingRoutes = max(pendingRoutes-1, 0)
			}
			s := &attempts[e.Attempt]
			if e.Attempt == 0 || int(e.Attempt) > attemptCount || s.over || s.cancelled {
				return
			}
			switch e.Type {
			case Dispatched:
				s.sent = true
			case Refused, ConnectFailed:
				s.proved = !s.head && (e.Type == Refused || !s.sent)
				s.over = true
			case Broken, AnswerTruncated:
				s.over = true
			case AnswerHead:
				s.head = true
			case AnswerComplete:
				s.head, s.over, s.complete = true, true, true
			}
		}
		check := func(a Action) {
			if endCount > 0 {
				g.Expect(a.Type).To(BeElementOf(ReleaseRoute, ReportClaimOutcome), "action after the request ended")
			}
			switch a.Type {
			case RequestClaim:
				claims++
			case RequestRoute:
				pendingRoutes++
				g.Expect(pendingRoutes).To(Equal(1))
				g.Expect(inFlightAttempts == 0 || hedgeDue).To(BeTrue(), "route requested while an attempt is in flight and no hedge is due")
			case Dispatch:
				g.Expect(forwarded).To(BeZero(), "dispatch after an answer was selected")
				if unrepeatable {
					g.Expect(granted && allProved()).To(BeTrue(), "unrepeatable request may run twice")
				}
				attemptCount++
				g.Expect(a.Attempt).To(Equal(Number(attemptCount)))
			case CancelAttempt:
				g.Expect(attempts[a.Attempt].over).To(BeFalse())
				attempts[a.Attempt].cancelled = true
			case ForwardAnswer:
				g.Expect(forwarded).To(BeZero())
				g.Expect(attempts[a.Attempt].head).To(BeTrue())
				forwarded = a.Attempt
				for i := 1; i <= attemptCount; i++ {
					g.Expect(attempts[i].over || attempts[i].cancelled || Number(i) == forwarded).To(BeTrue(), "other attempt was not cancelled")
				}
			case ReportClaimOutcome:
				reported++
				g.Expect(a.Outcome == fleet.NotRun).To(Equal(allProved()))
				g.Expect(a.Outcome == fleet.Answered).To(Equal(ran()))
			case Respond:
				endCount++
				g.Expect(mayStop || inFlightAttempts == 0 || forwarded > 0).To(BeTrue(), "request ended while an attempt was in flight")
				g.Expect(a.Outcome == fleet.Answered).To(Equal(forwarded > 0))
				g.Expect(a.Outcome != fleet.Answered || ran()).To(BeTrue(), "truncated answer reported as complete")
				g.Expect(a.Outcome == fleet.NotRun).To(Equal(allProved() && noEarlierRun), "%+v", a)
			case AbortConnection:
				endCount++
				g.Expect(a.Attempt).To(Equal(forwarded))
			}
			g.Expect(endCount).To(BeNumerically("<=", 1))
		}
		step := func(e Event) {
			observe(e)
			mayStop, hedgeDue, inFlightAttempts = e.Type == DeadlinePassed || e.Type == CallerGone, e.Type == HedgeTimer, 0
			for _, s := range attempts[1 : attemptCount+1] {
				if !s.over && !s.cancelled {
					inFlightAttempts++
				}
			}
			out := m.Step(now, e, nil)
			for _, a := range out {
				check(a)
			}
			if e.Type == RouteChosen && m.phase != idle && m.phase != claiming {
				g.Expect(out).To(ConsistOf(HaveField("Type", BeElementOf(Dispatch, ReleaseRoute))))
			}
		}
		step(Event{Type: Begin, Unrepeatable: unrepeatable, Deadline: t0.Add(100 * time.Millisecond)})
		for range rapid.IntRange(1, 25).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.SampledFrom([]int{0, 0, 1, 20}).Draw(t, "ms")) * time.Millisecond)
			e := Event{Type: rapid.SampledFrom(eventTypes).Draw(t, "event"), Agent: "a"}
			switch {
			case e.Type == ClaimFailed:
				e.Commit = rapid.SampledFrom([]CommitState{MayHaveCommitted, NotCommitted}).Draw(t, "commit")
			case e.Type == ClaimDenied:
				e.EarlierOutcome = rapid.SampledFrom([]fleet.Outcome{"", fleet.Answered, fleet.NotRun, fleet.Unknown}).Draw(t, "earlier")
			case e.Type >= Dispatched && e.Type <= AnswerTruncated:
				e.Attempt = Number(rapid.IntRange(0, attemptCount+1).Draw(t, "attempt"))
			case e.Type == DeadlinePassed && rapid.Bool().Draw(t, "early"):
				continue
			}
			step(e)
		}
		if endCount == 0 {
			waiting := claims > 0 && !granted || pendingRoutes > 0
			for _, s := range attempts[1 : attemptCount+1] {
				waiting = waiting || !s.over && !s.cancelled
			}
			g.Expect(waiting).To(BeTrue(), "request has not ended but waits for no event")
			now = t0.Add(time.Second)
			step(Event{Type: DeadlinePassed})
		}
		g.Expect(endCount).To(Equal(1))
		g.Expect(!granted || reported > 0).To(BeTrue(), "granted claim was not reported")
	})
}

// TestBudgetBoundsRetriesUnderOverload guards against retry amplification: where every
// attempt is refused, the dispatches stay within the requests, the retry ratio, the
// refill per second and one burst.
func TestBudgetBoundsRetriesUnderOverload(t *testing.T) {
	g := NewWithT(t)
	b := NewBudget()
	now := t0
	dispatches := 0
	for range 1000 {
		b.addRequest(now)
	}
	for range 3 {
		for range int(b.Burst) {
			g.Expect(b.trySpend(now)).To(BeTrue())
		}
		g.Expect(b.trySpend(now)).To(BeFalse(), "budget accumulated more than one burst")
		now = now.Add(time.Hour)
	}
	for range 10000 {
		now = now.Add(time.Millisecond)
		m := &Machine{Budget: b}
		out := m.Step(now, Event{Type: Begin}, nil)
		for !m.Finished() {
			e := Event{Type: RouteChosen}
			if out[0].Type == Dispatch {
				dispatches++
				e = Event{Type: Refused, Attempt: out[0].Attempt}
			}
			out = m.Step(now, e, out[:0])
		}
		g.Expect(out).To(Equal([]Action{{Type: Respond, Outcome: fleet.NotRun, Reason: ReasonRefused}}))
	}
	bound := 10000*1.1 + 10 + 10
	g.Expect(dispatches).To(And(BeNumerically("<=", bound), BeNumerically(">", bound-20)))
}

func TestFirstAnswerCancelsTheOtherAttempt(t *testing.T) {
	g := NewWithT(t)
	m := &Machine{Budget: NewBudget(), HedgeDelay: time.Second}
	_ = m.Step(t0, Event{Type: Begin, Deadline: t0.Add(time.Minute)}, nil)
	_ = m.Step(t0, Event{Type: RouteChosen, Agent: "a"}, nil)
	at, _ := m.Wake()
	g.Expect(at).To(Equal(t0.Add(time.Second)))
	g.Expect(m.Step(at, m.WakeEvent(), nil)).To(Equal([]Action{{Type: RequestRoute}}))
	g.Expect(m.TriedAgents(nil)).To(Equal([]fleet.ID{"a"}))
	g.Expect(m.Step(at, Event{Type: RouteChosen, Agent: "b"}, nil)).To(Equal([]Action{{Type: Dispatch, Attempt: 2, Agent: "b"}}))
	g.Expect(m.Step(at, Event{Type: AnswerHead, Attempt: 2}, nil)).To(Equal([]Action{{Type: CancelAttempt, Attempt: 1}, {Type: ForwardAnswer, Attempt: 2}}))
	g.Expect(m.Step(at, Event{Type: AnswerComplete, Attempt: 1}, nil)).To(BeEmpty())
	g.Expect(m.Step(at, Event{Type: AnswerTruncated, Attempt: 2}, nil)).To(ContainElement(HaveField("Type", AbortConnection)))
}

func TestOutcomeIsReportedForTheClaim(t *testing.T) {
	begin := Event{Type: Begin, Unrepeatable: true, Deadline: t0.Add(time.Second)}
	dispatched := []Event{begin, {Type: ClaimGranted}, {Type: RouteChosen, Agent: "a"}}
	for name, c := range map[string]struct {
		events []Event
		last   []Action
	}{
		"caller gone while it runs":   {append(dispatched, Event{Type: CallerGone}), nil},
		"answer after caller is gone": {append(dispatched, Event{Type: CallerGone}, Event{Type: AnswerComplete, Attempt: 1}), []Action{{Type: ForwardAnswer, Attempt: 1}, {Type: ReportClaimOutcome, Outcome: fleet.Answered}, {Type: AbortConnection, Attempt: 1, Outcome: fleet.Unknown, Reason: ReasonCallerGone}}},
		"broken":                      {append(dispatched, Event{Type: Broken, Attempt: 1}), []Action{{Type: ReportClaimOutcome, Outcome: fleet.Unknown}, {Type: Respond, Outcome: fleet.Unknown, Reason: ReasonBroken}}},
		"refused request is retried":  {append(dispatched, Event{Type: Refused, Attempt: 1}), []Action{{Type: RequestRoute}}},
		"grant after caller is gone":  {[]Event{begin, {Type: CallerGone}, {Type: ClaimGranted}}, []Action{{Type: ReportClaimOutcome, Outcome: fleet.NotRun}}},
		"store outage":                {[]Event{begin, {Type: ClaimFailed, Commit: NotCommitted}}, []Action{{Type: Respond, Outcome: fleet.NotRun, Reason: ReasonNoClaim}}},
		"owner not reached":           {[]Event{begin, {Type: ClaimFailed}}, []Action{{Type: ReportClaimOutcome, Outcome: fleet.NotRun}, {Type: Respond, Outcome: fleet.Unknown, Reason: ReasonNoClaim}}},
	} {
		m := &Machine{}
		var out []Action
		for _, e := range c.events {
			out = m.Step(t0, e, nil)
		}
		NewWithT(t).Expect(out).To(Equal(c.last), name)
	}
}

func BenchmarkRequest(b *testing.B) {
	var out []Action
	budget := NewBudget()
	b.ReportAllocs()
	for b.Loop() {
		m := Machine{Budget: budget}
		out = m.Step(t0, Event{Type: Begin}, out[:0])
		out = m.Step(t0, Event{Type: RouteChosen, Agent: "a"}, out)
		out = m.Step(t0, Event{Type: AnswerHead, Attempt: 1}, out)
		out = m.Step(t0, Event{Type: AnswerComplete, Attempt: 1}, out)
	}
}
