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

// TestAttempts drives a machine between a worker and an owner whose messages
// are late, doubled, reordered and lost, while each of the three restarts.
func TestAttempts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		w.calm()
		for range rapid.IntRange(20, 150).Draw(t, "steps") {
			w.act(rapid.IntRange(0, 20).Draw(t, "op"))
		}
		w.settle()
	})
}

func (w *world) act(op int) {
	i := rapid.IntRange(0, len(w.tasks)-1).Draw(w.t, "task")
	o := w.tasks[i]
	any := 0
	if len(w.net) > 0 {
		any = rapid.IntRange(0, len(w.net)-1).Draw(w.t, "message")
	}
	switch {
	case op <= 2:
		p := rapid.IntRange(1, 6).Draw(w.t, "need")
		w.start(i, fleet.Resources{Processors: fleet.MilliProcessors(p * 500), Memory: fleet.Bytes(p * 10)})
	case op == 3 && o.open:
		o.barred = true
		w.order(task.Stop{Task: id(i), Attempt: o.attempt}, 0)
	case op == 4 && o.open:
		w.order(task.Evict{Task: id(i), Attempt: o.attempt}, 0)
	case op <= 9 && len(w.net) > 0:
		w.deliver(any, rapid.Bool().Draw(w.t, "keep"))
	case op == 10 && len(w.net) > 0:
		w.lose(any)
	case op == 11 && len(w.net) > 0 && w.net[any].cmd != nil:
		w.send(message{life: w.net[any].life, event: Commanded{Command: *w.net[any].cmd, Result: Broken}})
	case op == 12:
		w.announce()
	case op == 13:
		w.step(Tick{})
	case op == 14:
		w.pass(time.Duration(rapid.IntRange(1, 40).Draw(w.t, "tenths")) * 100 * time.Millisecond)
	case op == 15 && rapid.IntRange(0, 3).Draw(w.t, "restart") == 0:
		w.restartAgent()
	case op == 16 && rapid.IntRange(0, 3).Draw(w.t, "restart") == 0:
		w.restartWorker()
	case op == 17:
		w.epoch++
	case op == 18:
		if r := w.w.runs[Key{1, id(i), o.attempt}]; r != nil && r.state == Running {
			r.state = rapid.SampledFrom([]State{Done, Failed}).Draw(w.t, "end")
		}
	case op == 19 && rapid.IntRange(0, 5).Draw(w.t, "pause") == 0:
		w.pass(testLease + 3*time.Second)
	case op == 20:
		w.calm()
	}
}

// settle stops everything and checks that each attempt ends once and for all
// and that its room comes back.
func (w *world) settle() {
	w.calm()
	for _, o := range w.tasks {
		o.barred = true
	}
	for range 80 {
		w.calm()
	}
	switch r := w.m.Room(); {
	case r.Free != w.total:
		w.t.Fatalf("room did not come back: %+v", r)
	case len(w.m.attempts) != 0 || len(w.w.runs) != 0:
		w.t.Fatalf("%d attempts are kept here, %d at the worker", len(w.m.attempts), len(w.w.runs))
	}
	for i, o := range w.tasks {
		if o.open {
			w.t.Fatalf("attempt %d of task %d has no end", o.attempt, i)
		}
	}
	if len(w.owed) > 0 {
		w.t.Fatalf("%v have no end", w.owed)
	}
}
