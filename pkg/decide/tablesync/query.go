package tablesync

import (
	"time"

	"github.com/sesamestream/sesamestream/pkg/table"
)

// State returns whether a table is in force.
func (m *Machine) State() State {
	return m.state
}

// Table returns the table in force, and false if there is none.
func (m *Machine) Table() (table.Table, bool) {
	return m.current, m.state == InForce
}

// Age returns the time since the last known confirmation of the table in force by the store, or 0 if
// no table is in force. It grows while neither the store nor a peer with a newer confirmation answers.
func (m *Machine) Age(now time.Time) time.Duration {
	if m.state == NoTable {
		return 0
	}
	return max(0, now.Sub(m.confirmedAt))
}

// Watching reports whether this process should hold a watch of the store.
func (m *Machine) Watching() bool {
	return m.watching
}

func (m *Machine) revision() table.Revision {
	return m.current.Revision
}

func (m *Machine) reportAge() {
	m.emit(ReportAge{State: m.state, Revision: m.revision(), Age: m.Age(m.now)})
}
