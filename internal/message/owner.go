package message

import (
	"net/netip"

	"github.com/sesamestream/sesamestream/internal/peer"
	"github.com/sesamestream/sesamestream/pkg/decide/task"
	"github.com/sesamestream/sesamestream/pkg/fleet"
)

// The operations that ask about and at a shard's owner.
const (
	// OperationOwner asks a process whether it is a shard's owner.
	OperationOwner peer.Operation = "shard.owner"
	// OperationJob carries a submitter's call to the owner of a job's shard.
	OperationJob peer.Operation = "shard.job"
)

// An OwnerQuery asks whether the process owns a shard.
type OwnerQuery struct {
	Shard int `cbor:"1,keyasint"`
}

// An OwnerAnswer tells who answers and whether it is the owner; where it is
// not, it may know where the owner is.
type OwnerAnswer struct {
	Process      fleet.ProcessIncarnation `cbor:"1,keyasint"`
	IsOwner      bool                     `cbor:"2,keyasint"`
	OwnerAddress netip.AddrPort           `cbor:"3,keyasint,omitzero"`
}

// A JobVerb says what a JobCall asks.
type JobVerb uint8

// The verbs of job calls.
const (
	JobSubmit JobVerb = iota + 1
	JobCancel
	JobGet
	JobList
)

// A JobCall is one call of a submitter.
type JobCall struct {
	Shard int        `cbor:"1,keyasint"`
	Verb  JobVerb    `cbor:"2,keyasint"`
	JobID task.JobID `cbor:"3,keyasint,omitempty"`
	Spec  *task.Spec `cbor:"4,keyasint,omitempty"`
}

// A JobAnswer is the answer to a JobCall.
type JobAnswer struct {
	Phase  task.Phase   `cbor:"1,keyasint"`
	Job    *task.Job    `cbor:"2,keyasint,omitempty"`
	JobIDs []task.JobID `cbor:"3,keyasint,omitempty"`
}
