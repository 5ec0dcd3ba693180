package schedule

import (
	"slices"
	"time"

	"github.com/sesamestream/sesamestream/pkg/batch"
)

// lateStart is a start that was sent to a lost worker, and that the worker's next incarnation may carry
// out before it has answered anything. The task has no other run until then.
type lateStart struct {
	workerID string
	// until is the time from which the start can't be carried out any more.
	until time.Time
}

// expected reports whether the start may still be carried out.
func (l lateStart) expected(now time.Time) bool { return now.Before(l.until) }

// NoteOpenStart records that a call to start the present run of a task on k may be carried out until the
// given time, also by the worker's next incarnation.
func (s *Scheduler) NoteOpenStart(k batch.WorkerKey, id batch.Task, run int, until time.Time) {
	if t := s.findTask(id); t != nil && t.worker != nil && t.worker.Key() == k && t.run == run && !t.done {
		t.openUntil = until
	}
}

// ExpectLateStarts keeps the tasks of a worker that is lost from other workers while a call to start them may
// be carried out, or until an incarnation of the worker has answered. It's called before RemoveWorker.
func (s *Scheduler) ExpectLateStarts(now time.Time, k batch.WorkerKey) {
	w := s.workers[k]
	if w == nil {
		return
	}
	for _, t := range w.tasks {
		if now.Before(t.openUntil) {
			t.lateStart = lateStart{workerID: k.ID, until: t.openUntil}
			s.lateStarts = append(s.lateStarts, t)
		}
	}
}

// SettleLateStarts frees the tasks that wait for a late start on a worker: an incarnation has answered and doesn't
// list them, or the one that was lost goes on, whose lease is over.
func (s *Scheduler) SettleLateStarts(now time.Time, workerID string) {
	s.lateStarts = slices.DeleteFunc(s.lateStarts, func(t *task) bool {
		if t.lateStart.expected(now) && t.lateStart.workerID != workerID {
			return false
		}
		t.lateStart = lateStart{}
		return true
	})
}
