package schedule

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sesamestream/sesamestream/pkg/batch"
)

// heldHarness returns a harness whose workers 1 and 2 are filled by short tasks, those of
// worker 1 with the shorter estimates, and a long-running task that waits for half of one.
func heldHarness(g *WithT) *harness {
	f := newHarness(testWorker("1", 4000), testWorker("2", 4000, "slow"))
	estimate := func(d time.Duration, label string) func(*batch.Step) {
		return func(s *batch.Step) { s.Estimate, s.RequiredLabel = d, label }
	}
	f.Add(f.now, testJob("on2", "urgent", testStep(4, 1000, estimate(6*time.Second, "slow"))), nil, false)
	f.startFor(50 * time.Millisecond)
	f.Add(f.now, testJob("on1", "urgent", testStep(4, 1000, estimate(3*time.Second, ""))), nil, false)
	f.startFor(50 * time.Millisecond)
	f.Add(f.now, endlessJob("long", 1, 2000), nil, false)
	g.Expect(f.startFor(healthyWorkerWait + 2*holdInterval)).To(BeEmpty())
	g.Expect(f.workerOf("1").hold).NotTo(BeNil())
	g.Expect(f.workerOf("2").hold).To(BeNil())
	return f
}

// endOne ends one of the short tasks on a worker.
func (f *harness) endOne(id string) {
	w := f.workerOf(id)
	for _, t := range w.tasks {
		if !t.step.LongRunning {
			f.endRun(Start{Key: w.Key(), Task: t.id, Number: t.run}, batch.Done)
			return
		}
	}
}

func TestHeldRoomIsKeptForTheLongRunningTask(t *testing.T) {
	g := NewWithT(t)
	f := heldHarness(g)
	f.Add(f.now, testJob("late", "urgent", testStep(8, 1000, func(s *batch.Step) { s.Estimate = 3 * time.Second })), nil, false)
	f.endOne("1")
	g.Expect(f.startFor(time.Second)).To(BeEmpty(), "half of the room is free, and kept")
	f.endOne("1")
	starts := f.startFor(50 * time.Millisecond)
	g.Expect(starts).To(HaveLen(1))
	g.Expect(starts[0].Task.Job).To(Equal(batch.JobID("long")))
	f.endOne("1")
	g.Expect(f.startFor(50*time.Millisecond)).To(HaveLen(1), "the rest isn't kept")
	g.Expect(f.holds).To(BeEmpty())
}

// A task that ends before the room is ready may use it.
func TestHeldRoomIsBackfilled(t *testing.T) {
	g := NewWithT(t)
	f := heldHarness(g)
	f.endOne("1")
	f.Add(f.now, testJob("brief", "urgent", testStep(1, 1000, func(s *batch.Step) { s.Estimate = 100 * time.Millisecond })), nil, false)
	starts := f.startFor(50 * time.Millisecond)
	g.Expect(starts).To(HaveLen(1))
	g.Expect(starts[0].Key.ID).To(Equal("1"))
}

// Room isn't held where the task can't or needn't run any more.
func TestHoldIsGivenUp(t *testing.T) {
	for name, change := range map[string]func(f *harness){
		"drain":      func(f *harness) { f.setDraining("1") },
		"silence":    func(f *harness) { f.SetSilent(f.workerOf("1").Key(), true) },
		"host lost":  func(f *harness) { f.MarkUnresponsive("host-1") },
		"quarantine": func(f *harness) { f.workerOf("1").health.quarantine(f.now) },
		"slow":       func(f *harness) { f.workerOf("1").slowAt = f.now },
		"cancelled":  func(f *harness) { f.Cancel(f.now, "long") },
		"worker gone": func(f *harness) {
			f.RemoveWorker(f.workerOf("1").Key())
		},
		"runs elsewhere": func(f *harness) { f.SyncWorker(f.now, "host-3", testWorker("3", 4000), nil, nil) },
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			f := heldHarness(g)
			w := f.workerOf("1")
			change(f)
			for range 3 {
				f.startFor(50 * time.Millisecond)
			}
			g.Expect(w.hold).To(BeNil())
			for _, h := range f.holds {
				g.Expect(h.worker).NotTo(Equal(w))
			}
		})
	}
}

// Several waiting tasks are held room one after another, each on a worker of its own.
func TestSeveralTasksAreHeldRoom(t *testing.T) {
	g := NewWithT(t)
	f := newHarness(testWorker("1", 4000), testWorker("2", 4000), testWorker("3", 4000))
	f.Add(f.now, testJob("full", "urgent", testStep(12, 1000)), nil, false)
	f.startFor(50 * time.Millisecond)
	for i := range 5 {
		f.Add(f.now, endlessJob(fmt.Sprint("long", i), 1, 2000), nil, false)
	}
	f.startFor(healthyWorkerWait + 10*holdInterval)
	g.Expect(f.holds).To(HaveLen(3))
	for range 12 {
		for _, id := range []string{"1", "2", "3"} {
			f.endOne(id)
		}
		f.startFor(holdInterval)
	}
	g.Expect(f.holds).To(BeEmpty())
	n := 0
	for _, id := range []string{"1", "2", "3"} {
		n += len(f.workerOf(id).tasks)
	}
	g.Expect(n).To(Equal(5), "all long-running tasks run")
}

// A hold lasts while a task runs far longer than its estimate. A smaller long-running task must not
// wait beside the free part of the room for as long.
func TestOverdueHoldLeavesRoomToOtherLongRunningTasks(t *testing.T) {
	for _, percent := range []int{0, 20} {
		g := NewWithT(t)
		f := newHarness(testWorker("1", 16000))
		f.Add(f.now, testJob("f", "urgent", testStep(1, 8000)), nil, false)
		late := f.scheduleAfter(0).Starts[0]
		f.confirmStart(late)
		f.Add(f.now, endlessJob("a", 1, 12000), nil, false)
		f.startFor(healthyWorkerWait + 2*holdInterval)
		g.Expect(f.findTask(batch.Task{Job: "a"}).hold).NotTo(BeNil())
		f.Add(f.now, endlessJob("b", 1, 6000), nil, false)
		addedAt := f.now
		for f.findTask(batch.Task{Job: "b"}).worker == nil && f.now.Sub(addedAt) < 30*time.Second {
			f.HandleProgress(f.now, late.Key, []batch.Run{{Task: late.Task, Number: late.Number, ProgressPercent: percent}}, false)
			f.startFor(100 * time.Millisecond)
		}
		g.Expect(f.now.Sub(addedAt)).To(BeNumerically("<", maxLongRunningWait))
	}
}
