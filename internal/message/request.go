// Package message holds the typed messages that the system's own processes
// exchange.
package message

import (
	"net/http"
	"time"

	"github.com/sesamestream/sesamestream/internal/peer"
	"github.com/sesamestream/sesamestream/pkg/fleet"
	"github.com/sesamestream/sesamestream/pkg/table"
)

// OperationRequest carries one caller's request from an entry to an agent.
const OperationRequest peer.Operation = "request"

// A RequestHead opens a request; its body follows on the stream.
type RequestHead struct {
	// ID names the request in logs and at the target.
	ID     string     `cbor:"1,keyasint"`
	Kind   fleet.Kind `cbor:"2,keyasint"`
	Method string     `cbor:"3,keyasint"`
	// Path is the path and query at the target.
	Path   string      `cbor:"4,keyasint"`
	Header http.Header `cbor:"5,keyasint"`
	// BodyLength is the length of the body in bytes.
	BodyLength int64 `cbor:"6,keyasint"`
	// Remaining is the time left until the deadline, counted at the sender.
	Remaining time.Duration `cbor:"7,keyasint"`
	// Unrepeatable forbids the agent to send the request a second time.
	Unrepeatable bool `cbor:"8,keyasint"`
	// Revision is the revision of the table the entry goes by.
	Revision table.Revision `cbor:"9,keyasint"`
}

// A Verdict is what an agent says of a request.
type Verdict int

// The verdicts of an agent.
const (
	// Answered means a target answered; its body follows.
	Answered Verdict = iota + 1
	// Refused means no target received the request.
	Refused
	// Failed means a target may have received the request and did not answer.
	Failed
)

// An AnswerHead opens an answer.
type AnswerHead struct {
	Verdict Verdict     `cbor:"1,keyasint"`
	Status  int         `cbor:"2,keyasint"`
	Header  http.Header `cbor:"3,keyasint"`
	// Reason says why a request was refused or failed.
	Reason string `cbor:"4,keyasint"`
	// RetryAfter is when a refused request may be offered here again.
	RetryAfter time.Duration `cbor:"5,keyasint"`
	// Load is the agent's load of the request's kind.
	Load Load `cbor:"6,keyasint"`
	// BodyLength is the length of the answer's body where the target announced it.
	BodyLength fleet.Bytes `cbor:"7,keyasint"`
}

// A Load is how busy an agent is with one kind.
type Load struct {
	InFlight   int           `cbor:"1,keyasint"`
	Limit      int           `cbor:"2,keyasint"`
	Queued     int           `cbor:"3,keyasint"`
	QueueDelay time.Duration `cbor:"4,keyasint"`
	Leaving    bool          `cbor:"5,keyasint"`
	// SampledAt orders the loads of one life of an agent.
	SampledAt time.Time `cbor:"6,keyasint"`
}
