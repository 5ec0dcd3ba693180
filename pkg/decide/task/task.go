// Package task decides what one shard owner does with its jobs and tasks:
// when they are accepted, where they run, and when they may run again.
//
// A Machine changes its state by records only. Actions that others rely on are
// emitted after the record is committed to the shard's journal. No two attempts
// of a batch task run at once: an attempt runs under a lease that only the owner
// grants, and the next attempt is assigned when the last one has ended, was
// never granted a lease, or its lease has lapsed.
package task

import (
	"crypto/sha256"
	"time"

	"github.com/pkg/errors"

	"github.com/sesamestream/sesamestream/pkg/fleet"
	"github.com/sesamestream/sesamestream/pkg/table"
)

// The limits on what a submitter sends.
const (
	// MaxIDBytes bounds the id of a job, and the names in its spec.
	MaxIDBytes = 128
	// MaxPayloadBytes bounds the payload that a job passes to its tasks.
	MaxPayloadBytes = 64 << 10
	// MaxTasks bounds the tasks of one job.
	MaxTasks = 10_000
	// MaxTextBytes bounds reasons and checkpoint references.
	MaxTextBytes = 1 << 10
)

// The errors that Submit and Cancel are answered with.
var (
	// ErrConflict is returned for an id that is used by another job.
	ErrConflict = errors.New("task: id is used by another job")
	// ErrBadSpec is returned for a job that breaks a limit.
	ErrBadSpec = errors.New("task: bad job")
	// ErrUnknownJob is returned for an id that the shard does not hold.
	ErrUnknownJob = errors.New("task: unknown job")
	// ErrNotReady is returned while the store has been unreachable for longer
	// than Machine.RideThrough.
	ErrNotReady = errors.New("task: store is out of reach")
)

// A JobID is the id that a submitter gives to a job.
type JobID string

// An ID identifies one task of a job.
type ID struct {
	Job   JobID  `cbor:"1,keyasint"`
	Index uint32 `cbor:"2,keyasint"`
}

// An Attempt numbers the assignments of one task, from 1.
type Attempt uint64

// An Epoch numbers the owners of one shard.
type Epoch uint64

// A Token orders the commits of one Machine.
type Token uint64

// A Checkpoint refers to progress that a worker has saved in its storage.
type Checkpoint string

// A Spec is the job that a submitter asks for.
type Spec struct {
	Kind  fleet.Kind  `cbor:"1,keyasint"`
	Team  fleet.Team  `cbor:"2,keyasint,omitempty"`
	Class table.Class `cbor:"3,keyasint"`
	// Tasks is the number of batch tasks or of service replicas.
	Tasks uint32 `cbor:"4,keyasint"`
	// Need is the resources that each task declares.
	Need   fleet.Resources `cbor:"5,keyasint"`
	Urgent bool            `cbor:"6,keyasint,omitempty"`
	// Region is the region of the input, empty if any region will do.
	Region string `cbor:"7,keyasint,omitempty"`
	// CrossRegion allows tasks to run outside Region.
	CrossRegion bool `cbor:"8,keyasint,omitempty"`
	// Spread asks for the tasks to be spread over racks.
	Spread  bool   `cbor:"9,keyasint,omitempty"`
	Payload []byte `cbor:"10,keyasint,omitempty"`
}

// Check returns ErrBadSpec if s breaks a limit.
func (s *Spec) Check() error {
	switch {
	case s.Kind == "" || len(s.Kind) > MaxIDBytes || len(s.Team) > MaxIDBytes || len(s.Region) > MaxIDBytes:
		return errors.WithMessage(ErrBadSpec, "name")
	case s.Class != table.ClassBatch && s.Class != table.ClassService:
		return errors.WithMessage(ErrBadSpec, "class")
	case s.Tasks == 0 || s.Tasks > MaxTasks:
		return errors.WithMessage(ErrBadSpec, "tasks")
	case len(s.Payload) > MaxPayloadBytes:
		return errors.WithMessage(ErrBadSpec, "payload")
	case !(fleet.Resources{}).Fits(s.Need):
		return errors.WithMessage(ErrBadSpec, "need")
	}
	return nil
}

// A Digest is a hash of a spec, by which repeated submissions are recognised.
type Digest [sha256.Size]byte

// Phase is the phase of a task or a job.
type Phase uint8

// The phases of tasks and jobs. A job is Queued until all of its tasks are over.
const (
	// Queued is a task that waits for a host.
	Queued Phase = iota + 1
	// Assigned is a task with an attempt that may be running.
	Assigned
	// Done is a task or job that succeeded.
	Done
	// Failed is a task or job that failed with a reason.
	Failed
	// Cancelled is a task or job that does not run and never will again.
	Cancelled
)

// Terminal reports whether p is final.
func (p Phase) Terminal() bool { return p >= Done }

// String returns the name of p.
func (p Phase) String() string {
	switch p {
	case Queued:
		return "queued"
	case Assigned:
		return "assigned"
	case Done:
		return "done"
	case Failed:
		return "failed"
	case Cancelled:
		return "cancelled"
	}
	return "unknown"
}

// A Task is the durable state of one task.
type Task struct {
	Phase      Phase             `cbor:"1,keyasint"`
	Attempt    Attempt           `cbor:"2,keyasint"`
	Host       fleet.ID          `cbor:"3,keyasint,omitempty"`
	Worker     fleet.Incarnation `cbor:"4,keyasint,omitempty"`
	Checkpoint Checkpoint        `cbor:"5,keyasint,omitempty"`
	Reason     string            `cbor:"6,keyasint,omitempty"`
	// FailuresByHost counts the failures on each host that is not in quarantine.
	FailuresByHost map[fleet.ID]int `cbor:"7,keyasint,omitempty"`
	// FirstFailure is the time of the first of these failures, as the duration
	// since the Unix epoch.
	FirstFailure time.Duration `cbor:"8,keyasint,omitempty"`
}

// A Job is the durable state of one job.
type Job struct {
	Spec   Spec   `cbor:"1,keyasint"`
	Digest Digest `cbor:"2,keyasint"`
	Tasks  []Task `cbor:"3,keyasint"`
	// EndPhase is Cancelled or Failed once no further attempt may start, zero
	// before that. The job takes it as its phase when its last task ends.
	EndPhase Phase `cbor:"4,keyasint,omitempty"`
	// UnfinishedTasks counts the tasks that are not over.
	UnfinishedTasks uint32        `cbor:"5,keyasint"`
	Phase           Phase         `cbor:"6,keyasint"`
	Reason          string        `cbor:"7,keyasint,omitempty"`
	EndedAt         time.Duration `cbor:"8,keyasint,omitempty"`
}
