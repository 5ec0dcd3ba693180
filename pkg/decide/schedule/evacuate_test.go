package schedule

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sesamestream/sesamestream/pkg/batch"
)

// workerIn returns a worker in a data centre.
func workerIn(dataCentre, id string, milliCPU int, labels ...string) batch.Worker {
	w := testWorker(id, milliCPU, labels...)
	w.DataCentre = dataCentre
	return w
}

// servingJob returns a job of one step of long-running tasks of which one may be away.
func servingJob(id string, count, milliCPU int) *batch.Job {
	j := endlessJob(id, count, milliCPU)
	j.Steps[0].MaxUnavailable = 1
	return j
}

// startAtWork schedules for a moment, and reports all started long-running tasks to be at work.
func (f *harness) startAtWork() []Start {
	all := f.startFor(50 * time.Millisecond)
	for _, s := range all {
		f.reportAtWork(s)
	}
	return all
}

// tasksIn returns the number of tasks in a data centre.
func (f *harness) tasksIn(dataCentre string) int {
	n := 0
	for _, w := range f.workerList {
		if w.DataCentre == dataCentre {
			n += len(w.tasks)
		}
	}
	return n
}

// Each kind of start could pass by the check of the data centre: by a rank kept from before, as
// all of a gang, for room held or kept for a move before the request, or as a last resort.
func TestNoStartOfAnyKindInEvacuatedDataCentre(t *testing.T) {
	for name, prepare := range map[string]func(g *WithT, f *harness){
		"finite": func(_ *WithT, f *harness) { f.Add(f.now, testJob("j", "urgent", testStep(4, 100)), nil, false) },
		"best effort": func(_ *WithT, f *harness) {
			f.Add(f.now, testJob("j", "wide", testStep(4, 100, func(s *batch.Step) { s.BestEffort = true })), nil, false)
		},
		"long-running": func(_ *WithT, f *harness) { f.Add(f.now, servingJob("j", 4, 100), nil, false) },
		"gang": func(_ *WithT, f *harness) {
			f.Add(f.now, testJob("j", "wide", testStep(4, 2000, func(s *batch.Step) { s.Gang = true })), nil, false)
		},
		"gang on one rack": func(_ *WithT, f *harness) {
			f.Add(f.now, testJob("j", "wide", testStep(2, 100, func(s *batch.Step) { s.Gang, s.SameRack = true, true })), nil, false)
		},
		"after a failed run": func(g *WithT, f *harness) {
			f.SetEvacuations(nil)
			f.Add(f.now, testJob("j", "urgent", testStep(1, 100, func(s *batch.Step) { s.RequiredLabel = "only-d" })), nil, false)
			starts := f.startFor(50 * time.Millisecond)
			g.Expect(starts).To(HaveLen(1))
			f.endRun(starts[0], batch.Failed)
		},
		"last resort": func(_ *WithT, f *harness) {
			for _, id := range []string{"1", "2"} {
				f.workerOf(id).health.recordFailure(f.now, "x", true)
				f.workerOf(id).health.recordFailure(f.now, "y", true)
			}
			f.Add(f.now, servingJob("j", 4, 3000), nil, false)
		},
		"probe": func(_ *WithT, f *harness) {
			f.workerOf("1").health.backoffLevel = 1
			f.Add(f.now, testJob("j", "urgent", testStep(1, 100, func(s *batch.Step) { s.RequiredLabel = "only-d" })), nil, false)
		},
		"held room": func(g *WithT, f *harness) {
			f.SetEvacuations(nil)
			f.Add(f.now, testJob("short", "urgent", testStep(2, 4000, func(s *batch.Step) { s.RequiredLabel = "only-d" })), nil, false)
			starts := f.startFor(50 * time.Millisecond)
			g.Expect(starts).To(HaveLen(2))
			j := servingJob("j", 1, 4000)
			j.Steps[0].RequiredLabel = "only-d"
			f.Add(f.now, j, nil, false)
			g.Expect(f.startFor(healthyWorkerWait + 2*holdInterval)).To(BeEmpty())
			g.Expect(f.holds).To(HaveLen(1))
			f.SetEvacuations([]string{"d"})
			f.endRun(starts[0], batch.Done)
			f.endRun(starts[1], batch.Done)
			f.startFor(50 * time.Millisecond)
			g.Expect(f.holds).To(BeEmpty(), "the hold is given up")
		},
		"target of a move": func(g *WithT, f *harness) {
			f.SetEvacuations(nil)
			j := servingJob("j", 1, 1000)
			j.Steps[0].RequiredLabel = "only-d"
			f.Add(f.now, j, nil, false)
			s := f.startAtWork()[0]
			to := f.workerOf("1")
			if s.Key.ID == "1" {
				to = f.workerOf("2")
			}
			f.moveServing(f.now, f.findTask(s.Task), to, "test")
			f.scheduleAfter(0)
			f.SetEvacuations([]string{"d"})
			f.endRun(s, batch.Stopped)
			f.startFor(50 * time.Millisecond)
			g.Expect(f.moves).To(BeEmpty())
			g.Expect(to.reserved).To(Equal(batch.Resources{}), "the room of the move")
		},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			f := newHarness(workerIn("d", "1", 4000, "only-d", "r1-1"), workerIn("d", "2", 4000, "only-d", "r1-1"), workerIn("e", "3", 1000, "r1-2"))
			f.SetEvacuations([]string{"d"})
			prepare(g, f)
			f.SetEvacuations([]string{"d"})
			for _, s := range f.startFor(20 * time.Second) {
				g.Expect(s.Key.ID).To(Equal("3"))
			}
			// Workers that come later, or come back, are no exception.
			f.SyncWorker(f.now, "host-1", workerIn("d", "1", 4000, "only-d", "r1-1"), nil, nil)
			f.SyncWorker(f.now, "host-4", workerIn("d", "4", 9000, "only-d", "r1-1"), nil, nil)
			f.UpdateWorker(f.now, workerIn("d", "2", 9000, "only-d", "r1-1"))
			for _, s := range f.startFor(20 * time.Second) {
				g.Expect(s.Key.ID).To(Equal("3"))
			}
			f.SetEvacuations(nil)
			f.Add(f.now, testJob("last", "urgent", testStep(1, 100, func(s *batch.Step) { s.RequiredLabel = "only-d" })), nil, false)
			g.Expect(f.startFor(20*time.Second)).NotTo(BeEmpty(), "starts after the evacuation")
		})
	}
}

// Runs that are throttled or stand still are stopped for another worker, which mustn't be in an
// evacuated data centre: they would lose their work and not start again.
func TestRunsAreNotRelocatedIntoEvacuatedDataCentre(t *testing.T) {
	for name, throttled := range map[string]bool{"straggler": false, "throttled": true} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			f := newHarness(workerIn("d", "1", 4000), workerIn("e", "2", 4000))
			f.SetEvacuations([]string{"d"})
			f.Add(f.now, testJob("j", "wide", testStep(1, 1000, func(s *batch.Step) { s.BestEffort, s.Checkpoints = throttled, true })), nil, false)
			starts := f.startFor(200 * time.Millisecond)
			g.Expect(starts).To(HaveLen(1))
			pace := 0
			if throttled {
				pace = 1
			}
			// The run gets to 30 percent and stands still there.
			stopsOf100 := func(percent int) (stops int) {
				for i := range 100 {
					r := batch.Run{Task: starts[0].Task, Number: starts[0].Number, ProgressPercent: min(percent+5*i, 30), Pace: pace, Checkpoint: "c"}
					f.HandleProgress(f.now, starts[0].Key, []batch.Run{r}, throttled)
					stops += len(f.scheduleAfter(200 * time.Millisecond).Stops)
				}
				return stops
			}
			g.Expect(stopsOf100(10)).To(BeZero())
			f.SetEvacuations(nil)
			g.Expect(stopsOf100(30)).NotTo(BeZero(), "the run is relocated without the request")
		})
	}
}

// A start that its host still tries could be carried out after the bound, unless it's stopped. One
// that the worker has reported runs on.
func TestUnansweredStartsInEvacuatedDataCentreAreStopped(t *testing.T) {
	g := NewWithT(t)
	f := newHarness(workerIn("d", "1", 4000), workerIn("e", "2", 500))
	f.Add(f.now, testJob("j", "urgent", testStep(2, 1000)), nil, false)
	starts := f.scheduleAfter(0).Starts
	g.Expect(starts).To(HaveLen(2))
	f.confirmStart(starts[0])
	f.SetEvacuations([]string{"d"})
	var stops []Stop
	for f.now.Sub(testStart) < 5*time.Second {
		for _, s := range f.scheduleAfter(50 * time.Millisecond).Stops {
			g.Expect(f.now.Sub(testStart)).To(BeNumerically("<=", unansweredStartLimit+evacuationInterval))
			stops = append(stops, s)
		}
	}
	g.Expect(stops).To(HaveLen(1))
	g.Expect(stops[0].Task).To(Equal(starts[1].Task))
	// The host reports that the start failed, and the room is free again.
	f.HandleStartResult(f.now, starts[1].Key, starts[1].Task, starts[1].Number, true, false, false)
	g.Expect(f.workerOf("1").reserved.MilliCPU).To(Equal(1000))
	f.endRun(starts[0], batch.Done)
	g.Expect(f.workerOf("1").reserved).To(Equal(batch.Resources{}))
}

// move carries out the stops and starts of the scheduler for a while, and checks that no more
// tasks of a step are away than allowed. Stopped tasks end after 300 ms, and started ones are at
// work after a second.
func (f *harness) move(g *WithT, allowed int, d time.Duration) (moved int) {
	type event struct {
		at time.Time
		do func()
	}
	var events []event
	away := map[batch.Task]bool{}
	for end := f.now.Add(d); f.now.Before(end); {
		o := f.scheduleAfter(50 * time.Millisecond)
		for _, x := range o.Stops {
			away[x.Task] = true
			moved++
			events = append(events, event{f.now.Add(300 * time.Millisecond), func() { f.endRun(Start{Key: x.Key, Task: x.Task, Number: x.Number}, batch.Stopped) }})
		}
		for _, x := range o.Starts {
			f.confirmStart(x)
			events = append(events, event{f.now.Add(time.Second), func() { f.reportAtWork(x); delete(away, x.Task) }})
		}
		perStep := map[batch.JobID]int{}
		for t := range away {
			perStep[t.Job]++
			g.Expect(perStep[t.Job]).To(BeNumerically("<=", allowed), "tasks of %s that are away", t.Job)
		}
		events = func() (left []event) {
			for _, e := range events {
				if f.now.Before(e.at) {
					left = append(left, e)
					continue
				}
				e.do()
			}
			return left
		}()
	}
	return moved
}

// Stops of all long-running tasks at once, or of ones without room elsewhere, end their service.
func TestLongRunningTasksLeaveEvacuatedDataCentreOneByOne(t *testing.T) {
	g := NewWithT(t)
	f := newHarness(workerIn("d", "1", 4000), workerIn("d", "2", 4000))
	f.Add(f.now, servingJob("a", 4, 1000), nil, false)
	f.Add(f.now, servingJob("b", 4, 1000), nil, false)
	g.Expect(f.startAtWork()).To(HaveLen(8))
	f.SyncWorker(f.now, "host-3", workerIn("e", "3", 4000), nil, nil)
	f.SyncWorker(f.now, "host-4", workerIn("e", "4", 2000), nil, nil)
	f.SetEvacuations([]string{"d"})
	g.Expect(f.move(g, 1, time.Minute)).To(Equal(6), "moves: there is room for six")
	g.Expect(f.tasksIn("d")).To(Equal(2))
	g.Expect(f.tasksIn("e")).To(Equal(6))
	g.Expect(f.moves).To(BeEmpty())
	// The rest follows once there is room.
	f.SyncWorker(f.now, "host-5", workerIn("e", "5", 4000), nil, nil)
	g.Expect(f.move(g, 1, time.Minute)).To(Equal(2))
	g.Expect(f.tasksIn("d")).To(BeZero())
	for _, id := range []string{"1", "2"} {
		g.Expect(f.workerOf(id).reserved).To(Equal(batch.Resources{}))
	}
}

// A task whose worker is out of reach may be gone. To move another one of its step then takes away
// one more than the caller allows.
func TestTaskStaysWhileOneOfItsStepIsOutOfReach(t *testing.T) {
	for name, lose := range map[string]func(f *harness, back bool){
		"host without session": func(f *harness, back bool) {
			if !back {
				f.MarkUnresponsive("host-2")
				return
			}
			var runs []batch.Run
			for id, x := range f.workerOf("2").tasks {
				runs = append(runs, batch.Run{Task: id, Number: x.run, ProgressPercent: atWorkPercent})
			}
			f.SyncWorker(f.now, "host-2", workerIn("e", "2", 1000), runs, nil)
		},
		"worker silent": func(f *harness, back bool) { f.SetSilent(keyOf("2"), !back) },
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			f := newHarness(workerIn("d", "1", 1000), workerIn("e", "2", 1000))
			f.Add(f.now, servingJob("a", 2, 1000), nil, false)
			g.Expect(f.startAtWork()).To(HaveLen(2))
			f.SyncWorker(f.now, "host-3", workerIn("e", "3", 1000), nil, nil)
			lose(f, false)
			f.SetEvacuations([]string{"d"})
			g.Expect(f.move(g, 1, 5*time.Second)).To(BeZero())
			lose(f, true)
			g.Expect(f.move(g, 1, 5*time.Second)).To(Equal(1))
		})
	}
}

// Most callers don't state how many tasks of a step may be away. If theirs never moved, the data
// centre would never be empty. They move like others, one of a step at a time.
func TestTasksOfStepsWithoutStatedLimitLeaveOneByOne(t *testing.T) {
	g := NewWithT(t)
	f := newHarness(workerIn("d", "1", 4000))
	f.Add(f.now, endlessJob("a", 3, 1000), nil, false)
	g.Expect(f.startAtWork()).To(HaveLen(3))
	f.SyncWorker(f.now, "host-2", workerIn("e", "2", 4000), nil, nil)
	f.SetEvacuations([]string{"d"})
	g.Expect(f.move(g, 1, 20*time.Second)).To(Equal(3))
	g.Expect(f.tasksIn("d")).To(BeZero())
}

// A job that only the evacuated data centre can run, or more work than there is room for, is
// pending for as long as the evacuation lasts. Long-running tasks that wait for it to be placed
// would never leave.
func TestPendingFiniteWorkDoesNotKeepLongRunningTasks(t *testing.T) {
	g := NewWithT(t)
	f := newHarness(workerIn("d", "1", 4000, "only-d"))
	f.Add(f.now, servingJob("a", 3, 1000), nil, false)
	g.Expect(f.startAtWork()).To(HaveLen(3))
	f.SyncWorker(f.now, "host-2", workerIn("e", "2", 4000), nil, nil)
	f.SetEvacuations([]string{"d"})
	f.Add(f.now, testJob("stuck", "urgent", testStep(1, 100, func(s *batch.Step) { s.RequiredLabel = "only-d" })), nil, false)
	g.Expect(f.move(g, 1, 20*time.Second)).To(Equal(3))
	g.Expect(f.tasksIn("e")).To(Equal(3))
}

// Moves go on after the request was removed if they are ordered from a state kept with it.
func TestMovesEndWithTheEvacuation(t *testing.T) {
	g := NewWithT(t)
	f := newHarness(workerIn("d", "1", 4000))
	f.Add(f.now, servingJob("a", 4, 1000), nil, false)
	g.Expect(f.startAtWork()).To(HaveLen(4))
	f.SyncWorker(f.now, "host-2", workerIn("e", "2", 4000), nil, nil)
	f.SetEvacuations([]string{"d"})
	moved := f.move(g, 1, 300*time.Millisecond)
	g.Expect(moved).To(Equal(1))
	f.SetEvacuations(nil)
	moved += f.move(g, 1, 20*time.Second)
	g.Expect(moved).To(Equal(1), "the task that was stopped starts again, and no other is stopped")
	g.Expect(f.tasksIn("d") + f.tasksIn("e")).To(Equal(4))
}

// A move whose target is evacuated too keeps room there that nobody may use, and its task waits
// for a worker where it mustn't start instead of going elsewhere.
func TestTargetOfMoveIsEvacuatedToo(t *testing.T) {
	g := NewWithT(t)
	f := newHarness(workerIn("d", "1", 1000))
	f.Add(f.now, servingJob("a", 1, 1000), nil, false)
	s := f.startAtWork()[0]
	f.SyncWorker(f.now, "host-2", workerIn("e", "2", 1000), nil, nil)
	f.SetEvacuations([]string{"d"})
	g.Expect(f.scheduleAfter(evacuationInterval).Stops).To(HaveLen(1))
	f.SetEvacuations([]string{"d", "e"})
	f.scheduleAfter(50 * time.Millisecond)
	g.Expect(f.workerOf("2").reserved).To(Equal(batch.Resources{}))
	f.endRun(s, batch.Stopped)
	g.Expect(f.startFor(5 * time.Second)).To(BeEmpty())
	f.SyncWorker(f.now, "host-3", workerIn("f", "3", 1000), nil, nil)
	starts := f.startFor(50 * time.Millisecond)
	g.Expect(starts).To(HaveLen(1))
	g.Expect(starts[0].Key.ID).To(Equal("3"))
}

// With all data centres evacuated, or with an unknown one, tasks are stopped without room
// elsewhere, or work stands still where it may go on.
func TestAllOrUnknownDataCentresEvacuated(t *testing.T) {
	g := NewWithT(t)
	f := newHarness(workerIn("d", "1", 4000), workerIn("e", "2", 4000), workerIn("", "3", 100))
	f.Add(f.now, servingJob("a", 2, 1000), nil, false)
	g.Expect(f.startAtWork()).To(HaveLen(2))
	f.SetEvacuations([]string{"nowhere", "", "d/e"})
	f.Add(f.now, testJob("j", "urgent", testStep(1, 1000)), nil, false)
	o := f.scheduleAfter(evacuationInterval)
	g.Expect(o.Starts).To(HaveLen(1))
	g.Expect(o.Stops).To(BeEmpty())
	f.confirmStart(o.Starts[0])
	f.SetEvacuations([]string{"d", "e", ""})
	f.Add(f.now, testJob("k", "urgent", testStep(1, 1000)), nil, false)
	g.Expect(f.move(g, 0, 10*time.Second)).To(BeZero())
	g.Expect(f.tasksIn("d") + f.tasksIn("e")).To(Equal(3))
	f.SetEvacuations([]string{"d"})
	starts := f.startFor(50 * time.Millisecond)
	g.Expect(starts).To(HaveLen(1))
	g.Expect(starts[0].Key.ID).To(Equal("2"))
}

// Operators can't tell a job that waits for the end of an evacuation from one that is lost, unless
// the reason is reported. Work that others can run isn't reported, as it waits for its turn.
func TestWaitForEvacuatedDataCentreIsReported(t *testing.T) {
	g := NewWithT(t)
	f := newHarness(workerIn("d", "1", 4000, "only-d"), workerIn("e", "2", 1000))
	label := func(s *batch.Step) { s.RequiredLabel = "only-d" }
	f.Add(f.now, testJob("stuck", "urgent", testStep(2, 100, label)), nil, false)
	f.Add(f.now, testJob("large", "wide", testStep(1, 3000, func(s *batch.Step) { s.BestEffort = true })), nil, false)
	f.Add(f.now, testJob("turn", "urgent", testStep(9, 1000)), nil, false)
	f.Add(f.now, testJob("nowhere", "urgent", testStep(1, 100, func(s *batch.Step) { s.RequiredLabel = "x" })), nil, false)
	f.SetEvacuations([]string{"d"})
	reports := map[batch.JobID]string{}
	for range 50 {
		for _, x := range f.scheduleAfter(100 * time.Millisecond).Waits {
			reports[x.Task.Job] = x.Workers.String()
		}
	}
	g.Expect(reports).To(Equal(map[batch.JobID]string{"stuck": "evacuated:1 lacksCpu:1", "large": "evacuated:1 lacksSpareCpu:1"}))
	f.SetEvacuations(nil)
	for range 50 {
		g.Expect(f.scheduleAfter(100 * time.Millisecond).Waits).To(BeEmpty())
	}
}

// Workers that return cold are slow, so that urgent work there misses its objective while others
// have room. They take what finds no room elsewhere, and are like the others once warm.
func TestColdWorkersAreUsedLast(t *testing.T) {
	for name, milliCPU := range map[string]int{"cold worker larger": 8000, "cold worker smaller": 3000} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			cold := workerIn("d", "1", milliCPU)
			cold.ColdRemaining = 10 * time.Second
			f := newHarness(cold, workerIn("e", "2", 4000))
			f.Add(f.now, testJob("j", "urgent", testStep(4, 1000)), nil, false)
			for _, s := range f.startFor(50 * time.Millisecond) {
				g.Expect(s.Key.ID).To(Equal("2"))
				f.endRun(s, batch.Done)
			}
			f.Add(f.now, testJob("k", "urgent", testStep(5, 1000)), nil, false)
			var on []string
			for _, s := range f.startFor(50 * time.Millisecond) {
				on = append(on, s.Key.ID)
				f.endRun(s, batch.Done)
			}
			g.Expect(on).To(Equal([]string{"2", "2", "2", "2", "1"}))
			f.startFor(cold.ColdRemaining)
			larger := "2"
			if milliCPU > 4000 {
				larger = "1"
			}
			f.Add(f.now, testJob("l", "urgent", testStep(1, 1000)), nil, false)
			starts := f.startFor(50 * time.Millisecond)
			g.Expect(starts).To(HaveLen(1))
			g.Expect(starts[0].Key.ID).To(Equal(larger))
		})
	}
}

// A drained worker's task and one that is moved from an evacuated data centre take the same room
// if one of them doesn't keep it. One of them is then stopped and finds no worker.
func TestDrainingAndEvacuationShareRoom(t *testing.T) {
	g := NewWithT(t)
	f := newHarness(workerIn("d", "1", 2000), workerIn("e", "2", 2000))
	f.Add(f.now, servingJob("a", 1, 2000), nil, false)
	f.Add(f.now, servingJob("b", 1, 2000), nil, false)
	g.Expect(f.startAtWork()).To(HaveLen(2))
	f.SyncWorker(f.now, "host-3", workerIn("e", "3", 2000), nil, nil)
	f.setDraining("2")
	f.SetEvacuations([]string{"d"})
	g.Expect(f.move(g, 1, 10*time.Second)).To(Equal(1), "there is room for one")
	g.Expect(f.tasksIn("d") + f.tasksIn("e")).To(Equal(2))
}

// The search for moves is repeated while tasks wait for room. A fleet that lost a third of its
// workers has many of these, and the search compares all workers for each.
func TestPassesStayShortWhileNothingCanMove(t *testing.T) {
	f := newHarness()
	for i := range 240 {
		w := workerIn([]string{"d", "e", "f"}[i%3], fmt.Sprint(i), 16000)
		f.SyncWorker(f.now, fmt.Sprint("host-", i), w, nil, nil)
	}
	for i := range 240 {
		f.Add(f.now, servingJob(fmt.Sprint("j", i), 8, 2000), nil, false)
	}
	f.startAtWork()
	f.startAtWork()
	f.SetEvacuations([]string{"d"})
	searches := 0
	for range 100 {
		searches = max(searches, f.scheduleAfter(50*time.Millisecond).Searches)
	}
	NewWithT(t).Expect(searches).To(BeNumerically("<=", maxEvacuationSearches))
}
