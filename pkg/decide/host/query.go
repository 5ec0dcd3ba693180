package host

import (
	"github.com/sesamestream/sesamestream/pkg/fleet"
)

// A Room is what the host has and what is left of it.
type Room struct {
	Worker   fleet.Incarnation
	Total    fleet.Resources
	Free     fleet.Resources
	Draining bool
	// Attempts counts what holds room.
	Attempts int
}

// Room returns the host's room, nothing free while the worker is silent.
func (m *Machine) Room() Room {
	r := Room{Worker: m.worker, Total: m.total, Draining: m.draining}
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
