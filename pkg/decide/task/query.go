package task

import (
	"slices"
	"time"

	"github.com/sesamestream/sesamestream/pkg/fleet"
)

// Get returns the job of id as the owner knows it.
func (m *Machine) Get(id JobID) (Job, error) {
	if m.State == nil || m.State.Jobs[id] == nil {
		return Job{}, ErrUnknownJob
	}
	j := *m.State.Jobs[id]
	j.Tasks = slices.Clone(j.Tasks)
	return j, nil
}

// List returns the ids of all jobs in order.
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

// Quarantined returns until when a host is set aside, and whether it is.
func (s *State) Quarantined(id fleet.ID) (time.Time, bool) {
	l := s.Health[id]
	if l == nil || l.QuarantineDuration == 0 {
		return time.Time{}, false
	}
	return time.Unix(0, int64(l.QuarantinedUntil)), true
}

// IsOwner reports whether the machine decides for the shard.
func (m *Machine) IsOwner() bool { return m.owner }
