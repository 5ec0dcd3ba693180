package schedule

import (
	"time"

	"github.com/sesamestream/sesamestream/pkg/batch"
)

// A HealthChange reports that a worker was quarantined, or is given all work again.
type HealthChange struct {
	Key batch.WorkerKey
	// QuarantinedUntil is the end of the quarantine; zero if the worker is given all work again.
	QuarantinedUntil time.Time
	// Reason is the cause of the change, Job the job of the run that caused it.
	Reason string
	Job    batch.JobID
	// BackoffLevel counts the quarantines since the last successful run, up to maxBackoffLevel.
	BackoffLevel int
}

// addHealthChange records the current health of w for the next Schedule.
func (s *Scheduler) addHealthChange(w *worker, reason string, job batch.JobID) {
	s.healthChanges = append(s.healthChanges, HealthChange{Key: w.Key(), QuarantinedUntil: w.health.quarantinedUntil, Reason: reason, Job: job, BackoffLevel: w.health.backoffLevel})
}

// recordWorkerFailure records a failed run on w.
func (s *Scheduler) recordWorkerFailure(now time.Time, w *worker, job batch.JobID, jobHasDoneTask bool) {
	if w.health.recordFailure(now, job, jobHasDoneTask) {
		s.addHealthChange(w, "runs fail", job)
	}
}

// recordSlowRun records a run that w slowed down.
func (s *Scheduler) recordSlowRun(now time.Time, w *worker, job batch.JobID) {
	if w.health.recordSlowRun(now) {
		s.addHealthChange(w, "runs are held up", job)
	}
}

// addSlowWorker records that the latency-critical tasks on w show it as slow.
func (s *Scheduler) addSlowWorker(now time.Time, w *worker) {
	s.healthChanges = append(s.healthChanges, HealthChange{Key: w.Key(), QuarantinedUntil: now.Add(minQuarantine), Reason: "serving tasks are held up"})
}
