package schedule

import (
	"cmp"
	"slices"
	"sort"
	"time"

	"github.com/sesamestream/sesamestream/pkg/batch"
)

// The tiers of pending work, in the order of placement.
const (
	// tierInTime is work that can finish within its objective.
	tierInTime = iota
	// tierLate is work that can finish only later. It gets the capacity that the other work leaves.
	tierLate
)

// pendingStep is a step with unassigned tasks and its rank in the placement order.
type pendingStep struct {
	step     *step
	priority int
	tier     int
	slack    time.Duration
	// objective is the time within which the occurrence should be done.
	objective time.Duration
	// agedWork ranks equally urgent jobs, the lowest first.
	agedWork float64
}

// Schedule returns the runs to start and stop now.
func (s *Scheduler) Schedule(now time.Time) Orders {
	var o Orders
	bestEffortTurn := now.Sub(s.bestEffortPassAt) >= bestEffortInterval
	if bestEffortTurn {
		s.bestEffortPassAt = now
	}
	pending := s.pendingSteps(now)
	finite := slices.IndexFunc(pending, func(c pendingStep) bool { return !c.step.LongRunning })
	if finite < 0 {
		finite = len(pending)
	}
	s.updateHolds(now, pending[:finite], &o)
	s.placeSteps(now, pending[:finite], bestEffortTurn, &o)
	s.placeInNeed(now, pending[:finite], &o)
	s.placeSteps(now, pending[finite:], bestEffortTurn, &o)
	s.yieldRoom(now, pending[:finite], pending[finite:], &o)
	if bestEffortTurn {
		s.moveThrottled(now, &o)
		s.relocateStragglers(now, &o)
	}
	s.moveFromDraining(now, &o)
	s.dropMoves(now)
	s.evacuate(now, pending[finite:], &o)
	s.rearrange(now, &o)
	s.requestAdvice(now, pending, &o)
	s.reportWaits(now, pending, &o)
	o.Stops = append(o.Stops, s.pendingStops...)
	o.HealthChanges = s.healthChanges
	s.pendingStops, s.healthChanges = nil, nil
	return o
}

// placeSteps places steps in their order. It passes over best-effort steps for which
// workers were searched already, unless it is their turn.
func (s *Scheduler) placeSteps(now time.Time, steps []pendingStep, bestEffortTurn bool, o *Orders) {
	for _, c := range steps {
		if !c.step.BestEffort || bestEffortTurn || !c.step.searched {
			c.step.searched = true
			s.placeStep(now, c, o)
		}
	}
}

// pendingSteps returns the steps with unassigned tasks in the order of their placement.
func (s *Scheduler) pendingSteps(now time.Time) []pendingStep {
	var cs []pendingStep
	for id, j := range s.openJobs {
		if j.state.Final() {
			delete(s.openJobs, id)
			continue
		}
		if j.unfinished == 0 || j.awaitsHosts {
			continue
		}
		q := s.queueConfig(j)
		objective := j.objective(q)
		j.openDue(now)
		for _, o := range j.occurrences {
			if o.unfinished == 0 {
				continue
			}
			objectiveStart, due := j.objectiveStart(now, o)
			if !due {
				continue
			}
			for i := range o.steps {
				if !o.ready(i) {
					continue
				}
				st := o.step(i)
				if st.unassigned == 0 || st.unfinished == 0 {
					continue
				}
				c := pendingStep{step: st, priority: q.Priority, objective: objective, agedWork: j.agedWork(now.Sub(objectiveStart), objective)}
				c.slack = objectiveStart.Add(objective).Sub(now) - st.pathToEnd
				c.tier = tierInTime
				if c.slack < 0 {
					c.tier = tierLate
				}
				switch {
				case s.variant.arrivalOrder:
					c.tier, c.agedWork = 0, -now.Sub(objectiveStart).Seconds()
				case s.variant.deadlineOrder:
					c.tier, c.agedWork = 0, c.slack.Seconds()
				case s.variant.workOrder:
					c.tier = tierInTime
				case s.variant.valueOrder:
					c.agedWork = j.remainingWork
					if c.slack > -2*objective {
						c.tier = tierInTime
					}
				}
				cs = append(cs, c)
			}
		}
	}
	sort.Slice(cs, func(a, b int) bool {
		x, y := &cs[a], &cs[b]
		switch {
		case x.step.LongRunning != y.step.LongRunning:
			return x.step.LongRunning
		case x.priority != y.priority:
			return x.priority < y.priority
		case x.tier != y.tier:
			return x.tier < y.tier
		case x.agedWork != y.agedWork:
			return x.agedWork < y.agedWork
		case x.step.job.ID != y.step.job.ID:
			return x.step.job.ID < y.step.job.ID
		case !x.step.occurrence.startAt.Equal(y.step.occurrence.startAt):
			return x.step.occurrence.startAt.Before(y.step.occurrence.startAt)
		}
		return x.step.index < y.step.index
	})
	return cs
}

// objective returns the time in which an occurrence of j should complete.
func (j *job) objective(q batch.Queue) time.Duration {
	return time.Duration(q.Stretch*float64(j.criticalPath)) + q.Objective
}

// objectiveStart returns from when the objective of an occurrence counts, and whether it is due.
func (j *job) objectiveStart(now time.Time, o *occurrence) (time.Time, bool) {
	switch {
	case !o.startAt.IsZero():
		return o.startAt, !now.Before(o.startAt.Add(timedStartMargin))
	case j.Accepted.IsZero():
		return j.addedAt, true
	}
	return j.Accepted, true
}

// agedWork returns the rank of j among equally urgent jobs: its remaining work in
// core-seconds, which counts the less the longer the job has waited, by its objective.
// Most jobs are then done early, and none starves.
func (j *job) agedWork(waited, objective time.Duration) float64 {
	return j.remainingWork / (1 + max(waited, 0).Seconds()/max(objective, time.Millisecond).Seconds())
}

// timedStartMargin delays timed starts, so that a clock that runs ahead doesn't start them early.
const timedStartMargin = 100 * time.Millisecond

// placeStep starts the unassigned tasks of a step for which it finds workers.
func (s *Scheduler) placeStep(now time.Time, c pendingStep, o *Orders) {
	if c.step.LongRunning {
		c.step.recordWaits(now)
	}
	if c.step.Gang {
		s.placeGang(now, c, o)
		return
	}
	var x *search
	var r candidateHeap
	for t := range c.step.waiting() {
		if t.pauses(now) {
			continue
		}
		if c.step.LongRunning && s.placeMoved(now, c, t, o) {
			x = nil
			continue
		}
		if t.avoidance.active(now) || !c.step.LongRunning && now.Sub(t.failedAt) < lastAttemptPatience {
			// The task has machines of its own to avoid, so it needs a separate search. Its
			// start invalidates the candidates of the other tasks.
			if w := s.findWorker(now, c.step, t, o); w != nil {
				s.orderStart(now, c, t, w, t.run+1, o)
				x = nil
			}
			continue
		}
		// Once a task of the step has a worker, the search for the others limits interference again.
		if x == nil || !x.limitInterference {
			x = s.newSearch(now, c.step, "", o)
			r = x.rank()
		}
		if len(r) == 0 {
			// The tasks of a step need the same resources, so no other task has a worker either.
			return
		}
		s.orderStart(now, c, t, r[0].worker, t.run+1, o)
		x.updateFirst(&r)
	}
}

// orderStart assigns a run of t to w and adds the order to start it to o.
func (s *Scheduler) orderStart(now time.Time, c pendingStep, t *task, w *worker, run int, o *Orders) {
	free, spare := w.freeResources(), s.spareMilliCPU(now, w)
	checkpoint := t.checkpoint
	if c.step.Gang {
		checkpoint = c.step.checkpoint
	}
	firstOfJob := !c.step.job.started
	t.assign(w, run, now)
	c.step.lastRun = max(c.step.lastRun, run)
	o.Starts = append(o.Starts, Start{
		Key: w.Key(), Host: w.host, Task: t.id, Number: run, Checkpoint: checkpoint, Ticket: c.step.advice.validTicket(now, w),
		Step: c.step.Step, Spec: c.step.job.Spec, FirstOfJob: firstOfJob, QueueDelay: now.Sub(c.step.job.addedAt),
		Reason: Reason{Tier: c.tier, Slack: c.slack, Free: free, SpareMilliCPU: spare},
	})
}

// placeGang starts all tasks of a gang at once or none.
func (s *Scheduler) placeGang(now time.Time, c pendingStep, o *Orders) {
	run := c.step.lastRun
	for t := range c.step.records() {
		if t.done || t.worker != nil || now.Before(t.retryAt) || t.lateStart.expected(now) {
			return
		}
		run = max(run, t.run)
	}
	run++
	for _, rack := range s.candidateRacks(c.step) {
		var placed []*task
		for t := range c.step.records() {
			w := s.findWorkerInRack(now, c.step, t, rack, o)
			if w == nil {
				break
			}
			// The resources are reserved during the search and released if a task has no worker.
			t.assign(w, run, now)
			placed = append(placed, t)
		}
		if len(placed) == len(c.step.tasks) {
			for _, t := range placed {
				w := t.worker
				t.release()
				s.orderStart(now, c, t, w, run, o)
			}
			return
		}
		started := c.step.job.started
		for _, t := range placed {
			t.release()
			t.run = run - 1
		}
		c.step.job.started = started
	}
}

// candidateRacks returns the racks to try for a gang in order. The empty one, which stands for any rack, is last.
func (s *Scheduler) candidateRacks(st *step) []string {
	if !st.SameRack {
		return []string{""}
	}
	seen := map[string]bool{}
	var rs []string
	for _, w := range s.workerList {
		if r := w.Rack(); r != "" && !seen[r] {
			seen[r] = true
			rs = append(rs, r)
		}
	}
	sort.Strings(rs)
	return append(rs, "")
}

// findWorker returns the best worker for t, or nil if there is none.
func (s *Scheduler) findWorker(now time.Time, st *step, t *task, o *Orders) *worker {
	return s.findWorkerInRack(now, st, t, "", o)
}

// findWorkerInRack returns the best worker for t in a rack, or in any if rack is
// empty. It returns nil if there is none.
func (s *Scheduler) findWorkerInRack(now time.Time, st *step, t *task, rack string, o *Orders) *worker {
	return s.newSearch(now, st, rack, o).bestFor(t)
}

// placeInNeed starts long-running tasks that have waited for healthyWorkerWait on
// workers whose health is in doubt: these may have recovered, and the tasks have no run
// to lose. The tasks that failed least often since they were last at work come first, so
// that those which always fail don't take all trials.
func (s *Scheduler) placeInNeed(now time.Time, pending []pendingStep, o *Orders) {
	type need struct {
		pendingStep
		task *task
	}
	var needs []need
	for _, c := range pending {
		for t := range c.step.records() {
			if t.worker == nil && !c.step.Gang && !t.pauses(now) && t.lastResortDue(now) {
				needs = append(needs, need{c, t})
			}
		}
	}
	if len(needs) == 0 || !slices.ContainsFunc(s.workerList, func(w *worker) bool { return w.onProbation(now, needs[0].step) }) {
		return
	}
	slices.SortStableFunc(needs, func(a, b need) int { return cmp.Compare(a.task.avoidance.inRow, b.task.avoidance.inRow) })
	hopeless := map[*step]bool{}
	for _, n := range needs {
		if hopeless[n.step] {
			continue
		}
		x := s.newSearch(now, n.step, "", o)
		x.lastResort = true
		if w := x.bestFor(n.task); w != nil {
			s.orderStart(now, n.pendingStep, n.task, w, n.task.run+1, o)
		} else {
			hopeless[n.step] = !n.task.avoidance.active(now)
		}
	}
}

// pauses reports whether t may not be started yet.
func (t *task) pauses(now time.Time) bool {
	return now.Before(t.retryAt) || t.lateStart.expected(now) || t.yield != nil
}

// backoff returns how much longer t pauses for other reasons than room that yields to it.
func (t *task) backoff(now time.Time) time.Duration {
	return max(0, t.retryAt.Sub(now), t.lateStart.until.Sub(now))
}

// lastResortDue reports whether a long-running task has waited for healthyWorkerWait.
func (t *task) lastResortDue(now time.Time) bool {
	return !t.waitingSince.IsZero() && now.Sub(t.waitingSince) >= healthyWorkerWait
}

// bestFor returns the best worker for t, or nil if there is none.
func (x *search) bestFor(t *task) *worker {
	var best candidate
	x.forEachCandidate(func(w *worker, v float64) {
		if w == t.worker || x.avoids(t, w) != eligible {
			// A task that is to be moved needs another worker.
			return
		}
		if c := (candidate{w, v}); best.worker == nil || c.better(best) {
			best = c
		}
	})
	return best.worker
}

// healthyWorkerWait is how long a long-running task waits for a worker whose health
// is in no doubt. The silence of the lost worker and the trial of another one take the
// rest of the time within which the task has to run again.
const healthyWorkerWait = 1500 * time.Millisecond

// bestEffortWaitLimit is how long a best-effort step without an assigned task
// waits for a worker on which it interferes little. Then one of its tasks starts
// where it interferes least, and the host throttles it. The limit is half the time
// within which a job has to have a running task.
const bestEffortWaitLimit = 1500 * time.Millisecond

// waitLimitReached reports whether the step has been without an assigned task for bestEffortWaitLimit.
func (s *step) waitLimitReached(now time.Time) bool {
	if s.unassigned < s.unfinished {
		s.idleSince = time.Time{}
		return false
	}
	if s.idleSince.IsZero() {
		s.idleSince = now
	}
	return now.Sub(s.idleSince) >= bestEffortWaitLimit
}

// minBestEffortCPU returns the least spare processor time, in thousandths of a
// core, at which a best-effort task is worth starting.
func minBestEffortCPU(st *step) int { return st.Need.MilliCPU / 2 }

// score rates w for a task of st; higher is better. interference is the occupancy
// that the task adds to the latency-critical tasks of w.
func (s *Scheduler) score(now time.Time, st *step, w *worker, interference float64) float64 {
	v := 0.0
	switch {
	case st.BestEffort:
		v = min(float64(s.spareMilliCPU(now, w))/float64(max(st.Need.MilliCPU, 1)), maxUsefulSpareRatio) - interferenceCost*interference - bestEffortCompatibilityCost*s.compatibility(now, w)
	case st.LongRunning:
		// Tasks of the same image share as few workers as possible. Best-effort tasks
		// then find workers where they interfere with few latency-critical tasks or none.
		v = -float64(w.freeResources().MilliCPU) / 1000
		for _, t := range w.tasks {
			if t.step.LongRunning && t.step.Image == st.Image {
				v += sameImageGain
				break
			}
		}
	default:
		v = float64(w.freeResources().MilliCPU)/1000 + float64(min(s.spareMilliCPU(now, w), 0))/1000
		if !s.variant.ignoreCompatibility {
			// Reserved tasks go where latency-critical tasks already exclude best-effort
			// work, as they take the least capacity from it there.
			v -= reservedCompatibilityCost * s.compatibility(now, w)
		}
	}
	if st.DataRack != "" && w.Rack() != st.DataRack {
		v -= remoteDataCost
	}
	if !st.LongRunning && now.Before(w.warmAt) {
		v -= coldWorkerCost
	}
	return v
}

// The weights of the terms of a worker's score.
const (
	// maxUsefulSpareRatio bounds the gain from spare processor time, as a multiple of the task's request.
	maxUsefulSpareRatio = 2
	// interferenceCost weighs the occupancy added to latency-critical tasks against the speed of the task.
	interferenceCost = 4
	// bestEffortCompatibilityCost is below the cost of an interference that matters.
	bestEffortCompatibilityCost = 0.5
	// sameImageGain exceeds the capacity of any worker in cores, so that tasks of one image share a worker first.
	sameImageGain = 1000
	// reservedCompatibilityCost also exceeds the capacity of any worker in cores, so
	// that workers compatible with best-effort tasks are used last.
	reservedCompatibilityCost = 100
	// remoteDataCost outweighs free capacity and compatibility: a task in another rack
	// than its data takes half as long again.
	remoteDataCost = 1000
	// coldWorkerCost outweighs all other terms, so that a worker that has just started
	// fills up with what finds no room elsewhere.
	coldWorkerCost = 2000
)

// bestEffortInterval is how often workers are searched again for best-effort tasks
// that found none. Changes since the last search take a second to show in the tail latencies.
const bestEffortInterval = 50 * time.Millisecond
