package attempt

import (
	"time"

	"github.com/sesamestream/sesamestream/pkg/fleet"
)

func (m *Machine) requestRoute(out []Action) []Action {
	m.routePending = true
	return append(out, Action{Type: RequestRoute})
}

// startAttempt dispatches the request to a. It releases a if the machine no longer
// waits for a route or must not start another attempt.
func (m *Machine) startAttempt(now time.Time, a fleet.ID, out []Action) []Action {
	if !m.routePending || !m.mayDispatch() {
		return append(out, Action{Type: ReleaseRoute, Agent: a})
	}
	m.routePending = false
	m.attempts[m.attemptCount] = attempt{agent: a, state: inFlight}
	m.attemptCount++
	if m.attemptCount == 1 && !m.unrepeatable && m.HedgeDelay > 0 {
		m.hedgeAt = now.Add(m.HedgeDelay)
	}
	return append(out, Action{Type: Dispatch, Attempt: Number(m.attemptCount), Agent: a})
}

// routeFailed ends the request if no agent was found and no attempt is in flight.
func (m *Machine) routeFailed(reason Reason, out []Action) []Action {
	if !m.routePending {
		return out
	}
	m.routePending = false
	if m.inFlightCount() > 0 {
		return out
	}
	return m.respond(out, m.outcomeSoFar(), reason)
}

// retryOrRespond retries a request after an attempt ended without an answer, or ends
// it if a retry is not allowed. It does nothing while another attempt may answer.
func (m *Machine) retryOrRespond(now time.Time, reason Reason, out []Action) []Action {
	if m.inFlightCount() > 0 || m.routePending {
		return out
	}
	if m.callerGone || m.pastDeadline(now) || !m.mayDispatch() || !m.Budget.trySpend(now) {
		return m.respond(out, m.outcomeSoFar(), reason)
	}
	return m.requestRoute(out)
}

// startHedge requests a second attempt for a repeatable request that has waited
// for HedgeDelay without an answer.
func (m *Machine) startHedge(now time.Time, out []Action) []Action {
	if m.hedgeAt.IsZero() || now.Before(m.hedgeAt) {
		return out
	}
	m.hedgeAt = time.Time{}
	if m.routePending || m.inFlightCount() != 1 || m.streamingAttempt() > 0 {
		return out
	}
	if m.pastDeadline(now) || !m.mayDispatch() || !m.Budget.trySpend(now) {
		return out
	}
	return m.requestRoute(out)
}
