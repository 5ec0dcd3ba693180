package schedule

import (
	"slices"
	"time"

	"github.com/sesamestream/sesamestream/pkg/batch"
)

// SyncWorker records the full state of a worker under a new fence, after which the
// worker carries out no earlier order. It returns the tasks whose runs continue.
func (s *Scheduler) SyncWorker(now time.Time, host string, b batch.Worker, runs []batch.Run, ends []batch.End) []batch.Task {
	w := s.workers[b.Key()]
	if w == nil {
		w = &worker{tasks: map[batch.Task]*task{}}
		s.workers[b.Key()] = w
		s.workerList = append(s.workerList, w)
	}
	w.Worker, w.host, w.unresponsive, w.silent, w.unavailableUntil = b, host, false, false, time.Time{}
	s.describeWorker(now, w)
	for _, e := range ends {
		s.handleEnd(now, w, e)
	}
	s.SettleLateStarts(now, b.ID)
	for id := range w.unassignedRuns {
		w.removeUnassigned(id)
	}
	listed := map[batch.Task]bool{}
	var kept []batch.Task
	var unassigned []*task
	for _, r := range runs {
		t := s.findTask(r.Task)
		switch {
		case t != nil && t.worker == w && t.run == r.Number:
			t.confirmed = true
		case t != nil && t.worker == nil && !t.done && !t.step.job.state.Final():
			t.assign(w, r.Number, now)
			t.confirmed = true
			t.step.lastRun = max(t.step.lastRun, r.Number)
		case t != nil && t.worker != nil && t.worker.isEarlierIncarnation(w) && t.run == r.Number && !t.stopping && !t.done && !t.step.job.state.Final():
			// The start was ordered from an earlier incarnation of the worker and carried out by this one.
			t.release()
			t.assign(w, r.Number, now)
			t.confirmed = true
		default:
			s.pendingStops = append(s.pendingStops, Stop{Key: w.Key(), Host: host, Task: r.Task, Number: r.Number, Reason: "not assigned"})
			if t != nil {
				unassigned = append(unassigned, t)
			}
			continue
		}
		listed[r.Task] = true
		kept = append(kept, r.Task)
		t.recordProgress(now, r)
	}
	for _, t := range w.tasksInOrder() {
		switch {
		case !listed[t.id]:
			// The run has neither started nor ended, so the worker never carried out the start.
			t.release()
		case t.stopping && s.moveGivenUp(t):
			t.stopping, t.moving = false, false
		case t.stopping && t.yieldGivenUp():
			t.stopping, t.yielding = false, false
		case t.stopping:
			s.orderStop(t, "again")
		}
	}
	for _, t := range unassigned {
		w.addUnassigned(t)
	}
	return kept
}

// findTask returns the task with an ID, or nil if it is unknown.
func (s *Scheduler) findTask(id batch.Task) *task {
	j := s.jobs[id.Job]
	if j == nil {
		return nil
	}
	return j.findTask(id)
}

// recordProgress records the progress of a run as listed by its worker.
func (t *task) recordProgress(now time.Time, r batch.Run) {
	switch {
	case t.firstReportAt.IsZero():
		t.firstReportAt, t.progressedAt, t.firstPercent = now, now, r.ProgressPercent
	case r.ProgressPercent > t.percent:
		t.progressedAt = now
	}
	t.percent, t.lastReportAt = r.ProgressPercent, now
	if t.percent >= atWorkPercent {
		t.avoidance.inRow, t.waitingSince = 0, time.Time{}
	}
	if r.Checkpoint != "" {
		t.checkpoint = r.Checkpoint
		if t.step.Gang {
			t.step.checkpoint = r.Checkpoint
		}
	}
}

// UpdateWorker records the description that a worker reports of itself.
func (s *Scheduler) UpdateWorker(now time.Time, b batch.Worker) {
	w := s.workers[b.Key()]
	if w == nil {
		return
	}
	w.Worker = b
	s.describeWorker(now, w)
}

// describeWorker derives the state of w that depends on its description.
func (s *Scheduler) describeWorker(now time.Time, w *worker) {
	w.setDrainDeadline(now)
	w.evacuated = s.evacuations[w.DataCentre]
	w.warmAt = now.Add(w.ColdRemaining)
}

// MarkUnresponsive records that a host is unresponsive. Its runs stay assigned.
func (s *Scheduler) MarkUnresponsive(host string) {
	for _, w := range s.workerList {
		if w.host == host {
			w.unresponsive = true
		}
	}
}

// SetSilent records whether a worker has stopped to answer its host. Its runs stay assigned.
func (s *Scheduler) SetSilent(k batch.WorkerKey, silent bool) {
	if w := s.workers[k]; w != nil {
		w.silent, w.unavailableUntil = silent, time.Time{}
	}
}

// RemoveWorker removes an incarnation of a worker on which nothing runs any more.
// It returns how many tasks were assigned to it.
func (s *Scheduler) RemoveWorker(k batch.WorkerKey) int {
	w := s.workers[k]
	if w == nil {
		return 0
	}
	delete(s.workers, k)
	s.workerList = slices.DeleteFunc(s.workerList, func(x *worker) bool { return x == w })
	n := len(w.tasks)
	for _, t := range w.tasks {
		t.release()
	}
	for id := range w.unassignedRuns {
		w.removeUnassigned(id)
	}
	return n
}

// HandleEnds records the ended runs that a worker lists.
func (s *Scheduler) HandleEnds(now time.Time, k batch.WorkerKey, ends []batch.End) {
	w := s.workers[k]
	if w == nil {
		return
	}
	for _, e := range ends {
		s.handleEnd(now, w, e)
	}
}

// handleEnd records one ended run.
func (s *Scheduler) handleEnd(now time.Time, w *worker, e batch.End) {
	w.removeUnassigned(e.Task)
	t := s.findTask(e.Task)
	if t == nil {
		return
	}
	j := t.step.job
	current := t.worker == w && t.run == e.Number
	if t.done && t.worker == nil {
		return
	}
	if e.How == batch.Failed {
		// Every failed run counts, including those that an earlier scheduler started.
		s.recordTaskFailure(now, w, t, e.Number)
	}
	// The run may have been started by an earlier scheduler, so it counts if the task
	// has no worker now. A done task stays done, whatever was started since.
	if !current && (t.done || e.How != batch.Done && (t.worker != nil || e.Number < t.run)) {
		return
	}
	if current || t.worker == nil {
		t.run = max(t.run, e.Number)
	}
	t.step.lastRun = max(t.step.lastRun, e.Number)
	if e.Checkpoint != "" {
		t.checkpoint = e.Checkpoint
		if t.step.Gang {
			t.step.checkpoint = e.Checkpoint
		}
	}
	startedAt := t.startedAt
	if current {
		if t.stopping {
			t.avoidance.continueAfterStop(now, w.Machine, startedAt)
		}
		t.release()
	}
	s.dirtyJobs[j.ID] = true
	if e.How == batch.Done {
		if current {
			s.recordDoneRun(now, w, t, startedAt)
		}
		s.markTaskDone(now, t)
	}
}

// recordDoneRun updates the health of the worker after a done run that started at
// startedAt, and adds the duration to those of the step.
func (s *Scheduler) recordDoneRun(now time.Time, w *worker, t *task, startedAt time.Time) {
	d := now.Sub(startedAt)
	slow := !t.step.BestEffort && t.step.peerDurations.IsSlow(d)
	if slow {
		s.recordSlowRun(now, w, t.id.Job)
	} else if w.health.recordSuccess(startedAt) {
		s.addHealthChange(w, "a run was done", t.id.Job)
	}
	if !t.step.BestEffort && !slow {
		w.recordInTime(startedAt)
	}
	t.step.peerDurations.Add(d)
}

// markTaskDone marks t as done, stops any other run of it and ends the job after its last task.
// Long-running tasks are never done.
func (s *Scheduler) markTaskDone(now time.Time, t *task) {
	j := t.step.job
	if t.step.LongRunning {
		return
	}
	t.markDone()
	if t.worker != nil && !t.stopping {
		s.orderStop(t, "done elsewhere")
	}
	if t.step.Gang {
		// All tasks of a gang end together.
		for o := range t.step.records() {
			o.markDone()
		}
	}
	if j.unfinished == 0 && !j.state.Final() {
		j.finish(now, batch.Completed)
	}
}

// recordTaskFailure counts a failed run of t and ends the job after the last attempt.
func (s *Scheduler) recordTaskFailure(now time.Time, w *worker, t *task, run int) {
	j := t.step.job
	attemptsBefore := t.failedAttempts()
	t.failedRuns = addRun(t.failedRuns, run)
	if t.step.Gang {
		t.step.failedRuns = addRun(t.step.failedRuns, run)
	}
	if t.failedAttempts() == attemptsBefore {
		return
	}
	t.failedAt, w.health.lastFailedAt = now, now
	t.avoidance.start(now, w.Machine)
	if t.step.LongRunning {
		t.retryAt = now.Add(t.avoidance.retryDelay())
	}
	jobHasDoneTask := j.hasDoneTask()
	if jobHasDoneTask || j.firstFailedMachine == "" || j.firstFailedMachine == w.Machine {
		// A job without any done task that also failed on another machine causes its failures itself.
		s.recordWorkerFailure(now, w, j.ID, jobHasDoneTask)
	}
	if j.firstFailedMachine == "" {
		j.firstFailedMachine = w.Machine
	}
	s.dirtyJobs[j.ID] = true
	if t.step.LongRunning || j.state.Final() {
		return
	}
	if t.failedAttempts() >= s.queueConfig(j).MaxAttempts {
		j.finish(now, batch.JobFailed)
		s.stopJob(j, "job failed")
	}
}

// HandleStartResult records whether a worker accepted a start. A refused run does
// not run there and never will. staleRun is set if a run with this number or a
// higher one has ended there; the numbers that an earlier scheduler may have used
// are then skipped.
func (s *Scheduler) HandleStartResult(now time.Time, k batch.WorkerKey, id batch.Task, run int, refused, unhealthy, staleRun bool) {
	t := s.findTask(id)
	if t == nil || t.worker == nil || t.worker.Key() != k || t.run != run {
		return
	}
	if !refused {
		t.confirmed = true
		t.startedAt = now
		return
	}
	if staleRun {
		t.run += maxUnrecordedStarts
		t.step.lastRun = max(t.step.lastRun, t.run)
	}
	if unhealthy {
		s.recordWorkerFailure(now, t.worker, id.Job, false)
		t.avoidance.start(now, t.worker.Machine)
	}
	t.release()
	t.retryAt = now.Add(refusedRetryDelay)
}

// HandleUnavailable records that a host refused a start as it may give its worker no orders.
// That says nothing about the task: the first time it may be started elsewhere at once.
func (s *Scheduler) HandleUnavailable(now time.Time, k batch.WorkerKey, id batch.Task, run int) {
	t := s.findTask(id)
	if t == nil || t.worker == nil || t.worker.Key() != k || t.run != run {
		return
	}
	t.worker.unavailableUntil = now.Add(refusedRetryDelay)
	t.release()
	if now.Sub(t.retryAt) < refusedRetryDelay {
		t.retryAt = now.Add(refusedRetryDelay)
		return
	}
	t.retryAt = now
}

// HandleMissingRun releases the resources of a run that was to be stopped and that the
// worker lists neither as running nor as ended.
func (s *Scheduler) HandleMissingRun(k batch.WorkerKey, id batch.Task) {
	if w := s.workers[k]; w != nil {
		w.removeUnassigned(id)
	}
}

// refusedRetryDelay is how long a task waits after a worker refused it, and a worker gets no
// tasks after its host refused one; polling the worker takes as long.
const refusedRetryDelay = 250 * time.Millisecond

// HandleProgress records the progress and load of the runs on a worker. throttled
// is set if the host throttles best-effort tasks.
func (s *Scheduler) HandleProgress(now time.Time, k batch.WorkerKey, runs []batch.Run, throttled bool) {
	w := s.workers[k]
	if w == nil {
		return
	}
	usedMilliCPU, bestShare := 0, 0.0
	for _, r := range runs {
		t := w.tasks[r.Task]
		if t == nil || t.run != r.Number {
			continue
		}
		t.recordProgress(now, r)
		if t.step.LatencyTarget > 0 && r.Load > 0 {
			t.tailLatency = tailSample{time.Duration(r.Load) * time.Millisecond, now}
		}
		if t.step.BestEffort {
			t.recordPace(now, r.Pace)
			t.usedMilliCPU = r.Load
		}
		if t.step.BestEffort && now.Sub(t.startedAt) > loadSettleTime && t.step.Need.MilliCPU > 0 {
			usedMilliCPU += r.Load
			bestShare = max(bestShare, float64(r.Load)/float64(t.step.Need.MilliCPU))
		}
	}
	s.observeInterference(now, w, runs)
	// If no best-effort task gets close to its request, their total usage is all the spare processor time.
	if usedMilliCPU > 0 && bestShare < starvedLoadShare && !throttled {
		w.measuredSpare = spareSample{milliCPU: usedMilliCPU, measuredAt: now}
	}
}

// starvedLoadShare is the share of its request below which a best-effort task
// lacks processor time; some use only two thirds of their request by themselves.
const starvedLoadShare = 0.6

// loadSettleTime is how long a run has to exist until its load covers half a second of work.
const loadSettleTime = time.Second

// Host returns the host of a worker.
func (s *Scheduler) Host(k batch.WorkerKey) (string, bool) {
	w := s.workers[k]
	if w == nil {
		return "", false
	}
	return w.host, true
}
