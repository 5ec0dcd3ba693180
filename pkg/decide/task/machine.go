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

// Times that a Machine uses where its fields are zero.
const (
	defaultLease  = 15 * time.Second
	defaultRide   = 60 * time.Second
	defaultDrift  = 0.01
	defaultStart  = 2 * time.Second
	defaultRetry  = time.Second
	defaultRetain = 24 * time.Hour
	defaultHopes  = time.Minute
)

// The bounds of a pause of the owner itself.
const (
	// pauseGap is a time without any step that tells of a pause, as ticks come more often.
	pauseGap = 500 * time.Millisecond
	// wakeGrace is how long what was told during a pause may take to be heard.
	wakeGrace = 2 * time.Second
)

// A Machine decides for one shard. Set its exported fields before the first
// Step; State is the restored and replayed state of the journal.
type Machine struct {
	State  *State
	Placer *place.Placer[ID]
	// Lease is how long a task lease lasts, counted by its holder from asking.
	Lease time.Duration
	// RideThrough is how long leases are granted without contact with the store.
	RideThrough time.Duration
	// ClockDrift bounds by which part two clocks run apart.
	ClockDrift float64
	// StartTimeout is how long an agent may take to ask for the first lease.
	StartTimeout time.Duration
	// Retention is how long a job that is over is kept for repeated submissions.
	Retention time.Duration
	// GiveUpAfter is how long a job may fit no host before it is given up.
	GiveUpAfter time.Duration

	owner   bool
	epoch   Epoch
	contact time.Time
	now     time.Time
	// woke is when the owner last went on after a pause of its own.
	woke    time.Time
	runs    map[ID]*run
	moving  map[ID]moved
	hosts   map[fleet.ID]*host
	calls   map[JobID][]RequestID
	told    map[JobID]bool
	records []Record
	held    []held
	token   Token
	done    Token
	looked  time.Time
}

// A run is what this owner knows of a task's current attempt.
type run struct {
	attempt Attempt
	host    fleet.ID
	// granted tells that the attempt may be running.
	granted bool
	// sent is when Start went out, zero before its record is committed.
	sent time.Time
	// until is when the last lease that may have been granted has lapsed.
	until time.Time
	// seen is the agent's time of its last message on the attempt.
	seen time.Time
	life fleet.Incarnation
	// inherited tells that an older owner assigned the attempt.
	inherited bool
	evicting  bool
	service   bool
	asked     time.Time
}

// A moved is a service attempt that stops once its successor has started.
type moved struct {
	host    fleet.ID
	attempt Attempt
}

// A host is what the owner knows of one host's processes.
type host struct {
	agent    fleet.Incarnation
	worker   fleet.Incarnation
	silent   bool
	draining bool
	asked    time.Time
	runs     map[ID]*run
}

// A held is an action that waits for a commit.
type held struct {
	token  Token
	action Action
}

var _ decide.Machine[Event, Action] = (*Machine)(nil)

// Step applies e at now, appends the actions that follow to out and returns it.
func (m *Machine) Step(now time.Time, e Event, out []Action) []Action {
	m.setUp()
	if !m.now.IsZero() && now.Sub(m.now) > pauseGap {
		m.woke = now
	}
	m.now = now
	if t, ok := e.(Takeover); ok {
		out = m.takeOver(t, out)
		return m.flush(out)
	}
	if !m.owner {
		return out
	}
	out = m.step(e, out)
	if !m.owner {
		return append(out, OwnershipLost{})
	}
	m.assign()
	return m.flush(out)
}

func (m *Machine) step(e Event, out []Action) []Action {
	switch e := e.(type) {
	case Submit:
		out = m.submit(e, out)
	case Cancel:
		out = m.cancel(e, out)
	case Committed:
		out = m.committed(e, out)
	case OwnershipConfirmed:
		m.confirm(e.SentAt)
	case OwnerFenced:
		m.owner = false
	case PreviousOwnerEnded:
		m.oldEnded()
	case HostUpdate:
		out = m.hostSeen(e.Host, out)
	case HostUnresponsive:
		m.silent(e.Host)
	case Drain:
		m.drain(e.Host)
	case EvictTask:
		m.evict(e.Task)
	case Answer:
		out = m.answer(e, out)
	case LeaseRequest:
		out = m.leaseAsked(e, out)
	case Tick:
		out = m.tick(out)
	}
	return out
}

func (m *Machine) setUp() {
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
	m.RideThrough = cmp.Or(m.RideThrough, defaultRide)
	m.ClockDrift = cmp.Or(m.ClockDrift, defaultDrift)
	m.StartTimeout = cmp.Or(m.StartTimeout, defaultStart)
	m.Retention = cmp.Or(m.Retention, defaultRetain)
	m.GiveUpAfter = cmp.Or(m.GiveUpAfter, defaultHopes)
	m.runs = map[ID]*run{}
	m.moving = map[ID]moved{}
	m.hosts = map[fleet.ID]*host{}
	m.calls = map[JobID][]RequestID{}
	m.told = map[JobID]bool{}
}

// record changes the state by r and puts r into the next commit.
func (m *Machine) record(r Record) bool {
	r.Version = Version
	r.At = m.at()
	if m.State.Apply(r) != nil {
		return false
	}
	m.records = append(m.records, r)
	return true
}

// at returns the time as records keep it.
func (m *Machine) at() time.Duration { return time.Duration(m.now.UnixNano()) }

// after holds a until all records so far are committed.
func (m *Machine) after(a Action) {
	t := m.token
	if len(m.records) > 0 {
		t++
	}
	m.held = append(m.held, held{token: t, action: a})
}

// flush emits the commit of this step and what waits for no commit.
func (m *Machine) flush(out []Action) []Action {
	if len(m.records) > 0 {
		m.token++
		out = append(out, Commit{Records: m.records, Token: m.token})
		m.records = nil
	}
	return m.release(out)
}

func (m *Machine) committed(e Committed, out []Action) []Action {
	m.done = max(m.done, min(e.Token, m.token))
	m.confirm(e.SentAt)
	return m.release(out)
}

// release appends the held actions whose commits are confirmed.
func (m *Machine) release(out []Action) []Action {
	n := 0
	for n < len(m.held) && m.held[n].token <= m.done {
		out = m.emit(m.held[n].action, out)
		n++
	}
	m.held = slices.Delete(m.held, 0, n)
	return out
}

// emit appends a, unless it starts an attempt that is over by now.
func (m *Machine) emit(a Action, out []Action) []Action {
	s, ok := a.(Start)
	if !ok {
		return append(out, a)
	}
	r := m.runs[s.Task]
	if r == nil || r.attempt != s.Attempt {
		return out
	}
	r.sent = m.now
	return append(out, a)
}

// confirm notes that the store knew this owner at t.
func (m *Machine) confirm(t time.Time) {
	if t.After(m.contact) {
		m.contact = t
	}
}

// stretch returns d with room for drift.
func (m *Machine) stretch(d time.Duration) time.Duration {
	return d + time.Duration(float64(d)*m.ClockDrift)
}

// mayGrant reports whether the last contact with the store is young enough.
func (m *Machine) mayGrant() bool { return m.now.Sub(m.contact) < m.RideThrough }
