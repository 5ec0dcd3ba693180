// Package attempt decides the life of one request at its entry: the claim of an
// unrepeatable request, the attempts at agents, retries and hedges within a
// budget, and what the caller is told.
//
// The rules of truth:
//   - A caller is told NotRun only where every attempt is proved not to have run.
//   - An unrepeatable request has at most one attempt without such a proof.
//   - An answer that was cut is never passed as a whole one.
//   - Each request ends with exactly one Respond or AbortBody.
package attempt

import (
	"time"

	"github.com/sesamestream/sesamestream/pkg/decide"
	"github.com/sesamestream/sesamestream/pkg/fleet"
)

// A Number counts the attempts of one request from 1.
type Number int

// MaxAttempts bounds the attempts of one request, hedges included.
const MaxAttempts = 4

// A Machine is one request. It handles one Begin and ends with one Respond or
// AbortBody; what comes later is ignored.
type Machine struct {
	// Budget pays for retries and hedges; nil allows them all.
	Budget *Budget
	// HedgeDelay is how long a repeatable request waits for an answer before a
	// second attempt; 0 means never.
	HedgeDelay time.Duration

	phase        phase
	unrepeatable bool
	deadline     time.Time
	claimed      bool
	abandoned    bool
	callerGone   bool
	routing      bool
	hedgeAt      time.Time
	tries        [MaxAttempts]try
	count        int
}

var (
	_ decide.Machine[Event, Action] = (*Machine)(nil)
	_ decide.Waker                  = (*Machine)(nil)
)

type phase int

const (
	idle phase = iota
	claiming
	running
	finished
)

// A try is one attempt.
type try struct {
	agent fleet.ID
	state state
	// sent says that bytes of the request left.
	sent bool
}

type state int

const (
	none state = iota
	// open attempts may have run and may still be answered.
	open
	// passing attempts have their answer passed to the caller.
	passing
	// refuted attempts are proved not to have run.
	refuted
	// unproved attempts ended without an answer or a proof.
	unproved
)

// Step implements decide.Machine.
func (m *Machine) Step(now time.Time, e Event, out []Action) []Action {
	switch m.phase {
	case idle:
		return m.stepIdle(now, e, out)
	case claiming:
		return m.stepClaiming(now, e, out)
	case running:
		return m.stepRunning(now, e, out)
	default:
		return m.stepFinished(e, out)
	}
}

func (m *Machine) stepIdle(now time.Time, e Event, out []Action) []Action {
	if e.Type != Begin {
		return out
	}
	m.unrepeatable = e.Unrepeatable
	m.deadline = e.Deadline
	m.Budget.fresh(now)
	switch {
	case m.overdue(now) && m.unrepeatable:
		return m.finish(out, fleet.Unknown, ReasonDeadline)
	case m.overdue(now):
		return m.finish(out, fleet.NotRun, ReasonDeadline)
	case m.unrepeatable:
		m.phase = claiming
		return append(out, Action{Type: RequestClaim})
	}
	m.phase = running
	return m.route(out)
}

func (m *Machine) stepRunning(now time.Time, e Event, out []Action) []Action {
	switch e.Type {
	case RouteChosen:
		return m.routeChosen(now, e.Agent, out)
	case RouteFailed:
		return m.routeNone(e.Reason, out)
	case DeadlinePassed:
		return m.deadlinePassed(now, out)
	case CallerGone:
		return m.leave(out)
	case HedgeTimer:
		return m.hedge(now, out)
	}
	t := m.try(e.Attempt)
	if t == nil {
		return out
	}
	return m.stepTry(now, t, e, out)
}

// stepFinished undoes what a late grant or choice would leave behind.
func (m *Machine) stepFinished(e Event, out []Action) []Action {
	switch {
	case e.Type == RouteChosen:
		return append(out, Action{Type: ReleaseRoute, Agent: e.Agent})
	case e.Type == ClaimGranted && m.abandoned:
		return append(out, Action{Type: ReportClaimOutcome, Outcome: fleet.NotRun})
	default:
		return out
	}
}

func (m *Machine) deadlinePassed(now time.Time, out []Action) []Action {
	if !m.overdue(now) {
		return out
	}
	if n := m.passing(); n > 0 {
		m.tries[n-1].state = open
		return m.cut(n, ReasonDeadline, out)
	}
	return m.finish(out, m.verdict(), ReasonDeadline)
}

// leave handles a caller that is gone. An unrepeatable request that may be
// running is left to end, so that its claim learns the outcome.
func (m *Machine) leave(out []Action) []Action {
	m.callerGone = true
	if m.unrepeatable && m.verdict() == fleet.Unknown {
		return out
	}
	if n := m.passing(); n > 0 {
		m.tries[n-1].state = open
		return m.cut(n, ReasonCallerGone, out)
	}
	return m.finish(out, m.verdict(), ReasonCallerGone)
}

// finish ends the request with what the caller is told.
func (m *Machine) finish(out []Action, o fleet.Outcome, why Reason) []Action {
	out = m.end(out, o)
	return append(out, Action{Type: Respond, Outcome: o, Reason: why})
}

// cut ends the request whose answer was passed in part; n is cancelled if it is open.
func (m *Machine) cut(n Number, why Reason, out []Action) []Action {
	out = m.end(out, fleet.Unknown)
	return append(out, Action{Type: AbortConnection, Attempt: n, Outcome: fleet.Unknown, Reason: why})
}

func (m *Machine) end(out []Action, o fleet.Outcome) []Action {
	m.phase = finished
	m.routing = false
	out = m.cancelOthers(0, out)
	if m.claimed {
		out = append(out, Action{Type: ReportClaimOutcome, Outcome: o})
	}
	return out
}
