package host

import (
	"flag"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/sesamestream/sesamestream/pkg/decide/task"
	"github.com/sesamestream/sesamestream/pkg/fleet"
)

func init() { _ = flag.Set("rapid.seed", "7") }

// TestAttemptsUnderFaults drives a machine between a worker and an owner whose messages
// are late, doubled, reordered and lost, while each of the three restarts.
func TestAttemptsUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		for range 20 {
			w := newWorld(t)
			w.calm()
			w.calm()
			for range 250 {
				w.act(w.r.IntN(24))
			}
			w.settle()
		}
	})
}

// TestRepeatedEviction repeats the order while the checkpoint is being taken.
func TestRepeatedEviction(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		w.calm()
		w.calm()
		w.start(0, fleet.Resources{})
		w.calm()
		for range 2 {
			w.order(task.Evict{Task: id(0), Attempt: 1}, 0)
		}
		w.deliver(0, false)
		w.deliver(0, false)
		w.calm()
		if got := w.tasks[0].ended; got != task.Evicted {
			t.Fatalf("the eviction ended as %d", got)
		}
	})
}

// TestRunningPastLeaseKeepsReservation keeps the room of what runs on without a lease.
func TestRunningPastLeaseKeepsReservation(t *testing.T) {
	m := &Machine{Agent: fleet.ProcessIncarnation{ID: "h", Incarnation: 1}, Lease: testLease}
	now := time.Unix(1e6, 0)
	seen := WorkerAnnouncement{Worker: 1, BoundAgent: 1, Total: fleet.Resources{Slots: 1}}
	seen.Reports = []Report{{Key: Key{Shard: 1, Attempt: 1}, State: Running}}
	for range 60 {
		now = now.Add(time.Second)
		m.Step(now, seen, nil)
		m.Step(now, Tick{}, nil)
		if m.Capacity().Free.Slots != 0 {
			t.Fatal("the room of a running attempt is free")
		}
	}
}

// TestLateMessages delivers what was meant for an attempt before it ended.
func TestLateMessages(t *testing.T) {
	m := &Machine{Agent: fleet.ProcessIncarnation{ID: "h", Incarnation: 1}, Lease: testLease}
	now := time.Unix(1e6, 0)
	seen := WorkerAnnouncement{Worker: 1, BoundAgent: 1, Total: fleet.Resources{Slots: 1}}
	order := func(a task.Action) []Action { return m.Step(now, Order{Shard: 1, Action: a}, nil) }
	asked := func(a []Action) time.Time { return a[0].(AnswerOwner).Answer.SentAt }
	grant := func(t time.Time) []Action {
		return order(task.GrantLease{Attempts: []task.HeldAttempt{{Attempt: 1}}, RequestedAt: t, Duration: testLease})
	}
	start := task.Start{Agent: m.Agent, Worker: 1, Attempt: 1, Spec: &task.Spec{}}
	m.Step(now, seen, nil)
	first := asked(order(start))
	order(task.Stop{Attempt: 1})
	order(task.Ack{Attempt: 1})
	second := asked(order(start))
	order(task.Ack{Attempt: 1})
	m.Step(now, WorkerAnnouncement{BoundAgent: 1}, nil)
	if r := m.Capacity(); r.Attempts != 1 || r.Total != seen.Total {
		t.Fatalf("an early Ack or an old worker changed the room: %+v", r)
	}
	if len(grant(first))+len(grant(second.Add(time.Nanosecond))) > 0 {
		t.Fatal("a lease started an attempt that had not asked for it")
	}
	c := grant(second)[0].(Command)
	stop := m.Step(now, CommandResult{Command: c, Result: OutcomeUnknown}, nil)[0].(Command)
	m.Step(now, CommandResult{Command: stop, Result: CarriedOut}, nil)
	order(task.Ack{Attempt: 1})
	if held := order(task.PollAgent{})[0].(RequestLeases).Request.Attempts; len(held) > 0 {
		t.Fatalf("what is acknowledged is told again: %v", held)
	}
	seen.Reports = []Report{{Key: c.Key, State: Stopped}}
	for range 20 {
		ended := len(m.Step(now, seen, nil)[0].(AnswerWorker).Ended) > 0
		if ended != now.After(c.Sent.Add(c.Lease+lapseMargin)) {
			t.Fatalf("the worker may forget it while its start may come: %v", ended)
		}
		now = now.Add(time.Second)
	}
}

func (w *world) act(op int) {
	i := w.r.IntN(len(w.tasks))
	o := w.tasks[i]
	n := len(w.net)
	x := w.r.IntN(max(n, 1))
	switch {
	case op <= 2:
		p := 1 + w.r.IntN(6)
		w.start(i, fleet.Resources{Processors: fleet.MilliProcessors(p * 500), Memory: fleet.Bytes(p * 10)})
	case op == 3 && o.open:
		o.barred = true
		w.order(task.Stop{Task: id(i), Attempt: o.attempt}, 0)
	case op == 4 && o.open:
		w.order(task.Evict{Task: id(i), Attempt: o.attempt}, 0)
	case op <= 9 && n > 0:
		w.deliver(x, w.r.IntN(3) == 0)
	case op == 10 && n > 0:
		w.lose(x)
	case op == 11 && n > 0 && w.net[x].cmd != nil:
		w.send(message{life: w.net[x].life, event: CommandResult{Command: *w.net[x].cmd, Result: OutcomeUnknown}})
	case op == 12:
		w.announce()
	case op == 13:
		w.step(Tick{})
	case op == 14:
		w.pass(time.Duration(1+w.r.IntN(40)) * 100 * time.Millisecond)
	case op == 15 && w.r.IntN(3) == 0:
		w.restartAgent()
	case op == 16 && w.r.IntN(3) == 0:
		w.restartWorker()
	case op == 17:
		w.epoch++
	case op == 18:
		if r := w.w.runs[Key{1, id(i), o.attempt}]; r != nil && r.state == Running {
			r.state = Done + State(w.r.IntN(2))
		}
	case op == 19 && w.r.IntN(5) == 0:
		w.pass(testLease + 3*time.Second)
	case op == 20 && w.r.IntN(3) == 0:
		w.calm()
	case op >= 21:
		for range min(n, 4) {
			w.deliver(0, false)
		}
	}
}

// settle stops everything, in some runs with a worker or an owner that is
// gone, and checks that each attempt ends and that its room comes back.
func (w *world) settle() {
	w.calm()
	if !w.heard {
		return
	}
	for _, o := range w.tasks {
		o.barred = true
	}
	w.muteWorker = w.r.IntN(4) == 0
	w.muteOwner = w.r.IntN(4) == 0
	for range 80 {
		w.calm()
	}
	r := w.m.Capacity()
	switch {
	case r.Attempts != 0 || w.m.alive && r.Free != w.total:
		w.t.Fatalf("room did not come back: %+v", r)
	case len(w.owed) > 0:
		w.t.Fatalf("%v have no end", w.owed)
	case w.muteWorker || w.muteOwner:
		return
	case len(w.m.attempts) != 0 || len(w.w.runs) != 0:
		w.t.Fatalf("%d attempts are kept here, %d at the worker", len(w.m.attempts), len(w.w.runs))
	}
	for i, o := range w.tasks {
		if o.open {
			w.t.Fatalf("attempt %d of task %d has no end", o.attempt, i)
		}
	}
}
