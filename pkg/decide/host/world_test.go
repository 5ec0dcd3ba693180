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

// workerLag is how late a worker may stop what has no lease.
const workerLag = 500 * time.Millisecond

// The stand-ins below keep to the protocol and count independently of the machine.

type run struct {
	state State
	until time.Time
	need  fleet.Resources
	saved task.Checkpoint
}

type worker struct {
	life     fleet.Incarnation
	bound    fleet.Incarnation
	sequence uint64
	runs     map[Key]*run
}

// A message is exactly one of these, on its way.
type message struct {
	life  fleet.Incarnation // the agent's life that sent or may take it, or 0
	order *Order
	asked time.Duration // of a grant or an owner's message, since the life's start
	tell  Action
	cmd   *Command
	event Event
	seen  *WorkerAnnouncement
	reply *AnswerWorker
	sent  time.Time
}

// owned is what the owner knows of a task's current attempt.
type owned struct {
	attempt task.Attempt
	open    bool
	granted bool
	barred  bool
	ended   task.AnswerKind
	until   time.Time
	sent    time.Time
}

type world struct {
	t *rapid.T
	r *rand.Rand
	// mute drops what goes to the worker or the owner.
	muteWorker, muteOwner bool
	// newest and order of what this life of the agent has taken.
	epochSeen task.Epoch
	seen      *WorkerAnnouncement
	issued    map[Key]fleet.Incarnation
	now       time.Time
	m         *Machine
	heard     bool
	base      map[fleet.Incarnation]time.Time
	total     fleet.Resources
	w         *worker
	net       []message
	epoch     task.Epoch
	tasks     []*owned
	grants    map[Key]time.Time
	began     map[Key]bool
	told      map[Key]bool
	// owed began and are known to the agent or its worker, but not yet told as ended.
	owed map[Key]bool
	// final is what this life of the agent told and got no Ack for.
	final map[Key]task.AnswerKind
}

func newWorld(t *rapid.T) *world {
	w := &world{t: t, r: rand.New(rand.NewPCG(7, rapid.Uint64().Draw(t, "seed"))), now: time.Unix(1e6, 0), base: map[fleet.Incarnation]time.Time{}, w: &worker{}}
	w.total = fleet.Resources{Processors: 4000, Memory: 100, Slots: 4}
	w.tasks = []*owned{{}, {}, {}, {}, {}}
	w.grants = map[Key]time.Time{}
	w.began = map[Key]bool{}
	w.told = map[Key]bool{}
	w.issued = map[Key]fleet.Incarnation{}
	w.owed = map[Key]bool{}
	w.restartAgent()
	w.restartWorker()
	return w
}

func (w *world) restartAgent() {
	n := fleet.Incarnation(len(w.base) + 1)
	w.m = &Machine{Agent: fleet.ProcessIncarnation{ID: "h", Incarnation: n}, Lease: testLease}
	w.base[n] = w.now.Add(time.Duration(n)) // no two lives share a start
	w.heard = false
	w.seen = &WorkerAnnouncement{}
	w.epochSeen = 0
	for k := range w.owed {
		if w.w.runs[k] == nil {
			delete(w.owed, k)
		}
	}
	w.final = map[Key]task.AnswerKind{}
}

func (w *world) restartWorker() {
	if !w.heard {
		clear(w.owed)
	}
	w.w = &worker{life: w.w.life + 1, runs: map[Key]*run{}}
}

func (w *world) life() fleet.Incarnation { return w.m.Agent.Incarnation }

func (w *world) send(m message) { w.net = append(w.net, m) }

// step drives the agent and checks what it tells.
func (w *world) step(e Event) {
	for _, a := range w.m.Step(w.now, e, nil) {
		switch a := a.(type) {
		case Command:
			w.send(message{life: w.life(), cmd: &a})
		case AnswerWorker:
			w.send(message{life: w.life(), reply: &a, sent: w.now})
		case AnswerOwner:
			w.tells(Key{a.Shard, a.Answer.Task, a.Answer.Attempt}, a.Answer.Kind)
			w.send(message{life: w.life(), tell: a, asked: a.Answer.SentAt.Sub(w.base[w.life()])})
		case RequestLeases:
			for _, h := range a.Request.Attempts {
				w.tells(Key{a.Shard, h.Task, h.Attempt}, h.Final)
			}
			w.send(message{life: w.life(), tell: a, asked: a.Request.SentAt.Sub(w.base[w.life()])})
		}
	}
	if r := w.m.Capacity(); w.m.alive && !(fleet.Resources{}).Fits(r.Free) {
		w.t.Fatalf("room is overfilled: %+v", r)
	}
}

func (w *world) deliver(i int, keep bool) {
	m := w.net[i]
	if !keep || m.cmd != nil || m.event != nil {
		w.net = slices.Delete(w.net, i, i+1)
	}
	switch {
	case m.order != nil:
		o := *m.order
		if g, ok := o.Action.(task.GrantLease); ok {
			g.RequestedAt = w.base[w.life()].Add(m.asked)
			o.Action = g
		}
		if a, ok := o.Action.(task.Ack); ok && w.heard {
			delete(w.final, Key{o.Shard, a.Task, a.Attempt})
		}
		w.silently(o.Epoch < w.epochSeen, func() { w.step(o) })
		w.epochSeen = max(w.epochSeen, o.Epoch)
	case m.tell != nil:
		if !w.muteOwner {
			w.owner(m)
		}
	case m.cmd != nil && w.muteWorker:
		w.send(message{life: m.life, event: CommandResult{Command: *m.cmd, Result: OutcomeUnknown}})
	case m.cmd != nil:
		w.send(message{life: m.life, event: w.obey(m.life, *m.cmd)})
	case m.event != nil && m.life == w.life():
		w.step(m.event)
	case m.seen != nil && !w.muteWorker:
		if m.seen.BoundAgent == w.life() {
			w.heard = true
		}
		n := len(w.net)
		old := m.seen.Worker < w.seen.Worker || m.seen.Worker == w.seen.Worker && m.seen.Sequence < w.seen.Sequence
		w.silently(old, func() { w.step(*m.seen) })
		if !old && m.seen.BoundAgent == w.life() {
			w.seen = m.seen
		}
		for j := n; j < len(w.net); j++ {
			w.net[j].sent = m.sent
		}
		w.freed()
	case m.reply != nil:
		w.take(m)
	}
}

// lose drops a message; the sender of a command knows only that it may have arrived.
func (w *world) lose(i int) {
	m := w.net[i]
	w.net = slices.Delete(w.net, i, i+1)
	switch e := m.event.(type) {
	case CommandResult:
		w.send(message{life: m.life, event: CommandResult{Command: e.Command, Result: OutcomeUnknown}})
	case nil:
		if m.cmd != nil {
			w.send(message{life: m.life, event: CommandResult{Command: *m.cmd, Result: NotSent}})
		}
	}
}

// obey is the worker: it carries a command out and answers.
func (w *world) obey(life fleet.Incarnation, c Command) Event {
	e := CommandResult{Command: c, Result: CarriedOut}
	r := w.w.runs[c.Key]
	switch c.Verb {
	case StartAttempt:
		until := c.Sent.Add(c.Lease)
		if r == nil && (life < w.w.bound || c.Worker != w.w.life || !w.now.Before(until)) {
			e.Result = Refused
			return e
		}
		if r == nil {
			w.w.runs[c.Key] = &run{state: Running, until: until, need: c.Spec.Need, saved: c.Checkpoint}
			w.begin(c.Key)
		}
	case CheckpointAttempt:
		if r == nil || r.state != Running {
			e.Result = Refused
			return e
		}
		r.saved = "saved"
		e.Checkpoint = r.saved
	case StopAttempt:
		if r == nil {
			r = &run{state: Stopped}
			w.w.runs[c.Key] = r
		}
		if r.state == Running {
			r.state = Stopped
		}
		e.State = r.state
	}
	return e
}

func (w *world) take(m message) {
	if m.life < w.w.bound {
		return
	}
	w.w.bound = m.life
	for _, r := range m.reply.Leases {
		if x := w.w.runs[r.Key]; x != nil && x.state == Running {
			x.until = m.sent.Add(r.Remaining)
			w.leased(r.Key)
		}
	}
	for _, k := range m.reply.Ended {
		if o := w.tasks[k.Task.Index]; o.open && o.attempt == k.Attempt {
			w.t.Fatalf("%v may be forgotten before its owner knows its end", k)
		}
		if x := w.w.runs[k]; x != nil && x.state != Running {
			delete(w.w.runs, k)
		}
	}
}

func (w *world) announce() {
	w.w.sequence++
	e := WorkerAnnouncement{Worker: w.w.life, Sequence: w.w.sequence, BoundAgent: w.w.bound, Total: w.total}
	for k, r := range w.w.runs {
		e.Reports = append(e.Reports, Report{Key: k, State: r.state, Need: r.need, Checkpoint: r.saved})
	}
	w.send(message{seen: &e, sent: w.now})
}

func (w *world) pass(d time.Duration) {
	w.now = w.now.Add(d)
	for _, r := range w.w.runs {
		if r.state == Running && !w.now.Before(r.until.Add(workerLag)) {
			r.state = Stopped
		}
	}
	for _, o := range w.tasks {
		end := o.sent.Add(2 * testLease)
		if o.granted {
			end = o.until.Add(2 * time.Second)
		}
		if w.now.After(end) {
			o.open = false
		}
	}
}

func id(i int) task.ID { return task.ID{Job: "j", Index: uint32(i)} }

// order sends what the owner decides, under its epoch.
func (w *world) order(a task.Action, asked time.Duration) {
	w.send(message{order: &Order{Shard: 1, Epoch: w.epoch, Action: a}, asked: asked})
}

func (w *world) start(i int, need fleet.Resources) {
	o := w.tasks[i]
	if o.open {
		return
	}
	*o = owned{attempt: o.attempt + 1, open: true, sent: w.now}
	w.issued[Key{1, id(i), o.attempt}] = w.w.life
	s := &task.Spec{Kind: "k", Need: need}
	w.order(task.Start{Agent: w.m.Agent, Worker: w.w.life, Task: id(i), Attempt: o.attempt, Spec: s}, 0)
}

// owner takes what the agent tells.
func (w *world) owner(m message) {
	if a, ok := m.tell.(AnswerOwner); ok {
		w.hear(m, task.HeldAttempt{Task: a.Answer.Task, Attempt: a.Answer.Attempt, Final: a.Answer.Kind}, a.Answer.Kind == task.Reserved)
		return
	}
	for _, h := range m.tell.(RequestLeases).Request.Attempts {
		w.hear(m, h, true)
	}
}

func (w *world) hear(m message, h task.HeldAttempt, asks bool) {
	o := w.tasks[h.Task.Index]
	current := o.open && o.attempt == h.Attempt
	switch {
	case h.Final >= task.Refused:
		if current {
			o.open = false
			o.ended = h.Final
		}
		w.order(task.Ack{Task: h.Task, Attempt: h.Attempt}, 0)
	case !current || o.barred:
		w.order(task.Stop{Task: h.Task, Attempt: h.Attempt}, 0)
	case asks:
		k := Key{1, h.Task, h.Attempt}
		o.granted = true
		o.until = later(o.until, w.now.Add(testLease))
		w.grants[k] = later(w.grants[k], w.base[m.life].Add(m.asked+testLease))
		w.order(task.GrantLease{Attempts: []task.HeldAttempt{h}, Duration: testLease}, m.asked)
	}
}

// calm lets one second go by in which everything arrives in order.
func (w *world) calm() {
	w.pass(500 * time.Millisecond)
	w.step(Tick{})
	w.announce()
	for n := 0; len(w.net) > 0; n++ {
		if n > 10_000 {
			w.t.Fatalf("messages without end: %s", fmt.Sprint(w.net[0]))
		}
		w.deliver(0, false)
	}
}
