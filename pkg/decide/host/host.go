// Package host decides which attempts of tasks an agent lets run on its host.
//
// The agent reserves before it starts and is the only one who does, so that no
// race between shard owners can overfill the worker. An attempt runs under its
// owner's lease, counted from the moment the agent asked for it.
package host

import (
	"time"

	"github.com/sesamestream/sesamestream/pkg/decide/task"
	"github.com/sesamestream/sesamestream/pkg/fleet"
)

// A Shard numbers one part of all jobs.
type Shard int

// A Key names one attempt on this host.
type Key struct {
	Shard   Shard
	Task    task.ID
	Attempt task.Attempt
}

// An Event is what a Machine is told.
type Event interface{ event() }

// An Order is what the owner of a shard asks: a task.Start, Stop, Evict, Ack,
// Ask or GrantLease.
type Order struct {
	Shard  Shard
	Epoch  task.Epoch
	Action task.Action
}

// A Report is what the worker tells of one attempt.
type Report struct {
	Key
	State      State
	Reason     string
	Checkpoint task.Checkpoint
	// Need is what was reserved for it.
	Need  fleet.Resources
	Kind  fleet.Kind
	Usage fleet.Resources
}

// A State is what the worker says of an attempt.
type State uint8

// The states of an attempt at the worker.
const (
	Running State = iota + 1
	Done
	Failed
	Stopped
)

// A WorkerAnnouncement is an announcement of the worker; it lists all attempts that
// the worker runs or has not been told to forget.
type WorkerAnnouncement struct {
	Worker fleet.Incarnation
	// Sequence counts the announcements of one life of the worker.
	Sequence uint64
	// BoundAgent is the life of the agent from which alone the worker takes starts.
	BoundAgent fleet.Incarnation
	Total      fleet.Resources
	Reports    []Report
}

// WorkerUnresponsive tells that the worker no longer announces itself.
type WorkerUnresponsive struct{}

// A Result is what became of a command to the worker.
type Result uint8

// The results of a command.
const (
	// CarriedOut means the worker carried it out.
	CarriedOut Result = iota + 1
	// Refused means the worker refused it.
	Refused
	// NotSent means the worker never received it.
	NotSent
	// OutcomeUnknown means the worker may have received it.
	OutcomeUnknown
)

// A CommandResult is the result of a Command.
type CommandResult struct {
	Command Command
	Result  Result
	// State is the attempt's after a stop, zero for Stopped.
	State      State
	Checkpoint task.Checkpoint
	Reason     string
}

// Tick lets time pass.
type Tick struct{}

// Drain refuses new attempts from now on, or takes them again.
type Drain struct{ Draining bool }

func (Order) event()              {}
func (WorkerAnnouncement) event() {}
func (WorkerUnresponsive) event() {}
func (CommandResult) event()      {}
func (Tick) event()               {}
func (Drain) event()              {}

// An Action is what a Machine wants done.
type Action interface{ action() }

// A AnswerOwner is an answer to a shard's owner.
type AnswerOwner struct {
	Shard  Shard
	Answer task.Answer
}

// A RequestLeases asks a shard's owner for the leases of all its attempts here.
type RequestLeases struct {
	Shard   Shard
	Request task.LeaseRequest
}

// A Verb is a command to the worker.
type Verb uint8

// The verbs.
const (
	// StartAttempt starts an attempt under a lease.
	StartAttempt Verb = iota + 1
	// StopAttempt stops an attempt.
	StopAttempt
	// CheckpointAttempt checkpoints an attempt.
	CheckpointAttempt
)

// A Command is for the worker.
type Command struct {
	Key
	Verb Verb
	// Worker is the life of the worker that the command is for; others refuse a start.
	Worker fleet.Incarnation
	// Lease is the lease of a start; it counts from Sent, the time of the Step.
	Lease      time.Duration
	Sent       time.Time
	Spec       *task.Spec
	Checkpoint task.Checkpoint
}

// A AttemptLease is how long an attempt may go on from the Step on.
type AttemptLease struct {
	Key
	Remaining time.Duration
}

// An AnswerWorker answers the announcement that was just seen.
type AnswerWorker struct {
	Leases []AttemptLease
	// Ended are the attempts that the worker may forget: their owner has taken
	// their end, and no start of them can still be on its way.
	Ended []Key
}

func (AnswerOwner) action()   {}
func (AnswerWorker) action()  {}
func (RequestLeases) action() {}
func (Command) action()       {}
