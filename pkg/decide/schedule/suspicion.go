package schedule

import (
	"time"

	"github.com/sesamestream/sesamestream/pkg/batch"
)

// A HealthChange tells that a worker was set aside, or that it takes all work again.
type HealthChange struct {
	Key batch.WorkerKey
	// QuarantinedUntil is when it's tried again; zero where it takes all work.
	QuarantinedUntil time.Time
	// Why and Job say what was seen last, and in a run of which job.
	Why string
	Job batch.JobID
	// BackoffLevel is how often it was set aside without a run done since.
	BackoffLevel int
}

func (s *Scheduler) addHealthChange(w *worker, why string, id batch.JobID) {
	s.healthChanges = append(s.healthChanges, HealthChange{Key: w.Key(), QuarantinedUntil: w.health.quarantinedUntil, Why: why, Job: id, BackoffLevel: w.health.backoffLevel})
}

// recordWorkerFailure takes in a failed run on w.
func (s *Scheduler) recordWorkerFailure(now time.Time, w *worker, id batch.JobID, works bool) {
	if w.health.recordFailure(now, id, works) {
		s.addHealthChange(w, "runs fail", id)
	}
}

// recordSlowRun takes in a run that w held up.
func (s *Scheduler) recordSlowRun(now time.Time, w *worker, id batch.JobID) {
	if w.health.recordSlowRun(now) {
		s.addHealthChange(w, "runs are held up", id)
	}
}
