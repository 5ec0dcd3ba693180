package task

import (
	"crypto/sha256"
	"time"

	"github.com/pkg/errors"

	"github.com/sesamestream/sesamestream/pkg/decide/record"
	"github.com/sesamestream/sesamestream/pkg/fleet"
)

// Version is the version of records and snapshots that this package writes.
const Version = 1

// MaxRecordBytes bounds one encoded record.
const MaxRecordBytes = 128 << 10

// ErrBadRecord is returned for bytes that are no record of a known version.
var ErrBadRecord = errors.New("task: bad record")

// An Op says what a record changes.
type Op uint8

// The changes of a shard's state.
const (
	// OpSubmit accepts a job.
	OpSubmit Op = iota + 1
	// OpCancel bars a job from new attempts.
	OpCancel
	// OpAssign gives a task's next attempt to a host.
	OpAssign
	// OpSaveCheckpoint keeps a checkpoint reference.
	OpSaveCheckpoint
	// OpRequeue ends an attempt without counting it against anyone.
	OpRequeue
	// OpFail ends an attempt that failed on its host.
	OpFail
	// OpDone ends a task well.
	OpDone
	// OpGiveUp ends every queued task of a job with a reason.
	OpGiveUp
	// OpForget drops a job that is over.
	OpForget
)

// A Record is one change of a shard's state, as its journal holds it.
type Record struct {
	Version uint8 `cbor:"1,keyasint"`
	Op      Op    `cbor:"2,keyasint"`
	// At is the owner's time since the Unix epoch.
	At         time.Duration     `cbor:"3,keyasint"`
	Task       ID                `cbor:"4,keyasint"`
	Attempt    Attempt           `cbor:"5,keyasint,omitempty"`
	Host       fleet.ID          `cbor:"6,keyasint,omitempty"`
	Worker     fleet.Incarnation `cbor:"7,keyasint,omitempty"`
	Checkpoint Checkpoint        `cbor:"8,keyasint,omitempty"`
	Reason     string            `cbor:"9,keyasint,omitempty"`
	Spec       *Spec             `cbor:"10,keyasint,omitempty"`
}

// Encode returns r as the journal keeps it.
func (r Record) Encode() ([]byte, error) {
	return record.Encode(r)
}

// Decode returns the record in b, or ErrBadRecord.
func Decode(b []byte) (Record, error) {
	var r Record
	if err := record.Decode(b, MaxRecordBytes, ErrBadRecord, &r); err != nil {
		return r, err
	}
	return r, r.check()
}

func (r *Record) check() error {
	switch {
	case r.Version != Version:
		return errors.WithMessage(ErrBadRecord, "version")
	case r.Op < OpSubmit || r.Op > OpForget:
		return errors.WithMessage(ErrBadRecord, "op")
	case r.Task.Job == "" || len(r.Task.Job) > MaxIDBytes || len(r.Host) > MaxIDBytes:
		return errors.WithMessage(ErrBadRecord, "name")
	case len(r.Checkpoint) > MaxTextBytes || len(r.Reason) > MaxTextBytes:
		return errors.WithMessage(ErrBadRecord, "text")
	case (r.Op == OpSubmit) != (r.Spec != nil):
		return errors.WithMessage(ErrBadRecord, "spec")
	}
	if r.Spec != nil && r.Spec.Check() != nil {
		return errors.WithMessage(ErrBadRecord, "spec")
	}
	return nil
}

func digest(s *Spec) Digest {
	b, err := record.Encode(s)
	if err != nil {
		return Digest{}
	}
	return sha256.Sum256(b)
}

// clip bounds a text that an agent sent.
func clip(s string) string {
	if len(s) > MaxTextBytes {
		return s[:MaxTextBytes]
	}
	return s
}
