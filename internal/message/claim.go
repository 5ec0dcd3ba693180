package message

import (
	"github.com/sesamestream/sesamestream/internal/peer"
	"github.com/sesamestream/sesamestream/pkg/fleet"
)

// The operations on claims of idempotency keys, which unrepeatable requests make.
const (
	// OperationClaim asks the owner of a key's shard to grant a claim on the key.
	OperationClaim peer.Operation = "shard.claim"
	// OperationClaimEnd reports to the owner the outcome of a request whose claim was granted.
	OperationClaimEnd peer.Operation = "shard.claimEnd"
)

// A KeyDigest is the digest of an idempotency key and its kind.
type KeyDigest [32]byte

// A Claim is the request of OperationClaim.
type Claim struct {
	Shard  int        `cbor:"1,keyasint"`
	Digest KeyDigest  `cbor:"2,keyasint"`
	Kind   fleet.Kind `cbor:"3,keyasint"`
}

// A ClaimResult is the result of a claim.
type ClaimResult uint8

// The results of claims.
const (
	// ClaimGranted means that the claim is durable and belongs to this request.
	ClaimGranted ClaimResult = iota + 1
	// ClaimDenied means that the key was granted to an earlier request, whose outcome is
	// EarlierOutcome.
	ClaimDenied
	// ClaimNotCommitted means that no claim on the key is durable.
	ClaimNotCommitted
	// ClaimUnknown means that the claim may or may not be durable.
	ClaimUnknown
)

// A ClaimAnswer is the answer to a Claim.
type ClaimAnswer struct {
	Result         ClaimResult   `cbor:"1,keyasint"`
	EarlierOutcome fleet.Outcome `cbor:"2,keyasint,omitempty"`
	// GrantID identifies the granted claim.
	GrantID uint64 `cbor:"3,keyasint,omitempty"`
}

// A ClaimEnd reports the outcome of the request whose claim was granted.
type ClaimEnd struct {
	Shard   int           `cbor:"1,keyasint"`
	Digest  KeyDigest     `cbor:"2,keyasint"`
	GrantID uint64        `cbor:"3,keyasint"`
	Outcome fleet.Outcome `cbor:"4,keyasint"`
}
