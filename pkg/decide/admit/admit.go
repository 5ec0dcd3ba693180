// Package admit decides which requests run on one host, which wait and which
// are refused.
//
// The agent of a host is the only authority on it: every request for a target
// on the host goes through one Admitter. The decision is pure: the time comes
// in with each call, and what follows is appended to a slice of actions.
//
// A permit is the right to have one request running on the host. The number of
// permits, the limit, is learned from measured latency and never above the
// host's connections. Floors and ceilings are counts of permits, so a kind
// with long requests pays for the time for which it holds them.
package admit

import (
	"time"

	"github.com/sesamestream/sesamestream/pkg/fleet"
	"github.com/sesamestream/sesamestream/pkg/table"
)

// A RequestID is the caller's name for one request at this agent. It must be
// unique among the requests that are queued or running.
type RequestID uint64

// A Request asks for a permit.
type Request struct {
	ID   RequestID
	Kind fleet.Kind
	// Deadline is when the answer stops being of use.
	Deadline time.Time
}

// A Decision is what an action says of a ticket.
type Decision uint8

// The verdicts.
const (
	// Start means the request holds a permit and must be sent to a target now.
	Start Decision = iota + 1
	// Refuse means the request never ran here and is forgotten.
	Refuse
)

// A Reason says why a request was refused.
type Reason uint8

// The reasons of refusals.
const (
	// ReasonNone is the reason of actions that refuse nothing.
	ReasonNone Reason = iota
	// ReasonUnknownKind means the table has no request row for the kind.
	ReasonUnknownKind
	// ReasonNoTarget means the host has no target.
	ReasonNoTarget
	// ReasonDraining means the host is leaving.
	ReasonDraining
	// ReasonCeiling means the kind's ceiling allows no request at all.
	ReasonCeiling
	// ReasonDeadline means the answer could not be in time.
	ReasonDeadline
	// ReasonQueue means the queue of the kind is at its bound.
	ReasonQueue
)

var reasonNames = [...]string{"none", "unknownKind", "noTarget", "draining", "ceiling", "deadline", "queue"}

// String returns the name of r.
func (r Reason) String() string {
	if int(r) >= len(reasonNames) {
		return "invalid"
	}
	return reasonNames[r]
}

// An Action is the verdict on one ticket.
type Action struct {
	Decision  Decision
	RequestID RequestID
	Reason    Reason
	// RetryAfter is when, by its own estimate, this host would take the same
	// request; zero where it would not by waiting alone.
	RetryAfter time.Duration
}

// A ShareFactor is the factor from a kind's share of the fleet to its share of this host.
type ShareFactor struct {
	Kind   fleet.Kind
	Factor float64
}

// A Load is the state of one kind on this host, for reports to routers.
type Load struct {
	Kind     fleet.Kind
	InFlight int
	Queued   int
	// Delay is the expected wait of a request that arrives now.
	Delay time.Duration
	// Limit is how many requests of the kind may run at once here.
	Limit int
	// Headroom is how many more requests would start without a wait.
	Headroom int
}

// An Admitter decides for one host. Commands append what follows to out and
// return it; time never runs backwards between two calls.
type Admitter interface {
	// SetTable puts the request rows in force; other rows are ignored.
	// What is queued of a kind that left the table is refused.
	SetTable(now time.Time, rows []table.Row, out []Action) []Action
	// SetCapacity bounds the permits by the connections of the host's targets,
	// zero while the host has none.
	SetCapacity(now time.Time, connections int, out []Action) []Action
	// SetShareFactors sets the factors of the kinds listed and one for the rest.
	SetShareFactors(now time.Time, scales []ShareFactor, out []Action) []Action
	// Offer starts, queues or refuses r. A ticket already known is ignored.
	Offer(now time.Time, r Request, out []Action) []Action
	// Done gives the permit of t back after a request that took latency.
	Done(now time.Time, t RequestID, latency time.Duration, ok bool, out []Action) []Action
	// Cancel forgets t: a queued request never runs, and a running one gives its
	// permit back without a measurement. It must be cut off at the target first.
	Cancel(now time.Time, t RequestID, out []Action) []Action
	// Drain refuses what is queued and all that is offered from now on.
	Drain(now time.Time, out []Action) []Action
	// Tick refuses what can no longer be answered in time.
	Tick(now time.Time, out []Action) []Action
	// Wake returns when Tick has work, and false where it has none.
	Wake() (time.Time, bool)
	// Load appends the state of each kind to out.
	Load(now time.Time, out []Load) []Load
	// Limit returns how many permits the host has now.
	Limit() int
}

// A Policy chooses which kind gets the next free permit.
type Policy interface {
	// Pick returns the queue that gets the next permit, nil for none.
	// Only queues that may start a request are to be returned.
	Pick(queues []*Queue, limit int) *Queue
	// Recall returns the queue that may exceed the limit, within the host's
	// connections, because permits of its floor are lent; nil for none.
	Recall(queues []*Queue) *Queue
	// Timely reports whether requests go by deadline and late ones are refused;
	// else they go by arrival and are served late.
	Timely() bool
}

// New returns the Admitter of the product: floors, weights and deadlines.
func New() Admitter {
	return NewWith(&Fair{}, AIMD{})
}

// NewWith returns an Admitter that picks by p and learns its limit by l.
func NewWith(p Policy, l LimitAlgorithm) Admitter {
	return &controller{
		policy:  p,
		law:     l,
		kinds:   make(map[fleet.Kind]*Queue),
		tickets: make(map[RequestID]*request, maxQueued),
	}
}
