package attempt

import (
	"time"

	"github.com/sesamestream/sesamestream/pkg/fleet"
)

func (m *Machine) route(out []Action) []Action {
	m.routing = true
	return append(out, Action{Type: RequestRoute})
}

func (m *Machine) routeChosen(now time.Time, a fleet.ID, out []Action) []Action {
	if !m.routing || !m.mayDispatch() {
		return append(out, Action{Type: ReleaseRoute, Agent: a})
	}
	m.routing = false
	m.tries[m.count] = try{agent: a, state: open}
	m.count++
	if m.count == 1 && !m.unrepeatable && m.HedgeDelay > 0 {
		m.hedgeAt = now.Add(m.HedgeDelay)
	}
	return append(out, Action{Type: Dispatch, Attempt: Number(m.count), Agent: a})
}

func (m *Machine) routeNone(why Reason, out []Action) []Action {
	if !m.routing {
		return out
	}
	m.routing = false
	if m.openCount() > 0 {
		return out
	}
	return m.finish(out, m.verdict(), why)
}

// failed goes on after an attempt ended without an answer.
func (m *Machine) failed(now time.Time, why Reason, out []Action) []Action {
	if m.openCount() > 0 || m.routing {
		return out
	}
	if m.callerGone || m.overdue(now) || !m.mayDispatch() || !m.Budget.take(now) {
		return m.finish(out, m.verdict(), why)
	}
	return m.route(out)
}

// hedge starts a second attempt at a repeatable request that waits for long.
func (m *Machine) hedge(now time.Time, out []Action) []Action {
	if m.hedgeAt.IsZero() || now.Before(m.hedgeAt) {
		return out
	}
	m.hedgeAt = time.Time{}
	if m.routing || m.openCount() != 1 || m.passing() > 0 {
		return out
	}
	if m.overdue(now) || !m.mayDispatch() || !m.Budget.take(now) {
		return out
	}
	return m.route(out)
}
