// Package route decides which agent gets a request.
//
// A Router samples a few of the known agents, nearest first, and chooses the one
// with the lowest expected time to an answer. Load reports are delayed, so the
// router also counts the requests that it has in flight itself. Each kind has a
// byte budget for the link between regions. A Router does no I/O, has no clock and
// is not safe for concurrent use; a decision allocates no memory.
package route

import (
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"github.com/sesamestream/sesamestream/pkg/fleet"
	"github.com/sesamestream/sesamestream/pkg/table"
)

// The errors of Pick. Each guarantees that no agent was chosen.
var (
	// ErrNoAgent is returned if no usable agent serves the kind.
	ErrNoAgent = errors.New("route: no agent serves the kind")
	// ErrAllBackingOff is returned if no agent is ready and some back off after a
	// refusal or an ejection.
	ErrAllBackingOff = errors.New("route: every agent refused recently")
	// ErrUnreachableInTime is returned if the network round trip alone would exceed
	// the deadline.
	ErrUnreachableInTime = errors.New("route: no agent can be reached in time")
	// ErrOverLinkBudget is returned if only agents of other regions remain and the
	// link budget is spent.
	ErrOverLinkBudget = errors.New("route: link budget is spent")
)

// A Report is the load of an agent for one kind.
type Report struct {
	// Agent identifies the agent and its incarnation.
	Agent fleet.ProcessIncarnation `cbor:"1,keyasint" json:"life"`
	Place fleet.Place              `cbor:"2,keyasint" json:"place"`
	Kind  fleet.Kind               `cbor:"3,keyasint" json:"kind"`
	// InFlight counts the kind's requests at the agent's targets.
	InFlight int `cbor:"4,keyasint" json:"inFlight"`
	// Limit is how many requests of the kind the agent runs at once; 0 means none.
	Limit int `cbor:"5,keyasint" json:"limit"`
	// Queued counts the kind's requests that wait at the agent.
	Queued int `cbor:"6,keyasint" json:"queued"`
	// QueueDelay is how long the oldest queued request has waited.
	QueueDelay time.Duration `cbor:"7,keyasint" json:"queueDelay"`
	// At is the time of the report by the clock of the agent. It orders only the
	// reports of one incarnation.
	At time.Time `cbor:"8,keyasint" json:"at"`
	// Leaving is set once this incarnation accepts no new requests of any kind.
	Leaving bool `cbor:"9,keyasint" json:"leaving"`
}

// A Query asks for an agent.
type Query struct {
	Kind fleet.Kind
	// Size is the number of bytes that the request would send over the link between
	// regions.
	Size fleet.Bytes
	// Deadline is the time after which the caller has no use for an answer; zero
	// means none.
	Deadline time.Time
	// Exclude holds the agents that this request has already tried.
	Exclude []fleet.ID
}

// A Choice is an agent chosen by Pick. Each Choice is passed to Done once.
type Choice struct {
	Agent fleet.ProcessIncarnation
	Place fleet.Place
	Kind  fleet.Kind
	// OtherRegion is set if the request crosses the link between regions.
	OtherRegion bool
	// Size is the Size of the query.
	Size fleet.Bytes
	// ReservedBytes is what was taken from the link budget for the request and its
	// expected answer.
	ReservedBytes fleet.Bytes
	// OneWayDelay is the expected network delay in one direction.
	OneWayDelay time.Duration
	// ExpectedLatency is the score of the chosen agent: the expected time to an answer.
	ExpectedLatency time.Duration
}

// A Status says how a choice ended.
type Status int

// The ways in which a choice ends.
const (
	// StatusAnswered means that the head of the answer was received.
	StatusAnswered Status = iota
	// StatusRefused means that the agent refused the request and is to be avoided
	// for RetryAfter.
	StatusRefused
	// StatusFailed means that the agent or its target failed or did not answer by
	// the deadline.
	StatusFailed
	// StatusCancelled means that the entry cancelled the request. It doesn't affect
	// the health of the agent.
	StatusCancelled
)

// A Result describes how a choice ended.
type Result struct {
	Status Status
	// Latency is the time from the dispatch to the head of the answer, if answered.
	Latency time.Duration
	// NetworkRTT is the round trip without the time spent at the agent; 0 if it was
	// not measured.
	NetworkRTT time.Duration
	// RetryAfter is how long an agent that refused asks to be avoided.
	RetryAfter time.Duration
	// LinkBytes is the number of bytes sent over the link between regions, in both
	// directions.
	LinkBytes fleet.Bytes
	// Load is the report that was sent with the answer, if HasLoad is set.
	Load    Report
	HasLoad bool
}

// A Router tracks the agents and chooses among them.
type Router struct {
	// Place is the location of the entry.
	Place fleet.Place
	// Rand draws the samples.
	Rand *rand.Rand
	// Policy scores the sampled agents; nil means Balanced.
	Policy Policy
	// SampleSize is how many agents are sampled in each tier, up to MaxSampleSize;
	// 0 means DefaultSampleSize.
	SampleSize int

	liveEntries int
	pools       map[fleet.Kind]*pool
	agents      map[fleet.ID]*agent
	paths       map[site]*networkPath
	lastSweep   time.Time
}

// The default and the maximum of SampleSize.
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

func (r *Router) sampleSize() int {
	if r.SampleSize <= 0 {
		return DefaultSampleSize
	}
	return min(r.SampleSize, MaxSampleSize)
}

// entryCount returns the number of live entries, at least 1.
func (r *Router) entryCount() int {
	return max(r.liveEntries, 1)
}

// AgentCount returns how many known agents serve k, including leaving ones.
func (r *Router) AgentCount(k fleet.Kind) int {
	p, ok := r.pools[k]
	if !ok {
		return 0
	}
	return p.endpointCount
}

// SetTable sets the link budgets from rows. Kinds without a row may not use the link
// between regions.
func (r *Router) SetTable(rows []table.Row) {
	for _, p := range r.pools {
		p.crossRegion = false
	}
	for _, w := range rows {
		p := r.pool(w.Kind)
		p.crossRegion = w.CrossRegion && w.LinkRate > 0
		p.linkRate = w.LinkRate
	}
	r.divideLinkBudgets()
}

// SetEntryCount sets the number of live entries, which share the link budgets.
func (r *Router) SetEntryCount(n int) {
	r.liveEntries = n
	r.divideLinkBudgets()
}

// divideLinkBudgets gives this entry an equal share of each link budget.
func (r *Router) divideLinkBudgets() {
	for _, p := range r.pools {
		p.linkBudget.setRate(float64(p.linkRate) / float64(r.entryCount()))
	}
}

// pool returns the pool of k and creates it if needed.
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
