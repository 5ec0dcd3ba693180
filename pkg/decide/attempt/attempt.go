// Package attempt decides how an entry handles one request: the claim of an
// unrepeatable request, the attempts at agents, retries and hedges within a
// budget, and the outcome reported to the caller.
//
// It maintains these invariants:
//   - The outcome is NotRun only if every attempt is proved not to have run.
//   - An unrepeatable request has at most one attempt without such a proof.
//   - A truncated answer is never forwarded as a complete one.
//   - Each request ends with exactly one Respond or AbortConnection.
package attempt

import (
	"time"

	"github.com/sesamestream/sesamestream/pkg/decide"
	"github.com/sesamestream/sesamestream/pkg/fleet"
)

// A Number identifies an attempt of a request, starting at 1.
type Number int

// MaxAttempts bounds the attempts of one request, hedges included.
const MaxAttempts = 4

// A Machine is the state machine of one request. It handles one Begin and ends
// with one Respond or AbortConnection. After that it only releases routes and
// claims that are granted late; it ignores all other events.
type Machine struct {
	// Budget limits retries and hedges; nil means no limit.
	Budget *Budget
	// HedgeDelay is how long a repeatable request waits for an answer before it
	// starts a second attempt; 0 disables hedging.
	HedgeDelay time.Duration

	phase          phase
	unrepeatable   bool
	deadline       time.Time
	claimed        bool
	claimAbandoned bool
	callerGone     bool
	routePending   bool
	hedgeAt        time.Time
	attempts       [MaxAttempts]attempt
	attemptCount   int
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

// An attempt is one dispatch of the request to an agent.
type attempt struct {
	agent fleet.ID
	state attemptState
	// bytesSent is set once any bytes of the request were sent.
	bytesSent bool
}

type attemptState int

const (
	// inactive attempts were not started or have received their whole answer.
	inactive attemptState = iota
	// inFlight attempts may have run and may still be answered.
	inFlight
	// streaming attempts are having their answer forwarded to the caller.
	streaming
	// provedNotRun attempts are proved not to have run.
	provedNotRun
	// indeterminate attempts ended without an answer or a proof that they have not run.
	indeterminate
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
	m.Budget.addRequest(now)
	switch {
	case m.pastDeadline(now) && m.unrepeatable:
		return m.respond(out, fleet.Unknown, ReasonDeadline)
	case m.pastDeadline(now):
		return m.respond(out, fleet.NotRun, ReasonDeadline)
	case m.unrepeatable:
		m.phase = claiming
		return append(out, Action{Type: RequestClaim})
	}
	m.phase = running
	return m.requestRoute(out)
}

func (m *Machine) stepRunning(now time.Time, e Event, out []Action) []Action {
	switch e.Type {
	case RouteChosen:
		return m.startAttempt(now, e.Agent, out)
	case RouteFailed:
		return m.routeFailed(e.Reason, out)
	case DeadlinePassed:
		return m.handleDeadline(now, out)
	case CallerGone:
		return m.handleCallerGone(out)
	case HedgeTimer:
		return m.startHedge(now, out)
	}
	t := m.pendingAttempt(e.Attempt)
	if t == nil {
		return out
	}
	return m.stepAttempt(now, t, e, out)
}

// stepFinished releases a route that is chosen, or an abandoned claim that is
// granted, after the request has ended.
func (m *Machine) stepFinished(e Event, out []Action) []Action {
	switch {
	case e.Type == RouteChosen:
		return append(out, Action{Type: ReleaseRoute, Agent: e.Agent})
	case e.Type == ClaimGranted && m.claimAbandoned:
		return append(out, Action{Type: ReportClaimOutcome, Outcome: fleet.NotRun})
	default:
		return out
	}
}

func (m *Machine) handleDeadline(now time.Time, out []Action) []Action {
	if !m.pastDeadline(now) {
		return out
	}
	if n := m.streamingAttempt(); n > 0 {
		m.attempts[n-1].state = inFlight
		return m.abort(n, ReasonDeadline, out)
	}
	return m.respond(out, m.outcomeSoFar(), ReasonDeadline)
}

// handleCallerGone handles the disconnection of the caller. An unrepeatable
// request that may be running continues, so that its outcome can be reported to
// the owner of the claim.
func (m *Machine) handleCallerGone(out []Action) []Action {
	m.callerGone = true
	if m.unrepeatable && m.outcomeSoFar() == fleet.Unknown {
		return out
	}
	if n := m.streamingAttempt(); n > 0 {
		m.attempts[n-1].state = inFlight
		return m.abort(n, ReasonCallerGone, out)
	}
	return m.respond(out, m.outcomeSoFar(), ReasonCallerGone)
}

// respond ends the request by reporting outcome o to the caller.
func (m *Machine) respond(out []Action, o fleet.Outcome, reason Reason) []Action {
	out = m.end(out, o)
	return append(out, Action{Type: Respond, Outcome: o, Reason: reason})
}

// abort ends a request whose answer was forwarded in part. Attempt n is cancelled
// if it is in flight.
func (m *Machine) abort(n Number, reason Reason, out []Action) []Action {
	out = m.end(out, fleet.Unknown)
	return append(out, Action{Type: AbortConnection, Attempt: n, Outcome: fleet.Unknown, Reason: reason})
}

// end finishes the request with outcome o: it cancels the attempts in flight and
// reports o to the owner of the claim.
func (m *Machine) end(out []Action, o fleet.Outcome) []Action {
	m.phase = finished
	m.routePending = false
	out = m.cancelOthers(0, out)
	if m.claimed {
		out = append(out, Action{Type: ReportClaimOutcome, Outcome: o})
	}
	return out
}
