package tablesync

import (
	"time"

	"github.com/sesamestream/sesamestream/pkg/table"
)

// State returns whether a table is in force.
func (m *Machine) State() State {
	return m.state
}

// Table returns the table in force, and false where there is none.
func (m *Machine) Table() (table.Table, bool) {
	return m.current, m.state == InForce
}

// Age returns how long ago the store confirmed the table in force, as far as is known here,
// and 0 where none is in force. It grows while neither the store nor a peer that heard of it answers.
func (m *Machine) Age(now time.Time) time.Duration {
	if m.state == NoTable {
		return 0
	}
	return max(0, now.Sub(m.confirmed))
}

// Watching reports whether this process should hold a watch of the store.
func (m *Machine) Watching() bool {
	return m.watching
}

func (m *Machine) revision() table.Revision {
	return m.current.Revision
}

func (m *Machine) reportAge() {
	m.do(ReportAge{State: m.state, Revision: m.revision(), Age: m.Age(m.now)})
}
