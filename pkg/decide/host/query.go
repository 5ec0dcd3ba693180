package host

import (
	"github.com/sesamestream/sesamestream/pkg/fleet"
)

// Capacity is the total and free capacity of the host.
type Capacity struct {
	Worker   fleet.Incarnation
	Total    fleet.Resources
	Free     fleet.Resources
	Draining bool
	// Attempts is the number of attempts that hold resources.
	Attempts int
}

// Capacity returns the capacity of the host, none of it free while the worker is
// unresponsive.
func (m *Machine) Capacity() Capacity {
	c := Capacity{Worker: m.worker, Total: m.total, Draining: m.draining}
	if m.workerResponsive {
		c.Free = m.total.Minus(m.reserved)
	}
	for _, a := range m.attempts {
		if a.phase != final {
			c.Attempts++
		}
	}
	return c
}
