// Package host decides which task attempts an agent runs on its host.
//
// Only the agent reserves resources on its worker, and it reserves before it
// starts an attempt, so that concurrent shard owners cannot overcommit the
// worker. An attempt runs under a lease of its shard's owner, which counts from
// the time at which the agent requested it.
package host

import (
	"time"

	"github.com/sesamestream/sesamestream/pkg/decide/task"
	"github.com/sesamestream/sesamestream/pkg/fleet"
)

// Shard is the number of one partition of the jobs.
type Shard int

// Key identifies one attempt on this host.
type Key struct {
	Shard   Shard
	Task    task.ID
	Attempt task.Attempt
}

// Event is an input of a Machine.
type Event interface{ event() }

// Order is a command from the owner of a shard: a task.Start, Stop, Evict, Ack,
// PollAgent or GrantLease.
type Order struct {
	Shard  Shard
	Epoch  task.Epoch
	Action task.Action
}

// Report is the state of one attempt as announced by the worker.
type Report struct {
	Key
	State      State
	Reason     string
	Checkpoint task.Checkpoint
	// Need is the resources reserved for the attempt.
	Need  fleet.Resources
	Kind  fleet.Kind
	Usage fleet.Resources
}

// State is the state of an attempt at the worker.
type State uint8

// The states of an attempt.
const (
	Running State = iota + 1
	Done
	Failed
	Stopped
)

// WorkerAnnouncement is a periodic status message of the worker. It lists all
// attempts that the worker runs or that AnswerWorker.Ended has not yet released.
type WorkerAnnouncement struct {
	Worker fleet.Incarnation
	// Sequence counts the announcements of one incarnation of the worker.
	Sequence uint64
	// BoundAgent is the only incarnation of the agent whose starts the worker accepts.
	BoundAgent fleet.Incarnation
	Total      fleet.Resources
	Reports    []Report
}

// WorkerUnresponsive reports that announcements of the worker have stopped.
type WorkerUnresponsive struct{}

// Result is the result of a command to the worker.
type Result uint8

// The results of commands.
const (
	// CarriedOut means that the worker carried the command out.
	CarriedOut Result = iota + 1
	// Refused means that the worker refused the command.
	Refused
	// NotSent means that the worker never received the command.
	NotSent
	// OutcomeUnknown means that the worker may have received the command.
	OutcomeUnknown
)

// CommandResult reports the result of a Command.
type CommandResult struct {
	Command Command
	Result  Result
	// State is the state of the attempt after a stop; zero means Stopped.
	State      State
	Checkpoint task.Checkpoint
	Reason     string
}

// Tick makes the Machine check its timeouts; one is due every TickInterval.
type Tick struct{}

// Drain makes the host refuse new attempts, or accept them again.
type Drain struct{ Draining bool }

func (Order) event()              {}
func (WorkerAnnouncement) event() {}
func (WorkerUnresponsive) event() {}
func (CommandResult) event()      {}
func (Tick) event()               {}
func (Drain) event()              {}

// Action is an output of a Machine, which the agent carries out.
type Action interface{ action() }

// AnswerOwner sends an answer to the owner of a shard.
type AnswerOwner struct {
	Shard  Shard
	Answer task.Answer
}

// RequestLeases asks the owner of a shard for leases on all attempts of the
// shard on this host.
type RequestLeases struct {
	Shard   Shard
	Request task.LeaseRequest
}

// Verb is the operation of a Command.
type Verb uint8

// The operations of commands.
const (
	// StartAttempt starts an attempt under a lease.
	StartAttempt Verb = iota + 1
	// StopAttempt stops an attempt.
	StopAttempt
	// CheckpointAttempt saves a checkpoint of an attempt.
	CheckpointAttempt
)

// Command is a command to the worker.
type Command struct {
	Key
	Verb Verb
	// Worker is the addressed incarnation of the worker; other incarnations refuse a start.
	Worker fleet.Incarnation
	// Lease is the length of the lease of a start, counted from Sent, the time of the Step.
	Lease      time.Duration
	Sent       time.Time
	Spec       *task.Spec
	Checkpoint task.Checkpoint
}

// AttemptLease is the remaining lease of an attempt, counted from the time of the Step.
type AttemptLease struct {
	Key
	Remaining time.Duration
}

// AnswerWorker answers the announcement of the current Step.
type AnswerWorker struct {
	Leases []AttemptLease
	// Ended are the attempts that the worker may drop from its announcements:
	// their owner has acknowledged the end, and no start of them can still arrive.
	Ended []Key
}

func (AnswerOwner) action()   {}
func (AnswerWorker) action()  {}
func (RequestLeases) action() {}
func (Command) action()       {}
