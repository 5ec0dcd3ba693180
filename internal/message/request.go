// Package message defines the operations and messages that the system's own processes
// exchange.
package message

import (
	"net/http"
	"time"

	"github.com/sesamestream/sesamestream/internal/peer"
	"github.com/sesamestream/sesamestream/pkg/fleet"
	"github.com/sesamestream/sesamestream/pkg/table"
)

// OperationRequest forwards one caller's request from an entry to an agent.
const OperationRequest peer.Operation = "request"

// A RequestHead is the first message of a request. The body follows on the stream.
type RequestHead struct {
	// ID identifies the request in logs and at the target.
	ID     string     `cbor:"1,keyasint"`
	Kind   fleet.Kind `cbor:"2,keyasint"`
	Method string     `cbor:"3,keyasint"`
	// Path is the path and query that are requested from the target.
	Path   string      `cbor:"4,keyasint"`
	Header http.Header `cbor:"5,keyasint"`
	// BodyLength is the length of the body in bytes.
	BodyLength int64 `cbor:"6,keyasint"`
	// Remaining is the time until the deadline, as measured by the sender.
	Remaining time.Duration `cbor:"7,keyasint"`
	// Unrepeatable forbids the agent to send the request more than once.
	Unrepeatable bool `cbor:"8,keyasint"`
	// Revision is the revision of the table that is in force at the entry.
	Revision table.Revision `cbor:"9,keyasint"`
}

// A Verdict is an agent's result for a request.
type Verdict int

// The verdicts of an agent.
const (
	// Answered means that a target answered. The answer's body follows on the stream.
	Answered Verdict = iota + 1
	// Refused means that no target received the request.
	Refused
	// Failed means that a target may have received the request and didn't answer it.
	Failed
)

// An AnswerHead is the first message of an answer.
type AnswerHead struct {
	Verdict Verdict     `cbor:"1,keyasint"`
	Status  int         `cbor:"2,keyasint"`
	Header  http.Header `cbor:"3,keyasint"`
	// Reason is why the request was refused or failed.
	Reason string `cbor:"4,keyasint"`
	// RetryAfter is the time after which a refused request may be sent to this agent again.
	RetryAfter time.Duration `cbor:"5,keyasint"`
	// Load is the agent's current load by requests of this kind.
	Load Load `cbor:"6,keyasint"`
	// BodyLength is the length of the answer's body, if the target announced it.
	BodyLength fleet.Bytes `cbor:"7,keyasint"`
}

// A Load is the load of an agent by requests of one kind.
type Load struct {
	InFlight   int           `cbor:"1,keyasint"`
	Limit      int           `cbor:"2,keyasint"`
	Queued     int           `cbor:"3,keyasint"`
	QueueDelay time.Duration `cbor:"4,keyasint"`
	Leaving    bool          `cbor:"5,keyasint"`
	// SampledAt is the agent's own time, by which the loads of one incarnation are ordered.
	SampledAt time.Time `cbor:"6,keyasint"`
}
