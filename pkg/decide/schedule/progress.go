package schedule

import (
	"time"

	"github.com/sesamestream/sesamestream/pkg/batch"
)

// A Progress is the stored state of a job, kept apart from its description. Its size depends on the tasks that
// have started and aren't done, and not on how many are done.
type Progress struct {
	State batch.JobState `json:"state,omitempty"`
	Ended time.Time      `json:"ended,omitzero"`
	// Next is the first occurrence of a repeated job that hasn't been opened, Open are those below it that aren't
	// done. Next is 0 in records of earlier versions, which list all tasks that are done in Tasks.
	Next int   `json:"next,omitempty"`
	Open []int `json:"open,omitempty"`
	// FirstRun is the highest run number that may have been used for a task that isn't in Tasks.
	FirstRun int            `json:"firstRun,omitempty"`
	Tasks    []TaskProgress `json:"tasks,omitempty"`
	Done     []DoneTasks    `json:"done,omitempty"`
}

// A TaskProgress is the stored state of a task that has run or is done.
type TaskProgress struct {
	Occurrence int  `json:"k,omitempty"`
	Step       int  `json:"step,omitempty"`
	Index      int  `json:"index,omitempty"`
	Done       bool `json:"done,omitempty"`
	Run        int  `json:"run,omitempty"`
	// FailedRuns are the numbers of the runs that failed.
	FailedRuns []int  `json:"failures,omitempty"`
	Checkpoint string `json:"saved,omitempty"`
}

// DoneTasks are the tasks of a step of an open occurrence that are done.
type DoneTasks struct {
	Occurrence int `json:"k,omitempty"`
	Step       int `json:"step,omitempty"`
	// Ranges are the first and the last index of each run of consecutive tasks.
	Ranges [][2]int `json:"ranges"`
}

// progress returns the state of the job to be stored.
func (j *job) progress() *Progress {
	p := &Progress{Ended: j.endedAt}
	if j.state.Final() {
		// A finished job needs nothing else.
		p.State = j.state
		return p
	}
	if j.started {
		p.State = batch.Running
	}
	p.FirstRun = j.firstRun
	if j.Repeat > 0 {
		p.Next = j.nextOccurrence
	}
	for _, o := range j.occurrences {
		if j.Repeat > 0 {
			p.Open = append(p.Open, o.index)
		}
		for _, s := range o.steps {
			if s == nil {
				continue
			}
			if d := s.doneRanges(); len(d) > 0 {
				p.Done = append(p.Done, DoneTasks{o.index, s.index, d})
			}
			for t := range s.records() {
				if t.run > 0 && !t.done {
					p.Tasks = append(p.Tasks, TaskProgress{
						Occurrence: o.index, Step: s.index, Index: t.id.Index, Run: t.run, FailedRuns: t.failedRuns, Checkpoint: t.checkpoint,
					})
				}
			}
		}
	}
	return p
}

// doneRanges returns the ranges of the tasks that are done.
func (s *step) doneRanges() [][2]int {
	if s.tasks == nil {
		return [][2]int{{0, s.Count - 1}}
	}
	var rs [][2]int
	for i, t := range s.tasks {
		switch {
		case t == nil || !t.done:
		case len(rs) > 0 && rs[len(rs)-1][1] == i-1:
			rs[len(rs)-1][1] = i
		default:
			rs = append(rs, [2]int{i, i})
		}
	}
	return rs
}

// restore sets the state of the job from its stored progress.
func (j *job) restore(p *Progress) {
	if p.State.Final() {
		j.state, j.endedAt, j.finalStateStored, j.started = p.State, p.Ended, true, true
		return
	}
	j.started = p.State == batch.Running
	j.firstRun = p.FirstRun
	j.restoreOccurrences(p)
	for _, d := range p.Done {
		for _, r := range d.Ranges {
			for i := r[0]; i <= r[1]; i++ {
				t := j.findTask(batch.Task{Job: j.ID, Occurrence: d.Occurrence, Step: d.Step, Index: i})
				if t == nil {
					break
				}
				t.markDone()
			}
		}
	}
	for _, x := range p.Tasks {
		t := j.findTask(batch.Task{Job: j.ID, Occurrence: x.Occurrence, Step: x.Step, Index: x.Index})
		if t == nil || t.done {
			continue
		}
		t.run, t.failedRuns, t.checkpoint = x.Run, x.FailedRuns, x.Checkpoint
		t.step.lastRun = max(t.step.lastRun, x.Run)
		if t.step.Gang {
			for _, r := range x.FailedRuns {
				t.step.failedRuns = addRun(t.step.failedRuns, r)
			}
			if x.Checkpoint != "" {
				t.step.checkpoint = x.Checkpoint
			}
		}
		if x.Done {
			t.markDone()
		}
	}
}

// restoreOccurrences opens the occurrences of a repeated job that were opened before, and closes those that are done.
func (j *job) restoreOccurrences(p *Progress) {
	if j.Repeat == 0 || p.Next == 0 {
		return
	}
	open := map[int]bool{}
	for _, k := range p.Open {
		open[k] = true
	}
	for j.nextOccurrence < min(p.Next, j.Occurrences()) {
		if open[j.nextOccurrence] {
			j.openNext()
			continue
		}
		j.nextOccurrence++
		j.unfinished -= j.tasksPerOccurrence()
		for i := range j.Steps {
			j.remainingWork -= taskWork(&j.Steps[i]) * float64(j.Steps[i].Count)
		}
	}
}
