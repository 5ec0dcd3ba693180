package schedule

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sesamestream/sesamestream/pkg/batch"
)

var testStart = time.Unix(1_800_000_000, 0)

// harness drives a Scheduler with simulated time and keeps its latest orders.
type harness struct {
	*Scheduler
	now        time.Time
	lastOrders Orders
}

// newHarness returns a settled scheduler with the queues urgent and wide and the given workers.
func newHarness(workers ...batch.Worker) *harness {
	f := &harness{Scheduler: New(), now: testStart}
	f.Configure(&batch.Config{
		Routes: []batch.Route{
			{Queue: batch.Queue{Name: "urgent", Service: "s", MaxAttempts: 2, Stretch: 1.5, Objective: 600 * time.Millisecond}},
			{Queue: batch.Queue{Name: "wide", Service: "s", Priority: 2, MaxAttempts: 2, Stretch: 2, Objective: time.Second}},
		},
	})
	f.FinishRecovery()
	for _, w := range workers {
		f.SyncWorker(f.now, "host-"+w.ID, w, nil, nil)
	}
	return f
}

func testWorker(id string, milliCPU int, labels ...string) batch.Worker {
	return batch.Worker{
		ID: id, StartTime: 1, Machine: "m-" + id, Service: "s", Capacity: batch.Resources{MilliCPU: milliCPU, MemoryMB: 64000},
		Labels: append([]string{"a"}, labels...),
	}
}

func testJob(id, queue string, steps ...batch.Step) *batch.Job {
	return &batch.Job{ID: batch.JobID(id), Queue: queue, Steps: steps, Accepted: testStart}
}

func testStep(count, milliCPU int, change ...func(*batch.Step)) batch.Step {
	s := batch.Step{Count: count, Need: batch.Resources{MilliCPU: milliCPU, MemoryMB: 100}, Estimate: time.Second}
	for _, c := range change {
		c(&s)
	}
	return s
}

// scheduleAfter advances time by d and returns the orders of a call of Schedule.
func (f *harness) scheduleAfter(d time.Duration) Orders {
	f.now = f.now.Add(d)
	f.lastOrders = f.Schedule(f.now)
	return f.lastOrders
}

// endRun reports the end of a started run to the scheduler.
func (f *harness) endRun(s Start, how batch.EndKind) {
	f.HandleEnds(f.now, s.Key, []batch.End{{Seq: 1, Task: s.Task, Number: s.Number, How: how}})
}

// confirmStart reports to the scheduler that a worker carried out a start.
func (f *harness) confirmStart(s Start) {
	f.HandleStartResult(f.now, s.Key, s.Task, s.Number, false, false, false)
}

func TestPlacement(t *testing.T) {
	lasting := func(image string) func(*batch.Step) {
		return func(s *batch.Step) { s.LongRunning, s.Image, s.LatencyTarget = true, image, 50*time.Millisecond }
	}
	for name, c := range map[string]struct {
		workers []batch.Worker
		job     *batch.Job
		want    []string
	}{
		"all tasks at once":           {[]batch.Worker{testWorker("1", 4000)}, testJob("j", "urgent", testStep(3, 1000)), []string{"1", "1", "1"}},
		"task that doesn't fit waits": {[]batch.Worker{testWorker("1", 2500)}, testJob("j", "urgent", testStep(3, 1000)), []string{"1", "1"}},
		"spread by free capacity":     {[]batch.Worker{testWorker("1", 4000), testWorker("2", 4000)}, testJob("j", "urgent", testStep(2, 1000)), []string{"1", "2"}},
		"label": {
			[]batch.Worker{testWorker("1", 4000), testWorker("2", 4000, "gpu")},
			testJob("j", "urgent", testStep(1, 1000, func(s *batch.Step) { s.RequiredLabel = "gpu" })), []string{"2"},
		},
		"required label missing": {
			[]batch.Worker{testWorker("1", 4000)}, testJob("j", "urgent", testStep(1, 1000, func(s *batch.Step) { s.RequiredLabel = "gpu" })), nil,
		},
		"rack of the data preferred": {
			[]batch.Worker{testWorker("1", 9000, "r1-1"), testWorker("2", 4000, "r1-2")},
			testJob("j", "urgent", testStep(2, 1000, func(s *batch.Step) { s.DataRack = "r1-2" })), []string{"2", "2"},
		},
		"limit per worker": {
			[]batch.Worker{testWorker("1", 9000), testWorker("2", 9000)},
			testJob("j", "urgent", testStep(5, 100, func(s *batch.Step) { s.MaxPerWorker = 2 })), []string{"1", "2", "1", "2"},
		},
		"lasting tasks packed": {
			[]batch.Worker{testWorker("1", 8000), testWorker("2", 8000)}, testJob("j", "urgent", testStep(2, 1000, lasting("x"))), []string{"1", "1"},
		},
		"other service": {
			[]batch.Worker{{ID: "1", Service: "other", Capacity: batch.Resources{MilliCPU: 9000, MemoryMB: 9000}}},
			testJob("j", "urgent", testStep(1, 100)), nil,
		},
		"draining": {
			[]batch.Worker{func() batch.Worker { w := testWorker("1", 9000); w.Draining = true; return w }()}, testJob("j", "urgent", testStep(1, 100)), nil,
		},
		"best-effort tasks reserve no processor time": {
			[]batch.Worker{testWorker("1", 4000)}, testJob("j", "wide", testStep(2, 2000, func(s *batch.Step) { s.BestEffort = true })), []string{"1", "1"},
		},
		"gang starts as a whole": {
			[]batch.Worker{testWorker("1", 2000), testWorker("2", 2000)},
			testJob("j", "wide", testStep(3, 1000, func(s *batch.Step) { s.Gang = true })), []string{"1", "2", "1"},
		},
		"gang that doesn't fit waits": {
			[]batch.Worker{testWorker("1", 2000)}, testJob("j", "wide", testStep(3, 1000, func(s *batch.Step) { s.Gang = true })), nil,
		},
		"gang on one rack": {
			[]batch.Worker{testWorker("1", 1000, "r1-1"), testWorker("2", 2000, "r1-2"), testWorker("3", 2000, "r1-2")},
			testJob("j", "wide", testStep(3, 1000, func(s *batch.Step) { s.Gang, s.SameRack = true, true })), []string{"2", "3", "2"},
		},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			f := newHarness(c.workers...)
			f.Add(f.now, c.job, nil, false)
			var got []string
			for _, s := range f.scheduleAfter(0).Starts {
				got = append(got, s.Key.ID)
				g.Expect(s.Number).To(Equal(1))
			}
			g.Expect(got).To(Equal(c.want))
		})
	}
}

func TestStepsWaitForTheirDependencies(t *testing.T) {
	g := NewWithT(t)
	f := newHarness(testWorker("1", 9000))
	second := testStep(1, 100)
	second.DependsOn = []int{0}
	f.Add(f.now, testJob("j", "urgent", testStep(2, 100), second), nil, false)
	first := f.scheduleAfter(0).Starts
	g.Expect(first).To(HaveLen(2))
	f.endRun(first[0], batch.Done)
	g.Expect(f.scheduleAfter(time.Second).Starts).To(BeEmpty())
	f.endRun(first[1], batch.Done)
	last := f.scheduleAfter(0).Starts
	g.Expect(last).To(HaveLen(1))
	g.Expect(last[0].Task.Step).To(Equal(1))
	f.endRun(last[0], batch.Done)
	s, _ := f.State("j")
	g.Expect(s).To(Equal(batch.Running), "the completion isn't stored yet")
	p, _ := f.Progress("j")
	f.MarkStored("j", p)
	s, _ = f.State("j")
	g.Expect(s).To(Equal(batch.Completed))
}

// A run that failed before a failover counts once, whichever scheduler receives
// its end. A miscount breaks the budget of attempts when all processes are killed.
func TestFailedRunsCountOnceOverAFailover(t *testing.T) {
	g := NewWithT(t)
	w := testWorker("1", 9000)
	f := newHarness(w, testWorker("2", 9000))
	f.Add(f.now, testJob("j", "urgent", testStep(1, 100)), nil, false)
	one := f.scheduleAfter(0).Starts[0]
	f.endRun(one, batch.Failed)
	two := f.scheduleAfter(time.Second).Starts[0]
	g.Expect(two.Number).To(Equal(2))
	p, _ := f.Progress("j")

	next := newHarness()
	next.recovered = false
	next.Add(next.now, testJob("j", "urgent", testStep(1, 100)), p, true)
	// The second run failed while there was no scheduler; its worker still lists both ends.
	key := testWorker(two.Key.ID, 9000)
	next.SyncWorker(next.now, "h", key, nil, []batch.End{
		{Seq: 1, Task: one.Task, Number: 1, How: batch.Failed}, {Seq: 2, Task: two.Task, Number: 2, How: batch.Failed},
	})
	next.FinishRecovery()
	g.Expect(next.scheduleAfter(time.Second).Starts).To(BeEmpty())
	q, _ := next.Progress("j")
	g.Expect(q.State).To(Equal(batch.JobFailed))
}

func TestJobsOfAnEarlierTermWaitForTheirHosts(t *testing.T) {
	g := NewWithT(t)
	f := newHarness()
	f.recovered = false
	j := testJob("j", "urgent", testStep(1, 100))
	f.Add(f.now, j, nil, true)
	f.SyncWorker(f.now, "h2", testWorker("2", 9000), nil, nil)
	g.Expect(f.scheduleAfter(0).Starts).To(BeEmpty(), "a host that isn't connected yet may run it")
	id := batch.Task{Job: "j"}
	kept := f.SyncWorker(f.now, "h1", testWorker("1", 9000), []batch.Run{{Task: id, Number: 3}}, nil)
	g.Expect(kept).To(Equal([]batch.Task{id}))
	f.FinishRecovery()
	g.Expect(f.scheduleAfter(0).Starts).To(BeEmpty())
	f.RemoveWorker(batch.WorkerKey{ID: "1", StartTime: 1})
	again := f.scheduleAfter(0).Starts
	g.Expect(again).To(HaveLen(1))
	g.Expect(again[0].Number).To(BeNumerically(">", 3))
}

// A run that the present scheduler didn't start is stopped, unless its task has
// no other run.
func TestUnassignedRunsAreStopped(t *testing.T) {
	g := NewWithT(t)
	f := newHarness(testWorker("1", 9000))
	f.Add(f.now, testJob("j", "urgent", testStep(1, 100)), nil, false)
	s := f.scheduleAfter(0).Starts[0]
	f.SyncWorker(f.now, "h2", testWorker("2", 9000), []batch.Run{{Task: s.Task, Number: 9}, {Task: batch.Task{Job: "unknown"}, Number: 1}}, nil)
	var stopped []int
	for _, x := range f.scheduleAfter(0).Stops {
		stopped = append(stopped, x.Number)
	}
	g.Expect(stopped).To(ConsistOf(9, 1))
}

// A task that a run of an earlier scheduler completed is done and isn't run again.
func TestTaskDoneByAnEarlierRunIsNotRunAgain(t *testing.T) {
	g := NewWithT(t)
	f := newHarness(testWorker("1", 9000))
	f.Add(f.now, testJob("j", "urgent", testStep(1, 100)), nil, false)
	s := f.scheduleAfter(0).Starts[0]
	f.confirmStart(s)
	f.SyncWorker(f.now, "h2", testWorker("2", 9000), nil, []batch.End{{Seq: 1, Task: s.Task, Number: 1, How: batch.Done}})
	o := f.scheduleAfter(0)
	g.Expect(o.Stops).To(HaveLen(1))
	f.endRun(s, batch.Stopped)
	g.Expect(f.scheduleAfter(time.Second).Starts).To(BeEmpty())
	p, _ := f.Progress("j")
	g.Expect(p.State).To(Equal(batch.Completed))
}

func TestCancelStopsAllRuns(t *testing.T) {
	g := NewWithT(t)
	f := newHarness(testWorker("1", 9000))
	f.Add(f.now, testJob("j", "urgent", testStep(2, 100)), nil, false)
	g.Expect(f.scheduleAfter(0).Starts).To(HaveLen(2))
	f.Cancel(f.now, "j")
	g.Expect(f.scheduleAfter(0).Stops).To(HaveLen(2))
	for _, s := range []int{0, 1} {
		f.HandleEnds(f.now, batch.WorkerKey{ID: "1", StartTime: 1}, []batch.End{{Task: batch.Task{Job: "j", Index: s}, Number: 1, How: batch.Stopped}})
	}
	g.Expect(f.scheduleAfter(time.Second).Starts).To(BeEmpty())
	s, _ := f.State("j")
	g.Expect(s).To(Equal(batch.Cancelled))
}

// After an outage of the store a new job is deferred until no other term can have
// begun. A caller may cancel it meanwhile (UNASKED on a hunted day, hunt-f8ca-39).
func TestJobCancelledBeforeItIsAddedNeverStarts(t *testing.T) {
	g := NewWithT(t)
	f := newHarness(testWorker("1", 9000))
	f.Cancel(f.now, "j")
	f.Add(f.now, testJob("j", "urgent", testStep(2, 100)), nil, false)
	g.Expect(f.scheduleAfter(0).Starts).To(BeEmpty())
	s, _ := f.State("j")
	g.Expect(s).To(Equal(batch.Cancelled))
	g.Expect(f.TakeDirty()).To(ContainElement(batch.JobID("j")), "the end of the job has to be stored")

	f.Cancel(f.now, "gone")
	f.RemoveExpired(f.now.Add(time.Second))
	f.Add(f.now, testJob("gone", "urgent", testStep(2, 100)), nil, false)
	g.Expect(f.scheduleAfter(0).Starts).To(HaveLen(2), "the cancellation of a job long gone is forgotten")
}

func TestLastingTasksRestartAfterAnyEnd(t *testing.T) {
	for _, how := range []batch.EndKind{batch.Done, batch.Failed, batch.Lapsed, batch.Stopped} {
		t.Run(string(how), func(t *testing.T) {
			g := NewWithT(t)
			f := newHarness(testWorker("1", 9000), testWorker("2", 9000))
			f.Add(f.now, testJob("j", "urgent", testStep(1, 100, func(s *batch.Step) { s.LongRunning = true })), nil, false)
			for run := 1; run < 6; run++ {
				o := f.scheduleAfter(time.Second).Starts
				g.Expect(o).To(HaveLen(1))
				g.Expect(o[0].Number).To(Equal(run))
				f.confirmStart(o[0])
				f.endRun(o[0], how)
			}
		})
	}
}

// A worker on which runs of several jobs fail is quarantined, so that no more
// attempts are used up there.
func TestGreyWorkerIsQuarantined(t *testing.T) {
	g := NewWithT(t)
	f := newHarness(testWorker("1", 90000), testWorker("2", 1000))
	for i := range 4 {
		f.Add(f.now, testJob(fmt.Sprint("j", i), "urgent", testStep(1, 400)), nil, false)
	}
	for _, s := range f.scheduleAfter(0).Starts {
		f.confirmStart(s)
		if s.Key.ID == "1" {
			f.endRun(s, batch.Failed)
		}
	}
	for _, s := range f.scheduleAfter(time.Second).Starts {
		g.Expect(s.Key.ID).To(Equal("2"))
	}
}

func TestTimedOccurrencesStartAtTheirTimes(t *testing.T) {
	g := NewWithT(t)
	f := newHarness(testWorker("1", 9000))
	j := testJob("j", "urgent", testStep(1, 100))
	j.Repeat, j.Start, j.Interval = 3, testStart.Add(2*time.Second), time.Second
	f.Add(f.now, j, nil, false)
	g.Expect(f.scheduleAfter(1900 * time.Millisecond).Starts).To(BeEmpty())
	for k := range 3 {
		o := f.scheduleAfter(time.Second).Starts
		g.Expect(o).To(HaveLen(1))
		g.Expect(o[0].Task.Occurrence).To(Equal(k))
	}
}

// A draining worker's lasting tasks are moved; those that end before its deadline are left to end.
func TestDrainMovesLastingTasks(t *testing.T) {
	g := NewWithT(t)
	f := newHarness(testWorker("1", 9000))
	f.Add(f.now, testJob("l", "urgent", testStep(1, 100, func(s *batch.Step) { s.LongRunning = true })), nil, false)
	f.Add(f.now, testJob("s", "urgent", testStep(1, 100)), nil, false)
	for _, s := range f.scheduleAfter(0).Starts {
		f.confirmStart(s)
	}
	f.SyncWorker(f.now, "h2", testWorker("2", 9000), nil, nil)
	w := testWorker("1", 9000)
	w.Draining, w.DrainRemaining = true, 3*time.Second
	f.UpdateWorker(f.now, w)
	o := f.scheduleAfter(0)
	g.Expect(o.Stops).To(HaveLen(1))
	g.Expect(string(o.Stops[0].Task.Job)).To(Equal("l"))
}

// A pass that comes before the first stop has ended finds the room of the stopped task free. A
// second task that is stopped for it could have run on until the drain ends, and has no worker.
func TestDrainStopsNoMoreTasksThanFit(t *testing.T) {
	g := NewWithT(t)
	f := newHarness(testWorker("1", 8000))
	f.Add(f.now, endlessJob("l", 2, 4000), nil, false)
	for _, s := range f.scheduleAfter(0).Starts {
		f.confirmStart(s)
		f.reportAtWork(s)
	}
	f.SyncWorker(f.now, "host-2", testWorker("2", 4000), nil, nil)
	f.setDraining("1")
	stops := 0
	for range 5 {
		stops += len(f.scheduleAfter(100 * time.Millisecond).Stops)
	}
	g.Expect(stops).To(Equal(1))
}

// The tasks of a worker are a map. Which of them gets the only room must not depend on its order,
// or the same inputs give other orders in a replay.
func TestDrainStopsTasksInAFixedOrder(t *testing.T) {
	g := NewWithT(t)
	for range 20 {
		f := newHarness(testWorker("1", 8000))
		f.Add(f.now, endlessJob("l", 8, 1000), nil, false)
		for _, s := range f.scheduleAfter(0).Starts {
			f.confirmStart(s)
			f.reportAtWork(s)
		}
		f.SyncWorker(f.now, "host-2", testWorker("2", 1000), nil, nil)
		f.setDraining("1")
		stops := f.scheduleAfter(100 * time.Millisecond).Stops
		g.Expect(stops).To(HaveLen(1))
		g.Expect(stops[0].Task.Index).To(Equal(0))
	}
}

// The tasks of a worker that returns are a map too, and their stops are ordered again.
func TestStopsAreOrderedAgainInAFixedOrder(t *testing.T) {
	g := NewWithT(t)
	f := newHarness(testWorker("1", 8000))
	f.Add(f.now, endlessJob("l", 8, 1000), nil, false)
	var runs []batch.Run
	for _, s := range f.scheduleAfter(0).Starts {
		f.confirmStart(s)
		runs = append(runs, batch.Run{Task: s.Task, Number: s.Number})
	}
	f.Cancel(f.now, "l")
	g.Expect(f.scheduleAfter(0).Stops).To(HaveLen(8))
	f.MarkUnresponsive("host-1")
	f.SyncWorker(f.now, "host-1", testWorker("1", 8000), runs, nil)
	stops := f.scheduleAfter(0).Stops
	g.Expect(stops).To(HaveLen(8))
	for i, s := range stops {
		g.Expect(s.Task.Index).To(Equal(i))
	}
}

// Tasks of an advised queue start only with a ticket of the policy service, which
// is requested once.
func TestAdvisedQueueWaitsForATicket(t *testing.T) {
	g := NewWithT(t)
	f := newHarness(testWorker("1", 9000), testWorker("2", 9000))
	c := batch.Config{Routes: []batch.Route{{Queue: batch.Queue{Name: "urgent", Service: "s", MaxAttempts: 2, Advised: true}}}}
	f.Configure(&c)
	f.Add(f.now, testJob("j", "urgent", testStep(1, 100)), nil, false)
	o := f.scheduleAfter(0)
	g.Expect(o.Starts).To(BeEmpty())
	g.Expect(o.AdviceRequests).To(HaveLen(1))
	g.Expect(f.scheduleAfter(100 * time.Millisecond).AdviceRequests).To(BeEmpty())
	f.HandleAdvice(f.now, o.AdviceRequests[0], map[string]string{"2": "t"}, 3*time.Second, false)
	s := f.scheduleAfter(0).Starts
	g.Expect(s).To(HaveLen(1))
	g.Expect(s[0].Key.ID).To(Equal("2"))
	g.Expect(s[0].Ticket).To(Equal("t"))
}

// A run that is being stopped holds its capacity until its end is listed, also if a
// joining worker reports it and it isn't assigned. After a takeover on
// release-and-scale, workers refused starts for lack of capacity because of two
// such runs; a worker that doesn't check its capacity would be overcommitted.
func TestUnassignedRunsHoldCapacityUntilTheyEnd(t *testing.T) {
	g := NewWithT(t)
	f := newHarness(testWorker("1", 4000))
	f.Add(f.now, testJob("a", "urgent", testStep(1, 3000)), nil, false)
	s := f.scheduleAfter(0).Starts[0]
	f.confirmStart(s)
	f.Cancel(f.now, "a")
	f.scheduleAfter(0)
	f.RemoveWorker(s.Key)
	f.SyncWorker(f.now, "host-1", testWorker("1", 4000), []batch.Run{{Task: s.Task, Number: 1}}, nil)
	f.Add(f.now, testJob("b", "urgent", testStep(2, 1000)), nil, false)
	g.Expect(f.scheduleAfter(0).Starts).To(HaveLen(1), "1000 millicores are free beside the unassigned run")
	f.SyncWorker(f.now, "host-1", testWorker("1", 4000), []batch.Run{
		{Task: s.Task, Number: 1}, {Task: f.lastOrders.Starts[0].Task, Number: 1},
	}, nil)
	g.Expect(f.scheduleAfter(0).Starts).To(BeEmpty(), "the unassigned run counts once")
	f.endRun(s, batch.Stopped)
	g.Expect(f.scheduleAfter(0).Starts).To(HaveLen(1))
}

// A start that was ordered from one incarnation of a worker and carried out by the
// next one continues there, and the loss of the former doesn't end it.
func TestNextIncarnationKeepsTheRunItStarted(t *testing.T) {
	g := NewWithT(t)
	w := testWorker("1", 4000)
	f := newHarness(w, testWorker("2", 2000))
	f.Add(f.now, testJob("j", "urgent", testStep(1, 1000)), nil, false)
	s := f.scheduleAfter(0).Starts[0]
	g.Expect(s.Key).To(Equal(w.Key()))
	next := w
	next.StartTime++
	g.Expect(f.SyncWorker(f.now, s.Host, next, []batch.Run{{Task: s.Task, Number: s.Number}}, nil)).To(ConsistOf(s.Task))
	f.RemoveWorker(w.Key())
	o := f.scheduleAfter(time.Second)
	g.Expect(o.Starts).To(BeEmpty())
	g.Expect(o.Stops).To(BeEmpty())
	f.HandleEnds(f.now, next.Key(), []batch.End{{Seq: 1, Task: s.Task, Number: s.Number, How: batch.Done}})
	f.MarkStored("j", &Progress{State: batch.Completed})
	state, _ := f.State("j")
	g.Expect(state).To(Equal(batch.Completed))
}

// A drain that is taken back and begins again has its whole time.
func TestSecondDrainHasItsTime(t *testing.T) {
	g := NewWithT(t)
	f := newHarness(testWorker("1", 4000))
	f.setDraining("1")
	first := f.workerOf("1").drainDeadline
	f.now = f.now.Add(10 * time.Minute)
	f.UpdateWorker(f.now, testWorker("1", 4000))
	f.setDraining("1")
	g.Expect(f.workerOf("1").drainDeadline).To(BeTemporally(">", first))
}

// Runs that are to be stopped count for the limit per worker.
func TestUnassignedRunCountsForTheLimit(t *testing.T) {
	g := NewWithT(t)
	f := newHarness(testWorker("2", 2000))
	job := endlessJob("a", 2, 1000)
	job.Steps[0].MaxPerWorker = 1
	f.Add(f.now, job, nil, false)
	s := f.startFor(50 * time.Millisecond)
	g.Expect(s).To(HaveLen(1))
	f.SyncWorker(f.now, "host-1", testWorker("1", 8000), []batch.Run{{Task: s[0].Task, Number: 7}}, nil)
	g.Expect(f.startFor(time.Second)).To(BeEmpty(), "a second task of the step starts beside a run that is to be stopped")
}

// A ticket that a worker refuses isn't sent again until it expires.
func TestRefusedTicketIsAskedForAgain(t *testing.T) {
	g := NewWithT(t)
	f := newHarness(testWorker("1", 8000))
	f.Configure(&batch.Config{Routes: []batch.Route{{Queue: batch.Queue{Name: "urgent", Service: "s", MaxAttempts: 2, Advised: true}}}})
	f.Add(f.now, testJob("j", "urgent", testStep(1, 100)), nil, false)
	asked, refused, started := 0, 0, false
	for f.now.Sub(testStart) < 10*time.Second && !started {
		o := f.scheduleAfter(50 * time.Millisecond)
		for _, r := range o.AdviceRequests {
			asked++
			f.HandleAdvice(f.now, r, map[string]string{"1": fmt.Sprint("t", asked)}, time.Minute, false)
		}
		for _, s := range o.Starts {
			if started = s.Ticket != "t1"; !started {
				refused++
				f.DropTicket(s.Key, s.Task)
				f.HandleStartResult(f.now, s.Key, s.Task, s.Number, true, false, false)
			}
		}
	}
	g.Expect(started).To(BeTrue(), "%d refusals", refused)
	g.Expect(refused).To(Equal(1))
}
