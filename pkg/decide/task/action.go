package task

import (
	"time"

	"github.com/sesamestream/sesamestream/pkg/fleet"
)

// An Action is what a Machine wants done.
type Action interface{ action() }

// Commit appends records to the journal, after those of lower tokens.
type Commit struct {
	Records []Record
	Token   Token
}

// Start asks an agent to reserve for an attempt, and to run it under a lease.
// It is for one life of the agent and of its worker: others ignore it.
type Start struct {
	Agent      fleet.ProcessIncarnation
	Worker     fleet.Incarnation
	Epoch      Epoch
	Task       ID
	Attempt    Attempt
	Spec       *Spec
	Checkpoint Checkpoint
}

// Stop asks an agent to stop an attempt; the answer is final.
type Stop struct {
	Agent   fleet.ID
	Epoch   Epoch
	Task    ID
	Attempt Attempt
}

// Evict asks an agent to checkpoint and stop an attempt; the answer is final.
type Evict struct {
	Agent   fleet.ID
	Epoch   Epoch
	Task    ID
	Attempt Attempt
}

// Ack lets an agent forget a final answer.
type Ack struct {
	Agent   fleet.ID
	Epoch   Epoch
	Task    ID
	Attempt Attempt
}

// PollAgent asks an agent for LeaseAsked under the epoch.
type PollAgent struct {
	Agent fleet.ID
	Epoch Epoch
}

// GrantLease lets an agent run the attempts until Duration after it asked.
type GrantLease struct {
	Agent       fleet.ID
	Epoch       Epoch
	Attempts    []HeldAttempt
	RequestedAt time.Time
	Duration    time.Duration
}

// Reply answers a submitter's call. Err is nil, or a sentinel error.
type Reply struct {
	Request RequestID
	ID      JobID
	Phase   Phase
	Err     error
}

// JobEnded tells the result of a job.
type JobEnded struct {
	ID     JobID
	Phase  Phase
	Reason string
}

// OwnershipLost tells that the machine is owner no more and does nothing from now on.
type OwnershipLost struct{}

func (Commit) action()        {}
func (Start) action()         {}
func (Stop) action()          {}
func (Evict) action()         {}
func (Ack) action()           {}
func (PollAgent) action()     {}
func (GrantLease) action()    {}
func (Reply) action()         {}
func (JobEnded) action()      {}
func (OwnershipLost) action() {}
