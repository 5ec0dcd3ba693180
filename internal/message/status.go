package message

import (
	"time"

	"github.com/sesamestream/sesamestream/internal/peer"
	"github.com/sesamestream/sesamestream/pkg/fleet"
	"github.com/sesamestream/sesamestream/pkg/table"
)

// OperationStatus asks a process for its Status.
const OperationStatus peer.Operation = "status"

// A Status is the state of one process as it reports it.
type Status struct {
	Member fleet.Member `cbor:"1,keyasint" json:"member"`
	// Uptime is how long the process has run.
	Uptime time.Duration `cbor:"2,keyasint" json:"up"`
	// Revision is the revision of the table in force, 0 if there is none.
	Revision table.Revision `cbor:"3,keyasint" json:"revision"`
	// TableAge is the time since the newest known confirmation of the revision by the store.
	TableAge time.Duration `cbor:"4,keyasint" json:"tableAge"`
	// StoreAge is the time since the store's last answer to this process; negative if there
	// was none.
	StoreAge time.Duration `cbor:"5,keyasint" json:"storeAge"`
	// StoreBackoff says that the store didn't answer and that calls to it are suspended.
	StoreBackoff bool `cbor:"6,keyasint" json:"storeResting"`
	// Members is the number of live members of the data centre, including this one.
	Members int `cbor:"7,keyasint" json:"members"`
	// DataCentres is the number of other data centres that are known.
	DataCentres int `cbor:"8,keyasint" json:"dataCentres"`
	// Shards are the shards that this process owns.
	Shards []int `cbor:"9,keyasint,omitempty" json:"shards,omitempty"`
	// Leaving says that the process takes no new work.
	Leaving bool `cbor:"10,keyasint,omitempty" json:"leaving,omitempty"`
	// Error is why the process didn't answer. The other fields are then what others know of it.
	Error string `cbor:"11,keyasint,omitempty" json:"error,omitempty"`
}
