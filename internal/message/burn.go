package message

import "github.com/sesamestream/sesamestream/internal/peer"

// OperationBurn asks a process for its counts of answers, by which burn rates are computed.
// The request is a burn.Query and the answer a burn.Snapshot.
const OperationBurn peer.Operation = "burn"
