package host

import (
	"cmp"
	"slices"
	"time"

	"github.com/sesamestream/sesamestream/pkg/decide/task"
	"github.com/sesamestream/sesamestream/pkg/fleet"
)

// renewalsPerLease is how many times the agent requests a renewal within the
// length of one lease.
const renewalsPerLease = 4

// TickInterval is the time between two Ticks.
const TickInterval = 500 * time.Millisecond

// Machine is the decision logic of one host. It implements
// decide.Machine[Event, Action]. Its exported fields are set before the first Step.
type Machine struct {
	// Agent is the incarnation of the agent that runs the Machine.
	Agent fleet.ProcessIncarnation
	// Lease is the length of the leases that shard owners grant.
	Lease time.Duration

	clock            leaseClock
	now              time.Time
	leaseRequests    []time.Time
	sequence         uint64
	worker           fleet.Incarnation
	workerResponsive bool
	draining         bool
	total            fleet.Resources
	reserved         fleet.Resources
	estimator        NeedEstimator
	// shortfall is the sum by which reservations are below their targets.
	shortfall fleet.Resources
	// processorsSufficientAt is the last time without a shortfall of processors.
	processorsSufficientAt time.Time
	// evictedAt is the time of the last eviction due to a shortfall.
	evictedAt time.Time
	attempts  map[Key]*attempt
	epochs    map[Shard]task.Epoch
	renewedAt time.Time
}

// phase is the state of an attempt at the agent.
type phase uint8

const (
	// reserved attempts hold resources and wait for their first lease.
	reserved phase = iota + 1
	// starting attempts have been sent to the worker.
	starting
	// running attempts have been confirmed by the worker.
	running
	// checkpointing attempts save a checkpoint before they are stopped.
	checkpointing
	// stopping attempts wait until the worker has stopped them.
	stopping
	// final attempts have their final answer, which is repeated until an Ack.
	final
)

// attempt is the state of one attempt on this host.
type attempt struct {
	phase phase
	spec  *task.Spec
	// need is the current reservation, declared the request of the task.
	need     fleet.Resources
	declared fleet.Resources
	// usage is the usage last reported by the worker, valid once usageReported is set.
	usage         fleet.Resources
	usageReported bool
	// adopted is set for an attempt that an earlier incarnation of the agent started.
	adopted  bool
	leaseEnd time.Time
	// workerLeaseEnd is the end of the longest lease that was sent to the worker.
	workerLeaseEnd time.Time
	// reservedAt is the time at which the attempt was reserved or adopted.
	reservedAt time.Time
	// lastRunningAt is the last time at which the worker reported the attempt running.
	lastRunningAt time.Time
	// granted is set once this incarnation of the agent has received a lease.
	granted bool
	// listed is set if the latest announcement contains the attempt.
	listed bool
	// acked is set once the owner has acknowledged the final answer.
	acked       bool
	worker      fleet.Incarnation
	finalAnswer task.AnswerKind
	// stopAnswer becomes the final answer once the worker has stopped the attempt.
	stopAnswer task.AnswerKind
	checkpoint task.Checkpoint
	reason     string
	// sentAt is the time of the last command to the worker; for a reserved attempt,
	// the time of its first tick.
	sentAt time.Time
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
		return m.handleOrder(e, out)
	case WorkerAnnouncement:
		return m.handleAnnouncement(e, out)
	case WorkerUnresponsive:
		m.workerResponsive = false
	case CommandResult:
		return m.handleCommandResult(e, out)
	case Drain:
		m.draining = e.Draining
	case Tick:
		return m.tick(out)
	}
	return out
}

// handleOrder applies an order unless a newer owner of the shard has sent one.
func (m *Machine) handleOrder(o Order, out []Action) []Action {
	if o.Epoch < m.epochs[o.Shard] {
		return out
	}
	m.epochs[o.Shard] = o.Epoch
	if m.worker == 0 {
		// The attempts on this host are unknown until the worker has announced them.
		return out
	}
	switch a := o.Action.(type) {
	case task.Start:
		return m.handleStart(o.Shard, a, out)
	case task.GrantLease:
		return m.handleGrant(o.Shard, a, out)
	case task.Stop:
		return m.stop(Key{o.Shard, a.Task, a.Attempt}, task.Stopped, out)
	case task.Evict:
		return m.evict(Key{o.Shard, a.Task, a.Attempt}, out)
	case task.Ack:
		m.handleAck(Key{o.Shard, a.Task, a.Attempt})
	case task.PollAgent:
		return m.requestLeases(o.Shard, out)
	}
	return out
}

// sender returns the header of a message to the owner of s and records the time
// as that of a lease request.
func (m *Machine) sender(s Shard) task.Sender {
	m.recordLeaseRequest()
	return task.Sender{Agent: m.Agent, Worker: m.worker, Epoch: m.epochs[s], SentAt: m.now}
}

// answerOwner sends an answer about one attempt to the owner of its shard.
func (m *Machine) answerOwner(k Key, kind task.AnswerKind, a *attempt, out []Action) []Action {
	x := task.Answer{Sender: m.sender(k.Shard), Kind: kind, Task: k.Task, Attempt: k.Attempt}
	x.Checkpoint = a.checkpoint
	x.Reason = a.reason
	return append(out, AnswerOwner{Shard: k.Shard, Answer: x})
}

// finish releases the reservation of an attempt and sends its final answer.
func (m *Machine) finish(k Key, a *attempt, kind task.AnswerKind, reason string, out []Action) []Action {
	if a.phase == final {
		return out
	}
	m.reserved = m.reserved.Minus(a.need)
	a.phase = final
	a.finalAnswer = kind
	if reason != "" {
		a.reason = reason
	}
	return m.answerOwner(k, kind, a, out)
}

// handleAck records that the owner has acknowledged a final answer, and removes
// the attempt if no start of it can arrive any more.
func (m *Machine) handleAck(k Key) {
	a := m.attempts[k]
	if a == nil || a.phase != final {
		return
	}
	a.acked = true
	m.removeIfSettled(k, a)
}

// removeIfSettled removes an acknowledged attempt that the worker never received
// or that belongs to an earlier incarnation of the worker. Others are removed once
// their lease has expired and the worker no longer lists them.
func (m *Machine) removeIfSettled(k Key, a *attempt) {
	unstartable := a.workerLeaseEnd.IsZero() || a.worker != m.worker
	if a.acked && (unstartable || !a.listed && m.leaseExpired(a)) {
		delete(m.attempts, k)
	}
}

// leaseExpired reports whether a worker that respects its leases has certainly
// stopped a and refuses a start of it.
func (m *Machine) leaseExpired(a *attempt) bool {
	return m.now.After(a.workerLeaseEnd.Add(leaseExpiryMargin))
}

// requestLeases asks the owner of s for leases on all its attempts on this host
// whose end is not acknowledged.
func (m *Machine) requestLeases(s Shard, out []Action) []Action {
	e := task.LeaseRequest{Sender: m.sender(s)}
	for _, k := range m.sortedKeys() {
		a := m.attempts[k]
		if k.Shard != s || a.acked {
			continue
		}
		h := task.HeldAttempt{Task: k.Task, Attempt: k.Attempt, Checkpoint: a.checkpoint, Reason: a.reason}
		if a.phase == final {
			h.Final = a.finalAnswer
		}
		e.Attempts = append(e.Attempts, h)
	}
	return append(out, RequestLeases{Shard: s, Request: e})
}

// sortedKeys returns the keys of all attempts in a fixed order, so that equal
// inputs give equal actions.
func (m *Machine) sortedKeys() []Key {
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
