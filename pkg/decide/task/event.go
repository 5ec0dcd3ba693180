package task

import (
	"time"

	"github.com/sesamestream/sesamestream/pkg/decide/place"
	"github.com/sesamestream/sesamestream/pkg/fleet"
)

// An Event is an input of a Machine.
type Event interface{ event() }

// A RequestID identifies a submitter's call, so that its Reply can be matched.
type RequestID uint64

// Submit asks for a job to be accepted under the submitter's id.
type Submit struct {
	Request RequestID
	ID      JobID
	Spec    Spec
}

// Cancel asks for a job to be stopped and never restarted.
type Cancel struct {
	Request RequestID
	ID      JobID
}

// Committed reports that every commit up to Token is in the journal.
type Committed struct {
	Token Token
	// SentAt is when the confirmed request was sent to the store.
	SentAt time.Time
}

// OwnershipConfirmed reports that the store confirmed this owner's lease on the
// shard.
type OwnershipConfirmed struct {
	// SentAt is when the confirmed request was sent to the store.
	SentAt time.Time
}

// OwnerFenced reports that this owner can no longer write the journal, because
// another owner does.
type OwnerFenced struct{}

// PreviousOwner says whether the previous owner may still grant leases.
type PreviousOwner uint8

// The states of a previous owner.
const (
	// PreviousOwnerMayGrant is an owner that may still grant leases.
	PreviousOwnerMayGrant PreviousOwner = iota
	// PreviousOwnerGone is an owner that is dead or has ceded the shard, and
	// grants no more leases.
	PreviousOwnerGone
)

// Takeover makes the machine the shard's owner, after the snapshot is restored
// and the journal is replayed.
type Takeover struct {
	Epoch    Epoch
	Previous PreviousOwner
	// SentAt is when the write that acquired the shard was sent to the store.
	SentAt time.Time
}

// PreviousOwnerEnded reports that the previous owner is dead or has ceded the
// shard.
type PreviousOwnerEnded struct{}

// HostUpdate reports the current state of one host.
type HostUpdate struct{ Host place.Host }

// HostUnresponsive reports that a host's agent no longer answers.
type HostUnresponsive struct{ Host fleet.ID }

// Drain reports that a host is about to stop as planned.
type Drain struct{ Host fleet.ID }

// EvictTask asks for a running task to be moved away from its host.
type EvictTask struct{ Task ID }

// Tick reports that time has passed.
type Tick struct{}

// A Sender identifies the origin and the time of an agent's message.
type Sender struct {
	Agent fleet.ProcessIncarnation
	// Worker is the incarnation of the worker on the agent's host.
	Worker fleet.Incarnation
	// Epoch is the newest epoch of this shard that the agent has seen.
	Epoch Epoch
	// SentAt is when the message was sent by the agent's own clock. It orders
	// the messages of one incarnation, and leases are counted from it.
	SentAt time.Time
}

// AnswerKind is the state of an attempt that an Answer reports.
type AnswerKind uint8

// The answers of an agent on one attempt. From Refused on they are final: the
// agent repeats the same answer until it receives Ack, and never starts the
// attempt again. The answer on an attempt whose lease has lapsed is Stopped;
// on one that the agent reserved and gave up before its start it is Refused.
const (
	// Reserved reports that resources are reserved, and asks for the first lease.
	Reserved AnswerKind = iota + 1
	// Started reports that the attempt runs.
	Started
	// Progress reports a new checkpoint.
	Progress
	// Refused reports that the attempt never ran.
	Refused
	// EndedOK reports that the attempt succeeded.
	EndedOK
	// EndedFailed reports that the attempt failed.
	EndedFailed
	// Evicted reports that the attempt was stopped after a checkpoint.
	Evicted
	// Stopped reports that the attempt was stopped.
	Stopped
)

// Answer is an agent's report on one attempt.
type Answer struct {
	Sender
	Kind       AnswerKind
	Task       ID
	Attempt    Attempt
	Checkpoint Checkpoint
	Reason     string
}

// HeldAttempt is an attempt that an agent has reserved, runs, or has answered
// finally without receiving an Ack yet.
type HeldAttempt struct {
	Task    ID
	Attempt Attempt
	// Final is the final answer, or zero if there is none yet.
	Final      AnswerKind
	Checkpoint Checkpoint
	Reason     string
}

// LeaseRequest lists every attempt of this shard that an agent holds and asks
// for their leases to be granted or renewed. An agent sends one whenever its own
// or its worker's process starts, on PollAgent, and a few times within a lease.
type LeaseRequest struct {
	Sender
	Attempts []HeldAttempt
}

func (Submit) event()             {}
func (Cancel) event()             {}
func (Committed) event()          {}
func (OwnershipConfirmed) event() {}
func (OwnerFenced) event()        {}
func (Takeover) event()           {}
func (PreviousOwnerEnded) event() {}
func (HostUpdate) event()         {}
func (HostUnresponsive) event()   {}
func (Drain) event()              {}
func (EvictTask) event()          {}
func (Tick) event()               {}
func (Answer) event()             {}
func (LeaseRequest) event()       {}
