package message

import (
	"github.com/sesamestream/sesamestream/internal/peer"
	"github.com/sesamestream/sesamestream/pkg/table"
)

// OperationTable asks a peer for the table it has in force.
const OperationTable peer.Operation = "table.get"

// A TableAnswer is the table in force at a peer, nil where it has none.
type TableAnswer struct {
	Table *table.Table `cbor:"1,keyasint,omitempty"`
}
