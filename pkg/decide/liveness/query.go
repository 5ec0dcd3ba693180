package liveness

import "time"

// Wake implements decide.Waker: the next Tick.
func (m *Machine) Wake() (time.Time, bool) {
	return m.wakeAt, !m.wakeAt.IsZero()
}

// Suspected reports whether the peer is heard on no connection.
func (m *Machine) Suspected() bool {
	return m.suspected
}

// Replaced reports whether the connection's place was taken by another.
func (m *Machine) Replaced() bool {
	return m.phase == phaseReplaced
}

// idle reports whether the connection waits for nothing.
func (m *Machine) idle() bool {
	return m.inFlight == 0 && !m.sentSinceReceived
}

func orDefault(d, fallback time.Duration) time.Duration {
	if d == 0 {
		return fallback
	}
	return d
}
