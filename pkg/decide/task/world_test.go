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

// The stand-ins below count what runs independently of the machine.

type work struct {
	attempt Attempt
	running bool
	until   time.Time
}

type agent struct {
	life    fleet.ProcessIncarnation
	worker  fleet.Incarnation
	epoch   Epoch
	rate    float64
	held    map[ID]*work
	finals  map[ID]HeldAttempt
	refuses bool
}

type owner struct {
	m       *Machine
	epoch   Epoch
	pending []Commit
	sent    time.Time
	written Token
	gone    bool
	cut     fleet.ID
}

// A message passes between an owner and an agent, one way or the other.
type message struct {
	to    *owner
	event Event
	agent fleet.ID
	order Action
}

type world struct {
	t       *rapid.T
	now     time.Time
	start   time.Time
	down    bool
	epoch   Epoch
	journal [][]byte
	owners  []*owner
	agents  []*agent
	net     []message
	begun   map[ID]Attempt
	finally map[JobID]Phase
	barred  map[JobID]bool
	request RequestID
	oks     map[ID]int
}

func newWorld(t *rapid.T) *world {
	w := &world{t: t, start: time.Unix(1e6, 0), begun: map[ID]Attempt{}, finally: map[JobID]Phase{}}
	w.barred = map[JobID]bool{}
	w.oks = map[ID]int{}
	w.now = w.start
	for i, r := range []float64{0.995, 1, 1.005} {
		l := fleet.ProcessIncarnation{ID: fleet.ID(fmt.Sprint("h", i)), Incarnation: 1}
		w.agents = append(w.agents, &agent{life: l, worker: 1, rate: r, held: map[ID]*work{}, finals: map[ID]HeldAttempt{}})
	}
	w.takeOver()
	return w
}

// clock returns the time as a drifting agent reads it.
func (w *world) clock(a *agent) time.Time {
	return w.start.Add(time.Duration(float64(w.now.Sub(w.start)) * a.rate))
}

func (w *world) takeOver() {
	if w.down {
		return
	}
	w.epoch++
	s := NewState()
	half := len(w.journal) / 2
	for i, b := range w.journal {
		if i == half {
			b, err := s.Snapshot()
			w.must(err)
			s, err = Restore(b)
			w.must(err)
		}
		r, err := Decode(b)
		w.must(err)
		w.must(s.Apply(r))
	}
	p := &place.Placer[ID]{Rand: rand.New(rand.NewPCG(7, 7))}
	m := &Machine{State: s, Placer: p, Lease: 10 * time.Second, RideThrough: 30 * time.Second, ClockDrift: 0.02}
	o := &owner{m: m, epoch: w.epoch}
	w.owners = append(w.owners, o)
	w.send(message{to: o, event: Takeover{Epoch: w.epoch, Previous: PreviousOwnerMayGrant, SentAt: w.now}})
	for _, a := range w.agents {
		w.send(message{to: o, event: w.seen(a)})
	}
}

func (w *world) must(err error) {
	if err != nil {
		w.t.Fatalf("%v", err)
	}
}

func (w *world) seen(a *agent) HostUpdate {
	r := fleet.Resources{Processors: 2000, Slots: 2}
	return HostUpdate{Host: place.Host{ID: a.life.ID, Agent: a.life.Incarnation, Worker: a.worker, Total: r, Free: r}}
}

func (w *world) send(m message) { w.net = append(w.net, m) }

func (w *world) deliver(i int, keep bool) {
	m := w.net[i]
	if !keep {
		w.net = slices.Delete(w.net, i, i+1)
	}
	if m.agent != "" && m.to.cut == m.agent {
		return
	}
	if m.event != nil {
		w.step(m.to, m.event)
		return
	}
	for _, a := range w.agents {
		if a.life.ID == m.agent {
			w.obey(a, m.order)
		}
	}
}

func (w *world) step(o *owner, e Event) {
	if o.gone {
		return
	}
	for _, x := range o.m.Step(w.now, e, nil) {
		switch x := x.(type) {
		case Commit:
			o.pending = append(o.pending, x)
			o.sent = w.now
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
			w.told(x.ID, x.Phase)
		case JobEnded:
			w.told(x.ID, x.Phase)
		case OwnershipLost:
			o.gone = true
		}
	}
}

// told checks what submitters are told against what runs.
func (w *world) told(id JobID, p Phase) {
	if !p.Terminal() {
		return
	}
	if f, ok := w.finally[id]; ok && f != p {
		w.t.Fatalf("job %s was %v and is %v", id, f, p)
	}
	w.finally[id] = p
	for _, a := range w.agents {
		for k, h := range a.held {
			if k.Job == id && h.running {
				w.t.Fatalf("%v runs on %s after its job was told %v", k, a.life.ID, p)
			}
		}
	}
}

// store lets the store take an owner's commits; its answer may be lost.
func (w *world) store(o *owner, lost bool) {
	if w.down || o.gone {
		return
	}
	if o.epoch != w.epoch {
		w.send(message{to: o, event: OwnerFenced{}})
		return
	}
	for _, c := range o.pending {
		if c.Token <= o.written {
			continue
		}
		o.written = c.Token
		for _, r := range c.Records {
			b, err := r.Encode()
			w.must(err)
			w.journal = append(w.journal, b)
		}
	}
	if lost {
		return
	}
	o.pending = nil
	w.step(o, Committed{Token: o.written, SentAt: w.now})
}

// obey carries an owner's order out as an agent has to.
func (w *world) obey(a *agent, x Action) {
	switch x := x.(type) {
	case Start:
		w.reserve(a, x)
	case Stop:
		w.halt(a, x.Epoch, x.Task, x.Attempt, Stopped, "")
	case Evict:
		w.halt(a, x.Epoch, x.Task, x.Attempt, Evicted, Checkpoint(fmt.Sprint("c", x.Attempt)))
	case Ack:
		if a.finals[x.Task].Attempt == x.Attempt {
			delete(a.finals, x.Task)
		}
	case PollAgent:
		a.epoch = max(a.epoch, x.Epoch)
		w.list(a)
	case GrantLease:
		w.lease(a, x)
	}
}

func (w *world) reserve(a *agent, x Start) {
	if x.Epoch < a.epoch || x.Agent != a.life || x.Worker != a.worker {
		return
	}
	a.epoch = x.Epoch
	f, over := a.finals[x.Task]
	if over && f.Attempt >= x.Attempt || a.held[x.Task] != nil && a.held[x.Task].attempt >= x.Attempt {
		return
	}
	if a.refuses {
		w.final(a, HeldAttempt{Task: x.Task, Attempt: x.Attempt, Final: Refused})
		return
	}
	if a.held[x.Task] != nil {
		return
	}
	a.held[x.Task] = &work{attempt: x.Attempt}
	w.say(a, Answer{Kind: Reserved, Task: x.Task, Attempt: x.Attempt})
}

func (w *world) lease(a *agent, x GrantLease) {
	if x.Epoch < a.epoch {
		return
	}
	a.epoch = x.Epoch
	for _, l := range x.Attempts {
		h := a.held[l.Task]
		if h == nil || h.attempt != l.Attempt || !w.clock(a).Before(x.RequestedAt.Add(x.Duration)) {
			continue
		}
		h.until = later(h.until, x.RequestedAt.Add(x.Duration))
		if !h.running {
			h.running = true
			w.began(l)
			w.say(a, Answer{Kind: Started, Task: l.Task, Attempt: l.Attempt})
		}
	}
}

// began is the recorder: one attempt at a time, each number once, none after the end.
func (w *world) began(l HeldAttempt) {
	n := 0
	for _, a := range w.agents {
		if h := a.held[l.Task]; h != nil && h.running {
			n++
		}
	}
	switch {
	case n > 1 && l.Task.Job != "service":
		w.t.Fatalf("%v runs %d times at once", l.Task, n)
	case l.Attempt <= w.begun[l.Task]:
		w.t.Fatalf("%v attempt %d started after %d", l.Task, l.Attempt, w.begun[l.Task])
	case w.finally[l.Task.Job].Terminal():
		w.t.Fatalf("%v started after its job was %v", l.Task, w.finally[l.Task.Job])
	}
	w.begun[l.Task] = l.Attempt
}

func (w *world) halt(a *agent, e Epoch, id ID, n Attempt, k AnswerKind, c Checkpoint) {
	h := a.held[id]
	if e < a.epoch || h == nil || h.attempt != n {
		return
	}
	a.epoch = e
	if !h.running {
		k = Stopped
		c = ""
	}
	w.final(a, HeldAttempt{Task: id, Attempt: n, Final: k, Checkpoint: c})
}

func (w *world) final(a *agent, f HeldAttempt) {
	delete(a.held, f.Task)
	a.finals[f.Task] = f
	w.say(a, Answer{Kind: f.Final, Task: f.Task, Attempt: f.Attempt, Checkpoint: f.Checkpoint, Reason: f.Reason})
}

func (w *world) sender(a *agent) Sender {
	return Sender{Agent: a.life, Worker: a.worker, Epoch: a.epoch, SentAt: w.clock(a)}
}

func (w *world) say(a *agent, x Answer) {
	x.Sender = w.sender(a)
	for _, o := range w.owners {
		w.send(message{to: o, agent: a.life.ID, event: x})
	}
}

func (w *world) list(a *agent) {
	e := LeaseRequest{Sender: w.sender(a)}
	for _, k := range sorted(slices.Collect(maps.Keys(a.held))) {
		e.Attempts = append(e.Attempts, HeldAttempt{Task: k, Attempt: a.held[k].attempt})
	}
	for _, k := range sorted(slices.Collect(maps.Keys(a.finals))) {
		e.Attempts = append(e.Attempts, a.finals[k])
	}
	for _, o := range w.owners {
		w.send(message{to: o, agent: a.life.ID, event: e})
	}
}

// keep renews an agent's leases with one owner while time passes for all.
func (w *world) keep(a *agent, o *owner) {
	for range 4 {
		n := len(w.net)
		w.list(a)
		for i := n; i < len(w.net); i++ {
			if m := w.net[i]; m.to == o && m.agent == a.life.ID {
				w.deliver(i, true)
			}
		}
		w.net = w.net[:n]
		w.pass(4 * time.Second)
		for _, x := range w.owners {
			w.step(x, Tick{})
		}
	}
}

// pass lets time go by; workers stop what has no lease.
func (w *world) pass(d time.Duration) {
	w.now = w.now.Add(d)
	for _, a := range w.agents {
		for _, k := range sorted(slices.Collect(maps.Keys(a.held))) {
			h := a.held[k]
			if h.running && !w.clock(a).Before(h.until) {
				w.final(a, HeldAttempt{Task: k, Attempt: h.attempt, Final: Stopped})
			}
		}
	}
}

func (w *world) submit(id JobID, n uint32) {
	w.request++
	s := Spec{Kind: "dossier", Class: table.ClassBatch, Tasks: n, Need: fleet.Resources{Processors: 500, Slots: 1}}
	for _, o := range w.owners {
		w.send(message{to: o, event: Submit{Request: w.request, ID: id, Spec: s}})
	}
}
