package message

import (
	"github.com/sesamestream/sesamestream/internal/peer"
	"github.com/sesamestream/sesamestream/pkg/fleet"
)

// The operations on claims of unrepeatable requests.
const (
	// OperationClaim asks the owner of a key's shard for a claim.
	OperationClaim peer.Operation = "shard.claim"
	// OperationClaimEnd tells the owner how a claimed request ended.
	OperationClaimEnd peer.Operation = "shard.claimEnd"
)

// A KeyDigest stands for an idempotency key and its kind.
type KeyDigest [32]byte

// A Claim asks for a key.
type Claim struct {
	Shard  int        `cbor:"1,keyasint"`
	Digest KeyDigest  `cbor:"2,keyasint"`
	Kind   fleet.Kind `cbor:"3,keyasint"`
}

// A ClaimResult is what became of a claim.
type ClaimResult uint8

// The results of claims.
const (
	// ClaimGranted means the claim is durable and this request's own.
	ClaimGranted ClaimResult = iota + 1
	// ClaimDenied means the key was granted before; Earlier is what became of it.
	ClaimDenied
	// ClaimNotCommitted means that no claim is durable under the key.
	ClaimNotCommitted
	// ClaimUnknown means the claim may be durable.
	ClaimUnknown
)

// A ClaimAnswer is the answer to a Claim.
type ClaimAnswer struct {
	Result         ClaimResult   `cbor:"1,keyasint"`
	EarlierOutcome fleet.Outcome `cbor:"2,keyasint,omitempty"`
	// GrantID names the claim that was granted.
	GrantID uint64 `cbor:"3,keyasint,omitempty"`
}

// A ClaimEnd tells how the request that was granted a key ended.
type ClaimEnd struct {
	Shard   int           `cbor:"1,keyasint"`
	Digest  KeyDigest     `cbor:"2,keyasint"`
	GrantID uint64        `cbor:"3,keyasint"`
	Outcome fleet.Outcome `cbor:"4,keyasint"`
}
