package schedule

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sesamestream/sesamestream/pkg/batch"
)

// A task that failed, or was refused, on the only worker that may take it runs there again.
func TestTaskReturnsToTheOnlyWorkerThatMayTakeIt(t *testing.T) {
	endless := func(s *batch.Step) { s.LongRunning = true }
	label := func(s *batch.Step) { s.RequiredLabel = "gpu" }
	failed := func(f *harness, s Start) { f.endRun(s, batch.Failed) }
	refused := func(f *harness, s Start) {
		f.HandleStartResult(f.now, s.Key, s.Task, s.Number, true, true, false)
	}
	for name, c := range map[string]struct {
		small batch.Worker
		step  batch.Step
		end   func(*harness, Start)
	}{
		"long-running, others too small":     {testWorker("2", 1000), testStep(1, 2000, endless), failed},
		"long-running, others lack a label":  {testWorker("2", 4000), testStep(1, 100, endless, label), failed},
		"long-running, siblings are apart":   {testWorker("2", 4000), testStep(2, 100, endless, func(s *batch.Step) { s.MaxPerWorker = 1 }), failed},
		"long-running, refused as unhealthy": {testWorker("2", 1000), testStep(1, 2000, endless), refused},
		"short, others too small":            {testWorker("2", 1000), testStep(1, 2000), failed},
		"short, others lack a label":         {testWorker("2", 4000), testStep(1, 100, label), failed},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			f := newHarness(testWorker("1", 4000, "gpu"), c.small)
			f.Add(f.now, testJob("j", "urgent", c.step), nil, false)
			var first Start
			for _, s := range f.scheduleAfter(0).Starts {
				f.confirmStart(s)
				if s.Key.ID == "1" {
					first = s
				}
			}
			g.Expect(first.Key.ID).To(Equal("1"))
			f.now = f.now.Add(100 * time.Millisecond)
			c.end(f, first)
			failedAt := f.now
			var again []Start
			for len(again) == 0 && f.now.Sub(failedAt) < maxLongRunningWait {
				again = f.scheduleAfter(100 * time.Millisecond).Starts
			}
			g.Expect(again).To(HaveLen(1), "the task isn't started again within %s", maxLongRunningWait)
			g.Expect(again[0].Key).To(Equal(first.Key))
		})
	}
}

// A task that fails wherever it runs takes few of a worker's starts.
func TestTaskThatFailsInARowIsStartedWithPauses(t *testing.T) {
	g := NewWithT(t)
	f := newHarness(testWorker("1", 4000), testWorker("2", 1000))
	f.Add(f.now, testJob("j", "urgent", testStep(1, 2000, func(s *batch.Step) { s.LongRunning = true })), nil, false)
	starts := 0
	for f.now.Sub(testStart) < 20*time.Second {
		for _, s := range f.scheduleAfter(100 * time.Millisecond).Starts {
			f.confirmStart(s)
			f.endRun(s, batch.Failed)
			starts++
		}
	}
	g.Expect(starts).To(BeNumerically("<=", 1+int(20*time.Second/maxAvoidance)+1))
	g.Expect(starts).To(BeNumerically(">", 2))
}

// A straggler doesn't return to the slow worker when its stop takes long and another worker has room.
func TestStragglerDoesNotReturnToTheSlowWorker(t *testing.T) {
	for _, stopTime := range []time.Duration{400 * time.Millisecond, 1500 * time.Millisecond, 2500 * time.Millisecond} {
		t.Run(stopTime.String(), func(t *testing.T) {
			g := NewWithT(t)
			f := newHarness(testWorker("1", 9000), testWorker("2", 8000))
			f.Add(f.now, testJob("j", "urgent", testStep(1, 2000)), nil, false)
			starts := f.startFor(50 * time.Millisecond)
			g.Expect(starts).To(HaveLen(1))
			st := f.jobs["j"].occurrences[0].steps[0]
			for range 10 {
				st.peerDurations.Add(500 * time.Millisecond)
			}
			var stop Stop
			for f.now.Sub(testStart) < 20*time.Second && stop.Number == 0 {
				f.HandleProgress(f.now, starts[0].Key, []batch.Run{{Task: starts[0].Task, Number: 1, ProgressPercent: 10}}, false)
				if ss := f.scheduleAfter(100 * time.Millisecond).Stops; len(ss) > 0 {
					stop = ss[0]
				}
			}
			g.Expect(stop.Number).To(Equal(1))
			g.Expect(f.startFor(stopTime)).To(BeEmpty())
			f.endRun(starts[0], batch.Stopped)
			again := f.startFor(50 * time.Millisecond)
			g.Expect(again).To(HaveLen(1))
			g.Expect(again[0].Key.ID).NotTo(Equal(starts[0].Key.ID))
		})
	}
}

// The same with room for the task on several workers, or with a single worker.
func TestTaskThatFailsOnAllWorkersIsStartedWithPauses(t *testing.T) {
	for name, workers := range map[string][]batch.Worker{
		"one worker":  {testWorker("1", 4000)},
		"two workers": {testWorker("1", 4000), testWorker("2", 4000)},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			f := newHarness(workers...)
			f.Add(f.now, endlessJob("long", 1, 2000), nil, false)
			const trial = 20 * time.Second
			starts := 0
			for f.now.Sub(testStart) < trial {
				for _, s := range f.scheduleAfter(50 * time.Millisecond).Starts {
					f.confirmStart(s)
					f.endRun(s, batch.Failed)
					starts++
				}
			}
			g.Expect(starts).To(BeNumerically("<=", 2+int(trial/repeatedFailureDelay)))
			g.Expect(starts).To(BeNumerically(">", 4))
		})
	}
}
