// Package route decides which agent gets a request.
//
// A Router samples a few of the agents it knows, nearest first, and takes the
// one with the least expected time to an answer. Load reports are late, so the
// requests in flight from here count beside them. The link between regions is
// used within a byte budget for each kind. A Router does no I/O, has no clock
// and is not safe for concurrent use; a decision allocates nothing.
package route

import (
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"github.com/sesamestream/sesamestream/pkg/fleet"
	"github.com/sesamestream/sesamestream/pkg/table"
)

// The errors of Pick. Each proves that no agent was chosen.
var (
	// ErrNoAgent is returned where no agent that may be used serves the kind.
	ErrNoAgent = errors.New("route: no agent serves the kind")
	// ErrAllBackingOff is returned where the agents left all refused a moment ago.
	ErrAllBackingOff = errors.New("route: every agent refused recently")
	// ErrUnreachableInTime is returned where the travel alone would pass the deadline.
	ErrUnreachableInTime = errors.New("route: no agent can be reached in time")
	// ErrOverLinkBudget is returned where only the link between regions is left and its budget is spent.
	ErrOverLinkBudget = errors.New("route: link budget is spent")
)

// A Report is what an agent says of its load for one kind.
type Report struct {
	Agent fleet.Life  `cbor:"1,keyasint" json:"life"`
	Place fleet.Place `cbor:"2,keyasint" json:"place"`
	Kind  fleet.Kind  `cbor:"3,keyasint" json:"kind"`
	// InFlight counts the kind's requests at the agent's targets.
	InFlight int `cbor:"4,keyasint" json:"inFlight"`
	// Limit is how many requests of the kind the agent runs at once; 0 means it takes none.
	Limit int `cbor:"5,keyasint" json:"limit"`
	// Queued counts the kind's requests that wait at the agent.
	Queued int `cbor:"6,keyasint" json:"queued"`
	// QueueDelay is how long the oldest of them has waited.
	QueueDelay time.Duration `cbor:"7,keyasint" json:"queueDelay"`
	// At is the agent's own time; only the reports of one life are compared by it.
	At time.Time `cbor:"8,keyasint" json:"at"`
	// Leaving says that the agent takes no new work of any kind for the rest of its life.
	Leaving bool `cbor:"9,keyasint" json:"leaving"`
}

// A Query asks for an agent.
type Query struct {
	Kind fleet.Kind
	// Size is what the request would send over the link between regions.
	Size fleet.Bytes
	// Deadline is when an answer is of no more use; zero means never.
	Deadline time.Time
	// Exclude holds the agents that this request has tried.
	Exclude []fleet.ID
}

// A Choice is an agent chosen by Pick. Each Choice is given to Done once.
type Choice struct {
	Agent fleet.Life
	Place fleet.Place
	Kind  fleet.Kind
	// OtherRegion says that the choice crosses the link between regions.
	OtherRegion bool
	// Size is the query's size.
	Size fleet.Bytes
	// ReservedBytes is what the choice took from the link budget, the expected answer included.
	ReservedBytes fleet.Bytes
	// OneWayDelay is the delay expected one way.
	OneWayDelay time.Duration
	// ExpectedLatency is the time expected until the answer.
	ExpectedLatency time.Duration
}

// A Status says how a choice ended.
type Status int

// The ways in which a choice ends.
const (
	// StatusAnswered means that the answer's head came.
	StatusAnswered Status = iota
	// StatusRefused means that the agent refused and asks to be left alone for RetryAfter.
	StatusRefused
	// StatusFailed means that the agent or its target broke, or did not answer by the deadline.
	StatusFailed
	// StatusCancelled means that the entry gave up on it; it says nothing of the agent.
	StatusCancelled
)

// A Result is what Done learns from a choice.
type Result struct {
	Status Status
	// Latency is the time from the dispatch to the answer's head, where answered.
	Latency time.Duration
	// NetworkRTT is the round trip without the agent's own time, 0 where it was not measured.
	NetworkRTT time.Duration
	// RetryAfter is how long a refusing agent asks to be avoided.
	RetryAfter time.Duration
	// LinkBytes is what crossed the link between regions, both ways.
	LinkBytes fleet.Bytes
	// Load is the report that came with the answer, if HasLoad.
	Load    Report
	HasLoad bool
}

// A Router knows the agents and chooses among them.
type Router struct {
	// Place is where the entry stands.
	Place fleet.Place
	// Rand is the source of the samples.
	Rand *rand.Rand
	// Policy scores the sampled agents; nil means Balanced.
	Policy Policy
	// SampleSize is how many agents are sampled, up to MaxChoices; 0 means DefaultChoices.
	SampleSize int

	entries int
	pools   map[fleet.Kind]*pool
	lives   map[fleet.ID]*life
	paths   map[site]*path
	swept   time.Time
}

// The bounds of the sample.
const (
	DefaultSampleSize = 3
	MaxSampleSize     = 32
)

func (r *Router) policy() Policy {
	if r.Policy == nil {
		return Balanced{}
	}
	return r.Policy
}

func (r *Router) choices() int {
	if r.SampleSize <= 0 {
		return DefaultSampleSize
	}
	return min(r.SampleSize, MaxSampleSize)
}

func (r *Router) entryCount() int {
	return max(r.entries, 1)
}

// AgentCount returns how many agents are known to serve k, leaving ones included.
func (r *Router) AgentCount(k fleet.Kind) int {
	p, ok := r.pools[k]
	if !ok {
		return 0
	}
	return p.known
}

// SetTable takes the link budgets of rows; kinds without a row may not cross.
func (r *Router) SetTable(rows []table.Row) {
	for _, p := range r.pools {
		p.cross = false
	}
	for _, w := range rows {
		p := r.pool(w.Kind)
		p.cross = w.CrossRegion && w.LinkRate > 0
		p.rate = w.LinkRate
	}
	r.divide()
}

// SetEntryCount takes the number of live entries, which share the link budgets.
func (r *Router) SetEntryCount(n int) {
	r.entries = n
	r.divide()
}

func (r *Router) divide() {
	for _, p := range r.pools {
		p.link.setRate(float64(p.rate) / float64(r.entryCount()))
	}
}

func (r *Router) pool(k fleet.Kind) *pool {
	p, ok := r.pools[k]
	if ok {
		return p
	}
	if r.pools == nil {
		r.pools = map[fleet.Kind]*pool{}
	}
	p = &pool{}
	r.pools[k] = p
	return p
}
