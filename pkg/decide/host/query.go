package host

import (
	"github.com/sesamestream/sesamestream/pkg/fleet"
)

// A Capacity is what the host has and what is left of it.
type Capacity struct {
	Worker   fleet.Incarnation
	Total    fleet.Resources
	Free     fleet.Resources
	Draining bool
	// Attempts counts what holds room.
	Attempts int
}

// Capacity returns the host's room, nothing free while the worker is silent.
func (m *Machine) Capacity() Capacity {
	r := Capacity{Worker: m.worker, Total: m.total, Draining: m.draining}
	if m.alive {
		r.Free = m.total.Minus(m.reserved)
	}
	for _, a := range m.attempts {
		if a.phase != final {
			r.Attempts++
		}
	}
	return r
}
