package message

import (
	"github.com/sesamestream/sesamestream/internal/peer"
	"github.com/sesamestream/sesamestream/pkg/decide/place"
)

// The operations on the worker of an agent's host.
const (
	// OperationHostCapacity asks for the host's room.
	OperationHostCapacity peer.Operation = "worker.room"
	// OperationDrain moves the host's tasks away, or takes tasks again.
	OperationDrain peer.Operation = "worker.drain"
)

// A HostCapacity is a host's room; Attempts counts what holds some of it.
type HostCapacity struct {
	Host     place.Host `cbor:"1,keyasint"`
	Attempts int        `cbor:"2,keyasint"`
}

// A Drain says whether the host is to take no more tasks.
type Drain struct {
	Draining bool `cbor:"1,keyasint"`
}
