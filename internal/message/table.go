package message

import (
	"github.com/sesamestream/sesamestream/internal/peer"
	"github.com/sesamestream/sesamestream/pkg/table"
)

// OperationTable asks a peer for its table in force.
const OperationTable peer.Operation = "table.get"

// A TableAnswer is the answer of OperationTable.
type TableAnswer struct {
	// Table is the table in force at the peer, nil if there is none.
	Table *table.Table `cbor:"1,keyasint,omitempty"`
}
