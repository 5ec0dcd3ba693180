package attempt

import (
	"time"

	"github.com/sesamestream/sesamestream/pkg/fleet"
)

// TriedAgents appends the agents that were sent an attempt to ids and returns it.
func (m *Machine) TriedAgents(ids []fleet.ID) []fleet.ID {
	for i := range m.attempts[:m.attemptCount] {
		ids = append(ids, m.attempts[i].agent)
	}
	return ids
}

// Finished reports whether the request has ended.
func (m *Machine) Finished() bool {
	return m.phase == finished
}

// Wake implements decide.Waker. It returns the time of the next HedgeTimer or
// DeadlinePassed.
func (m *Machine) Wake() (time.Time, bool) {
	if m.phase == idle || m.phase == finished {
		return time.Time{}, false
	}
	if !m.hedgeAt.IsZero() && (m.deadline.IsZero() || m.hedgeAt.Before(m.deadline)) {
		return m.hedgeAt, true
	}
	return m.deadline, !m.deadline.IsZero()
}

// WakeEvent returns the event to pass to Step at the time returned by Wake.
func (m *Machine) WakeEvent() Event {
	if !m.hedgeAt.IsZero() && (m.deadline.IsZero() || m.hedgeAt.Before(m.deadline)) {
		return Event{Type: HedgeTimer}
	}
	return Event{Type: DeadlinePassed}
}

func (m *Machine) pastDeadline(now time.Time) bool {
	return !m.deadline.IsZero() && !now.Before(m.deadline)
}

// pendingAttempt returns attempt n if it is in flight or streaming, otherwise nil.
func (m *Machine) pendingAttempt(n Number) *attempt {
	if n < 1 || int(n) > m.attemptCount {
		return nil
	}
	t := &m.attempts[n-1]
	if t.state != inFlight && t.state != streaming {
		return nil
	}
	return t
}

func (m *Machine) inFlightCount() int {
	n := 0
	for i := range m.attempts[:m.attemptCount] {
		if m.attempts[i].state == inFlight {
			n++
		}
	}
	return n
}

// streamingAttempt returns the attempt whose answer is being forwarded, or 0.
func (m *Machine) streamingAttempt() Number {
	for i := range m.attempts[:m.attemptCount] {
		if m.attempts[i].state == streaming {
			return Number(i + 1)
		}
	}
	return 0
}

// outcomeSoFar returns NotRun if every attempt is proved not to have run, otherwise
// Unknown.
func (m *Machine) outcomeSoFar() fleet.Outcome {
	for i := range m.attempts[:m.attemptCount] {
		if m.attempts[i].state != provedNotRun {
			return fleet.Unknown
		}
	}
	return fleet.NotRun
}

// mayDispatch reports whether MaxAttempts and the at-most-once rule for unrepeatable
// requests allow another attempt.
func (m *Machine) mayDispatch() bool {
	if m.attemptCount == MaxAttempts {
		return false
	}
	return !m.unrepeatable || m.outcomeSoFar() == fleet.NotRun
}
