package shard

import (
	"github.com/pkg/errors"

	"github.com/sesamestream/sesamestream/internal/codec"
	"github.com/sesamestream/sesamestream/pkg/decide/claim"
	"github.com/sesamestream/sesamestream/pkg/decide/task"
)

// errUnreadableRecord means that a record or snapshot of the journal cannot be decoded.
var errUnreadableRecord = errors.New("shard: unreadable journal")

// A recordType is the first byte of a journal record.
type recordType byte

// The types of journal records.
const (
	taskRecord  recordType = 1
	claimRecord recordType = 2
	// predecessorsEndedRecord holds an epoch before which no owner grants leases any more.
	predecessorsEndedRecord recordType = 3
)

// A snapshot is the encoded state of a shard.
type snapshot struct {
	Tasks  []byte `cbor:"1,keyasint"`
	Claims []byte `cbor:"2,keyasint,omitempty"`
	// PredecessorsEnded is the newest epoch before which no owner grants leases any more.
	PredecessorsEnded task.Epoch `cbor:"3,keyasint,omitempty"`
}

func encodeTaskRecords(records []task.Record) ([][]byte, error) {
	out := make([][]byte, 0, len(records))
	for _, r := range records {
		b, err := r.Encode()
		if err != nil {
			return nil, err
		}
		out = append(out, append([]byte{byte(taskRecord)}, b...))
	}
	return out, nil
}

// restoreState rebuilds the state of a shard from a snapshot, which may be nil, and
// the records after it.
func restoreState(snap []byte, records [][]byte) (*state, error) {
	s := &state{tasks: task.NewState(), claims: &claim.Machine{}}
	if snap != nil {
		if err := s.loadSnapshot(snap); err != nil {
			return nil, err
		}
	}
	for _, r := range records {
		if err := s.applyRecord(r); err != nil {
			return nil, err
		}
	}
	return s, nil
}

// A state is the result of all committed records of a shard.
type state struct {
	tasks             *task.State
	claims            *claim.Machine
	predecessorsEnded task.Epoch
}

func (s *state) loadSnapshot(snap []byte) error {
	x, err := codec.Decode[snapshot](snap)
	if err != nil {
		return errors.Wrap(errUnreadableRecord, err.Error())
	}
	s.predecessorsEnded = x.PredecessorsEnded
	s.tasks, err = task.Restore(x.Tasks)
	if err != nil || x.Claims == nil {
		return err
	}
	return s.claims.Restore(x.Claims)
}

func (s *state) applyRecord(b []byte) error {
	if len(b) == 0 {
		return errors.Wrap(errUnreadableRecord, "empty record")
	}
	switch recordType(b[0]) {
	case taskRecord:
		r, err := task.Decode(b[1:])
		if err != nil {
			return err
		}
		return s.tasks.Apply(r)
	case claimRecord:
		r, err := claim.Decode(b[1:])
		if err == nil {
			s.claims.Apply(r)
		}
		return err
	case predecessorsEndedRecord:
		e, err := codec.Decode[task.Epoch](b[1:])
		s.predecessorsEnded = max(s.predecessorsEnded, e)
		return err
	default:
		return errors.Wrapf(errUnreadableRecord, "record type %d", b[0])
	}
}

func (s *state) encodeSnapshot() ([]byte, error) {
	b, err := s.tasks.Snapshot()
	if err != nil {
		return nil, err
	}
	c, err := s.claims.Snapshot()
	if err != nil {
		return nil, err
	}
	return codec.Encode(snapshot{Tasks: b, Claims: c, PredecessorsEnded: s.predecessorsEnded})
}
