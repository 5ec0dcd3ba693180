package task

import (
	"time"

	"github.com/sesamestream/sesamestream/pkg/fleet"
)

// An Action is an effect that a Machine asks its caller to carry out.
type Action interface{ action() }

// Commit appends records to the journal, after those of commits with lower tokens.
type Commit struct {
	Records []Record
	Token   Token
}

// Start asks an agent to reserve resources for an attempt and to run it once
// it holds a lease. It is valid for one incarnation of the agent and of its
// worker only; other incarnations ignore it.
type Start struct {
	Agent      fleet.ProcessIncarnation
	Worker     fleet.Incarnation
	Epoch      Epoch
	Task       ID
	Attempt    Attempt
	Spec       *Spec
	Checkpoint Checkpoint
}

// Stop asks an agent to stop an attempt. The agent's answer to it is final.
type Stop struct {
	Agent   fleet.ID
	Epoch   Epoch
	Task    ID
	Attempt Attempt
}

// Evict asks an agent to checkpoint and stop an attempt. The agent's answer to
// it is final.
type Evict struct {
	Agent   fleet.ID
	Epoch   Epoch
	Task    ID
	Attempt Attempt
}

// Ack acknowledges a final answer, so that the agent may discard it.
type Ack struct {
	Agent   fleet.ID
	Epoch   Epoch
	Task    ID
	Attempt Attempt
}

// PollAgent asks an agent to send a LeaseRequest under the epoch.
type PollAgent struct {
	Agent fleet.ID
	Epoch Epoch
}

// GrantLease lets an agent run the attempts until Duration after RequestedAt,
// which is the SentAt of the agent's message.
type GrantLease struct {
	Agent       fleet.ID
	Epoch       Epoch
	Attempts    []HeldAttempt
	RequestedAt time.Time
	Duration    time.Duration
}

// Reply answers a submitter's call. Err is nil, or wraps an error of this package.
type Reply struct {
	Request RequestID
	ID      JobID
	Phase   Phase
	Err     error
}

// JobEnded reports the result of a job.
type JobEnded struct {
	ID     JobID
	Phase  Phase
	Reason string
}

// OwnershipLost reports that the machine no longer owns the shard. It takes no
// further actions.
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
