package schedule

import (
	"slices"
	"time"

	"github.com/sesamestream/sesamestream/pkg/batch"
)

// SyncWorker takes in all that a worker knows under a new fence: no order of before
// can be carried out there any more. It returns the runs that go on.
func (s *Scheduler) SyncWorker(now time.Time, host string, b batch.Worker, running []batch.Run, ended []batch.End) []batch.Task {
	w := s.workers[b.Key()]
	if w == nil {
		w = &worker{tasks: map[batch.Task]*task{}}
		s.workers[b.Key()] = w
		s.workerList = append(s.workerList, w)
	}
	w.Worker, w.host, w.unresponsive = b, host, false
	w.setDrainDeadline(now)
	for _, e := range ended {
		s.handleEnd(now, w, e)
	}
	for id := range w.unassignedRuns {
		w.removeUnassigned(id)
	}
	there := map[batch.Task]bool{}
	var kept []batch.Task
	var strays []*task
	for _, r := range running {
		t := s.findTask(r.Task)
		switch {
		case t != nil && t.worker == w && t.run == r.Number:
			t.confirmed = true
		case t != nil && t.worker == nil && !t.done && !t.step.job.state.Final():
			t.assign(w, r.Number, now)
			t.confirmed = true
			t.step.lastRun = max(t.step.lastRun, r.Number)
		case t != nil && t.worker != nil && t.worker.isEarlierIncarnation(w) && t.run == r.Number && !t.stopping && !t.done && !t.step.job.state.Final():
			// A start that was meant for the life before was carried out by this one.
			t.release()
			t.assign(w, r.Number, now)
			t.confirmed = true
		default:
			s.pendingStops = append(s.pendingStops, Stop{Key: w.Key(), Host: host, Task: r.Task, Number: r.Number, Reason: "not assigned"})
			if t != nil {
				strays = append(strays, t)
			}
			continue
		}
		there[r.Task] = true
		kept = append(kept, r.Task)
		t.recordProgress(now, r)
	}
	for id, t := range w.tasks {
		if !there[id] {
			// Neither running nor ended: the start was never carried out.
			t.release()
		} else if t.stopping {
			s.orderStop(t, "again")
		}
	}
	for _, t := range strays {
		w.addUnassigned(t)
	}
	return kept
}

func (s *Scheduler) findTask(id batch.Task) *task {
	j := s.jobs[id.Job]
	if j == nil {
		return nil
	}
	return j.findTask(id)
}

// recordProgress takes in a row of a worker's list.
func (t *task) recordProgress(now time.Time, r batch.Run) {
	switch {
	case t.firstReportAt.IsZero():
		t.firstReportAt, t.progressedAt, t.firstPercent = now, now, r.Percent
	case r.Percent > t.percent:
		t.progressedAt = now
	}
	t.percent, t.lastReportAt = r.Percent, now
	if r.Saved != "" {
		t.checkpoint = r.Saved
		if t.step.Gang {
			t.step.checkpoint = r.Saved
		}
	}
}

// UpdateWorker takes in what a worker says of itself.
func (s *Scheduler) UpdateWorker(now time.Time, b batch.Worker) {
	w := s.workers[b.Key()]
	if w == nil {
		return
	}
	w.Worker = b
	w.setDrainDeadline(now)
}

// MarkUnresponsive says that a host isn't heard; its runs stay where they are.
func (s *Scheduler) MarkUnresponsive(host string) {
	for _, w := range s.workerList {
		if w.host == host {
			w.unresponsive = true
		}
	}
}

// RemoveWorker says that nothing runs on a life of a worker any more.
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
	return n
}

// HandleEnds takes in the ends that a worker lists.
func (s *Scheduler) HandleEnds(now time.Time, k batch.WorkerKey, ends []batch.End) {
	w := s.workers[k]
	if w == nil {
		return
	}
	for _, e := range ends {
		s.handleEnd(now, w, e)
	}
}

func (s *Scheduler) handleEnd(now time.Time, w *worker, e batch.End) {
	w.removeUnassigned(e.Task)
	t := s.findTask(e.Task)
	if t == nil {
		return
	}
	j := t.step.job
	mine := t.worker == w && t.run == e.Number
	if e.How == batch.Failed {
		// Each failed run counts, whoever started it.
		s.recordTaskFailure(now, w, t, e.Number)
	}
	// An earlier scheduler may have started it: what nobody runs now may have
	// ended there. Work that is done stays done, whatever else was started since.
	if !mine && (t.done || e.How != batch.Done && (t.worker != nil || e.Number < t.run)) {
		return
	}
	if mine || t.worker == nil {
		t.run = max(t.run, e.Number)
	}
	t.step.lastRun = max(t.step.lastRun, e.Number)
	if e.Saved != "" {
		t.checkpoint = e.Saved
		if t.step.Gang {
			t.step.checkpoint = e.Saved
		}
	}
	began := t.startedAt
	if mine {
		t.release()
	}
	s.dirtyJobs[j.ID] = true
	if e.How == batch.Done {
		if mine {
			s.recordDoneRun(now, w, t, began)
		}
		s.markTaskDone(now, t)
	}
}

// recordDoneRun takes in what a done run that began then tells of its worker.
func (s *Scheduler) recordDoneRun(now time.Time, w *worker, t *task, began time.Time) {
	d := now.Sub(began)
	if !t.step.Fills && t.step.peerDurations.Slow(d) {
		s.recordSlowRun(now, w, t.id.Job)
	} else if w.health.recordSuccess(began) {
		s.addHealthChange(w, "a run was done", t.id.Job)
	}
	t.step.peerDurations.Add(d)
}

func (s *Scheduler) markTaskDone(now time.Time, t *task) {
	j := t.step.job
	if t.step.Lasting {
		return
	}
	t.markDone()
	if t.worker != nil && !t.stopping {
		s.orderStop(t, "done elsewhere")
	}
	if t.step.Gang {
		// One end stands for all members.
		for _, o := range t.step.tasks {
			o.markDone()
		}
	}
	if j.unfinished == 0 && !j.state.Final() {
		j.finish(now, batch.Completed)
	}
}

// recordTaskFailure counts a recordTaskFailure run of t, and ends the job where it was the last attempt.
func (s *Scheduler) recordTaskFailure(now time.Time, w *worker, t *task, run int) {
	j := t.step.job
	before := t.failedAttempts()
	t.failedRuns = addRun(t.failedRuns, run)
	if t.step.Gang {
		t.step.failedRuns = addRun(t.step.failedRuns, run)
	}
	if t.failedAttempts() == before {
		return
	}
	t.avoidMachine, t.failedAt = w.Machine, now
	works := j.hasDoneTask()
	if works || j.firstFailedMachine == "" || j.firstFailedMachine == w.Machine {
		// A job of which nothing was done and that failed elsewhere too is to blame itself.
		s.recordWorkerFailure(now, w, j.ID, works)
	}
	if j.firstFailedMachine == "" {
		j.firstFailedMachine = w.Machine
	}
	s.dirtyJobs[j.ID] = true
	if t.step.Lasting || j.state.Final() {
		return
	}
	if t.failedAttempts() >= s.queueConfig(j).MaxAttempts {
		j.finish(now, batch.JobFailed)
		s.stopJob(j, "job failed")
	}
}

// HandleStartResult takes in what became of a start. A refused run isn't there and won't be.
func (s *Scheduler) HandleStartResult(now time.Time, k batch.WorkerKey, id batch.Task, run int, refused, unhealthy, old bool) {
	t := s.findTask(id)
	if t == nil || t.worker == nil || t.worker.Key() != k || t.run != run {
		return
	}
	if !refused {
		t.confirmed = true
		t.startedAt = now
		return
	}
	if old {
		t.run += maxUnrecordedStarts
		t.step.lastRun = max(t.step.lastRun, t.run)
	}
	if unhealthy {
		s.recordWorkerFailure(now, t.worker, id.Job, false)
		t.avoidMachine = t.worker.Machine
	}
	t.release()
	t.retryAt = now.Add(refusedRetryDelay)
}

// refusedRetryDelay is how long a task waits after a worker refused it; a look at the worker takes as long.
const refusedRetryDelay = 250 * time.Millisecond

// HandleProgress takes in how the runs of a worker get on.
func (s *Scheduler) HandleProgress(now time.Time, k batch.WorkerKey, runs []batch.Run, squeezed bool) {
	w := s.workers[k]
	if w == nil {
		return
	}
	used, best := 0, 0.0
	for _, r := range runs {
		t := w.tasks[r.Task]
		if t == nil || t.run != r.Number {
			continue
		}
		t.recordProgress(now, r)
		if t.step.TailTarget > 0 && r.Load > 0 {
			t.tailLatency = tailSample{time.Duration(r.Load) * time.Millisecond, now}
		}
		if t.step.Fills {
			t.recordPace(now, r.Pace)
		}
		if t.step.Fills && now.Sub(t.startedAt) > loadSettleTime && t.step.Need.MilliCPU > 0 {
			used += r.Load
			best = max(best, float64(r.Load)/float64(t.step.Need.MilliCPU))
		}
	}
	s.observeInterference(now, w, runs)
	// Where no filling task gets near what it asks for, what they use is all that is left.
	if used > 0 && best < starvedLoadShare && !squeezed {
		w.measuredSpare = spareSample{milliCPU: used, measuredAt: now}
	}
}

// starvedLoadShare is the share of its need below which a filling task lacks processor
// time; some use only two thirds of it by themselves.
const starvedLoadShare = 0.6

// loadSettleTime is how long a run has to be there until its load covers half a second of work.
const loadSettleTime = time.Second

// Host returns the host of a worker.
func (s *Scheduler) Host(k batch.WorkerKey) (string, bool) {
	w := s.workers[k]
	if w == nil {
		return "", false
	}
	return w.host, true
}
