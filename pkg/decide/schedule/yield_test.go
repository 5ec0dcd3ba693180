package schedule

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/sesamestream/sesamestream/pkg/batch"
)

// mixedFleet is scarceFleet with finite reserved jobs of lower priority.
var mixedFleet = yieldLoad{workers: 21, urgentRate: 4.6, wideRate: 0.8, middleRate: 1, servingJobs: 3, maxUnavailable: 1}

// Long-running tasks reserve nearly all processors, so in the bursts of part 3 of the
// requirements a tenth of the urgent jobs isn't served within three times their objective,
// and of the largest tenth a quarter. Neither is mended by stopping work by its priority
// alone, as hardly any of lower priority reserves processors. The design note has the
// figures of eight seeds.
func TestYieldsServeMoreUrgentJobs(t *testing.T) {
	twoAway := mixedFleet
	twoAway.maxUnavailable = 2
	for name, l := range map[string]yieldLoad{"serving": scarceFleet, "mixed": mixedFleet, "two away": twoAway} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			useful := map[string]float64{}
			for variant, v := range map[string]policyVariant{"none": {noYields: true}, "priority": {yieldByPriority: true}, "value": {}} {
				f := newYieldSim(1, l, v)
				f.playDay()
				u, w, m := f.result("urgent"), f.result("wide"), f.result("middle")
				t.Logf("%s: urgent %v; wide %.3f, middle %.3f; %d yields, lost %.0f core-s, long-running away %v, longest %v, most %d",
					variant, u, w.usefulShare(), m.usefulShare(), len(f.yields), f.lostWork, f.away, f.longestAway, f.mostAway)
				useful[variant] = u.usefulShare()
				if variant == "value" {
					g.Expect(u.largestShare()).To(BeNumerically(">=", u.usefulShare()/2), "the largest tenth")
					g.Expect(f.longestAway).To(BeNumerically("<", maxLongRunningWait), "time away of a long-running task")
					g.Expect(f.mostAway).To(BeNumerically("<=", l.maxUnavailable), "tasks of a step away at once")
				}
			}
			g.Expect(useful["value"]).To(BeNumerically(">", useful["none"]))
			g.Expect(useful["value"]).To(BeNumerically(">", useful["priority"]))
		})
	}
}

// At the ordinary rate urgent steps wait for a moment where many meet. That must not stop
// any running work, as they are in time without.
func TestNothingYieldsAtOrdinaryLoad(t *testing.T) {
	mixed := mixedFleet
	mixed.middleRate = 0.3
	for name, l := range map[string]yieldLoad{"serving": scarceFleet, "mixed": mixed} {
		for seed := range uint64(3) {
			g := NewWithT(t)
			f := newYieldSim(seed+1, l, policyVariant{noYields: true})
			f.simulate(30*time.Second, 1, 1)
			f.simulate(3*time.Second, 0, 0)
			g.Expect(f.result("urgent").inTime).To(Equal(f.result("urgent").jobs), "%s, seed %d: the load has room for all: %v", name, seed+1, f.result("urgent"))
			f = newYieldSim(seed+1, l, policyVariant{})
			f.simulate(30*time.Second, 1, 1)
			g.Expect(f.yields).To(BeEmpty(), "%s, seed %d: urgent %v", name, seed+1, f.result("urgent"))
		}
	}
}

// Under random loads, with workers that lose contact and schedulers that are replaced, no stop may free less than it costs
// or less than is needed, no task yields more often than the bound, and a step never has more
// tasks away through yields than its caller allows.
func TestYieldsKeepTheirBounds(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		l := yieldLoad{
			workers: rapid.IntRange(2, 8).Draw(rt, "workers"), urgentRate: rapid.Float64Range(0, 6).Draw(rt, "urgent"), wideRate: rapid.Float64Range(0, 1).Draw(rt, "wide"),
			middleRate: rapid.Float64Range(0, 2).Draw(rt, "middle"), servingJobs: rapid.IntRange(0, 1).Draw(rt, "serving"), maxUnavailable: rapid.IntRange(0, 3).Draw(rt, "away"),
		}
		f := newYieldSim(rapid.Uint64().Draw(rt, "seed"), l, policyVariant{})
		f.afterPass = func(o Orders) { checkYields(rt, f, o) }
		for range rapid.IntRange(1, 5).Draw(rt, "phases") {
			if rapid.Bool().Draw(rt, "cut") {
				f.cutOff(0.4)
			}
			f.simulate(time.Duration(rapid.IntRange(1, 6).Draw(rt, "seconds"))*time.Second, rapid.Float64Range(0, 5).Draw(rt, "factor"), 1)
			f.rejoin()
			if rapid.Bool().Draw(rt, "take over") {
				f.takeOver()
			}
		}
	})
}

// checkYields fails if the yields of a pass, or the state after it, break a bound.
func checkYields(t *rapid.T, f *yieldSim, o Orders) {
	if err := checkAccounts(f.Scheduler); err != nil {
		t.Fatal(err)
	}
	if n := len(f.Scheduler.yields); n > f.maxYields() {
		t.Fatalf("tasks of %d workers yield, at most %d may", n, f.maxYields())
	}
	lost, gained := map[string]float64{}, map[string]float64{}
	for _, y := range o.Yields {
		v := f.findTask(y.Task)
		lost[y.Worker], gained[y.Worker] = lost[y.Worker]+y.LostWork, y.GainedWork
		w := f.workers[batch.WorkerKey{ID: y.Worker, StartTime: 1}]
		need := f.jobs[y.Need].occurrences[0].steps[y.NeedStep]
		if r := reservation(need.Step); !r.Fits(w.freeResources().Plus(w.yield.frees)) || r.Fits(w.freeResources()) {
			t.Fatalf("%v yields to %v, which needs %+v; free %+v, freed %+v", y.Task, y.Need, r, w.freeResources(), w.yield.frees)
		}
		if v.step.LongRunning {
			if n := v.step.countAway(nil); n > v.step.maxAway() {
				t.Fatalf("%d tasks of the step of %v are away, %d may be", n, y.Task, v.step.maxAway())
			}
		} else if f.queueConfig(v.step.job).Priority <= f.queueConfig(need.job).Priority {
			t.Fatalf("%v yields to %v of no higher priority", y.Task, y.Need)
		}
		at := f.yieldsAt[y.Task]
		if n := len(at); n > 1 && at[n-1].Sub(at[n-2]) < yieldPause(n-1) || n > maxFiniteYields && !v.step.LongRunning {
			t.Fatalf("%v yields at %v", y.Task, at)
		}
	}
	for w := range lost {
		if lost[w] > gained[w] {
			t.Fatalf("the stops on %s cost %f core-seconds and gain %f", w, lost[w], gained[w])
		}
	}
	for _, x := range o.Starts {
		w := f.workers[x.Key]
		if w.yield != nil && w.yield.orderedAt.Before(f.now) && (x.Step.LongRunning || !x.Step.BestEffort && f.queueConfig(f.jobs[x.Task.Job]).Priority > w.yield.priority) {
			t.Fatalf("%v takes the room that is kept on %s", x.Task, w.ID)
		}
	}
}

// yieldCase is a scheduler with one worker of 16 cores, kept full by two long-running tasks of 6.4 cores each,
// of which one may be away, and a finite one of 3.2 cores.
type yieldCase struct {
	*harness
	started map[batch.Task]Start
}

func newYieldCase(workers int, job *batch.Job) *yieldCase {
	var ws []batch.Worker
	for i := range workers {
		ws = append(ws, testWorker(fmt.Sprint(i), 16000))
	}
	c := &yieldCase{harness: newHarness(ws...), started: map[batch.Task]Start{}}
	c.Add(c.now, job, nil, false)
	c.pass(0)
	return c
}

func endless(s *batch.Step) { s.LongRunning = true }

// pass lets d go by, with all long-running tasks at work, and returns the orders, whose starts are carried out.
func (c *yieldCase) pass(d time.Duration) Orders {
	c.now = c.now.Add(d)
	for k, w := range c.workers {
		var rs []batch.Run
		for _, t := range w.tasksInOrder() {
			r := batch.Run{Task: t.id, Number: t.run, ProgressPercent: int(min(99, 100*c.now.Sub(t.startedAt)/max(t.step.Estimate, 1)))}
			if t.step.LongRunning {
				r.ProgressPercent = 100
			}
			rs = append(rs, r)
		}
		c.HandleProgress(c.now, k, rs, false)
	}
	c.lastOrders = c.Schedule(c.now)
	for _, s := range c.lastOrders.Starts {
		c.started[s.Task] = s
		c.confirmStart(s)
	}
	return c.lastOrders
}

// waitForYields lets time pass until tasks yield, for at most a limit.
func (c *yieldCase) waitForYields(limit time.Duration) []Yield {
	for range limit / (50 * time.Millisecond) {
		if o := c.pass(50 * time.Millisecond); len(o.Yields) > 0 {
			return o.Yields
		}
	}
	return nil
}

// addUrgent adds an urgent job of n tasks of 0.65 cores and 1 s.
func (c *yieldCase) addUrgent(id string, n int, change ...func(*batch.Step)) {
	j := testJob(id, "urgent", testStep(n, 650, change...))
	j.Accepted = c.now
	c.Add(c.now, j, nil, false)
}

// Each rule on what may yield, by a worker that is full when 40 urgent tasks arrive.
func TestWhatYields(t *testing.T) {
	allow := func(n int) func(*batch.Step) { return func(s *batch.Step) { s.MaxUnavailable = n } }
	lasts := func(d time.Duration) func(*batch.Step) { return func(s *batch.Step) { s.Estimate = d } }
	checkpoints := func(s *batch.Step) { s.Checkpoints = true }
	bestEffort := func(s *batch.Step) { s.BestEffort, s.Image = true, "x" }
	memory := func(mb int) func(*batch.Step) { return func(s *batch.Step) { s.Need.MemoryMB = mb } }
	serving := testStep(2, 8000, endless, allow(1))
	// oneAway loses the host of the third task of a step, which has no room beside the others.
	oneAway := func(c *yieldCase) {
		c.SyncWorker(c.now, "host-1", testWorker("1", 8000), nil, nil)
		c.pass(100 * time.Millisecond)
		c.MarkUnresponsive("host-1")
	}
	for name, c := range map[string]struct {
		job *batch.Job
		// age is how long it runs when the urgent tasks arrive.
		age    time.Duration
		change func(*yieldCase)
		urgent []func(*batch.Step)
		kind   YieldKind
	}{
		"a long-running task that may be away": {job: testJob("l", "urgent", serving), age: 10 * time.Second, kind: YieldLongRunning},
		"one long-running task of a step without a stated limit": {
			job: testJob("l", "urgent", testStep(2, 8000, endless)), age: 10 * time.Second, kind: YieldLongRunning,
		},
		"no long-running task whose room another one waits for": {
			job: testJob("l", "urgent", serving), age: 10 * time.Second, change: func(c *yieldCase) {
				c.Add(c.now, testJob("m", "urgent", testStep(1, 6000, endless)), nil, false)
			},
		},
		"a long-running task whose room is too small for another one that waits": {
			job: testJob("l", "urgent", serving), age: 10 * time.Second, kind: YieldLongRunning, change: func(c *yieldCase) {
				c.Add(c.now, testJob("m", "urgent", testStep(1, 12000, endless)), nil, false)
			},
		},
		"no second task of a step without a stated limit": {
			job: testJob("l", "urgent", testStep(3, 8000, endless)), age: 10 * time.Second, change: oneAway,
		},
		"no long-running task to work that occupies its room for longer than it may be away": {
			job: testJob("l", "urgent", serving), age: 10 * time.Second, urgent: []func(*batch.Step){lasts(20 * time.Second)},
		},
		"no long-running task that has just started": {job: testJob("l", "urgent", serving), age: time.Second},
		"no long-running task beside one that is away": {
			job: testJob("l", "urgent", testStep(3, 8000, endless, allow(1))), age: 10 * time.Second, change: oneAway,
		},
		"a second long-running task that may be away": {
			job: testJob("l", "urgent", testStep(3, 8000, endless, allow(2))), age: 10 * time.Second, change: oneAway, kind: YieldLongRunning,
		},
		"a finite task of lower priority with a checkpoint": {
			job: testJob("w", "wide", testStep(2, 8000, checkpoints, lasts(30*time.Second))), age: 20 * time.Second, kind: YieldCheckpoints,
		},
		"a finite task that has just begun": {
			job: testJob("w", "wide", testStep(2, 8000, lasts(30*time.Second))), age: 100 * time.Millisecond, kind: YieldFinite,
		},
		"no finite task that would lose more than is gained": {
			job: testJob("w", "wide", testStep(2, 8000, lasts(30*time.Second))), age: 20 * time.Second,
		},
		"no finite task of the same priority": {
			job: testJob("w", "urgent", testStep(2, 8000, checkpoints, lasts(30*time.Second))), age: 2 * time.Second,
		},
		"no task that ends soon": {
			job: testJob("w", "wide", testStep(2, 8000, checkpoints, lasts(3*time.Second))), age: 2100 * time.Millisecond,
		},
		"no gang": {
			job: testJob("w", "wide", testStep(2, 8000, checkpoints, lasts(30*time.Second), func(s *batch.Step) { s.Gang = true })), age: 2 * time.Second,
		},
		"a best-effort task if memory lacks": {
			job: testJob("w", "wide", testStep(2, 500, bestEffort, checkpoints, lasts(30*time.Second), memory(32000))), age: 2 * time.Second,
			urgent: []func(*batch.Step){memory(1000)}, kind: YieldCheckpoints,
		},
		"no best-effort task if processors lack": {
			job: testJob("w", "wide", testStep(2, 8000, endless), testStep(1, 500, bestEffort, checkpoints, lasts(30*time.Second))), age: 2 * time.Second,
		},
		"nothing on a worker that drains": {
			job: testJob("l", "urgent", serving), age: 10 * time.Second, change: func(c *yieldCase) {
				w := testWorker("0", 16000)
				w.Draining, w.DrainRemaining = true, time.Minute
				c.UpdateWorker(c.now, w)
			},
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := newYieldCase(1, c.job)
			for range c.age / (100 * time.Millisecond) {
				f.pass(100 * time.Millisecond)
			}
			if c.change != nil {
				c.change(f)
			}
			f.addUrgent("u", 40, c.urgent...)
			var kind YieldKind
			if ys := f.waitForYields(800 * time.Millisecond); len(ys) > 0 {
				kind = ys[0].Kind
			}
			NewWithT(t).Expect(kind).To(Equal(c.kind))
		})
	}
}

// The room of a task that yielded is kept for the urgent tasks beside a long-running one that
// waits first in order and needs more, and the task runs again within 6 s. It doesn't yield again soon.
func TestYieldedTaskReturnsAndDoesNotBounce(t *testing.T) {
	g := NewWithT(t)
	f := newYieldCase(1, testJob("l", "urgent", testStep(2, 8000, endless, func(s *batch.Step) { s.MaxUnavailable = 1 })))
	f.Add(f.now, testJob("m", "urgent", testStep(1, 12000, endless)), nil, false)
	for range 100 {
		f.pass(100 * time.Millisecond)
	}
	yieldedAt, back := map[batch.Task][]time.Time{}, map[batch.Task]time.Time{}
	for n := range 600 {
		if n%10 == 0 {
			f.addUrgent(fmt.Sprintf("u%03d", n), 12)
		}
		o := f.pass(100 * time.Millisecond)
		for _, s := range o.Starts {
			if s.Step.LongRunning {
				g.Expect(yieldedAt).To(HaveKey(s.Task), "the room is taken by a task that waited")
				at := yieldedAt[s.Task]
				back[s.Task] = f.now
				g.Expect(f.now.Sub(at[len(at)-1])).To(BeNumerically("<", maxLongRunningWait), "time without a run")
			}
		}
		for id, s := range f.started {
			if t := f.findTask(id); !s.Step.LongRunning && t.worker != nil && f.now.Sub(t.startedAt) >= time.Second {
				f.endRun(s, batch.Done)
			}
		}
		for _, y := range o.Yields {
			if at := yieldedAt[y.Task]; len(at) > 0 {
				g.Expect(f.now.Sub(at[len(at)-1])).To(BeNumerically(">=", minYieldPause<<(len(at)-1)), "time to the next stop")
			}
			yieldedAt[y.Task] = append(yieldedAt[y.Task], f.now)
			f.endRun(f.started[y.Task], batch.Stopped)
		}
	}
	g.Expect(yieldedAt).NotTo(BeEmpty())
	g.Expect(back).To(HaveLen(len(yieldedAt)), "tasks that yielded and ran again")
}

// Urgent work of any length may take the room that is kept for a short need. A task of 20 s there
// keeps the long-running task that yielded away for as long.
func TestRoomOfLongRunningTaskIsNotTakenForLong(t *testing.T) {
	g := NewWithT(t)
	f := newYieldCase(1, testJob("l", "urgent", testStep(2, 8000, endless)))
	for range 100 {
		f.pass(100 * time.Millisecond)
	}
	f.addUrgent("u", 40)
	ys := f.waitForYields(time.Second)
	g.Expect(ys).To(HaveLen(1))
	f.addUrgent("a", 1, func(s *batch.Step) { s.Estimate = 20 * time.Second })
	f.endRun(f.started[ys[0].Task], batch.Stopped)
	yieldedAt := f.now
	for f.findTask(ys[0].Task).worker == nil && f.now.Sub(yieldedAt) < 30*time.Second {
		f.pass(100 * time.Millisecond)
		for id, s := range f.started {
			if t := f.findTask(id); !s.Step.LongRunning && t.worker != nil && f.now.Sub(t.startedAt) >= s.Step.Estimate {
				f.endRun(s, batch.Done)
			}
		}
	}
	g.Expect(f.now.Sub(yieldedAt)).To(BeNumerically("<", maxLongRunningWait), "time without a run")
}

// A stop that the worker doesn't carry out frees nothing: its room is given up, and the
// run continues once the worker is connected anew.
func TestYieldWhoseStopIsLostIsGivenUp(t *testing.T) {
	g := NewWithT(t)
	f := newYieldCase(1, testJob("l", "urgent", testStep(2, 8000, endless, func(s *batch.Step) { s.MaxUnavailable = 1 })))
	for range 100 {
		f.pass(100 * time.Millisecond)
	}
	f.addUrgent("u", 40)
	ys := f.waitForYields(time.Second)
	g.Expect(ys).To(HaveLen(1))
	for range 30 {
		f.pass(50 * time.Millisecond)
	}
	g.Expect(f.Scheduler.yields).To(BeEmpty())
	w := testWorker("0", 16000)
	var rs []batch.Run
	for id, s := range f.started {
		rs = append(rs, batch.Run{Task: id, Number: s.Number, ProgressPercent: 100})
	}
	g.Expect(f.SyncWorker(f.now, "host-0", w, rs, nil)).To(HaveLen(2), "runs that continue")
	for _, s := range f.pass(0).Stops {
		g.Expect(s.Task).NotTo(Equal(ys[0].Task))
	}
}

// A scheduler that is replaced between the stops and the starts forgets the room that was
// kept. The tasks that yielded have to run again within 6 s all the same, no other task of
// their steps may be stopped meanwhile, and no urgent job may be lost.
func TestTakeoverWhileTasksYield(t *testing.T) {
	g := NewWithT(t)
	for seed := range uint64(3) {
		f := newYieldSim(seed+1, scarceFleet, policyVariant{})
		f.simulate(10*time.Second, 1, 1)
		takeovers := 0
		for range 12 {
			f.simulate(time.Second, 4, 1)
			if len(f.Scheduler.yields) > 0 && takeovers < 3 {
				takeovers++
				f.takeOver()
			}
		}
		f.simulate(20*time.Second, 0, 0)
		g.Expect(takeovers).To(BeNumerically(">", 0))
		g.Expect(f.longestAway).To(BeNumerically("<", maxLongRunningWait))
		g.Expect(f.mostAway).To(BeNumerically("<=", scarceFleet.maxUnavailable))
		for id := range f.submitted {
			if id[0] == 'u' {
				g.Expect(f.took).To(HaveKey(id))
			}
		}
	}
}

// Two tasks of a step yield on two workers, and the one that returns first takes the room
// that is held for the other. The hold must not outlast that, as the other then waits for room that
// no end of a finite task frees (25.9 s in a replay with two tasks of a step away).
func TestHoldEndsWhenASiblingTakesTheRoom(t *testing.T) {
	g := NewWithT(t)
	f := newYieldCase(2, testJob("l", "urgent", testStep(2, 12000, endless)))
	g.Expect(f.started).To(HaveLen(2))
	waiting, sibling := f.findTask(batch.Task{Job: "l", Index: 0}), f.findTask(batch.Task{Job: "l", Index: 1})
	f.endRun(f.started[waiting.id], batch.Stopped)
	h := &hold{task: waiting, worker: sibling.worker, readyAt: f.now}
	waiting.hold, sibling.worker.hold, f.holds = h, h, []*hold{h}
	f.updateHolds(f.now, nil, &Orders{})
	g.Expect(f.holds).To(BeEmpty())
	g.Expect(waiting.hold).To(BeNil())
}
