package schedule

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sesamestream/sesamestream/pkg/batch"
)

// A busy worker becomes grey: its older runs succeed one after another, while all
// new runs fail at once. Since each failure frees capacity, it would attract all
// new tasks. On grey-and-stalled, jobs failed on two such workers in succession.
func TestGreyWorkerIsQuarantinedWhileOlderRunsSucceed(t *testing.T) {
	g := NewWithT(t)
	f := newHarness(testWorker("grey", 16000), testWorker("a", 8000), testWorker("b", 8000))
	add := func(n int) {
		f.Add(f.now, testJob(fmt.Sprintf("j%03d", n), "urgent", testStep(2, 100)), nil, false)
	}
	var older, good []Start
	carryOut := func(o Orders, grey bool) (failed int) {
		for _, s := range o.Starts {
			f.confirmStart(s)
			switch {
			case s.Key.ID != "grey":
				good = append(good, s)
			case grey:
				failed++
				f.now = f.now.Add(10 * time.Millisecond)
				f.endRun(s, batch.Failed)
			default:
				older = append(older, s)
			}
		}
		return failed
	}
	for n := range 40 {
		add(n)
		carryOut(f.scheduleAfter(10*time.Millisecond), false)
	}
	failed := 0
	for n := range 40 {
		add(100 + n)
		failed += carryOut(f.scheduleAfter(40*time.Millisecond), true)
		if len(older) > 0 {
			f.endRun(older[0], batch.Done)
			older = older[1:]
		}
	}
	g.Expect(failed).To(BeNumerically("<=", 8), "runs failed on the grey worker")
	for n := range 40 {
		p, _ := f.Progress(batch.JobID(fmt.Sprintf("j%03d", 100+n)))
		g.Expect(p.State).NotTo(Equal(batch.JobFailed))
	}
}

// One failed run in twenty, the others successful, doesn't quarantine a worker.
func TestHealthyWorkerWithSomeFailedRunsIsNotQuarantined(t *testing.T) {
	var h health
	now := testStart
	for n := range 200 {
		now = now.Add(50 * time.Millisecond)
		if n%20 == 0 {
			h.recordFailure(now, batch.JobID(fmt.Sprint("j", n)), true)
		} else {
			h.recordSuccess(now.Add(-20 * time.Millisecond))
		}
		if h.quarantined(now) {
			t.Fatalf("quarantined after %d runs", n)
		}
	}
}

// The last attempt of a task isn't made on a worker on which a run has just failed.
func TestLastAttemptAvoidsWorkersWithRecentFailures(t *testing.T) {
	g := NewWithT(t)
	f := newHarness(testWorker("1", 9000), testWorker("2", 8000), testWorker("3", 1000))
	f.Add(f.now, testJob("j", "urgent", testStep(2, 900)), nil, false)
	f.Add(f.now, testJob("x", "urgent", testStep(8, 900)), nil, false)
	var first Start
	for _, s := range f.scheduleAfter(0).Starts {
		f.confirmStart(s)
		switch {
		case s.Task.Job == "j" && s.Task.Index == 0:
			first = s
		case s.Key.ID == "2" && s.Task.Job == "x" && s.Task.Index > 0:
			f.endRun(s, batch.Failed)
		}
	}
	g.Expect(first.Key.ID).To(Equal("1"))
	f.endRun(first, batch.Failed)
	var again []string
	for _, s := range f.scheduleAfter(0).Starts {
		if s.Task == first.Task {
			again = append(again, s.Key.ID)
		}
	}
	g.Expect(again).To(Equal([]string{"3"}))
	// If a run has just failed on each worker, the last attempt waits only for recentFailureWindow.
	f = newHarness(testWorker("1", 9000), testWorker("2", 8000))
	f.Add(f.now, testJob("j", "urgent", testStep(1, 900)), nil, false)
	s := f.scheduleAfter(0).Starts[0]
	f.confirmStart(s)
	f.endRun(s, batch.Failed)
	f.workers[batch.WorkerKey{ID: "2", StartTime: 1}].health.recordFailure(f.now, "y", true)
	g.Expect(f.scheduleAfter(0).Starts).To(BeEmpty())
	g.Expect(f.scheduleAfter(recentFailureWindow).Starts).To(HaveLen(1))
}

// A job that fails on every worker counts as a failure only of the first one.
func TestJobFailingEverywhereDoesNotQuarantineWorkers(t *testing.T) {
	g := NewWithT(t)
	f := newHarness(testWorker("1", 9000), testWorker("2", 9000))
	for n := range 3 {
		f.Add(f.now, testJob(fmt.Sprint("poison", n), "urgent", testStep(1, 900)), nil, false)
		s := f.scheduleAfter(recentFailureWindow).Starts[0]
		f.confirmStart(s)
		f.endRun(s, batch.Failed)
		for _, s := range f.scheduleAfter(0).Starts {
			f.confirmStart(s)
			f.endRun(s, batch.Failed)
		}
	}
	for _, w := range f.workers {
		g.Expect(w.health.failuresInRow).To(BeNumerically("<=", 3))
	}
	g.Expect(f.workers[batch.WorkerKey{ID: "1", StartTime: 1}].health.failuresInRow + f.workers[batch.WorkerKey{ID: "2", StartTime: 1}].health.failuresInRow).To(Equal(3))
}

// A quarantined worker is probed by one run and takes all tasks again once that
// succeeds. Lasting tasks that have run there throughout don't count as the probe.
func TestQuarantinedWorkerIsProbedByOneRun(t *testing.T) {
	g := NewWithT(t)
	f := newHarness(testWorker("1", 9000))
	lasting := testStep(1, 1000)
	lasting.LongRunning = true
	f.Add(f.now, testJob("l", "urgent", lasting), nil, false)
	f.confirmStart(f.scheduleAfter(0).Starts[0])
	w := f.workers[batch.WorkerKey{ID: "1", StartTime: 1}]
	w.health.recordFailure(f.now, "a", true)
	w.health.recordFailure(f.now, "b", true)
	f.Add(f.now, testJob("j", "urgent", testStep(3, 1000)), nil, false)
	g.Expect(f.scheduleAfter(time.Second).Starts).To(BeEmpty())
	o := f.scheduleAfter(minQuarantine)
	g.Expect(o.Starts).To(HaveLen(1))
	f.confirmStart(o.Starts[0])
	g.Expect(f.scheduleAfter(100 * time.Millisecond).Starts).To(BeEmpty())
	f.endRun(o.Starts[0], batch.Done)
	g.Expect(f.scheduleAfter(0).Starts).To(HaveLen(2))
}

// The orders report to operators when and why a worker is quarantined, and when its quarantine ends.
func TestQuarantineIsReportedToOperators(t *testing.T) {
	g := NewWithT(t)
	w := testWorker("1", 9000)
	f := newHarness(w)
	f.Add(f.now, testJob("a", "urgent", testStep(1, 100)), nil, false)
	f.Add(f.now, testJob("b", "urgent", testStep(1, 100)), nil, false)
	for _, s := range f.scheduleAfter(0).Starts {
		f.confirmStart(s)
		f.endRun(s, batch.Failed)
	}
	o := f.scheduleAfter(100 * time.Millisecond)
	g.Expect(o.HealthChanges).To(HaveLen(1))
	g.Expect(o.HealthChanges[0]).To(And(HaveField("Key", w.Key()), HaveField("Reason", "runs fail"), HaveField("Job", batch.JobID("b"))))
	g.Expect(o.HealthChanges[0].QuarantinedUntil).To(BeTemporally("~", f.now.Add(minQuarantine), time.Second))
	again := f.scheduleAfter(minQuarantine + recentFailureWindow).Starts
	g.Expect(again).To(HaveLen(1))
	f.confirmStart(again[0])
	f.endRun(again[0], batch.Done)
	o = f.scheduleAfter(0)
	g.Expect(o.HealthChanges).To(HaveLen(1))
	g.Expect(o.HealthChanges[0].QuarantinedUntil).To(BeZero())
}

// A last attempt isn't the probe of the worker that failed the task.
func TestLastAttemptIsNoProbe(t *testing.T) {
	g := NewWithT(t)
	f := newHarness(testWorker("1", 8000), testWorker("2", 2000))
	f.Add(f.now, testJob("busy", "urgent", testStep(1, 2000)), nil, false)
	w := f.workerOf("1")
	w.health.quarantinedUntil = f.now.Add(time.Second)
	busy := f.startFor(50 * time.Millisecond)
	g.Expect(busy).To(HaveLen(1))
	g.Expect(busy[0].Key.ID).To(Equal("2"))
	w.health = health{}
	// Worker 1 fails all that it starts; worker 2 has room after 6 s.
	f.Add(f.now, testJob("a", "urgent", testStep(1, 2000)), nil, false)
	f.Add(f.now, testJob("b", "urgent", testStep(1, 2000)), nil, false)
	begin := f.now
	for f.now.Sub(begin) < 30*time.Second {
		for _, s := range f.scheduleAfter(50 * time.Millisecond).Starts {
			f.confirmStart(s)
			how := batch.Done
			if s.Key.ID == "1" {
				how = batch.Failed
			}
			f.endRun(s, how)
		}
		if busy != nil && f.now.Sub(begin) > 6*time.Second {
			f.endRun(busy[0], batch.Done)
			busy = nil
		}
	}
	for _, id := range []batch.JobID{"a", "b"} {
		p, _ := f.Progress(id)
		g.Expect(p.State).To(Equal(batch.Completed), "job %s", id)
	}
}
