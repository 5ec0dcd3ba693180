package message

import "github.com/sesamestream/sesamestream/internal/peer"

// OperationBurn asks a process for what it counted: a burn.Query is answered by
// a burn.Snapshot.
const OperationBurn peer.Operation = "burn"
