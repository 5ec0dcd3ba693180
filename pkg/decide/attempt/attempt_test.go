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

// likely holds every event, those that move a request on several times.
var likely = []EventType{Begin, ClaimGranted, ClaimGranted, ClaimDenied, ClaimFailed, RouteChosen, RouteChosen, RouteChosen, RouteFailed, Dispatched,
	Refused, Refused, ConnectFailed, Broken, AnswerHead, AnswerHead, AnswerComplete, AnswerTruncated, DeadlinePassed, CallerGone, HedgeTimer, HedgeTimer}

// seen is what the model holds of one attempt.
type seen struct {
	sent, over, cancelled, head, proved, complete bool
}

func TestOutcomeIsTrueForAnyEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		m := &Machine{HedgeDelay: 20 * time.Millisecond, Budget: &Budget{Burst: 3}}
		now := t0
		unrepeatable := rapid.Bool().Draw(t, "unrepeatable")
		var tries [MaxAttempts + 2]seen
		count, routes, passed, ends, released := 0, 0, Number(0), 0, 0
		stopped, hedging, live := false, false, 0
		granted, noEarlier, claims := false, !unrepeatable, 0
		allProved := func() bool {
			for _, s := range tries[1 : count+1] {
				if !s.proved {
					return false
				}
			}
			return true
		}
		ran := func() bool { return passed > 0 && tries[passed].complete }
		observe := func(e Event) {
			switch e.Type {
			case ClaimGranted:
				granted = granted || ends == 0 && claims > 0
				noEarlier = noEarlier || granted
			case ClaimFailed:
				noEarlier = noEarlier || e.Commit == NotCommitted
			case ClaimDenied:
				noEarlier = noEarlier || e.EarlierOutcome == fleet.NotRun
			case RouteChosen, RouteFailed:
				routes = max(routes-1, 0)
			}
			s := &tries[e.Attempt]
			if e.Attempt == 0 || int(e.Attempt) > count || s.over || s.cancelled {
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
			if ends > 0 {
				g.Expect(a.Type).To(BeElementOf(ReleaseRoute, ReportClaimOutcome), "after the end")
			}
			switch a.Type {
			case RequestClaim:
				claims++
			case RequestRoute:
				routes++
				g.Expect(routes).To(Equal(1))
				g.Expect(live == 0 || hedging).To(BeTrue(), "retry beside a live attempt")
			case Dispatch:
				g.Expect(passed).To(BeZero(), "dispatch beside an answer")
				if unrepeatable {
					g.Expect(granted && allProved()).To(BeTrue(), "second run")
				}
				count++
				g.Expect(a.Attempt).To(Equal(Number(count)))
			case CancelAttempt:
				g.Expect(tries[a.Attempt].over).To(BeFalse())
				tries[a.Attempt].cancelled = true
			case ForwardAnswer:
				g.Expect(passed).To(BeZero())
				g.Expect(tries[a.Attempt].head).To(BeTrue())
				passed = a.Attempt
				for i := 1; i <= count; i++ {
					g.Expect(tries[i].over || tries[i].cancelled || Number(i) == passed).To(BeTrue(), "loser goes on")
				}
			case ReportClaimOutcome:
				released++
				g.Expect(a.Outcome == fleet.NotRun).To(Equal(allProved()))
				g.Expect(a.Outcome == fleet.Answered).To(Equal(ran()))
			case Respond:
				ends++
				g.Expect(stopped || live == 0 || passed > 0).To(BeTrue(), "gave up on a live attempt")
				g.Expect(a.Outcome == fleet.Answered).To(Equal(passed > 0))
				g.Expect(a.Outcome != fleet.Answered || ran()).To(BeTrue(), "cut answer passed as whole")
				g.Expect(a.Outcome == fleet.NotRun).To(Equal(allProved() && noEarlier), "%+v", a)
			case AbortConnection:
				ends++
				g.Expect(a.Attempt).To(Equal(passed))
			}
			g.Expect(ends).To(BeNumerically("<=", 1))
		}
		step := func(e Event) {
			observe(e)
			stopped, hedging, live = e.Type == DeadlinePassed || e.Type == CallerGone, e.Type == HedgeTimer, 0
			for _, s := range tries[1 : count+1] {
				if !s.over && !s.cancelled {
					live++
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
			e := Event{Type: rapid.SampledFrom(likely).Draw(t, "event"), Agent: "a"}
			switch {
			case e.Type == ClaimFailed:
				e.Commit = rapid.SampledFrom([]CommitState{MayHaveCommitted, NotCommitted}).Draw(t, "commit")
			case e.Type == ClaimDenied:
				e.EarlierOutcome = rapid.SampledFrom([]fleet.Outcome{"", fleet.Answered, fleet.NotRun, fleet.Unknown}).Draw(t, "earlier")
			case e.Type >= Dispatched && e.Type <= AnswerTruncated:
				e.Attempt = Number(rapid.IntRange(0, count+1).Draw(t, "attempt"))
			case e.Type == DeadlinePassed && rapid.Bool().Draw(t, "early"):
				continue
			}
			step(e)
		}
		if ends == 0 {
			going := claims > 0 && !granted || routes > 0
			for _, s := range tries[1 : count+1] {
				going = going || !s.over && !s.cancelled
			}
			g.Expect(going).To(BeTrue(), "waits for nothing")
			now = t0.Add(time.Second)
			step(Event{Type: DeadlinePassed})
		}
		g.Expect(ends).To(Equal(1))
		g.Expect(!granted || released > 0).To(BeTrue(), "claim kept")
	})
}

func TestBudgetBoundsRetriesUnderOverload(t *testing.T) {
	g := NewWithT(t)
	b := NewBudget()
	now := t0
	dispatches := 0
	for range 1000 {
		b.fresh(now)
	}
	for range 3 {
		for range int(b.Burst) {
			g.Expect(b.take(now)).To(BeTrue())
		}
		g.Expect(b.take(now)).To(BeFalse(), "more than one burst")
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
		"refused goes on":             {append(dispatched, Event{Type: Refused, Attempt: 1}), []Action{{Type: RequestRoute}}},
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
