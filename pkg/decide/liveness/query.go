package liveness

import "time"

// Wake implements decide.Waker: the next Tick.
func (m *Machine) Wake() (time.Time, bool) {
	return m.due, !m.due.IsZero()
}

// Suspected reports whether the peer is heard on no connection.
func (m *Machine) Suspected() bool {
	return m.suspected
}

// Replaced reports whether the connection's place was taken by another.
func (m *Machine) Replaced() bool {
	return m.phase == replaced
}

// idle reports whether the connection waits for nothing.
func (m *Machine) idle() bool {
	return m.waiting == 0 && !m.unheard
}

func or(d, fallback time.Duration) time.Duration {
	if d == 0 {
		return fallback
	}
	return d
}
