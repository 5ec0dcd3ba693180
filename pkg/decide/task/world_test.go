package task

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"pgregory.net/rapid"

	"github.com/sesamestream/sesamestream/pkg/decide/place"
	"github.com/sesamestream/sesamestream/pkg/fleet"
	"github.com/sesamestream/sesamestream/pkg/table"
)

// The stand-ins below record which attempts run, independently of the machine.

// A reservation is an attempt that an agent has reserved or runs.
type reservation struct {
	attempt  Attempt
	running  bool
	leaseEnd time.Time
}

// An agent is a stand-in for a host's agent and worker, with a drifting clock.
type agent struct {
	process       fleet.ProcessIncarnation
	worker        fleet.Incarnation
	epoch         Epoch
	clockRate     float64
	reservations  map[ID]*reservation
	finalAnswers  map[ID]HeldAttempt
	refusesStarts bool
}

// An owner drives a Machine. cutOffAgent is the agent that it cannot reach.
type owner struct {
	m            *Machine
	epoch        Epoch
	pending      []Commit
	lastSent     time.Time
	writtenToken Token
	ended        bool
	cutOffAgent  fleet.ID
}

// A message carries an event to an owner or an order to an agent.
type message struct {
	to    *owner
	event Event
	agent fleet.ID
	order Action
}

// A world simulates the owners of one shard, the agents, the store and the network.
type world struct {
	t               *rapid.T
	now             time.Time
	start           time.Time
	storeDown       bool
	epoch           Epoch
	journal         [][]byte
	owners          []*owner
	agents          []*agent
	inFlight        []message
	startedAttempts map[ID]Attempt
	reportedPhases  map[JobID]Phase
	endedJobs       map[JobID]bool
	lastRequest     RequestID
	successes       map[ID]int
}

func newWorld(t *rapid.T) *world {
	w := &world{t: t, start: time.Unix(1e6, 0), startedAttempts: map[ID]Attempt{}, reportedPhases: map[JobID]Phase{}}
	w.endedJobs = map[JobID]bool{}
	w.successes = map[ID]int{}
	w.now = w.start
	for i, r := range []float64{0.995, 1, 1.005} {
		l := fleet.ProcessIncarnation{ID: fleet.ID(fmt.Sprint("h", i)), Incarnation: 1}
		w.agents = append(w.agents, &agent{process: l, worker: 1, clockRate: r, reservations: map[ID]*reservation{}, finalAnswers: map[ID]HeldAttempt{}})
	}
	w.takeOver()
	return w
}

// clock returns the time of an agent's drifting clock.
func (w *world) clock(a *agent) time.Time {
	return w.start.Add(time.Duration(float64(w.now.Sub(w.start)) * a.clockRate))
}

// takeOver adds an owner that replays the journal, with a snapshot taken and
// restored halfway.
func (w *world) takeOver() {
	if w.storeDown {
		return
	}
	w.epoch++
	s := NewState()
	half := len(w.journal) / 2
	for i, b := range w.journal {
		if i == half {
			b, err := s.Snapshot()
			w.noError(err)
			s, err = Restore(b)
			w.noError(err)
		}
		r, err := Decode(b)
		w.noError(err)
		w.noError(s.Apply(r))
	}
	p := &place.Placer[ID]{Rand: rand.New(rand.NewPCG(7, 7))}
	m := &Machine{State: s, Placer: p, Lease: 10 * time.Second, RideThrough: 30 * time.Second, ClockDrift: 0.02}
	o := &owner{m: m, epoch: w.epoch}
	w.owners = append(w.owners, o)
	w.send(message{to: o, event: Takeover{Epoch: w.epoch, Previous: PreviousOwnerMayGrant, SentAt: w.now}})
	for _, a := range w.agents {
		w.send(message{to: o, event: w.hostUpdate(a)})
	}
}

func (w *world) noError(err error) {
	if err != nil {
		w.t.Fatalf("%v", err)
	}
}

// hostUpdate returns the current state of an agent's host.
func (w *world) hostUpdate(a *agent) HostUpdate {
	r := fleet.Resources{Processors: 2000, Slots: 2}
	return HostUpdate{Host: place.Host{ID: a.process.ID, Agent: a.process.Incarnation, Worker: a.worker, Total: r, Free: r}}
}

func (w *world) send(m message) { w.inFlight = append(w.inFlight, m) }

// deliver delivers a message in flight, which stays in flight as a duplicate if
// duplicate is set.
func (w *world) deliver(i int, duplicate bool) {
	m := w.inFlight[i]
	if !duplicate {
		w.inFlight = slices.Delete(w.inFlight, i, i+1)
	}
	if m.agent != "" && m.to.cutOffAgent == m.agent {
		return
	}
	if m.event != nil {
		w.step(m.to, m.event)
		return
	}
	for _, a := range w.agents {
		if a.process.ID == m.agent {
			w.execute(a, m.order)
		}
	}
}

// step passes e to an owner and sends the resulting actions.
func (w *world) step(o *owner, e Event) {
	if o.ended {
		return
	}
	for _, x := range o.m.Step(w.now, e, nil) {
		switch x := x.(type) {
		case Commit:
			o.pending = append(o.pending, x)
			o.lastSent = w.now
		case Start:
			w.send(message{to: o, agent: x.Agent.ID, order: x})
		case Stop:
			w.send(message{to: o, agent: x.Agent, order: x})
		case Evict:
			w.send(message{to: o, agent: x.Agent, order: x})
		case Ack:
			w.send(message{to: o, agent: x.Agent, order: x})
		case PollAgent:
			w.send(message{to: o, agent: x.Agent, order: x})
		case GrantLease:
			w.send(message{to: o, agent: x.Agent, order: x})
		case Reply:
			w.checkReport(x.ID, x.Phase)
		case JobEnded:
			w.checkReport(x.ID, x.Phase)
		case OwnershipLost:
			o.ended = true
		}
	}
}

// checkReport checks that a job's final phase never changes once it is reported,
// and that none of its tasks runs after that.
func (w *world) checkReport(id JobID, p Phase) {
	if !p.Terminal() {
		return
	}
	if f, ok := w.reportedPhases[id]; ok && f != p {
		w.t.Fatalf("job %s was reported %v, then %v", id, f, p)
	}
	w.reportedPhases[id] = p
	for _, a := range w.agents {
		for k, h := range a.reservations {
			if k.Job == id && h.running {
				w.t.Fatalf("%v runs on %s after its job was reported %v", k, a.process.ID, p)
			}
		}
	}
}

// commit appends an owner's pending commits to the journal, or fences the owner
// if there is a newer one. lost drops the store's reply.
func (w *world) commit(o *owner, lost bool) {
	if w.storeDown || o.ended {
		return
	}
	if o.epoch != w.epoch {
		w.send(message{to: o, event: OwnerFenced{}})
		return
	}
	for _, c := range o.pending {
		if c.Token <= o.writtenToken {
			continue
		}
		o.writtenToken = c.Token
		for _, r := range c.Records {
			b, err := r.Encode()
			w.noError(err)
			w.journal = append(w.journal, b)
		}
	}
	if lost {
		return
	}
	o.pending = nil
	w.step(o, Committed{Token: o.writtenToken, SentAt: w.now})
}

// execute carries out an owner's order as the protocol requires of an agent.
func (w *world) execute(a *agent, x Action) {
	switch x := x.(type) {
	case Start:
		w.reserve(a, x)
	case Stop:
		w.stopAttempt(a, x.Epoch, x.Task, x.Attempt, Stopped, "")
	case Evict:
		w.stopAttempt(a, x.Epoch, x.Task, x.Attempt, Evicted, Checkpoint(fmt.Sprint("c", x.Attempt)))
	case Ack:
		if a.finalAnswers[x.Task].Attempt == x.Attempt {
			delete(a.finalAnswers, x.Task)
		}
	case PollAgent:
		a.epoch = max(a.epoch, x.Epoch)
		w.sendLeaseRequest(a)
	case GrantLease:
		w.acceptLeases(a, x)
	}
}

// reserve reserves an attempt unless its order is outdated or the agent refuses.
func (w *world) reserve(a *agent, x Start) {
	if x.Epoch < a.epoch || x.Agent != a.process || x.Worker != a.worker {
		return
	}
	a.epoch = x.Epoch
	f, over := a.finalAnswers[x.Task]
	if over && f.Attempt >= x.Attempt || a.reservations[x.Task] != nil && a.reservations[x.Task].attempt >= x.Attempt {
		return
	}
	if a.refusesStarts {
		w.sendFinal(a, HeldAttempt{Task: x.Task, Attempt: x.Attempt, Final: Refused})
		return
	}
	if a.reservations[x.Task] != nil {
		return
	}
	a.reservations[x.Task] = &reservation{attempt: x.Attempt}
	w.sendAnswer(a, Answer{Kind: Reserved, Task: x.Task, Attempt: x.Attempt})
}

// acceptLeases extends the leases that are still valid by the agent's clock, and
// starts the attempts that wait for one.
func (w *world) acceptLeases(a *agent, x GrantLease) {
	if x.Epoch < a.epoch {
		return
	}
	a.epoch = x.Epoch
	for _, l := range x.Attempts {
		h := a.reservations[l.Task]
		if h == nil || h.attempt != l.Attempt || !w.clock(a).Before(x.RequestedAt.Add(x.Duration)) {
			continue
		}
		h.leaseEnd = later(h.leaseEnd, x.RequestedAt.Add(x.Duration))
		if !h.running {
			h.running = true
			w.recordStart(l)
			w.sendAnswer(a, Answer{Kind: Started, Task: l.Task, Attempt: l.Attempt})
		}
	}
}

// recordStart records a start and checks that a batch task runs once at a time,
// that its attempt numbers increase, and that none starts after the job's end.
func (w *world) recordStart(l HeldAttempt) {
	n := 0
	for _, a := range w.agents {
		if h := a.reservations[l.Task]; h != nil && h.running {
			n++
		}
	}
	switch {
	case n > 1 && l.Task.Job != "service":
		w.t.Fatalf("%v runs %d times at once", l.Task, n)
	case l.Attempt <= w.startedAttempts[l.Task]:
		w.t.Fatalf("%v attempt %d started after %d", l.Task, l.Attempt, w.startedAttempts[l.Task])
	case w.reportedPhases[l.Task.Job].Terminal():
		w.t.Fatalf("%v started after its job was %v", l.Task, w.reportedPhases[l.Task.Job])
	}
	w.startedAttempts[l.Task] = l.Attempt
}

// stopAttempt ends an attempt of an agent with the final answer k.
func (w *world) stopAttempt(a *agent, e Epoch, id ID, n Attempt, k AnswerKind, c Checkpoint) {
	h := a.reservations[id]
	if e < a.epoch || h == nil || h.attempt != n {
		return
	}
	a.epoch = e
	if !h.running {
		k = Stopped
		c = ""
	}
	w.sendFinal(a, HeldAttempt{Task: id, Attempt: n, Final: k, Checkpoint: c})
}

// sendFinal ends an attempt of an agent and sends its final answer.
func (w *world) sendFinal(a *agent, f HeldAttempt) {
	delete(a.reservations, f.Task)
	a.finalAnswers[f.Task] = f
	w.sendAnswer(a, Answer{Kind: f.Final, Task: f.Task, Attempt: f.Attempt, Checkpoint: f.Checkpoint, Reason: f.Reason})
}

func (w *world) sender(a *agent) Sender {
	return Sender{Agent: a.process, Worker: a.worker, Epoch: a.epoch, SentAt: w.clock(a)}
}

// sendAnswer sends an agent's answer to all owners.
func (w *world) sendAnswer(a *agent, x Answer) {
	x.Sender = w.sender(a)
	for _, o := range w.owners {
		w.send(message{to: o, agent: a.process.ID, event: x})
	}
}

// sendLeaseRequest sends the list of an agent's attempts to all owners.
func (w *world) sendLeaseRequest(a *agent) {
	e := LeaseRequest{Sender: w.sender(a)}
	for _, k := range sortIDs(slices.Collect(maps.Keys(a.reservations))) {
		e.Attempts = append(e.Attempts, HeldAttempt{Task: k, Attempt: a.reservations[k].attempt})
	}
	for _, k := range sortIDs(slices.Collect(maps.Keys(a.finalAnswers))) {
		e.Attempts = append(e.Attempts, a.finalAnswers[k])
	}
	for _, o := range w.owners {
		w.send(message{to: o, agent: a.process.ID, event: e})
	}
}

// renewLeases renews an agent's leases with one owner only, while time passes for
// all owners.
func (w *world) renewLeases(a *agent, o *owner) {
	for range 4 {
		n := len(w.inFlight)
		w.sendLeaseRequest(a)
		for i := n; i < len(w.inFlight); i++ {
			if m := w.inFlight[i]; m.to == o && m.agent == a.process.ID {
				w.deliver(i, true)
			}
		}
		w.inFlight = w.inFlight[:n]
		w.advance(4 * time.Second)
		for _, x := range w.owners {
			w.step(x, Tick{})
		}
	}
}

// advance moves the time on and stops the attempts whose leases have lapsed.
func (w *world) advance(d time.Duration) {
	w.now = w.now.Add(d)
	for _, a := range w.agents {
		for _, k := range sortIDs(slices.Collect(maps.Keys(a.reservations))) {
			h := a.reservations[k]
			if h.running && !w.clock(a).Before(h.leaseEnd) {
				w.sendFinal(a, HeldAttempt{Task: k, Attempt: h.attempt, Final: Stopped})
			}
		}
	}
}

// submit submits a job of n batch tasks to all owners.
func (w *world) submit(id JobID, n uint32) {
	w.lastRequest++
	s := Spec{Kind: "dossier", Class: table.ClassBatch, Tasks: n, Need: fleet.Resources{Processors: 500, Slots: 1}}
	for _, o := range w.owners {
		w.send(message{to: o, event: Submit{Request: w.lastRequest, ID: id, Spec: s}})
	}
}
