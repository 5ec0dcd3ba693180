// Package tablesync decides which revision of the operators' table is in force in a process.
//
// The store orders the revisions. A few processes of each data centre watch the store. The
// others learn of new revisions by gossip and fetch the table from a peer. A process never
// reverts to an older revision.
package tablesync

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/sesamestream/sesamestream/pkg/decide"
	"github.com/sesamestream/sesamestream/pkg/table"
)

// Timeouts and limits.
const (
	// FetchTimeout is the time within which a peer must send its table.
	FetchTimeout = time.Second
	// StoreReadDelay is the initial delay before a process reads the store, in which a peer may
	// provide the table. Jitter extends it to at most twice this value.
	StoreReadDelay = 2 * time.Second
	// MaxStoreReadDelay is the maximum delay, before jitter, between two such reads.
	MaxStoreReadDelay = time.Minute
	// StaleTableAge is the time since the last confirmation of the table in force after which a
	// process reads the store itself.
	StaleTableAge = time.Minute
	// AgeReportInterval is the time between two ReportAge actions.
	AgeReportInterval = 5 * time.Second

	maxFetchSources     = 8
	maxRefusedRevisions = 8
)

// A State says whether a table is in force.
type State uint8

// The states.
const (
	// NoTable means that there is no table, so callers are refused.
	NoTable State = iota
	// InForce means that the table that Machine.Table returns is in force.
	InForce
)

// A Machine decides for one process which table is in force.
// It implements decide.Machine[Event, Action] and decide.Waker.
type Machine struct {
	// Random provides the jitter of store reads. It is set before the first event.
	Random *rand.Rand
	// Validate returns an error if a table must not be applied. If it is nil, every table
	// may be applied.
	Validate func(table.Table) error

	state   State
	current table.Table
	// token is the newest known confirmation of the current revision by the store, in seconds
	// of the clock of the process that got it.
	token       uint64
	confirmedAt time.Time
	isWatcher   bool
	watching    bool
	started     bool

	sources          []source
	fetching         source
	fetchDeadline    time.Time
	refusedRevisions []table.Revision

	readDelay  time.Duration
	nextRead   time.Time
	nextReport time.Time

	now     time.Time
	actions []Action
}

// A source is a peer that has announced a newer table.
type source struct {
	revision table.Revision
	from     netip.AddrPort
	token    uint64
}

var (
	_ decide.Machine[Event, Action] = (*Machine)(nil)
	_ decide.Waker                  = (*Machine)(nil)
)

// Step processes e at now, appends the resulting actions to out and returns it.
func (m *Machine) Step(now time.Time, e Event, out []Action) []Action {
	m.now, m.actions = now, out
	if !m.started {
		m.initialise()
	}
	m.handle(e)
	m.runDue()
	out, m.actions = m.actions, nil
	return out
}

func (m *Machine) initialise() {
	m.started = true
	m.readDelay = StoreReadDelay
	m.nextRead = m.now.Add(m.jitter(StoreReadDelay))
	m.nextReport = m.now.Add(AgeReportInterval)
}

func (m *Machine) handle(e Event) {
	switch e := e.(type) {
	case StoreAnswered:
		m.handleStoreAnswer(e)
	case PeerAnnounced:
		m.handleAnnouncement(e)
	case Fetched:
		m.handleFetched(e)
	case FetchFailed:
		m.handleFetchFailed(e.From)
	case StoreUnreachable:
		m.handleStoreUnreachable()
	case WatcherChanged:
		m.isWatcher = e.Watcher
		m.updateWatch()
	}
}

// runDue runs the timers that are due: fetch timeout, store read and age report.
func (m *Machine) runDue() {
	if m.isDue(m.fetchDeadline) {
		m.handleFetchFailed(m.fetching.from)
	}
	if m.isDue(m.nextRead) {
		m.readStore()
	}
	if m.isDue(m.nextReport) {
		m.nextReport = m.now.Add(AgeReportInterval)
		m.reportAge()
	}
}

// Wake returns when the next Tick is due, and false before the first event.
func (m *Machine) Wake() (time.Time, bool) {
	if !m.started {
		return time.Time{}, false
	}
	w := m.nextReport
	for _, t := range []time.Time{m.fetchDeadline, m.nextRead} {
		if !t.IsZero() && t.Before(w) {
			w = t
		}
	}
	return w, true
}

func (m *Machine) isDue(t time.Time) bool {
	return !t.IsZero() && !m.now.Before(t)
}

// jitter returns a random duration between d and 2d.
func (m *Machine) jitter(d time.Duration) time.Duration {
	return d + time.Duration(m.Random.Int64N(int64(d)))
}

func (m *Machine) emit(a Action) {
	m.actions = append(m.actions, a)
}
