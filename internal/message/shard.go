package message

import (
	"net/netip"

	"github.com/sesamestream/sesamestream/internal/peer"
	"github.com/sesamestream/sesamestream/pkg/decide/task"
	"github.com/sesamestream/sesamestream/pkg/fleet"
)

// The operations that find a shard's owner and that are sent to it.
const (
	// OperationOwner asks a process whether it owns a shard.
	OperationOwner peer.Operation = "shard.owner"
	// OperationJob forwards a submitter's call to the owner of the job's shard.
	OperationJob peer.Operation = "shard.job"
)

// An OwnerQuery is the request of OperationOwner.
type OwnerQuery struct {
	Shard int `cbor:"1,keyasint"`
}

// An OwnerAnswer says whether the answering process owns the shard.
type OwnerAnswer struct {
	// Process is the answering process.
	Process fleet.ProcessIncarnation `cbor:"1,keyasint"`
	IsOwner bool                     `cbor:"2,keyasint"`
	// OwnerAddress is the owner's address, if another process is known to own the shard.
	OwnerAddress netip.AddrPort `cbor:"3,keyasint,omitzero"`
}

// A JobVerb is what a JobCall asks for.
type JobVerb uint8

// The verbs of job calls.
const (
	JobSubmit JobVerb = iota + 1
	JobCancel
	JobGet
	JobList
)

// A JobCall is one call of a submitter. Shard is the shard of the job, or the one to list.
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
