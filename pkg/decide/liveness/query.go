package liveness

import "time"

// Wake implements decide.Waker. It returns when the next Tick is due.
func (m *Machine) Wake() (time.Time, bool) {
	return m.wakeAt, !m.wakeAt.IsZero()
}

// Suspected reports whether the peer is suspected to be unresponsive on any connection.
func (m *Machine) Suspected() bool {
	return m.suspected
}

// Replaced reports whether the connection has been replaced by another.
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
