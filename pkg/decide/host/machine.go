package host

import (
	"cmp"
	"slices"
	"time"

	"github.com/sesamestream/sesamestream/pkg/decide/task"
	"github.com/sesamestream/sesamestream/pkg/fleet"
)

// renewals is how many times a lease is asked for within its length.
const renewals = 4

// TickInterval is how often a Machine wants a Tick.
const TickInterval = 500 * time.Millisecond

// A Machine decides for one host. It implements decide.Machine[Event, Action].
// Its exported fields are set before the first Step.
type Machine struct {
	// Agent is the agent's own.
	Agent fleet.ProcessIncarnation
	// Lease is how long the owners' leases last.
	Lease time.Duration

	clock    leaseClock
	now      time.Time
	asked    []time.Time
	sequence uint64
	worker   fleet.Incarnation
	alive    bool
	draining bool
	total    fleet.Resources
	reserved fleet.Resources
	learner  NeedEstimator
	// short is what reservations lack to be what was learned.
	short fleet.Resources
	// processorsFull is when processors were last not short.
	processorsFull time.Time
	// shedAt is when an attempt was last evicted for room.
	shedAt   time.Time
	attempts map[Key]*attempt
	epochs   map[Shard]task.Epoch
	renewed  time.Time
}

// A phase is where an attempt stands here.
type phase uint8

const (
	// reserved holds room and waits for its first lease.
	reserved phase = iota + 1
	// starting has been sent to the worker.
	starting
	// running was seen running.
	running
	// saving is checkpointed before it stops.
	saving
	// stopping is being stopped.
	stopping
	// final has its answer, which waits for an Ack.
	final
)

type attempt struct {
	phase phase
	spec  *task.Spec
	// need is what is reserved, declared what the task asked for.
	need     fleet.Resources
	declared fleet.Resources
	// used is what the worker last reported.
	used     fleet.Resources
	reported bool
	// adopted was reserved by an earlier life of the agent.
	adopted bool
	until   time.Time
	// handed is the end of the longest lease that the worker was handed.
	handed time.Time
	// since is when the attempt was reserved or adopted.
	since time.Time
	// ran is when the worker last reported it running.
	ran time.Time
	// granted is set once this life of the agent was granted a lease.
	granted bool
	// listed is set while the worker reports the attempt.
	listed bool
	// acked is set once the owner has taken the final answer.
	acked  bool
	worker fleet.Incarnation
	answer task.AnswerKind
	// onStop is the answer once the worker has stopped it.
	onStop task.AnswerKind
	saved  task.Checkpoint
	reason string
	// sent is when the last command went to the worker.
	sent time.Time
}

// Step applies e at now, appends the actions that follow to out and returns it.
func (m *Machine) Step(now time.Time, e Event, out []Action) []Action {
	m.now = m.clock.read(now)
	if m.attempts == nil {
		m.attempts = make(map[Key]*attempt)
		m.epochs = make(map[Shard]task.Epoch)
	}
	switch e := e.(type) {
	case Order:
		return m.order(e, out)
	case WorkerAnnouncement:
		return m.workerSeen(e, out)
	case WorkerUnresponsive:
		m.alive = false
	case CommandResult:
		return m.commanded(e, out)
	case Drain:
		m.draining = e.Draining
	case Tick:
		return m.tick(out)
	}
	return out
}

// order obeys the newest owner of a shard and no older one.
func (m *Machine) order(o Order, out []Action) []Action {
	if o.Epoch < m.epochs[o.Shard] {
		return out
	}
	m.epochs[o.Shard] = o.Epoch
	if m.worker == 0 {
		// What runs here is not known before the worker has told.
		return out
	}
	switch a := o.Action.(type) {
	case task.Start:
		return m.start(o.Shard, a, out)
	case task.GrantLease:
		return m.granted(o.Shard, a, out)
	case task.Stop:
		return m.stop(Key{o.Shard, a.Task, a.Attempt}, task.Stopped, out)
	case task.Evict:
		return m.evict(Key{o.Shard, a.Task, a.Attempt}, out)
	case task.Ack:
		m.acked(Key{o.Shard, a.Task, a.Attempt})
	case task.PollAgent:
		return m.renew(o.Shard, out)
	}
	return out
}

func (m *Machine) sender(s Shard) task.Sender {
	m.noteAsked()
	return task.Sender{Agent: m.Agent, Worker: m.worker, Epoch: m.epochs[s], SentAt: m.now}
}

// say answers the owner about one attempt.
func (m *Machine) say(k Key, kind task.AnswerKind, a *attempt, out []Action) []Action {
	x := task.Answer{Sender: m.sender(k.Shard), Kind: kind, Task: k.Task, Attempt: k.Attempt}
	x.Checkpoint = a.saved
	x.Reason = a.reason
	return append(out, AnswerOwner{Shard: k.Shard, Answer: x})
}

// end gives the room of an attempt back and tells its final answer.
func (m *Machine) end(k Key, a *attempt, kind task.AnswerKind, reason string, out []Action) []Action {
	if a.phase == final {
		return out
	}
	m.reserved = m.reserved.Minus(a.need)
	a.phase = final
	a.answer = kind
	if reason != "" {
		a.reason = reason
	}
	return m.say(k, kind, a, out)
}

// acked notes that the owner has taken a final answer, and forgets the
// attempt once it cannot come up again.
func (m *Machine) acked(k Key) {
	a := m.attempts[k]
	if a == nil || a.phase != final {
		return
	}
	a.acked = true
	m.forget(k, a)
}

// forget drops an attempt of which no start can reach its worker and which
// the worker does not list.
func (m *Machine) forget(k Key, a *attempt) {
	gone := a.handed.IsZero() || a.worker != m.worker
	if a.acked && (gone || !a.listed && m.past(a)) {
		delete(m.attempts, k)
	}
}

// past reports whether a worker that keeps to its leases has surely stopped a
// and refuses a start of it.
func (m *Machine) past(a *attempt) bool { return m.now.After(a.handed.Add(lapseMargin)) }

// renew lists all that this host holds of a shard.
func (m *Machine) renew(s Shard, out []Action) []Action {
	e := task.LeaseRequest{Sender: m.sender(s)}
	for _, k := range m.keys() {
		a := m.attempts[k]
		if k.Shard != s || a.acked {
			continue
		}
		h := task.HeldAttempt{Task: k.Task, Attempt: k.Attempt, Checkpoint: a.saved, Reason: a.reason}
		if a.phase == final {
			h.Final = a.answer
		}
		e.Attempts = append(e.Attempts, h)
	}
	return append(out, RequestLeases{Shard: s, Request: e})
}

// keys returns the attempts in a fixed order, so that equal inputs give equal actions.
func (m *Machine) keys() []Key {
	out := make([]Key, 0, len(m.attempts))
	for k := range m.attempts {
		out = append(out, k)
	}
	slices.SortFunc(out, func(a, b Key) int {
		return cmp.Or(
			cmp.Compare(a.Shard, b.Shard),
			cmp.Compare(a.Task.Job, b.Task.Job),
			cmp.Compare(a.Task.Index, b.Task.Index),
			cmp.Compare(a.Attempt, b.Attempt),
		)
	})
	return out
}
