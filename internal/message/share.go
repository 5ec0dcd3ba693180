package message

import (
	"github.com/sesamestream/sesamestream/internal/peer"
	"github.com/sesamestream/sesamestream/pkg/decide/place"
	"github.com/sesamestream/sesamestream/pkg/fleet"
)

// OperationShare reports to a shard's owner what another shard uses and demands.
const OperationShare peer.Operation = "shard.share"

// A ShareMessage sends the report of one shard to the owner of another.
type ShareMessage struct {
	// ToShard is the shard whose owner receives the report.
	ToShard int               `cbor:"1,keyasint"`
	Report  place.ShareReport `cbor:"2,keyasint"`
}

// A ShareAnswer acknowledges a report.
type ShareAnswer struct {
	// Epoch is the epoch of the owner that received the report.
	Epoch uint64 `cbor:"1,keyasint"`
	// EvictingHosts are the hosts from which batch tasks are evicted as the report's calls ask.
	EvictingHosts []fleet.ID `cbor:"2,keyasint,omitempty"`
}
