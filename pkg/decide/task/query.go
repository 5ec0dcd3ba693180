package task

import (
	"slices"
	"time"

	"github.com/sesamestream/sesamestream/pkg/fleet"
)

// Get returns the job of id in the owner's current state, which may not be
// committed yet.
func (m *Machine) Get(id JobID) (Job, error) {
	if m.State == nil || m.State.Jobs[id] == nil {
		return Job{}, ErrUnknownJob
	}
	j := *m.State.Jobs[id]
	j.Tasks = slices.Clone(j.Tasks)
	return j, nil
}

// List returns the sorted ids of all jobs.
func (m *Machine) List() []JobID {
	var ids []JobID
	if m.State == nil {
		return ids
	}
	for id := range m.State.Jobs {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// Quarantined returns when a quarantined host may be probed, and false for other
// hosts. A host stays in quarantine until a task on it succeeds.
func (s *State) Quarantined(id fleet.ID) (time.Time, bool) {
	l := s.Health[id]
	if l == nil || l.QuarantineDuration == 0 {
		return time.Time{}, false
	}
	return time.Unix(0, int64(l.QuarantinedUntil)), true
}

// IsOwner reports whether the machine owns the shard.
func (m *Machine) IsOwner() bool { return m.owner }
