package attempt

import (
	"time"

	"github.com/sesamestream/sesamestream/pkg/fleet"
)

// stepAttempt handles an event of an attempt that is in flight or streaming.
func (m *Machine) stepAttempt(now time.Time, t *attempt, e Event, out []Action) []Action {
	if t.state == streaming {
		return m.stepStreaming(t, e, out)
	}
	switch e.Type {
	case Dispatched:
		t.bytesSent = true
		return out
	case Refused:
		t.state = provedNotRun
		return m.retryOrRespond(now, reasonOrDefault(e.Reason, ReasonRefused), out)
	case ConnectFailed:
		t.state = provedNotRun
		if t.bytesSent {
			t.state = indeterminate
		}
		return m.retryOrRespond(now, reasonOrDefault(e.Reason, ReasonConnectFailed), out)
	case Broken, AnswerTruncated:
		t.state = indeterminate
		return m.retryOrRespond(now, reasonOrDefault(e.Reason, ReasonBroken), out)
	case AnswerHead:
		return m.forwardAnswer(t, e.Attempt, out)
	case AnswerComplete:
		out = m.forwardAnswer(t, e.Attempt, out)
		return m.completeAnswer(e.Attempt, out)
	default:
		return out
	}
}

// stepStreaming handles an event of the attempt whose answer is being forwarded.
// The head of its answer was received, so a later refusal doesn't prove that the
// attempt has not run.
func (m *Machine) stepStreaming(t *attempt, e Event, out []Action) []Action {
	switch e.Type {
	case AnswerComplete:
		return m.completeAnswer(e.Attempt, out)
	case AnswerTruncated, Broken, Refused, ConnectFailed:
		t.state = indeterminate
		return m.abort(e.Attempt, ReasonTruncated, out)
	default:
		return out
	}
}

// forwardAnswer selects attempt n as the one that answers the caller and cancels
// the others.
func (m *Machine) forwardAnswer(t *attempt, n Number, out []Action) []Action {
	t.state = streaming
	t.bytesSent = true
	m.routePending = false
	out = m.cancelOthers(n, out)
	return append(out, Action{Type: ForwardAnswer, Attempt: n})
}

// completeAnswer ends the request after the whole answer of attempt n was received.
func (m *Machine) completeAnswer(n Number, out []Action) []Action {
	m.attempts[n-1].state = inactive
	if m.callerGone {
		out = m.end(out, fleet.Answered)
		return append(out, Action{Type: AbortConnection, Attempt: n, Outcome: fleet.Unknown, Reason: ReasonCallerGone})
	}
	return m.respond(out, fleet.Answered, ReasonNone)
}

// cancelOthers cancels every attempt in flight except n.
func (m *Machine) cancelOthers(n Number, out []Action) []Action {
	for i := range m.attempts[:m.attemptCount] {
		t := &m.attempts[i]
		if t.state != inFlight || Number(i+1) == n {
			continue
		}
		t.state = indeterminate
		out = append(out, Action{Type: CancelAttempt, Attempt: Number(i + 1)})
	}
	return out
}

func reasonOrDefault(r, fallback Reason) Reason {
	if r == ReasonNone {
		return fallback
	}
	return r
}
