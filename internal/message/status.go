package message

import (
	"time"

	"github.com/sesamestream/sesamestream/internal/peer"
	"github.com/sesamestream/sesamestream/pkg/fleet"
	"github.com/sesamestream/sesamestream/pkg/table"
)

// OperationStatus asks a process how it is.
const OperationStatus peer.Operation = "status"

// A Status is how one process is, by its own word.
type Status struct {
	Member fleet.Member `cbor:"1,keyasint" json:"member"`
	// Uptime is how long the process has run.
	Uptime time.Duration `cbor:"2,keyasint" json:"up"`
	// Revision is the table in force, 0 for none.
	Revision table.Revision `cbor:"3,keyasint" json:"revision"`
	// TableAge is how long ago the store confirmed the revision, as far as is known.
	TableAge time.Duration `cbor:"4,keyasint" json:"tableAge"`
	// StoreAge is how long ago this process last had an answer from the store;
	// negative where it never asked.
	StoreAge time.Duration `cbor:"5,keyasint" json:"storeAge"`
	// StoreBackoff tells that the store did not answer and is left alone.
	StoreBackoff bool `cbor:"6,keyasint" json:"storeResting"`
	// Members counts the live members of the data centre, this one included.
	Members int `cbor:"7,keyasint" json:"members"`
	// DataCentres counts the other data centres that are heard of.
	DataCentres int `cbor:"8,keyasint" json:"dataCentres"`
	// Shards are those this process owns.
	Shards []int `cbor:"9,keyasint,omitempty" json:"shards,omitempty"`
	// Leaving tells that the process takes no new work.
	Leaving bool `cbor:"10,keyasint,omitempty" json:"leaving,omitempty"`
	// Error says why the process did not answer; the rest is what others know.
	Error string `cbor:"11,keyasint,omitempty" json:"error,omitempty"`
}
