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

// TestAttemptsUnderFaults runs a machine between a simulated worker and owner. Messages
// are delayed, duplicated, reordered and lost, while the agent and the worker restart
// and the owner's epoch changes.
func TestAttemptsUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		for range 20 {
			w := newSimulation(t)
			w.advanceWithoutFaults()
			w.advanceWithoutFaults()
			for range 250 {
				w.randomAction(w.r.IntN(24))
			}
			w.checkAllEnd()
		}
	})
}

// TestRepeatedEviction checks that an eviction still ends as evicted if the order is
// repeated while the checkpoint is being saved.
func TestRepeatedEviction(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newSimulation(t)
		w.advanceWithoutFaults()
		w.advanceWithoutFaults()
		w.sendStart(0, fleet.Resources{})
		w.advanceWithoutFaults()
		for range 2 {
			w.sendOrder(task.Evict{Task: taskID(0), Attempt: 1}, 0)
		}
		w.deliver(0, false)
		w.deliver(0, false)
		w.advanceWithoutFaults()
		if got := w.tasks[0].finalAnswer; got != task.Evicted {
			t.Fatalf("eviction ended with answer %d", got)
		}
	})
}

// TestRunningPastLeaseKeepsReservation checks that the resources of an attempt stay
// reserved while the worker reports it running past its lease.
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
			t.Fatal("resources of a running attempt were released")
		}
	}
}

// TestLateMessages checks that messages for an attempt that arrive after its end or
// restart have no effect: early Acks, announcements of an old worker, grants that were
// requested before the attempt was reserved. The worker may drop the attempt only once
// its start can no longer arrive.
func TestLateMessages(t *testing.T) {
	m := &Machine{Agent: fleet.ProcessIncarnation{ID: "h", Incarnation: 1}, Lease: testLease}
	now := time.Unix(1e6, 0)
	seen := WorkerAnnouncement{Worker: 1, BoundAgent: 1, Total: fleet.Resources{Slots: 1}}
	order := func(a task.Action) []Action { return m.Step(now, Order{Shard: 1, Action: a}, nil) }
	requestTime := func(a []Action) time.Time { return a[0].(AnswerOwner).Answer.SentAt }
	grant := func(t time.Time) []Action {
		return order(task.GrantLease{Attempts: []task.HeldAttempt{{Attempt: 1}}, RequestedAt: t, Duration: testLease})
	}
	start := task.Start{Agent: m.Agent, Worker: 1, Attempt: 1, Spec: &task.Spec{}}
	m.Step(now, seen, nil)
	first := requestTime(order(start))
	order(task.Stop{Attempt: 1})
	order(task.Ack{Attempt: 1})
	second := requestTime(order(start))
	order(task.Ack{Attempt: 1})
	m.Step(now, WorkerAnnouncement{BoundAgent: 1}, nil)
	if r := m.Capacity(); r.Attempts != 1 || r.Total != seen.Total {
		t.Fatalf("an early Ack or an old worker changed the capacity: %+v", r)
	}
	if len(grant(first))+len(grant(second.Add(time.Nanosecond))) > 0 {
		t.Fatal("an attempt started under a lease that it had not requested")
	}
	c := grant(second)[0].(Command)
	stop := m.Step(now, CommandResult{Command: c, Result: OutcomeUnknown}, nil)[0].(Command)
	m.Step(now, CommandResult{Command: stop, Result: CarriedOut}, nil)
	order(task.Ack{Attempt: 1})
	if held := order(task.PollAgent{})[0].(RequestLeases).Request.Attempts; len(held) > 0 {
		t.Fatalf("acknowledged attempts are still listed: %v", held)
	}
	seen.Reports = []Report{{Key: c.Key, State: Stopped}}
	for range 20 {
		ended := len(m.Step(now, seen, nil)[0].(AnswerWorker).Ended) > 0
		if ended != now.After(c.Sent.Add(c.Lease+leaseExpiryMargin)) {
			t.Fatalf("worker may drop the attempt: %v; want true exactly when its lease has expired", ended)
		}
		now = now.Add(time.Second)
	}
}

// randomAction performs the fault or protocol step selected by op.
func (w *simulation) randomAction(op int) {
	i := w.r.IntN(len(w.tasks))
	o := w.tasks[i]
	n := len(w.network)
	x := w.r.IntN(max(n, 1))
	switch {
	case op <= 2:
		p := 1 + w.r.IntN(6)
		w.sendStart(i, fleet.Resources{Processors: fleet.MilliProcessors(p * 500), Memory: fleet.Bytes(p * 10)})
	case op == 3 && o.open:
		o.stopRequested = true
		w.sendOrder(task.Stop{Task: taskID(i), Attempt: o.attempt}, 0)
	case op == 4 && o.open:
		w.sendOrder(task.Evict{Task: taskID(i), Attempt: o.attempt}, 0)
	case op <= 9 && n > 0:
		w.deliver(x, w.r.IntN(3) == 0)
	case op == 10 && n > 0:
		w.drop(x)
	case op == 11 && n > 0 && w.network[x].command != nil:
		w.send(message{agent: w.network[x].agent, event: CommandResult{Command: *w.network[x].command, Result: OutcomeUnknown}})
	case op == 12:
		w.announce()
	case op == 13:
		w.step(Tick{})
	case op == 14:
		w.advance(time.Duration(1+w.r.IntN(40)) * 100 * time.Millisecond)
	case op == 15 && w.r.IntN(3) == 0:
		w.restartAgent()
	case op == 16 && w.r.IntN(3) == 0:
		w.restartWorker()
	case op == 17:
		w.epoch++
	case op == 18:
		if r := w.worker.runs[Key{1, taskID(i), o.attempt}]; r != nil && r.state == Running {
			r.state = Done + State(w.r.IntN(2))
		}
	case op == 19 && w.r.IntN(5) == 0:
		w.advance(testLease + 3*time.Second)
	case op == 20 && w.r.IntN(3) == 0:
		w.advanceWithoutFaults()
	case op >= 21:
		for range min(n, 4) {
			w.deliver(0, false)
		}
	}
}

// checkAllEnd stops all attempts, in some runs with an unreachable worker or owner, and
// checks that each attempt ends and that its resources are released.
func (w *simulation) checkAllEnd() {
	w.advanceWithoutFaults()
	if !w.workerKnown {
		return
	}
	for _, o := range w.tasks {
		o.stopRequested = true
	}
	w.workerUnreachable = w.r.IntN(4) == 0
	w.ownerUnreachable = w.r.IntN(4) == 0
	for range 80 {
		w.advanceWithoutFaults()
	}
	r := w.machine.Capacity()
	switch {
	case r.Attempts != 0 || w.machine.workerResponsive && r.Free != w.total:
		w.t.Fatalf("resources were not released: %+v", r)
	case len(w.awaitingEnd) > 0:
		w.t.Fatalf("no final answer for %v", w.awaitingEnd)
	case w.workerUnreachable || w.ownerUnreachable:
		return
	case len(w.machine.attempts) != 0 || len(w.worker.runs) != 0:
		w.t.Fatalf("%d attempts remain at the agent, %d at the worker", len(w.machine.attempts), len(w.worker.runs))
	}
	for i, o := range w.tasks {
		if o.open {
			w.t.Fatalf("attempt %d of task %d has no final answer", o.attempt, i)
		}
	}
}
