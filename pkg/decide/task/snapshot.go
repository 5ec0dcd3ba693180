package task

import (
	"math"

	"github.com/pkg/errors"

	"github.com/sesamestream/sesamestream/pkg/decide/record"
)

// ErrBadSnapshot is returned for bytes that are not a snapshot of a known version.
var ErrBadSnapshot = errors.New("task: bad snapshot")

// Snapshot returns s in the store's encoding.
func (s *State) Snapshot() ([]byte, error) {
	return record.Encode(s)
}

// Restore returns the state encoded in a snapshot, or ErrBadSnapshot.
func Restore(b []byte) (*State, error) {
	s := NewState()
	s.Version = 0
	if err := record.Decode(b, math.MaxInt, ErrBadSnapshot, s); err != nil {
		return nil, err
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
