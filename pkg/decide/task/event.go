package task

import (
	"time"

	"github.com/sesamestream/sesamestream/pkg/decide/place"
	"github.com/sesamestream/sesamestream/pkg/fleet"
)

// An Event is what a Machine is told.
type Event interface{ event() }

// A RequestID names a submitter's call, so that its reply can be matched.
type RequestID uint64

// Submit asks for a job under the submitter's id.
type Submit struct {
	Request RequestID
	ID      JobID
	Spec    Spec
}

// Cancel asks that a job stops and never restarts.
type Cancel struct {
	Request RequestID
	ID      JobID
}

// Committed tells that every commit up to Token is in the journal.
type Committed struct {
	Token Token
	// SentAt is when the confirmed request was sent to the store.
	SentAt time.Time
}

// OwnershipConfirmed tells that the store confirmed this owner's lease.
type OwnershipConfirmed struct {
	// SentAt is when the confirmed request was sent to the store.
	SentAt time.Time
}

// OwnerFenced tells that another owner writes the journal.
type OwnerFenced struct{}

// PreviousOwner is what is known of the owner before this one.
type PreviousOwner uint8

// What is known of an old owner.
const (
	// PreviousOwnerMayGrant may still grant leases.
	PreviousOwnerMayGrant PreviousOwner = iota
	// PreviousOwnerGone or dead grants no more.
	PreviousOwnerGone
)

// Takeover makes the machine the shard's owner, after Restore and replay.
type Takeover struct {
	Epoch    Epoch
	Previous PreviousOwner
	// SentAt is when the write that won the shard was sent to the store.
	SentAt time.Time
}

// PreviousOwnerEnded tells that the owner before this one is dead or has ceded.
type PreviousOwnerEnded struct{}

// HostUpdate is a change of the view of one host.
type HostUpdate struct{ Host place.Host }

// HostUnresponsive tells that a host's agent no longer answers.
type HostUnresponsive struct{ Host fleet.ID }

// Drain tells that a host is about to stop as planned.
type Drain struct{ Host fleet.ID }

// EvictTask asks to move a running task away.
type EvictTask struct{ Task ID }

// Tick lets time pass.
type Tick struct{}

// A Sender is what each answer of an agent carries.
type Sender struct {
	Agent fleet.ProcessIncarnation
	// Worker is the incarnation of the worker beside the agent.
	Worker fleet.Incarnation
	// Epoch is the newest epoch of this shard that the agent has seen.
	Epoch Epoch
	// SentAt is the agent's own time of sending, which orders the messages of
	// one life; a lease counts from it.
	SentAt time.Time
}

// AnswerKind says what an agent tells of one attempt.
type AnswerKind uint8

// The answers of an agent on one attempt. From Refused on they are final: the
// agent repeats the same one until it receives Ack, and takes the attempt up
// no more. An attempt whose lease has lapsed is answered by Stopped; one that
// its agent reserved and gave up is answered by Refused.
const (
	// Reserved asks for the first lease.
	Reserved AnswerKind = iota + 1
	// Started runs.
	Started
	// Progress has a new checkpoint.
	Progress
	// Refused never ran.
	Refused
	// EndedOK ran to its end.
	EndedOK
	// EndedFailed failed.
	EndedFailed
	// Evicted stopped after a checkpoint.
	Evicted
	// Stopped stopped.
	Stopped
)

// Answer is what an agent tells of one attempt.
type Answer struct {
	Sender
	Kind       AnswerKind
	Task       ID
	Attempt    Attempt
	Checkpoint Checkpoint
	Reason     string
}

// HeldAttempt is one attempt that an agent has reserved, runs, or has answered
// finally without an Ack.
type HeldAttempt struct {
	Task    ID
	Attempt Attempt
	// Final is the final answer, or zero.
	Final      AnswerKind
	Checkpoint Checkpoint
	Reason     string
}

// LeaseRequest lists every attempt of this shard that an agent holds and asks
// for their leases. An agent sends one at each start of its own or its
// worker's process, on Ask, and a few times within a lease.
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
