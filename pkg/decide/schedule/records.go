package schedule

import (
	"iter"
	"slices"

	"github.com/sesamestream/sesamestream/pkg/batch"
)

// doneTask stands for the tasks that are done and have no worker.
var doneTask = &task{done: true}

// reserveSlots makes the places for the records of the tasks. Tasks of a gang or of a long-running step get their
// records at once, as these are placed together or for as long as the job exists.
func (s *step) reserveSlots() {
	s.tasks = make([]*task, s.Count)
	s.job.slots += s.Count
	if !s.Gang && !s.LongRunning {
		return
	}
	for i := range s.tasks {
		s.record(i)
	}
}

// newRecord returns the record of a task that has had no worker.
func (s *step) newRecord(i int) *task {
	return &task{id: batch.Task{Job: s.job.ID, Occurrence: s.occurrence.index, Step: s.index, Index: i}, step: s, run: s.job.firstRun}
}

// record returns the record of a task, which it makes if there is none.
func (s *step) record(i int) *task {
	if s.tasks == nil || s.tasks[i] == doneTask {
		t := s.newRecord(i)
		t.done = true
		return t
	}
	if s.tasks[i] == nil {
		s.adopt(s.newRecord(i))
	}
	return s.tasks[i]
}

// adopt keeps the record of a task that had none.
func (s *step) adopt(t *task) {
	if t == s.blank {
		s.blank = nil
	}
	if s.tasks != nil && s.tasks[t.id.Index] == nil {
		s.tasks[t.id.Index] = t
		s.job.records++
	}
}

// retire drops the record of a task that is done and has no worker, and then what is left of a step or
// occurrence whose tasks all are.
func (s *step) retire(t *task) {
	if !t.done || t.worker != nil || s.tasks == nil || s.tasks[t.id.Index] != t {
		return
	}
	s.tasks[t.id.Index] = doneTask
	s.job.records--
	if s.unfinished > 0 || slices.ContainsFunc(s.tasks, func(t *task) bool { return t != doneTask }) {
		return
	}
	s.job.slots -= len(s.tasks)
	s.tasks, s.blank = nil, nil
	s.occurrence.closeIfDone()
}

// records returns the records of the tasks that have one, in the order of the tasks.
func (s *step) records() iter.Seq[*task] {
	return func(yield func(*task) bool) {
		for _, t := range s.tasks {
			if t != nil && t != doneTask && !yield(t) {
				return
			}
		}
	}
}

// waiting returns the tasks that are neither done nor have a worker, in their order. The record of a task that
// never had a worker is used again for the next one, unless the task has got a worker.
func (s *step) waiting() iter.Seq[*task] {
	return func(yield func(*task) bool) {
		for i, t := range s.tasks {
			if t == nil {
				t = s.blankFor(i)
			}
			if !t.done && t.worker == nil && !yield(t) {
				return
			}
		}
	}
}

// firstWaiting returns the first task that is neither done nor has a worker, or nil.
func (s *step) firstWaiting() *task {
	for t := range s.waiting() {
		return t
	}
	return nil
}

// blankFor returns a record for a task that has none, which isn't kept.
func (s *step) blankFor(i int) *task {
	if s.blank == nil {
		s.blank = s.newRecord(i)
	}
	s.blank.id.Index, s.blank.run = i, s.job.firstRun
	return s.blank
}
