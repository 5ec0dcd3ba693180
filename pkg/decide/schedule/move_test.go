package schedule

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sesamestream/sesamestream/pkg/batch"
)

// movingTask returns a harness in which a long-running task of worker 1 was stopped for
// room on worker 2, beside a worker 3, and the start of its run. It fits on each.
func movingTask(t *testing.T) (*harness, Start) {
	g := NewWithT(t)
	f := newHarness(testWorker("1", 2000))
	f.Add(f.now, lastingJob("a", 2000), nil, false)
	s := f.scheduleAfter(0).Starts[0]
	f.confirmStart(s)
	f.reportAtWork(s)
	f.SyncWorker(f.now, "host-2", testWorker("2", 3000), nil, nil)
	f.SyncWorker(f.now, "host-3", testWorker("3", 8000), nil, nil)
	f.moveServing(f.now, f.findTask(s.Task), f.workerOf("2"), "test")
	g.Expect(f.scheduleAfter(0).Stops).To(HaveLen(1))
	g.Expect(f.workerOf("2").freeResources().MilliCPU).To(Equal(1000))
	return f, s
}

// The room kept for a moved task is given up at once when its target may not be given
// the task any more, and the task starts on another worker as soon as it has ended.
func TestMoveWhoseTargetFailsIsGivenUp(t *testing.T) {
	for name, fail := range map[string]func(f *harness){
		"drains":         func(f *harness) { f.setDraining("2") },
		"falls silent":   func(f *harness) { f.SetSilent(keyOf("2"), true) },
		"has no session": func(f *harness) { f.MarkUnresponsive("host-2") },
		"is quarantined": func(f *harness) { f.workerOf("2").health.quarantine(f.now) },
		"goes":           func(f *harness) { f.RemoveWorker(keyOf("2")) },
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			f, s := movingTask(t)
			fail(f)
			f.scheduleAfter(50 * time.Millisecond)
			g.Expect(f.moves).To(BeEmpty())
			if w := f.workerOf("2"); w != nil {
				g.Expect(w.reserved).To(Equal(batch.Resources{}))
			}
			f.endRun(s, batch.Stopped)
			starts := f.scheduleAfter(50 * time.Millisecond).Starts
			g.Expect(starts).To(HaveLen(1))
			g.Expect(starts[0].Key.ID).NotTo(Equal("2"))
		})
	}
}

// The room is given up when the stop isn't answered, as its worker is out of reach. If the
// task then proves to run on, it stays: its stop isn't ordered again.
func TestMoveWhoseStopIsNotAnsweredIsGivenUp(t *testing.T) {
	for name, fail := range map[string]func(f *harness){
		"worker silent":        func(f *harness) { f.SetSilent(keyOf("1"), true) },
		"host without session": func(f *harness) { f.MarkUnresponsive("host-1") },
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			f, s := movingTask(t)
			fail(f)
			f.scheduleAfter(50 * time.Millisecond)
			g.Expect(f.moves).To(BeEmpty())
			g.Expect(f.workerOf("2").reserved).To(Equal(batch.Resources{}))
			f.SyncWorker(f.now, "host-1", testWorker("1", 2000), []batch.Run{{Task: s.Task, Number: s.Number, ProgressPercent: atWorkPercent}}, nil)
			g.Expect(f.scheduleAfter(50 * time.Millisecond).Stops).To(BeEmpty())
			g.Expect(f.findTask(s.Task).stopping).To(BeFalse())
			// A stop that was carried out after all ends the run, which then starts elsewhere.
			f.endRun(s, batch.Stopped)
			g.Expect(f.scheduleAfter(50 * time.Millisecond).Starts).To(HaveLen(1))
		})
	}
}

// A stop for any other reason is ordered again from a worker that returns.
func TestOtherStopIsOrderedAgain(t *testing.T) {
	g := NewWithT(t)
	f, s := movingTask(t)
	f.MarkUnresponsive("host-1")
	f.Cancel(f.now, "a")
	f.scheduleAfter(50 * time.Millisecond)
	f.SyncWorker(f.now, "host-1", testWorker("1", 2000), []batch.Run{{Task: s.Task, Number: s.Number}}, nil)
	stops := f.scheduleAfter(50 * time.Millisecond).Stops
	g.Expect(stops).To(HaveLen(1))
}

// Room that is held beside the room of a move counts this as taken. If the hold kept the moved
// task from its room, that would wait beside it although it was stopped for it.
func TestHoldBesideRoomOfMoveDoesNotKeepTaskFromIt(t *testing.T) {
	g := NewWithT(t)
	f, s := movingTask(t)
	f.RemoveWorker(keyOf("3"))
	f.Add(f.now, testJob("f", "urgent", testStep(1, 1000)), nil, false)
	for _, x := range f.scheduleAfter(0).Starts {
		f.confirmStart(x)
	}
	f.Add(f.now, lastingJob("b", 1000), nil, false)
	f.scheduleAfter(50 * time.Millisecond)
	waiting := f.findTask(batch.Task{Job: "b"})
	g.Expect(waiting.worker).To(BeNil())
	f.scheduleAfter(healthyWorkerWait)
	g.Expect(waiting.hold).NotTo(BeNil())
	g.Expect(f.moves).To(HaveLen(1))
	f.endRun(s, batch.Stopped)
	f.RemoveWorker(keyOf("1"))
	f.scheduleAfter(50 * time.Millisecond)
	g.Expect(f.findTask(s.Task).worker).To(Equal(f.workerOf("2")))
}
