package shard

import (
	"github.com/pkg/errors"

	"github.com/sesamestream/sesamestream/internal/codec"
	"github.com/sesamestream/sesamestream/pkg/decide/claim"
	"github.com/sesamestream/sesamestream/pkg/decide/task"
)

// errRecord is returned for a record of the journal that cannot be read.
var errRecord = errors.New("shard: unreadable journal")

// A sort is the first byte of a journal's record.
type sort byte

// The sorts of records.
const (
	sortTask  sort = 1
	sortClaim sort = 2
	// sortSettled says that no owner before its epoch grants leases any more.
	sortSettled sort = 3
)

// A snapshot is the whole state of a shard.
type snapshot struct {
	Tasks  []byte `cbor:"1,keyasint"`
	Claims []byte `cbor:"2,keyasint,omitempty"`
	// PredecessorsEnded is the newest epoch before which no owner grants leases.
	PredecessorsEnded task.Epoch `cbor:"3,keyasint,omitempty"`
}

func encodeTasks(records []task.Record) ([][]byte, error) {
	out := make([][]byte, 0, len(records))
	for _, r := range records {
		b, err := r.Encode()
		if err != nil {
			return nil, err
		}
		out = append(out, append([]byte{byte(sortTask)}, b...))
	}
	return out, nil
}

// restore rebuilds the state that a journal holds.
func restore(snap []byte, records [][]byte) (*state, error) {
	s := &state{tasks: task.NewState(), claims: &claim.Machine{}}
	if snap != nil {
		if err := s.load(snap); err != nil {
			return nil, err
		}
	}
	for _, r := range records {
		if err := s.apply(r); err != nil {
			return nil, err
		}
	}
	return s, nil
}

// A state is what the committed records of a shard add up to.
type state struct {
	tasks   *task.State
	claims  *claim.Machine
	settled task.Epoch
}

func (s *state) load(snap []byte) error {
	x, err := codec.Decode[snapshot](snap)
	if err != nil {
		return errors.Wrap(errRecord, err.Error())
	}
	s.settled = x.PredecessorsEnded
	s.tasks, err = task.Restore(x.Tasks)
	if err != nil || x.Claims == nil {
		return err
	}
	return s.claims.Restore(x.Claims)
}

func (s *state) apply(b []byte) error {
	if len(b) == 0 {
		return errors.Wrap(errRecord, "empty record")
	}
	switch sort(b[0]) {
	case sortTask:
		r, err := task.Decode(b[1:])
		if err != nil {
			return err
		}
		return s.tasks.Apply(r)
	case sortClaim:
		r, err := claim.Decode(b[1:])
		if err == nil {
			s.claims.Apply(r)
		}
		return err
	case sortSettled:
		e, err := codec.Decode[task.Epoch](b[1:])
		s.settled = max(s.settled, e)
		return err
	default:
		return errors.Wrapf(errRecord, "sort %d", b[0])
	}
}

func (s *state) encode() ([]byte, error) {
	b, err := s.tasks.Snapshot()
	if err != nil {
		return nil, err
	}
	c, err := s.claims.Snapshot()
	if err != nil {
		return nil, err
	}
	return codec.Encode(snapshot{Tasks: b, Claims: c, PredecessorsEnded: s.settled})
}
