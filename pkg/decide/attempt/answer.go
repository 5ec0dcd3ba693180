package attempt

import (
	"time"

	"github.com/sesamestream/sesamestream/pkg/fleet"
)

// stepTry handles an event of an attempt that is open or passing.
func (m *Machine) stepTry(now time.Time, t *try, e Event, out []Action) []Action {
	if t.state == passing {
		return m.stepPassing(t, e, out)
	}
	switch e.Type {
	case Dispatched:
		t.sent = true
		return out
	case Refused:
		t.state = refuted
		return m.failed(now, reasonOr(e.Reason, ReasonRefused), out)
	case ConnectFailed:
		t.state = refuted
		if t.sent {
			t.state = unproved
		}
		return m.failed(now, reasonOr(e.Reason, ReasonConnectFailed), out)
	case Broken, AnswerTruncated:
		t.state = unproved
		return m.failed(now, reasonOr(e.Reason, ReasonBroken), out)
	case AnswerHead:
		return m.pass(t, e.Attempt, out)
	case AnswerComplete:
		out = m.pass(t, e.Attempt, out)
		return m.complete(e.Attempt, out)
	default:
		return out
	}
}

// stepPassing handles an event of the attempt whose answer is passed. Its head
// came, so that a late refusal is no proof any more.
func (m *Machine) stepPassing(t *try, e Event, out []Action) []Action {
	switch e.Type {
	case AnswerComplete:
		return m.complete(e.Attempt, out)
	case AnswerTruncated, Broken, Refused, ConnectFailed:
		t.state = unproved
		return m.cut(e.Attempt, ReasonTruncated, out)
	default:
		return out
	}
}

func (m *Machine) pass(t *try, n Number, out []Action) []Action {
	t.state = passing
	t.sent = true
	m.routing = false
	out = m.cancelOthers(n, out)
	return append(out, Action{Type: ForwardAnswer, Attempt: n})
}

func (m *Machine) complete(n Number, out []Action) []Action {
	m.tries[n-1].state = none
	if m.callerGone {
		out = m.end(out, fleet.Answered)
		return append(out, Action{Type: AbortConnection, Attempt: n, Outcome: fleet.Unknown, Reason: ReasonCallerGone})
	}
	return m.finish(out, fleet.Answered, ReasonNone)
}

// cancelOthers gives up every attempt that is not over, but for n.
func (m *Machine) cancelOthers(n Number, out []Action) []Action {
	for i := range m.tries[:m.count] {
		t := &m.tries[i]
		if t.state != open || Number(i+1) == n {
			continue
		}
		t.state = unproved
		out = append(out, Action{Type: CancelAttempt, Attempt: Number(i + 1)})
	}
	return out
}

func reasonOr(r, fallback Reason) Reason {
	if r == ReasonNone {
		return fallback
	}
	return r
}
