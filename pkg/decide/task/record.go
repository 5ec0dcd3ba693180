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

// MaxRecordBytes bounds the encoded size of one record.
const MaxRecordBytes = 128 << 10

// ErrBadRecord is returned for bytes that are not a record of a known version.
var ErrBadRecord = errors.New("task: bad record")

// An Op is the kind of change that a record makes.
type Op uint8

// The changes to a shard's state.
const (
	// OpSubmit accepts a job.
	OpSubmit Op = iota + 1
	// OpCancel cancels a job: no further attempt of it may start.
	OpCancel
	// OpAssign assigns a task's next attempt to a host.
	OpAssign
	// OpSaveCheckpoint saves a checkpoint reference.
	OpSaveCheckpoint
	// OpRequeue ends an attempt without counting a failure of its host or job.
	OpRequeue
	// OpFail ends an attempt that failed and counts the failure.
	OpFail
	// OpDone ends an attempt that succeeded.
	OpDone
	// OpGiveUp fails a job with a reason.
	OpGiveUp
	// OpForget deletes a job that is over.
	OpForget
)

// A Record is one change to a shard's state, as stored in the shard's journal.
type Record struct {
	Version uint8 `cbor:"1,keyasint"`
	Op      Op    `cbor:"2,keyasint"`
	// At is the owner's time as the duration since the Unix epoch.
	At         time.Duration     `cbor:"3,keyasint"`
	Task       ID                `cbor:"4,keyasint"`
	Attempt    Attempt           `cbor:"5,keyasint,omitempty"`
	Host       fleet.ID          `cbor:"6,keyasint,omitempty"`
	Worker     fleet.Incarnation `cbor:"7,keyasint,omitempty"`
	Checkpoint Checkpoint        `cbor:"8,keyasint,omitempty"`
	Reason     string            `cbor:"9,keyasint,omitempty"`
	Spec       *Spec             `cbor:"10,keyasint,omitempty"`
}

// Encode returns r in the journal's encoding.
func (r Record) Encode() ([]byte, error) {
	return record.Encode(r)
}

// Decode returns the record encoded in b, or ErrBadRecord.
func Decode(b []byte) (Record, error) {
	var r Record
	if err := record.Decode(b, MaxRecordBytes, ErrBadRecord, &r); err != nil {
		return r, err
	}
	return r, r.check()
}

// check returns ErrBadRecord if r breaks a limit.
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

// specDigest returns the digest of the encoding of s.
func specDigest(s *Spec) Digest {
	b, err := record.Encode(s)
	if err != nil {
		return Digest{}
	}
	return sha256.Sum256(b)
}

// truncate cuts a text that an agent sent to MaxTextBytes.
func truncate(s string) string {
	if len(s) > MaxTextBytes {
		return s[:MaxTextBytes]
	}
	return s
}
