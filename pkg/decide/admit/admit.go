// Package admit implements admission control for one host: it decides which
// requests start, which are queued and which are refused.
//
// Every request for a target on a host goes through the one Admitter of the
// host's agent. An Admitter does no I/O and reads no clock: each call passes
// the time in and gets the resulting actions appended to a slice.
//
// A permit is the right to have one request in flight on the host. The limit,
// which is the number of permits, is adapted to the measured latency and never
// exceeds the host's connections. Floors and ceilings are numbers of permits,
// so a kind with long requests is charged for the time that it holds them.
package admit

import (
	"time"

	"github.com/sesamestream/sesamestream/pkg/fleet"
	"github.com/sesamestream/sesamestream/pkg/table"
)

// A RequestID identifies a request at this agent. The caller chooses it; it must
// be unique among the requests that are queued or running.
type RequestID uint64

// A Request asks for a permit.
type Request struct {
	ID   RequestID
	Kind fleet.Kind
	// Deadline is the time after which an answer is useless.
	Deadline time.Time
}

// A Decision is what an action does with a request.
type Decision uint8

// The decisions.
const (
	// Start means the request holds a permit and must be sent to a target now.
	Start Decision = iota + 1
	// Refuse means the request has not run here and the Admitter no longer tracks it.
	Refuse
)

// A Reason says why a request was refused.
type Reason uint8

// The reasons for refusals.
const (
	// ReasonNone is the reason of an action that is not a refusal.
	ReasonNone Reason = iota
	// ReasonUnknownKind means the table has no request row for the kind.
	ReasonUnknownKind
	// ReasonNoTarget means the host has no target.
	ReasonNoTarget
	// ReasonDraining means the host is draining.
	ReasonDraining
	// ReasonCeiling means the ceiling of the kind is zero.
	ReasonCeiling
	// ReasonDeadline means the answer would come after the deadline.
	ReasonDeadline
	// ReasonQueue means the queue of the kind is too long, by its length or its expected delay.
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

// An Action is the decision on one request.
type Action struct {
	Decision  Decision
	RequestID RequestID
	Reason    Reason
	// RetryAfter is the estimated time until this host would accept the same
	// request, or zero if waiting alone does not help.
	RetryAfter time.Duration
}

// A ShareFactor converts a kind's share of the fleet to its share of this host.
type ShareFactor struct {
	Kind   fleet.Kind
	Factor float64
}

// A Load is the state of one kind on this host, for reports to routers.
type Load struct {
	Kind     fleet.Kind
	InFlight int
	Queued   int
	// Delay is the expected queueing delay of a request that arrives now.
	Delay time.Duration
	// Limit is the number of requests of the kind that may run concurrently on this host.
	Limit int
	// Headroom is the number of further requests that would start without queueing.
	Headroom int
}

// An Admitter controls admission on one host. Methods that take out append the
// resulting actions to it and return it. The time must not decrease between calls.
type Admitter interface {
	// SetTable applies the request rows and ignores the others. It refuses
	// the queued requests of kinds that are no longer in the table.
	SetTable(now time.Time, rows []table.Row, out []Action) []Action
	// SetCapacity sets the upper bound of the limit to the number of connections
	// of the host's targets, which is zero while the host has no target.
	SetCapacity(now time.Time, connections int, out []Action) []Action
	// SetShareFactors sets the factors of the kinds in factors, and 1 for all others.
	SetShareFactors(now time.Time, factors []ShareFactor, out []Action) []Action
	// Offer starts, queues or refuses r. It ignores a request whose ID is already in use.
	Offer(now time.Time, r Request, out []Action) []Action
	// Done releases the permit of the running request id, which took latency and
	// succeeded if ok is true.
	Done(now time.Time, id RequestID, latency time.Duration, ok bool, out []Action) []Action
	// Cancel removes the request id: a queued request never runs, and a running one
	// releases its permit without a latency sample. The caller must first abort a
	// running request at the target.
	Cancel(now time.Time, id RequestID, out []Action) []Action
	// Drain refuses all queued requests and all later offers.
	Drain(now time.Time, out []Action) []Action
	// Tick refuses queued requests that can no longer meet their deadline and starts
	// requests of kinds whose cooldown has ended.
	Tick(now time.Time, out []Action) []Action
	// Wake returns when Tick must be called next, and false if no call is needed.
	Wake() (time.Time, bool)
	// Load appends the state of each kind in the table to out.
	Load(now time.Time, out []Load) []Load
	// Limit returns the current number of permits of the host.
	Limit() int
}

// A Policy selects the kind that gets the next permit.
type Policy interface {
	// Pick returns the queue that gets the next free permit, or nil.
	// The queue must be Ready.
	Pick(queues []*Queue, limit int) *Queue
	// Recall returns the queue that may start a request above the limit, but
	// within the host's connections, because other kinds have borrowed permits
	// of its floor. It returns nil if there is none.
	Recall(queues []*Queue) *Queue
	// Timely reports whether a queue is ordered by deadline and requests that
	// would be late are refused. Otherwise a queue is ordered by arrival and
	// late requests are served.
	Timely() bool
}

// New returns the default Admitter, which uses Fair and AIMD.
func New() Admitter {
	return NewWith(&Fair{}, AIMD{})
}

// NewWith returns an Admitter that selects kinds by p and adapts its limit by l.
func NewWith(p Policy, l LimitAlgorithm) Admitter {
	return &controller{
		policy:    p,
		algorithm: l,
		kinds:     make(map[fleet.Kind]*Queue),
		requests:  make(map[RequestID]*request, maxQueuedPerKind),
	}
}
