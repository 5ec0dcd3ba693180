package member

import (
	"time"

	"github.com/sesamestream/sesamestream/pkg/fleet"
)

// Self returns what this process announces about itself.
func (m *Machine) Self() Info {
	return m.self.info()
}

// Members returns the live members of the data centre besides this process, in order of ID.
func (m *Machine) Members() []Info {
	out := make([]Info, 0, len(m.ring))
	for _, id := range m.ids {
		if r := m.members[id]; r != m.self && r.live() {
			out = append(out, r.info())
		}
	}
	return out
}

// State returns the state and the identity of the member id, and false if it is not known.
func (m *Machine) State(id fleet.ID) (State, fleet.ProcessIncarnation, bool) {
	r, ok := m.members[id]
	if !ok {
		return Left, fleet.ProcessIncarnation{}, false
	}
	return r.state, r.identity, true
}

// A RemoteDataCentre is what this process knows about another data centre.
type RemoteDataCentre struct {
	Summary Summary
	// ReceivedAt is when the summary arrived; zero if only contacts are known.
	ReceivedAt time.Time
}

// RemoteDataCentres returns the other data centres, in order of region and data centre.
func (m *Machine) RemoteDataCentres() []RemoteDataCentre {
	out := make([]RemoteDataCentre, 0, len(m.remoteKeys))
	for _, s := range m.remoteKeys {
		out = append(out, RemoteDataCentre{Summary: m.remotes[s].summary, ReceivedAt: m.remotes[s].receivedAt})
	}
	return out
}

// HealthScore returns the local health multiplier of Lifeguard: 0 for a healthy process,
// more for one that is slow or loses messages.
func (m *Machine) HealthScore() int {
	return m.healthScore
}

// Digest returns a hash of the view of the data centre; equal views have equal hashes.
func (m *Machine) Digest() uint64 {
	return m.digest
}
