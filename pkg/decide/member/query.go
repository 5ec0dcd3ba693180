package member

import (
	"time"

	"github.com/sesamestream/sesamestream/pkg/fleet"
)

// Self returns what this process announces of itself.
func (m *Machine) Self() Info {
	return m.me.info()
}

// Members returns the live members of the data centre besides this process, in order of ID.
func (m *Machine) Members() []Info {
	out := make([]Info, 0, len(m.ring))
	for _, id := range m.ids {
		if r := m.members[id]; r != m.me && r.live() {
			out = append(out, r.info())
		}
	}
	return out
}

// State returns what is held of the process id, and false where it is not known.
func (m *Machine) State(id fleet.ID) (State, fleet.ProcessIncarnation, bool) {
	r, ok := m.members[id]
	if !ok {
		return Left, fleet.ProcessIncarnation{}, false
	}
	return r.state, r.life, true
}

// A RemoteDataCentre is another data centre as it was last heard of.
type RemoteDataCentre struct {
	Summary Summary
	// ReceivedAt is when the summary arrived, zero where only contacts are known.
	ReceivedAt time.Time
}

// RemoteDataCentres returns the other data centres, in order of region and data centre.
func (m *Machine) RemoteDataCentres() []RemoteDataCentre {
	out := make([]RemoteDataCentre, 0, len(m.sites))
	for _, s := range m.sites {
		out = append(out, RemoteDataCentre{Summary: m.remotes[s].summary, ReceivedAt: m.remotes[s].seen})
	}
	return out
}

// HealthScore returns the local health multiplier, 0 for a process that keeps up.
func (m *Machine) HealthScore() int {
	return m.health
}

// Digest returns a hash of the view of the data centre, equal where the views are equal.
func (m *Machine) Digest() uint64 {
	return m.digest
}
