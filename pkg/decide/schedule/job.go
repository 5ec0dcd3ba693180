package schedule

import (
	"slices"
	"time"

	"github.com/sesamestream/sesamestream/pkg/batch"
	"github.com/sesamestream/sesamestream/pkg/decide/overload"
	"github.com/sesamestream/sesamestream/pkg/decide/straggle"
)

// job is a job with its scheduling state.
type job struct {
	*batch.Job
	addedAt time.Time
	state   batch.JobState
	endedAt time.Time
	// finalStateStored is set once the final state is in the store.
	finalStateStored bool
	// descriptionDropped is set for finished jobs of which only the ID, queue, acceptance time and state are kept.
	descriptionDropped bool
	// started is set once a task has started; firstStartAt is when that was, if it was in this term.
	started      bool
	firstStartAt time.Time
	// predicted is the estimate of the job as it was added, or nil.
	predicted *overload.Estimate
	// awaitsHosts is set while tasks of the job may run on hosts that are not yet
	// connected to this scheduler. Until then none of its tasks is started.
	awaitsHosts bool
	// firstFailedMachine is the machine on which a task of the job failed first.
	firstFailedMachine string
	// occurrences are the open occurrences in their order. Those below nextOccurrence that aren't
	// open are done, and the others haven't been opened yet.
	occurrences    []*occurrence
	nextOccurrence int
	// openTasks counts the unfinished tasks of the open occurrences.
	openTasks int
	// waitingOccurrences counts the open occurrences that haven't started.
	waitingOccurrences int
	// records counts the records of tasks, slots the places for them, openSteps the steps that have any.
	records, slots, openSteps int
	// reservedBytes is the Footprint of the job.
	reservedBytes int64
	// firstRun is the highest run number that an earlier scheduler may have used for any task without storing it.
	firstRun int
	// unfinished counts the tasks that aren't done.
	unfinished int
	// remainingWork is the estimated work of the unfinished tasks, in core-seconds.
	remainingWork float64
	// criticalPath is the estimated duration of the longest chain of steps.
	criticalPath time.Duration
	// pathsToEnd are, for each step, the estimated times from its start to the end of its occurrence.
	pathsToEnd []time.Duration
}

// step is one step of an occurrence.
type step struct {
	*batch.Step
	job        *job
	occurrence *occurrence
	index      int
	// pathToEnd is the estimated time from the start of the step to the end of the occurrence.
	pathToEnd time.Duration
	// tasks has an entry for each task: its record, doneTask once it's done and has no worker, or nil for a task that
	// has never had a worker. It's nil once all tasks are.
	tasks []*task
	// blank is the record of the next task that gets a worker.
	blank      *task
	unfinished int
	// unassigned counts the tasks that have no worker and aren't done.
	unassigned int
	// tasksPerWorker counts the runs on each worker, with those that are to be stopped, if MaxPerWorker bounds them.
	tasksPerWorker map[*worker]int
	// lastRun is the highest run number of its tasks; those of a gang share it.
	lastRun    int
	failedRuns []int
	checkpoint string
	advice     advice
	// idleSince is since when a ready best-effort step has had no assigned task; zero while it has one.
	idleSince time.Time
	// searched is set once workers were searched for all waiting tasks, and reset when one of the tasks is released.
	searched bool
	// holdFailedAt is when the last search for room to hold for a task found none.
	holdFailedAt time.Time
	// moveFailedAt is when the last search for a worker to move a task to found none.
	moveFailedAt time.Time
	// needsEvacuatedSince is since when only evacuated data centres can run the waiting tasks; zero while others can.
	needsEvacuatedSince time.Time
	// waitsSince is since when a finite step has had tasks that found no room; zero while it has none.
	waitsSince time.Time
	// yieldFailedAt is when the last search for work that yields to the step found none.
	yieldFailedAt time.Time
	// peerDurations are the durations of the tasks that are done.
	peerDurations straggle.PeerDurations
}

// task is one task of an occurrence.
type task struct {
	id          batch.Task
	step        *step
	done        bool
	run         int
	failedRuns  []int
	checkpoint  string
	worker      *worker
	tailLatency tailSample
	// usedMilliCPU is the processor time that a best-effort task used in the last window, in thousandths of a core.
	usedMilliCPU int
	// throttledSince is since when the host throttles the task below throttledPercent; zero if it doesn't.
	throttledSince time.Time
	// moveNotBefore is the earliest time at which the task may be moved or its progress judged again.
	moveNotBefore time.Time
	// startedAt is when the run was assigned, or once the worker has reported its start, when it did.
	startedAt time.Time
	// confirmed is set once the worker has reported or listed the run.
	confirmed bool
	stopping  bool
	// moving is set if the run was stopped for a move.
	moving bool
	// yielding is set if the run was stopped to yield room. yield is that room while it is
	// kept, yields counts the times, and yieldNotBefore is the earliest time of the next one.
	yielding       bool
	yield          *roomYield
	yields         int
	yieldNotBefore time.Time
	percent        int
	// firstReportAt is when the worker first listed the progress of the run and
	// firstPercent that progress. progressedAt is when the progress last rose, and
	// lastReportAt when it was last listed.
	firstReportAt, progressedAt, lastReportAt time.Time
	firstPercent                              int
	// relocations counts the runs that were stopped because their worker slowed them down.
	relocations int
	// avoidance is of the machine where the task last failed, was refused as unhealthy or was too slow.
	avoidance avoidance
	// failedAt is when the task last failed.
	failedAt time.Time
	// retryAt is when the task may be started again after a refusal.
	retryAt time.Time
	// openUntil is until when an unanswered call to start the present run may be carried out.
	openUntil time.Time
	// lateStart is the start that an incarnation of a lost worker may still carry out, if there is one.
	lateStart lateStart
	// hold is the hold of room for the waiting long-running task, or nil.
	hold *hold
	// waitingSince is since when the long-running task, whose turn has come, has not been at work; zero while it is.
	waitingSince time.Time
}

// newJob returns a queued job. The occurrence of a job without due times is open from the start.
func newJob(b *batch.Job) *job {
	j := &job{Job: b, state: batch.Queued}
	for i := range b.Steps {
		j.unfinished += b.Steps[i].Count
		j.pathsToEnd = append(j.pathsToEnd, pathToEnd(b, i))
	}
	j.unfinished *= b.Occurrences()
	if b.Repeat == 0 {
		j.openNext()
	}
	j.remainingWork = totalWork(b)
	j.criticalPath = criticalPath(b)
	j.reservedBytes = Footprint(b)
	return j
}

// criticalPath returns the estimated duration of the longest chain of steps.
func criticalPath(b *batch.Job) time.Duration {
	ends := make([]time.Duration, len(b.Steps))
	var longest time.Duration
	for i, s := range b.Steps {
		var start time.Duration
		for _, a := range s.DependsOn {
			start = max(start, ends[a])
		}
		ends[i] = start + s.Estimate
		longest = max(longest, ends[i])
	}
	return longest
}

// taskWork returns the estimated core-seconds of one task.
func taskWork(s *batch.Step) float64 {
	return float64(s.Need.MilliCPU) / 1000 * s.Estimate.Seconds()
}

// totalWork returns the estimated core-seconds of a job.
func totalWork(b *batch.Job) float64 {
	w := 0.0
	for i := range b.Steps {
		w += taskWork(&b.Steps[i]) * float64(b.Steps[i].Count)
	}
	return w * float64(b.Occurrences())
}

// pathToEnd returns the estimated time from the start of a step to the end of its occurrence.
func pathToEnd(b *batch.Job, step int) time.Duration {
	ends := make([]time.Duration, len(b.Steps))
	ends[step] = b.Steps[step].Estimate
	longest := ends[step]
	for i := step + 1; i < len(b.Steps); i++ {
		for _, a := range b.Steps[i].DependsOn {
			if ends[a] > 0 {
				ends[i] = max(ends[i], ends[a]+b.Steps[i].Estimate)
			}
		}
		longest = max(longest, ends[i])
	}
	return longest
}

// finish sets the final state of the job.
func (j *job) finish(now time.Time, s batch.JobState) {
	j.state, j.endedAt = s, now
}

// running reports whether a worker has a task of the job.
func (j *job) running() bool {
	return slices.ContainsFunc(j.occurrences, func(o *occurrence) bool { return o.assigned > 0 })
}

// countOn adds n to the number of runs of the step on a worker, if MaxPerWorker bounds it.
func (s *step) countOn(w *worker, n int) {
	if s.tasksPerWorker == nil {
		return
	}
	if s.tasksPerWorker[w] += n; s.tasksPerWorker[w] == 0 {
		delete(s.tasksPerWorker, w)
	}
}

// markDone marks the task as done and updates the counts of its step, occurrence and job.
func (t *task) markDone() {
	if t.done {
		return
	}
	t.done = true
	if t.worker == nil {
		t.step.unassigned--
	}
	t.step.unfinished--
	t.step.occurrence.unfinished--
	t.step.occurrence.noteStart()
	t.step.job.openTasks--
	t.step.job.unfinished--
	t.step.job.remainingWork -= taskWork(t.step.Step)
	t.step.retire(t)
}

// assign assigns a run of the task to a worker and resets the state of the previous run.
func (t *task) assign(w *worker, run int, now time.Time) {
	if t.worker == nil && !t.done {
		if t.step.unassigned--; t.step.unassigned == 0 {
			t.step.waitsSince = time.Time{}
		}
	}
	t.step.adopt(t)
	t.step.occurrence.assigned++
	t.step.occurrence.noteStart()
	t.worker, t.run, t.startedAt, t.openUntil = w, run, now, time.Time{}
	t.confirmed, t.stopping, t.moving, t.yielding, t.percent, t.throttledSince = false, false, false, false, 0, time.Time{}
	t.firstReportAt, t.progressedAt, t.lastReportAt, t.firstPercent = time.Time{}, time.Time{}, time.Time{}, 0
	w.addTask(t)
	t.step.countOn(w, 1)
	if j := t.step.job; !j.started {
		j.started, j.firstStartAt = true, now
	}
}

// release removes the task from its worker.
func (t *task) release() {
	w := t.worker
	if w == nil {
		return
	}
	w.removeTask(t)
	t.step.countOn(w, -1)
	t.worker, t.confirmed, t.stopping = nil, false, false
	t.step.occurrence.assigned--
	if !t.done {
		t.step.unassigned++
		t.step.searched = false
		return
	}
	t.step.retire(t)
}

// addRun appends a run number unless it is in the list already.
func addRun(runs []int, run int) []int {
	if slices.Contains(runs, run) {
		return runs
	}
	return append(runs, run)
}

// failedAttempts returns how many runs of the task, or of its gang, have failed.
func (t *task) failedAttempts() int {
	if t.step.Gang {
		return len(t.step.failedRuns)
	}
	return len(t.failedRuns)
}

// onLastAttempt reports whether the next failure of the task fails its job.
func (t *task) onLastAttempt(q batch.Queue) bool {
	n := t.failedAttempts()
	return n > 0 && !t.step.LongRunning && n+1 >= q.MaxAttempts
}

// hasDoneTask reports whether a task of the job is done.
func (j *job) hasDoneTask() bool { return j.unfinished < j.tasksPerOccurrence()*j.Occurrences() }

// tasksPerOccurrence returns the number of tasks of one occurrence.
func (j *job) tasksPerOccurrence() int {
	n := 0
	for i := range j.Steps {
		n += j.Steps[i].Count
	}
	return n
}
