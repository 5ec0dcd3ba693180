package schedule

import (
	"time"

	"github.com/sesamestream/sesamestream/pkg/batch"
)

// health tracks the outcomes of runs on a worker. A worker that fails every run it
// starts has free capacity again at once and would attract ever more work, while
// runs that it started earlier may still succeed.
type health struct {
	// failuresInRow counts the failed runs since the last successful one.
	failuresInRow int
	// lastFailedJob is the job of the last failed run, failedJobs how often
	// that job changed since the last successful run.
	lastFailedJob batch.JobID
	failedJobs    int
	// recentFailures are the last failed runs, newest first.
	recentFailures [burstFailures]failure
	// lastFailedAt is when a run last failed, whatever the cause.
	lastFailedAt time.Time
	// burstAt is the time of the last burst of failures. Runs that started before it
	// are no evidence that the worker is healthy again.
	burstAt time.Time
	// slowRuns counts the runs that the worker slowed down since the last one done in time.
	slowRuns int
	// quarantinedAt is when the last quarantine began, quarantinedUntil when the worker may be given work again.
	quarantinedAt, quarantinedUntil time.Time
	// backoffLevel counts the quarantines since the last successful run, up to maxBackoffLevel.
	backoffLevel int
}

// failure is a failed run.
type failure struct {
	at  time.Time
	job batch.JobID
	// jobHasDoneTask is set if another task of the job was done, so that the job is not the cause.
	jobHasDoneTask bool
}

// The bounds of the quarantine of a worker.
const (
	// quarantineFailures failed runs without a successful one quarantine a worker,
	// if they belong to two jobs or to one that succeeds elsewhere.
	quarantineFailures = 2
	// burstFailures failed runs within burstWindow quarantine a worker even if other
	// runs succeed. A healthy worker that starts ten runs a second, of which one in
	// twenty fails, has such a burst once in three minutes.
	burstFailures = 3
	burstWindow   = 300 * time.Millisecond
	// recentFailureWindow is how long a worker that failed a run is given no last attempt of a task.
	recentFailureWindow = time.Second
	// lastAttemptPatience is how long a task that failed keeps its last attempt from workers that show by
	// single runs whether they are healthy.
	lastAttemptPatience = maxQuarantine
	// quarantineSlowRuns slow runs quarantine a worker, unless one is done in time in between.
	quarantineSlowRuns = 2
	// minQuarantine is the duration of the first quarantine. Each further one doubles it, up to maxQuarantine.
	minQuarantine = 2 * time.Second
	maxQuarantine = 8 * time.Second
	// maxBackoffLevel bounds the doubling.
	maxBackoffLevel = 4
)

// recordFailure records a failed run of a job and reports whether it quarantines
// the worker. With jobHasDoneTask, other tasks of the job were done, so that the
// job is not the cause.
func (h *health) recordFailure(now time.Time, job batch.JobID, jobHasDoneTask bool) bool {
	h.failuresInRow++
	h.lastFailedAt = now
	copy(h.recentFailures[1:], h.recentFailures[:])
	h.recentFailures[0] = failure{now, job, jobHasDoneTask}
	if h.lastFailedJob != job {
		h.lastFailedJob = job
		h.failedJobs++
	}
	burst := h.hasFailureBurst(now)
	if burst {
		h.burstAt = now
	}
	if burst || h.failuresInRow >= quarantineFailures && (h.failedJobs >= 2 || jobHasDoneTask) {
		return h.quarantine(now)
	}
	return false
}

// hasFailureBurst reports whether the last failures are within burstWindow and are
// not all of one job that succeeds nowhere.
func (h *health) hasFailureBurst(now time.Time) bool {
	oldest := h.recentFailures[burstFailures-1]
	if now.Sub(oldest.at) > burstWindow {
		return false
	}
	for _, f := range h.recentFailures {
		if f.jobHasDoneTask || f.job != oldest.job {
			return true
		}
	}
	return false
}

// recordSlowRun records a run that the worker slowed down and reports whether it quarantines the worker.
func (h *health) recordSlowRun(now time.Time) bool {
	h.slowRuns++
	return h.slowRuns >= quarantineSlowRuns && h.quarantine(now)
}

// quarantine starts a quarantine. It returns false if one is in force already.
func (h *health) quarantine(now time.Time) bool {
	if now.Before(h.quarantinedUntil) {
		return false
	}
	h.quarantinedAt, h.quarantinedUntil = now, now.Add(min(minQuarantine<<h.backoffLevel, maxQuarantine))
	h.backoffLevel = min(h.backoffLevel+1, maxBackoffLevel)
	return true
}

// recordSuccess records a run that started at startedAt and was done in time. It
// reports whether this ends the restrictions after a quarantine.
func (h *health) recordSuccess(startedAt time.Time) bool {
	if !startedAt.After(h.burstAt) {
		return false
	}
	wasProbing := h.probing()
	*h = health{recentFailures: h.recentFailures, lastFailedAt: h.lastFailedAt}
	return wasProbing
}

// quarantined reports whether the worker is given no new work now.
func (h *health) quarantined(now time.Time) bool { return now.Before(h.quarantinedUntil) }

// failedRecently reports whether the worker failed a run within recentFailureWindow.
func (h *health) failedRecently(now time.Time) bool {
	return now.Sub(h.recentFailures[0].at) < recentFailureWindow
}

// probing reports whether the worker is given one run at a time after a quarantine.
func (h *health) probing() bool { return h.backoffLevel > 0 }
