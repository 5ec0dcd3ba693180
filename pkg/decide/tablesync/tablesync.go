// Package tablesync decides which version of the operators' table is in force in one process.
//
// The store orders the revisions. A few processes of each data centre watch the store, the
// others hear of new revisions by gossip and fetch the table from a peer. A process never
// goes back to an older revision.
package tablesync

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/sesamestream/sesamestream/pkg/decide"
	"github.com/sesamestream/sesamestream/pkg/table"
)

// The times and bounds of the decision.
const (
	// FetchTimeout is how long a peer has to send its table.
	FetchTimeout = time.Second
	// StoreReadDelay is how long a process without a watch waits for its peers before it reads the store.
	StoreReadDelay = 2 * time.Second
	// MaxStoreReadDelay is the longest time between two such reads.
	MaxStoreReadDelay = time.Minute
	// StaleTableAge is the age at which a process without a watch reads the store itself.
	StaleTableAge = time.Minute
	// AgeReportInterval is the time between two reports of the age.
	AgeReportInterval = 5 * time.Second

	maxSources = 8
	maxRefused = 8
)

// A State says whether a table is in force.
type State uint8

// The states.
const (
	// NoTable means that callers are refused, because no rule is known.
	NoTable State = iota
	// InForce means that the table of Table is the rule.
	InForce
)

// A Machine decides for one process which table is in force.
// It implements decide.Machine[Event, Action] and decide.Waker.
type Machine struct {
	// Random spreads the reads of the store, set before the first event.
	Random *rand.Rand
	// Validate returns why a table must not be applied, nil where it may; without it all may.
	Validate func(table.Table) error

	state   State
	current table.Table
	// token orders the store's confirmations of the current revision.
	token     uint64
	confirmed time.Time
	chosen    bool
	watching  bool
	started   bool

	sources  []source
	fetching source
	deadline time.Time
	refused  []table.Revision

	patience time.Duration
	read     time.Time
	report   time.Time

	now time.Time
	out []Action
}

// A source is a peer that has a newer table.
type source struct {
	revision table.Revision
	from     netip.AddrPort
	token    uint64
}

var (
	_ decide.Machine[Event, Action] = (*Machine)(nil)
	_ decide.Waker                  = (*Machine)(nil)
)

// Step applies e at now, appends the actions that follow to out and returns it.
func (m *Machine) Step(now time.Time, e Event, out []Action) []Action {
	m.now, m.out = now, out
	if !m.started {
		m.start()
	}
	m.apply(e)
	m.work()
	out, m.out = m.out, nil
	return out
}

func (m *Machine) start() {
	m.started = true
	m.patience = StoreReadDelay
	m.read = m.now.Add(m.spread(StoreReadDelay))
	m.report = m.now.Add(AgeReportInterval)
}

func (m *Machine) apply(e Event) {
	switch e := e.(type) {
	case StoreAnswered:
		m.loaded(e)
	case PeerAnnounced:
		m.seen(e)
	case Fetched:
		m.fetched(e)
	case FetchFailed:
		m.fetchFailed(e.From)
	case StoreUnreachable:
		m.storeUnreachable()
	case WatcherChanged:
		m.chosen = e.Watcher
		m.watch()
	}
}

// work does what is due.
func (m *Machine) work() {
	if m.due(m.deadline) {
		m.fetchFailed(m.fetching.from)
	}
	if m.due(m.read) {
		m.readStore()
	}
	if m.due(m.report) {
		m.report = m.now.Add(AgeReportInterval)
		m.reportAge()
	}
}

// Wake returns when the machine wants its next Tick.
func (m *Machine) Wake() (time.Time, bool) {
	if !m.started {
		return time.Time{}, false
	}
	w := m.report
	for _, t := range []time.Time{m.deadline, m.read} {
		if !t.IsZero() && t.Before(w) {
			w = t
		}
	}
	return w, true
}

func (m *Machine) due(t time.Time) bool {
	return !t.IsZero() && !m.now.Before(t)
}

// spread returns a time between d and 2d.
func (m *Machine) spread(d time.Duration) time.Duration {
	return d + time.Duration(m.Random.Int64N(int64(d)))
}

func (m *Machine) do(a Action) {
	m.out = append(m.out, a)
}
