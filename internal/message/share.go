package message

import (
	"github.com/sesamestream/sesamestream/internal/peer"
	"github.com/sesamestream/sesamestream/pkg/decide/place"
	"github.com/sesamestream/sesamestream/pkg/fleet"
)

// OperationShare tells a shard's owner what another shard's owner uses and wants.
const OperationShare peer.Operation = "shard.share"

// A ShareMessage carries one shard's report to the owner of another.
type ShareMessage struct {
	ToShard int               `cbor:"1,keyasint"`
	Report  place.ShareReport `cbor:"2,keyasint"`
}

// A ShareAnswer tells the epoch of the owner that took a report.
type ShareAnswer struct {
	Epoch uint64 `cbor:"1,keyasint"`
	// EvictingHosts are the hosts that are being cleared for the report's calls.
	EvictingHosts []fleet.ID `cbor:"2,keyasint,omitempty"`
}
