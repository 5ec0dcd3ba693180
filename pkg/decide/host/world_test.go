package host

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"pgregory.net/rapid"

	"github.com/sesamestream/sesamestream/pkg/decide/task"
	"github.com/sesamestream/sesamestream/pkg/fleet"
)

const testLease = 10 * time.Second

// workerStopDelay is the delay with which a worker stops an attempt whose lease has
// expired.
const workerStopDelay = 500 * time.Millisecond

// The simulated worker and owner below follow the protocol and keep their own records,
// independently of the machine.

// run is an attempt at the worker.
type run struct {
	state      State
	leaseEnd   time.Time
	need       fleet.Resources
	checkpoint task.Checkpoint
}

// simulatedWorker is one incarnation of the worker.
type simulatedWorker struct {
	incarnation fleet.Incarnation
	boundAgent  fleet.Incarnation
	sequence    uint64
	runs        map[Key]*run
}

// message is a message in the network; exactly one of its pointer and interface fields
// is set.
type message struct {
	agent        fleet.Incarnation // the incarnation of the agent that sent or may receive it, or 0
	order        *Order
	requestedAt  time.Duration // the lease request time of a grant or an answer, since the agent's start
	toOwner      Action
	command      *Command
	event        Event
	announcement *WorkerAnnouncement
	reply        *AnswerWorker
	sent         time.Time
}

// ownerState is the owner's view of the current attempt of a task.
type ownerState struct {
	attempt       task.Attempt
	open          bool
	granted       bool
	stopRequested bool
	finalAnswer   task.AnswerKind
	leaseEnd      time.Time
	startSentAt   time.Time
}

// simulation connects a Machine with a simulated worker and owner over a faulty network.
type simulation struct {
	t *rapid.T
	r *rand.Rand
	// workerUnreachable and ownerUnreachable drop all messages to the worker or the owner.
	workerUnreachable, ownerUnreachable bool
	// latestEpoch and latestAnnouncement are the newest that this incarnation of the
	// agent has accepted.
	latestEpoch        task.Epoch
	latestAnnouncement *WorkerAnnouncement
	assignedWorker     map[Key]fleet.Incarnation
	now                time.Time
	machine            *Machine
	workerKnown        bool
	clockStart         map[fleet.Incarnation]time.Time
	total              fleet.Resources
	worker             *simulatedWorker
	network            []message
	epoch              task.Epoch
	tasks              []*ownerState
	leaseEnds          map[Key]time.Time
	started            map[Key]bool
	answeredFinal      map[Key]bool
	// awaitingEnd holds attempts that started and are known to the agent or its worker,
	// but have no final answer yet.
	awaitingEnd map[Key]bool
	// finalAnswers holds the final answers of this incarnation of the agent that are
	// not acknowledged.
	finalAnswers map[Key]task.AnswerKind
}

func newSimulation(t *rapid.T) *simulation {
	w := &simulation{t: t, r: rand.New(rand.NewPCG(7, rapid.Uint64().Draw(t, "seed"))), now: time.Unix(1e6, 0), clockStart: map[fleet.Incarnation]time.Time{}, worker: &simulatedWorker{}}
	w.total = fleet.Resources{Processors: 4000, Memory: 100, Slots: 4}
	w.tasks = []*ownerState{{}, {}, {}, {}, {}}
	w.leaseEnds = map[Key]time.Time{}
	w.started = map[Key]bool{}
	w.answeredFinal = map[Key]bool{}
	w.assignedWorker = map[Key]fleet.Incarnation{}
	w.awaitingEnd = map[Key]bool{}
	w.restartAgent()
	w.restartWorker()
	return w
}

func (w *simulation) restartAgent() {
	n := fleet.Incarnation(len(w.clockStart) + 1)
	w.machine = &Machine{Agent: fleet.ProcessIncarnation{ID: "h", Incarnation: n}, Lease: testLease}
	w.clockStart[n] = w.now.Add(time.Duration(n)) // Incarnations have distinct start times.
	w.workerKnown = false
	w.latestAnnouncement = &WorkerAnnouncement{}
	w.latestEpoch = 0
	for k := range w.awaitingEnd {
		if w.worker.runs[k] == nil {
			delete(w.awaitingEnd, k)
		}
	}
	w.finalAnswers = map[Key]task.AnswerKind{}
}

func (w *simulation) restartWorker() {
	if !w.workerKnown {
		clear(w.awaitingEnd)
	}
	w.worker = &simulatedWorker{incarnation: w.worker.incarnation + 1, runs: map[Key]*run{}}
}

func (w *simulation) agentIncarnation() fleet.Incarnation { return w.machine.Agent.Incarnation }

func (w *simulation) send(m message) { w.network = append(w.network, m) }

// step passes an event to the machine, checks its answers and sends its actions.
func (w *simulation) step(e Event) {
	for _, a := range w.machine.Step(w.now, e, nil) {
		switch a := a.(type) {
		case Command:
			w.send(message{agent: w.agentIncarnation(), command: &a})
		case AnswerWorker:
			w.send(message{agent: w.agentIncarnation(), reply: &a, sent: w.now})
		case AnswerOwner:
			w.checkAnswer(Key{a.Shard, a.Answer.Task, a.Answer.Attempt}, a.Answer.Kind)
			w.send(message{agent: w.agentIncarnation(), toOwner: a, requestedAt: a.Answer.SentAt.Sub(w.clockStart[w.agentIncarnation()])})
		case RequestLeases:
			for _, h := range a.Request.Attempts {
				w.checkAnswer(Key{a.Shard, h.Task, h.Attempt}, h.Final)
			}
			w.send(message{agent: w.agentIncarnation(), toOwner: a, requestedAt: a.Request.SentAt.Sub(w.clockStart[w.agentIncarnation()])})
		}
	}
	if r := w.machine.Capacity(); w.machine.workerResponsive && !(fleet.Resources{}).Fits(r.Free) {
		w.t.Fatalf("the host is overcommitted: %+v", r)
	}
}

// deliver delivers message i and, unless keep is set, removes it. Commands and their
// results are never duplicated.
func (w *simulation) deliver(i int, keep bool) {
	m := w.network[i]
	if !keep || m.command != nil || m.event != nil {
		w.network = slices.Delete(w.network, i, i+1)
	}
	switch {
	case m.order != nil:
		o := *m.order
		if g, ok := o.Action.(task.GrantLease); ok {
			g.RequestedAt = w.clockStart[w.agentIncarnation()].Add(m.requestedAt)
			o.Action = g
		}
		if a, ok := o.Action.(task.Ack); ok && w.workerKnown {
			delete(w.finalAnswers, Key{o.Shard, a.Task, a.Attempt})
		}
		w.checkOutdatedIgnored(o.Epoch < w.latestEpoch, func() { w.step(o) })
		w.latestEpoch = max(w.latestEpoch, o.Epoch)
	case m.toOwner != nil:
		if !w.ownerUnreachable {
			w.receiveAtOwner(m)
		}
	case m.command != nil && w.workerUnreachable:
		w.send(message{agent: m.agent, event: CommandResult{Command: *m.command, Result: OutcomeUnknown}})
	case m.command != nil:
		w.send(message{agent: m.agent, event: w.executeCommand(m.agent, *m.command)})
	case m.event != nil && m.agent == w.agentIncarnation():
		w.step(m.event)
	case m.announcement != nil && !w.workerUnreachable:
		if m.announcement.BoundAgent == w.agentIncarnation() {
			w.workerKnown = true
		}
		n := len(w.network)
		outdated := m.announcement.Worker < w.latestAnnouncement.Worker || m.announcement.Worker == w.latestAnnouncement.Worker && m.announcement.Sequence < w.latestAnnouncement.Sequence
		w.checkOutdatedIgnored(outdated, func() { w.step(*m.announcement) })
		if !outdated && m.announcement.BoundAgent == w.agentIncarnation() {
			w.latestAnnouncement = m.announcement
		}
		for j := n; j < len(w.network); j++ {
			w.network[j].sent = m.sent
		}
		w.checkOldWorkerFreed()
	case m.reply != nil:
		w.receiveWorkerAnswer(m)
	}
}

// drop loses message i. A lost command ends as NotSent, a lost result of a command as
// OutcomeUnknown.
func (w *simulation) drop(i int) {
	m := w.network[i]
	w.network = slices.Delete(w.network, i, i+1)
	switch e := m.event.(type) {
	case CommandResult:
		w.send(message{agent: m.agent, event: CommandResult{Command: e.Command, Result: OutcomeUnknown}})
	case nil:
		if m.command != nil {
			w.send(message{agent: m.agent, event: CommandResult{Command: *m.command, Result: NotSent}})
		}
	}
}

// executeCommand carries out a command at the worker and returns its result.
func (w *simulation) executeCommand(agent fleet.Incarnation, c Command) Event {
	e := CommandResult{Command: c, Result: CarriedOut}
	r := w.worker.runs[c.Key]
	switch c.Verb {
	case StartAttempt:
		until := c.Sent.Add(c.Lease)
		if r == nil && (agent < w.worker.boundAgent || c.Worker != w.worker.incarnation || !w.now.Before(until)) {
			e.Result = Refused
			return e
		}
		if r == nil {
			w.worker.runs[c.Key] = &run{state: Running, leaseEnd: until, need: c.Spec.Need, checkpoint: c.Checkpoint}
			w.recordStart(c.Key)
		}
	case CheckpointAttempt:
		if r == nil || r.state != Running {
			e.Result = Refused
			return e
		}
		r.checkpoint = "saved"
		e.Checkpoint = r.checkpoint
	case StopAttempt:
		if r == nil {
			r = &run{state: Stopped}
			w.worker.runs[c.Key] = r
		}
		if r.state == Running {
			r.state = Stopped
		}
		e.State = r.state
	}
	return e
}

// receiveWorkerAnswer applies an answer of the agent at the worker.
func (w *simulation) receiveWorkerAnswer(m message) {
	if m.agent < w.worker.boundAgent {
		return
	}
	w.worker.boundAgent = m.agent
	for _, r := range m.reply.Leases {
		if x := w.worker.runs[r.Key]; x != nil && x.state == Running {
			x.leaseEnd = m.sent.Add(r.Remaining)
			w.checkLease(r.Key)
		}
	}
	for _, k := range m.reply.Ended {
		if o := w.tasks[k.Task.Index]; o.open && o.attempt == k.Attempt {
			w.t.Fatalf("the worker may drop %v before its owner knows its end", k)
		}
		if x := w.worker.runs[k]; x != nil && x.state != Running {
			delete(w.worker.runs, k)
		}
	}
}

// announce sends an announcement of the worker.
func (w *simulation) announce() {
	w.worker.sequence++
	e := WorkerAnnouncement{Worker: w.worker.incarnation, Sequence: w.worker.sequence, BoundAgent: w.worker.boundAgent, Total: w.total}
	for k, r := range w.worker.runs {
		e.Reports = append(e.Reports, Report{Key: k, State: r.state, Need: r.need, Checkpoint: r.checkpoint})
	}
	w.send(message{announcement: &e, sent: w.now})
}

// advance moves the time on by d; the worker stops attempts whose lease has expired,
// and the owner gives up on them.
func (w *simulation) advance(d time.Duration) {
	w.now = w.now.Add(d)
	for _, r := range w.worker.runs {
		if r.state == Running && !w.now.Before(r.leaseEnd.Add(workerStopDelay)) {
			r.state = Stopped
		}
	}
	for _, o := range w.tasks {
		end := o.startSentAt.Add(2 * testLease)
		if o.granted {
			end = o.leaseEnd.Add(2 * time.Second)
		}
		if w.now.After(end) {
			o.open = false
		}
	}
}

func taskID(i int) task.ID { return task.ID{Job: "j", Index: uint32(i)} }

// sendOrder sends an action of the owner under its epoch.
func (w *simulation) sendOrder(a task.Action, requestedAt time.Duration) {
	w.send(message{order: &Order{Shard: 1, Epoch: w.epoch, Action: a}, requestedAt: requestedAt})
}

// sendStart starts the next attempt of task i unless one is open.
func (w *simulation) sendStart(i int, need fleet.Resources) {
	o := w.tasks[i]
	if o.open {
		return
	}
	*o = ownerState{attempt: o.attempt + 1, open: true, startSentAt: w.now}
	w.assignedWorker[Key{1, taskID(i), o.attempt}] = w.worker.incarnation
	s := &task.Spec{Kind: "k", Need: need}
	w.sendOrder(task.Start{Agent: w.machine.Agent, Worker: w.worker.incarnation, Task: taskID(i), Attempt: o.attempt, Spec: s}, 0)
}

// receiveAtOwner handles an answer or a lease request at the owner.
func (w *simulation) receiveAtOwner(m message) {
	if a, ok := m.toOwner.(AnswerOwner); ok {
		w.handleHeld(m, task.HeldAttempt{Task: a.Answer.Task, Attempt: a.Answer.Attempt, Final: a.Answer.Kind}, a.Answer.Kind == task.Reserved)
		return
	}
	for _, h := range m.toOwner.(RequestLeases).Request.Attempts {
		w.handleHeld(m, h, true)
	}
}

// handleHeld is the response of the owner to one attempt held by the agent: an Ack of
// its final answer, a Stop, or a lease if requested.
func (w *simulation) handleHeld(m message, h task.HeldAttempt, requested bool) {
	o := w.tasks[h.Task.Index]
	current := o.open && o.attempt == h.Attempt
	switch {
	case h.Final >= task.Refused:
		if current {
			o.open = false
			o.finalAnswer = h.Final
		}
		w.sendOrder(task.Ack{Task: h.Task, Attempt: h.Attempt}, 0)
	case !current || o.stopRequested:
		w.sendOrder(task.Stop{Task: h.Task, Attempt: h.Attempt}, 0)
	case requested:
		k := Key{1, h.Task, h.Attempt}
		o.granted = true
		o.leaseEnd = later(o.leaseEnd, w.now.Add(testLease))
		w.leaseEnds[k] = later(w.leaseEnds[k], w.clockStart[m.agent].Add(m.requestedAt+testLease))
		w.sendOrder(task.GrantLease{Attempts: []task.HeldAttempt{h}, Duration: testLease}, m.requestedAt)
	}
}

// advanceWithoutFaults advances the time by 500 ms, ticks, announces, and delivers all
// messages in order.
func (w *simulation) advanceWithoutFaults() {
	w.advance(500 * time.Millisecond)
	w.step(Tick{})
	w.announce()
	for n := 0; len(w.network) > 0; n++ {
		if n > 10_000 {
			w.t.Fatalf("message exchange does not end: %s", fmt.Sprint(w.network[0]))
		}
		w.deliver(0, false)
	}
}
