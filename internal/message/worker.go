package message

import (
	"github.com/sesamestream/sesamestream/internal/peer"
	"github.com/sesamestream/sesamestream/pkg/decide/place"
)

// The operations on the worker of an agent's host.
const (
	// OperationHostCapacity asks for the host's capacity.
	OperationHostCapacity peer.Operation = "worker.room"
	// OperationDrain starts or ends draining the host.
	OperationDrain peer.Operation = "worker.drain"
)

// A HostCapacity is the total and free capacity of a host.
type HostCapacity struct {
	Host place.Host `cbor:"1,keyasint"`
	// Attempts is the number of attempts that hold some of the capacity.
	Attempts int `cbor:"2,keyasint"`
}

// A Drain is the request of OperationDrain.
type Drain struct {
	// Draining says that the host's tasks are moved away and that it takes no new ones.
	Draining bool `cbor:"1,keyasint"`
}
