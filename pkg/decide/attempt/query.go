package attempt

import (
	"time"

	"github.com/sesamestream/sesamestream/pkg/fleet"
)

// TriedAgents appends the agents that had an attempt to ids and returns it.
func (m *Machine) TriedAgents(ids []fleet.ID) []fleet.ID {
	for i := range m.tries[:m.count] {
		ids = append(ids, m.tries[i].agent)
	}
	return ids
}

// Finished reports whether the request has ended.
func (m *Machine) Finished() bool {
	return m.phase == finished
}

// Wake implements decide.Waker: the next HedgeTimer or DeadlinePassed.
func (m *Machine) Wake() (time.Time, bool) {
	if m.phase == idle || m.phase == finished {
		return time.Time{}, false
	}
	if !m.hedgeAt.IsZero() && (m.deadline.IsZero() || m.hedgeAt.Before(m.deadline)) {
		return m.hedgeAt, true
	}
	return m.deadline, !m.deadline.IsZero()
}

// WakeEvent returns the event that is due at the time of Wake.
func (m *Machine) WakeEvent() Event {
	if !m.hedgeAt.IsZero() && (m.deadline.IsZero() || m.hedgeAt.Before(m.deadline)) {
		return Event{Type: HedgeTimer}
	}
	return Event{Type: DeadlinePassed}
}

func (m *Machine) overdue(now time.Time) bool {
	return !m.deadline.IsZero() && !now.Before(m.deadline)
}

// try returns the attempt n that is not over, or nil.
func (m *Machine) try(n Number) *try {
	if n < 1 || int(n) > m.count {
		return nil
	}
	t := &m.tries[n-1]
	if t.state != open && t.state != passing {
		return nil
	}
	return t
}

func (m *Machine) openCount() int {
	n := 0
	for i := range m.tries[:m.count] {
		if m.tries[i].state == open {
			n++
		}
	}
	return n
}

// passing returns the attempt whose answer is passed, or 0.
func (m *Machine) passing() Number {
	for i := range m.tries[:m.count] {
		if m.tries[i].state == passing {
			return Number(i + 1)
		}
	}
	return 0
}

// verdict returns NotRun where every attempt is proved not to have run, and
// Unknown else.
func (m *Machine) verdict() fleet.Outcome {
	for i := range m.tries[:m.count] {
		if m.tries[i].state != refuted {
			return fleet.Unknown
		}
	}
	return fleet.NotRun
}

// mayDispatch reports whether one more attempt breaks no rule.
func (m *Machine) mayDispatch() bool {
	if m.count == MaxAttempts {
		return false
	}
	return !m.unrepeatable || m.verdict() == fleet.NotRun
}
