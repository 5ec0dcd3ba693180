package schedule

import (
	"cmp"
	"slices"
	"time"

	"github.com/sesamestream/sesamestream/pkg/batch"
)

// occurrence is one execution of all steps of a job.
type occurrence struct {
	job   *job
	index int
	// startAt is the scheduled start of an occurrence of a repeated job, otherwise zero.
	startAt time.Time
	// steps has an entry for each step, nil until the step is ready or a worker has reported a task of it.
	steps      []*step
	unfinished int
	// assigned counts the tasks that have a worker.
	assigned int
	// started is set once a task has had a worker or is done.
	started bool
}

// maxWaitingOccurrences bounds the open occurrences of a job that haven't started. Each pass opens as many as the last
// one has started.
const maxWaitingOccurrences = 64

// openNext opens the next occurrence.
func (j *job) openNext() {
	o := &occurrence{job: j, index: j.nextOccurrence, steps: make([]*step, len(j.Steps)), unfinished: j.tasksPerOccurrence()}
	o.startAt = j.dueAt(o.index)
	j.nextOccurrence++
	j.openTasks += o.unfinished
	j.waitingOccurrences++
	j.occurrences = append(j.occurrences, o)
}

// dueAt returns the scheduled start of an occurrence, zero where the job isn't repeated.
func (j *job) dueAt(k int) time.Time {
	if j.Repeat == 0 {
		return time.Time{}
	}
	return j.Start.Add(time.Duration(k) * j.Interval)
}

// openDue opens the occurrences that are due. An occurrence waits while maxWaitingOccurrences others do, and while it
// would take the unfinished tasks of the open ones beyond batch.MaxTasks. These bound what a job holds in memory and
// stores as its progress.
func (j *job) openDue(now time.Time) {
	for j.nextOccurrence < j.Occurrences() {
		if now.Before(j.dueAt(j.nextOccurrence).Add(timedStartMargin)) {
			return
		}
		if j.waitingOccurrences >= maxWaitingOccurrences || len(j.occurrences) > 0 && j.openTasks+j.tasksPerOccurrence() > batch.MaxTasks {
			return
		}
		j.openNext()
	}
}

// openOccurrence returns an open occurrence, or nil if it isn't open.
func (j *job) openOccurrence(k int) *occurrence {
	if i, ok := slices.BinarySearchFunc(j.occurrences, k, func(o *occurrence, k int) int { return cmp.Compare(o.index, k) }); ok {
		return j.occurrences[i]
	}
	return nil
}

// noteStart records that a task has had a worker or is done.
func (o *occurrence) noteStart() {
	if !o.started {
		o.started = true
		o.job.waitingOccurrences--
	}
}

// closeIfDone drops an occurrence whose tasks are done and have no worker.
func (o *occurrence) closeIfDone() {
	if o.unfinished > 0 || o.assigned > 0 {
		return
	}
	j := o.job
	j.occurrences = slices.DeleteFunc(j.occurrences, func(x *occurrence) bool { return x == o })
	for _, s := range o.steps {
		if s != nil {
			j.openSteps--
		}
	}
}

// dropOccurrences drops the open occurrences of an ended job without runs.
func (j *job) dropOccurrences() {
	j.occurrences, j.openTasks, j.waitingOccurrences, j.records, j.slots, j.openSteps = nil, 0, 0, 0, 0, 0
}

// ready reports whether all steps that a step depends on are done.
func (o *occurrence) ready(step int) bool {
	for _, a := range o.job.Steps[step].DependsOn {
		if o.steps[a] == nil || o.steps[a].unfinished > 0 {
			return false
		}
	}
	return true
}

// step returns a step of an open occurrence.
func (o *occurrence) step(i int) *step {
	if o.steps[i] == nil {
		o.steps[i] = o.newStep(i)
		o.steps[i].reserveSlots()
		o.job.openSteps++
	}
	return o.steps[i]
}

// newStep returns a step without places for its tasks.
func (o *occurrence) newStep(i int) *step {
	b := &o.job.Steps[i]
	s := &step{Step: b, job: o.job, occurrence: o, index: i, pathToEnd: o.job.pathsToEnd[i], unfinished: b.Count, unassigned: b.Count}
	if b.MaxPerWorker > 0 {
		s.tasksPerWorker = map[*worker]int{}
	}
	return s
}

// forEachRecord calls f with the record of each task that has one.
func (j *job) forEachRecord(f func(*task)) {
	for _, o := range slices.Clone(j.occurrences) {
		for _, s := range o.steps {
			if s == nil {
				continue
			}
			for t := range s.records() {
				f(t)
			}
		}
	}
}

// findTask returns the task with an ID, or nil if the job has no such task.
func (j *job) findTask(id batch.Task) *task {
	if min(id.Occurrence, id.Step, id.Index) < 0 ||
		id.Occurrence >= j.Occurrences() || id.Step >= len(j.Steps) || id.Index >= j.Steps[id.Step].Count {
		return nil
	}
	o := j.openOccurrence(id.Occurrence)
	if o == nil && id.Occurrence < j.nextOccurrence {
		// The occurrence is done.
		closed := &occurrence{job: j, index: id.Occurrence, startAt: j.dueAt(id.Occurrence)}
		return &task{id: id, step: closed.newStep(id.Step), done: true}
	}
	for o == nil || o.index < id.Occurrence {
		// An earlier scheduler may have opened it.
		j.openNext()
		o = j.occurrences[len(j.occurrences)-1]
	}
	return o.step(id.Step).record(id.Index)
}
