package task

import (
	"github.com/pkg/errors"
)

// ErrBadSnapshot is returned for bytes that are no snapshot of a known version.
var ErrBadSnapshot = errors.New("task: bad snapshot")

// Snapshot returns the state as the store keeps it.
func (s *State) Snapshot() ([]byte, error) {
	b, err := encoder.Marshal(s)
	return b, errors.WithStack(err)
}

// Restore returns the state of a snapshot, or ErrBadSnapshot.
func Restore(b []byte) (*State, error) {
	s := NewState()
	s.Version = 0
	if err := decoder.Unmarshal(b, s); err != nil {
		return nil, errors.WithMessage(ErrBadSnapshot, err.Error())
	}
	if s.Version != Version {
		return nil, errors.WithMessage(ErrBadSnapshot, "version")
	}
	for id, j := range s.Jobs {
		if id == "" || j == nil || int(j.Spec.Tasks) != len(j.Tasks) {
			return nil, errors.WithMessage(ErrBadSnapshot, "job")
		}
	}
	return s, nil
}
