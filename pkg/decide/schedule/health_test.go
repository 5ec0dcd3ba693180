package schedule

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sesamestream/sesamestream/pkg/batch"
)

// A worker turns grey while it's busy: what it began before ends well one after
// the other, all that it starts from then on fails at once. With the most room
// again after each failure it would draw all new work (seen on
// grey-and-stalled: jobs failed on two such workers one after the other).
func TestGreyWorkerIsSetAsideWhileOlderRunsEndWell(t *testing.T) {
	g := NewWithT(t)
	f := newBench(aWorker("grey", 16000), aWorker("a", 8000), aWorker("b", 8000))
	add := func(n int) {
		f.Add(f.now, aJob(fmt.Sprintf("j%03d", n), "urgent", aStep(2, 100)), nil, false)
	}
	var older, good []Start
	take := func(o Orders, grey bool) (failed int) {
		for _, s := range o.Starts {
			f.there(s)
			switch {
			case s.Key.ID != "grey":
				good = append(good, s)
			case grey:
				failed++
				f.now = f.now.Add(10 * time.Millisecond)
				f.end(s, batch.Failed)
			default:
				older = append(older, s)
			}
		}
		return failed
	}
	for n := range 40 {
		add(n)
		take(f.after(10*time.Millisecond), false)
	}
	failed := 0
	for n := range 40 {
		add(100 + n)
		failed += take(f.after(40*time.Millisecond), true)
		if len(older) > 0 {
			f.end(older[0], batch.Done)
			older = older[1:]
		}
	}
	g.Expect(failed).To(BeNumerically("<=", 8), "runs failed on the grey worker")
	for n := range 40 {
		p, _ := f.Progress(batch.JobID(fmt.Sprintf("j%03d", 100+n)))
		g.Expect(p.State).NotTo(Equal(batch.JobFailed))
	}
}

// One failure beside runs that end well is no reason to set a worker aside.
func TestSoundWorkerWithFailuresOfItsTasks(t *testing.T) {
	var h health
	now := begin
	for n := range 200 {
		now = now.Add(50 * time.Millisecond)
		if n%20 == 0 {
			h.recordFailure(now, batch.JobID(fmt.Sprint("j", n)), true)
		} else {
			h.recordSuccess(now.Add(-20 * time.Millisecond))
		}
		if h.quarantined(now) {
			t.Fatalf("set aside after %d runs", n)
		}
	}
}

// The last try of a task isn't made on a worker that has just failed another.
func TestLastTryGoesToASoundWorker(t *testing.T) {
	g := NewWithT(t)
	f := newBench(aWorker("1", 9000), aWorker("2", 8000), aWorker("3", 1000))
	f.Add(f.now, aJob("j", "urgent", aStep(2, 900)), nil, false)
	f.Add(f.now, aJob("x", "urgent", aStep(8, 900)), nil, false)
	var first Start
	for _, s := range f.after(0).Starts {
		f.there(s)
		switch {
		case s.Task.Job == "j" && s.Task.Index == 0:
			first = s
		case s.Key.ID == "2" && s.Task.Job == "x" && s.Task.Index > 0:
			f.end(s, batch.Failed)
		}
	}
	g.Expect(first.Key.ID).To(Equal("1"))
	f.end(first, batch.Failed)
	var again []string
	for _, s := range f.after(0).Starts {
		if s.Task == first.Task {
			again = append(again, s.Key.ID)
		}
	}
	g.Expect(again).To(Equal([]string{"3"}))
	// It doesn't wait for a sound worker for long.
	f = newBench(aWorker("1", 9000), aWorker("2", 8000))
	f.Add(f.now, aJob("j", "urgent", aStep(1, 900)), nil, false)
	s := f.after(0).Starts[0]
	f.there(s)
	f.end(s, batch.Failed)
	f.workers[batch.WorkerKey{ID: "2", StartTime: 1}].health.recordFailure(f.now, "y", true)
	g.Expect(f.after(0).Starts).To(BeEmpty())
	g.Expect(f.after(recentFailureWindow).Starts).To(HaveLen(1))
}

// A job that fails everywhere is no reason to set the second worker aside.
func TestJobToBlame(t *testing.T) {
	g := NewWithT(t)
	f := newBench(aWorker("1", 9000), aWorker("2", 9000))
	for n := range 3 {
		f.Add(f.now, aJob(fmt.Sprint("poison", n), "urgent", aStep(1, 900)), nil, false)
		s := f.after(recentFailureWindow).Starts[0]
		f.there(s)
		f.end(s, batch.Failed)
		for _, s := range f.after(0).Starts {
			f.there(s)
			f.end(s, batch.Failed)
		}
	}
	for _, w := range f.workers {
		g.Expect(w.health.failuresInRow).To(BeNumerically("<=", 3))
	}
	g.Expect(f.workers[batch.WorkerKey{ID: "1", StartTime: 1}].health.failuresInRow + f.workers[batch.WorkerKey{ID: "2", StartTime: 1}].health.failuresInRow).To(Equal(3))
}

// A worker that was set aside is tried again by one run, also where tasks that
// last have been there all the while, and takes all work once that is done.
func TestWorkerThatWasSetAsideIsTriedAgain(t *testing.T) {
	g := NewWithT(t)
	f := newBench(aWorker("1", 9000))
	lasting := aStep(1, 1000)
	lasting.LongRunning = true
	f.Add(f.now, aJob("l", "urgent", lasting), nil, false)
	f.there(f.after(0).Starts[0])
	w := f.workers[batch.WorkerKey{ID: "1", StartTime: 1}]
	w.health.recordFailure(f.now, "a", true)
	w.health.recordFailure(f.now, "b", true)
	f.Add(f.now, aJob("j", "urgent", aStep(3, 1000)), nil, false)
	g.Expect(f.after(time.Second).Starts).To(BeEmpty())
	o := f.after(minQuarantine)
	g.Expect(o.Starts).To(HaveLen(1))
	f.there(o.Starts[0])
	g.Expect(f.after(100 * time.Millisecond).Starts).To(BeEmpty())
	f.end(o.Starts[0], batch.Done)
	g.Expect(f.after(0).Starts).To(HaveLen(2))
}

// Operators are told when a worker is set aside, why, and when it's trusted again.
func TestSuspicionsAreTold(t *testing.T) {
	g := NewWithT(t)
	w := aWorker("1", 9000)
	f := newBench(w)
	f.Add(f.now, aJob("a", "urgent", aStep(1, 100)), nil, false)
	f.Add(f.now, aJob("b", "urgent", aStep(1, 100)), nil, false)
	for _, s := range f.after(0).Starts {
		f.there(s)
		f.end(s, batch.Failed)
	}
	o := f.after(100 * time.Millisecond)
	g.Expect(o.HealthChanges).To(HaveLen(1))
	g.Expect(o.HealthChanges[0]).To(And(HaveField("Key", w.Key()), HaveField("Why", "runs fail"), HaveField("Job", batch.JobID("b"))))
	g.Expect(o.HealthChanges[0].QuarantinedUntil).To(BeTemporally("~", f.now.Add(minQuarantine), time.Second))
	again := f.after(minQuarantine + recentFailureWindow).Starts
	g.Expect(again).To(HaveLen(1))
	f.there(again[0])
	f.end(again[0], batch.Done)
	o = f.after(0)
	g.Expect(o.HealthChanges).To(HaveLen(1))
	g.Expect(o.HealthChanges[0].QuarantinedUntil).To(BeZero())
}
