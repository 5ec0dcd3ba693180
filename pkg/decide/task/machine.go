package task

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/sesamestream/sesamestream/pkg/decide"
	"github.com/sesamestream/sesamestream/pkg/decide/place"
	"github.com/sesamestream/sesamestream/pkg/fleet"
)

// The defaults of a Machine's fields, and retryInterval, after which a message
// that an agent has not answered is sent again.
const (
	defaultLease        = 15 * time.Second
	defaultRideThrough  = 60 * time.Second
	defaultClockDrift   = 0.01
	defaultStartTimeout = 2 * time.Second
	retryInterval       = time.Second
	defaultRetention    = 24 * time.Hour
	defaultGiveUpAfter  = time.Minute
)

// The limits that deal with a pause of the owner's own process.
const (
	// pauseThreshold is the time without a step from which on the owner was
	// paused, as ticks come more often.
	pauseThreshold = 500 * time.Millisecond
	// resumeGrace is how long messages that were sent during a pause may take
	// to be processed after it.
	resumeGrace = 2 * time.Second
)

// A Machine makes the decisions of one shard's owner. Its exported fields must
// be set before the first Step; State is the state restored from the snapshot
// and the journal.
type Machine struct {
	State  *State
	Placer *place.Placer[ID]
	// Lease is how long a task lease lasts. Its holder counts it from the time
	// of the request.
	Lease time.Duration
	// RideThrough is how long the owner accepts jobs, assigns tasks and grants
	// leases without contact with the store.
	RideThrough time.Duration
	// ClockDrift bounds the relative difference in rate of two hosts' clocks.
	ClockDrift float64
	// StartTimeout is how long an agent may take to ask for the first lease of
	// an attempt.
	StartTimeout time.Duration
	// Retention is how long a job that is over is kept, so that repeated
	// submissions are recognised.
	Retention time.Duration
	// GiveUpAfter is how long a job may fit no host before it fails.
	GiveUpAfter time.Duration

	owner            bool
	epoch            Epoch
	lastStoreContact time.Time
	now              time.Time
	// resumedAt is when the owner last resumed after a pause of its process.
	resumedAt      time.Time
	runs           map[ID]*run
	predecessors   map[ID]predecessor
	hosts          map[fleet.ID]*host
	cancelRequests map[JobID][]RequestID
	reported       map[JobID]bool
	pendingRecords []Record
	deferred       []deferredAction
	lastToken      Token
	committedToken Token
	lastSweep      time.Time
}

// A run is the owner's state of a task's current attempt.
type run struct {
	attempt Attempt
	host    fleet.ID
	// granted is set once this owner has granted a lease, so the attempt may be
	// running.
	granted bool
	// startSent is when Start was emitted, zero before its record is committed.
	startSent time.Time
	// leaseEnd is when the last lease that may have been granted lapses.
	leaseEnd time.Time
	// lastMessage is when the agent sent its last message on the attempt, by
	// the agent's clock.
	lastMessage      time.Time
	agentIncarnation fleet.Incarnation
	// inherited is set if a previous owner assigned the attempt.
	inherited bool
	evicting  bool
	service   bool
	// stopSent is when Stop or Evict was last sent, zero if it was not.
	stopSent time.Time
}

// A predecessor is a service attempt that keeps running until its successor has
// started.
type predecessor struct {
	host    fleet.ID
	attempt Attempt
}

// A host is the owner's state of one host.
type host struct {
	agent        fleet.Incarnation
	worker       fleet.Incarnation
	unresponsive bool
	draining     bool
	polledAt     time.Time
	runs         map[ID]*run
}

// A deferredAction is an action that waits until the commit of token is in the
// journal.
type deferredAction struct {
	token  Token
	action Action
}

var _ decide.Machine[Event, Action] = (*Machine)(nil)

// Step applies e at now, appends the resulting actions to out and returns it.
// While the machine does not own the shard, only Takeover has an effect.
func (m *Machine) Step(now time.Time, e Event, out []Action) []Action {
	m.initialise()
	if !m.now.IsZero() && now.Sub(m.now) > pauseThreshold {
		m.resumedAt = now
	}
	m.now = now
	if t, ok := e.(Takeover); ok {
		out = m.takeOver(t, out)
		return m.flush(out)
	}
	if !m.owner {
		return out
	}
	out = m.dispatch(e, out)
	if !m.owner {
		return append(out, OwnershipLost{})
	}
	m.assign()
	return m.flush(out)
}

// dispatch calls the handler of e.
func (m *Machine) dispatch(e Event, out []Action) []Action {
	switch e := e.(type) {
	case Submit:
		out = m.submit(e, out)
	case Cancel:
		out = m.cancel(e, out)
	case Committed:
		out = m.handleCommitted(e, out)
	case OwnershipConfirmed:
		m.recordStoreContact(e.SentAt)
	case OwnerFenced:
		m.owner = false
	case PreviousOwnerEnded:
		m.previousOwnerEnded()
	case HostUpdate:
		out = m.updateHost(e.Host, out)
	case HostUnresponsive:
		m.hostUnresponsive(e.Host)
	case Drain:
		m.drainHost(e.Host)
	case EvictTask:
		m.evict(e.Task)
	case Answer:
		out = m.handleAnswer(e, out)
	case LeaseRequest:
		out = m.handleLeaseRequest(e, out)
	case Tick:
		out = m.handleTick(out)
	}
	return out
}

// initialise sets defaults and allocates the maps at the first step.
func (m *Machine) initialise() {
	if m.runs != nil {
		return
	}
	if m.State == nil {
		m.State = NewState()
	}
	if m.Placer == nil {
		m.Placer = &place.Placer[ID]{Rand: rand.New(rand.NewPCG(1, 1))}
	}
	m.Lease = cmp.Or(m.Lease, defaultLease)
	m.RideThrough = cmp.Or(m.RideThrough, defaultRideThrough)
	m.ClockDrift = cmp.Or(m.ClockDrift, defaultClockDrift)
	m.StartTimeout = cmp.Or(m.StartTimeout, defaultStartTimeout)
	m.Retention = cmp.Or(m.Retention, defaultRetention)
	m.GiveUpAfter = cmp.Or(m.GiveUpAfter, defaultGiveUpAfter)
	m.runs = map[ID]*run{}
	m.predecessors = map[ID]predecessor{}
	m.hosts = map[fleet.ID]*host{}
	m.cancelRequests = map[JobID][]RequestID{}
	m.reported = map[JobID]bool{}
}

// record applies r to the state and adds it to the next commit. It returns false
// if r does not follow from the state.
func (m *Machine) record(r Record) bool {
	r.Version = Version
	r.At = m.recordTime()
	if m.State.Apply(r) != nil {
		return false
	}
	m.pendingRecords = append(m.pendingRecords, r)
	return true
}

// recordTime returns the current time in the form of Record.At.
func (m *Machine) recordTime() time.Duration { return time.Duration(m.now.UnixNano()) }

// deferUntilCommitted emits a once all records so far are committed.
func (m *Machine) deferUntilCommitted(a Action) {
	t := m.lastToken
	if len(m.pendingRecords) > 0 {
		t++
	}
	m.deferred = append(m.deferred, deferredAction{token: t, action: a})
}

// flush emits the commit of this step and the actions that wait for no commit.
func (m *Machine) flush(out []Action) []Action {
	if len(m.pendingRecords) > 0 {
		m.lastToken++
		out = append(out, Commit{Records: m.pendingRecords, Token: m.lastToken})
		m.pendingRecords = nil
	}
	return m.releaseDeferred(out)
}

// handleCommitted emits the actions that waited for the confirmed commits.
func (m *Machine) handleCommitted(e Committed, out []Action) []Action {
	m.committedToken = max(m.committedToken, min(e.Token, m.lastToken))
	m.recordStoreContact(e.SentAt)
	return m.releaseDeferred(out)
}

// releaseDeferred emits the deferred actions whose commits are confirmed.
func (m *Machine) releaseDeferred(out []Action) []Action {
	n := 0
	for n < len(m.deferred) && m.deferred[n].token <= m.committedToken {
		out = m.emit(m.deferred[n].action, out)
		n++
	}
	m.deferred = slices.Delete(m.deferred, 0, n)
	return out
}

// emit appends a to out, unless it starts an attempt that is over by now.
func (m *Machine) emit(a Action, out []Action) []Action {
	s, ok := a.(Start)
	if !ok {
		return append(out, a)
	}
	r := m.runs[s.Task]
	if r == nil || r.attempt != s.Attempt {
		return out
	}
	r.startSent = m.now
	return append(out, a)
}

// recordStoreContact records that the store confirmed this owner by a request
// that was sent at t.
func (m *Machine) recordStoreContact(t time.Time) {
	if t.After(m.lastStoreContact) {
		m.lastStoreContact = t
	}
}

// withClockDrift returns d extended by the most that clocks can drift within it.
func (m *Machine) withClockDrift(d time.Duration) time.Duration {
	return d + time.Duration(float64(d)*m.ClockDrift)
}

// mayGrantLeases reports whether the last contact with the store is within
// RideThrough.
func (m *Machine) mayGrantLeases() bool { return m.now.Sub(m.lastStoreContact) < m.RideThrough }
