package schedule

import (
	"time"

	"github.com/sesamestream/sesamestream/pkg/batch"
)

// health is what the outcomes on a worker tell. A worker that fails all it
// starts has room at once again and would draw ever more work, while what it
// began before still ends well.
type health struct {
	// failuresInRow counts the failed runs since the last one done.
	failuresInRow int
	// lastFailedJob is the one that failed last, jobs how many did in turn.
	lastFailedJob batch.JobID
	failedJobs    int
	// recentFailures are the last failed runs, the newest first.
	recentFailures [burstFailures]failure
	// burstAt is when the worker failed many runs at once; what it began before tells nothing of it.
	burstAt time.Time
	// slowRuns counts the runs that it held up since the last one done in time.
	slowRuns int
	// quarantinedUntil is when the worker may be tried again.
	quarantinedUntil time.Time
	// backoffLevel is how often it was set aside without a run done since.
	backoffLevel int
}

// failure is a failed run of a job that may not be to blame itself.
type failure struct {
	at             time.Time
	job            batch.JobID
	jobHasDoneTask bool
}

// The bounds of setting a worker aside.
const (
	// quarantineFailures is how many failed runs without one done set a worker
	// aside, if they are of two jobs or of one that works elsewhere.
	quarantineFailures = 2
	// burstFailures in burstTime set it aside whatever else is done: a sound
	// worker that starts ten runs a second, of which one in twenty fails, does
	// so once in three minutes.
	burstFailures = 3
	burstWindow   = 300 * time.Millisecond
	// recentFailureWindow is how long a worker that failed a run gets none that would be the last try of its task.
	recentFailureWindow = time.Second
	// quarantineSlowRuns is how many runs that were held up set a worker aside, unless one is done in time between.
	quarantineSlowRuns = 2
	// minQuarantine is how long the first time; it doubles up to suspectLimit.
	minQuarantine = 2 * time.Second
	maxQuarantine = 8 * time.Second
	// maxBackoffLevel bounds the doubling.
	maxBackoffLevel = 4
)

// recordFailure takes in a failed run of a job; works tells that other tasks of the job
// were done, so that the job can't be to blame.
// It returns whether the worker is set aside for that.
func (h *health) recordFailure(now time.Time, id batch.JobID, works bool) bool {
	h.failuresInRow++
	copy(h.recentFailures[1:], h.recentFailures[:])
	h.recentFailures[0] = failure{now, id, works}
	if h.lastFailedJob != id {
		h.lastFailedJob = id
		h.failedJobs++
	}
	many := h.hasFailureBurst(now)
	if many {
		h.burstAt = now
	}
	if many || h.failuresInRow >= quarantineFailures && (h.failedJobs >= 2 || works) {
		return h.quarantine(now)
	}
	return false
}

// hasFailureBurst reports whether the last failures came at once and aren't those of one job that fails everywhere.
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

// recordSlowRun takes in a run that the worker held up, and returns whether it's set aside for that.
func (h *health) recordSlowRun(now time.Time) bool {
	h.slowRuns++
	return h.slowRuns >= quarantineSlowRuns && h.quarantine(now)
}

// quarantine returns false where the worker is aside already.
func (h *health) quarantine(now time.Time) bool {
	if now.Before(h.quarantinedUntil) {
		return false
	}
	h.quarantinedUntil = now.Add(min(minQuarantine<<h.backoffLevel, maxQuarantine))
	h.backoffLevel = min(h.backoffLevel+1, maxBackoffLevel)
	return true
}

// recordSuccess takes in a run that was recordSuccess in time and began then. It returns whether
// the worker, which had been set aside, takes all work again.
func (h *health) recordSuccess(began time.Time) bool {
	if !began.After(h.burstAt) {
		return false
	}
	back := h.probing()
	*h = health{recentFailures: h.recentFailures}
	return back
}

// quarantined reports whether the worker takes no new work now.
func (h *health) quarantined(now time.Time) bool { return now.Before(h.quarantinedUntil) }

// failedRecently reports whether the worker has failed a run lately.
func (h *health) failedRecently(now time.Time) bool {
	return now.Sub(h.recentFailures[0].at) < recentFailureWindow
}

// probing reports whether the worker takes one run at a time.
func (h *health) probing() bool { return h.backoffLevel > 0 }
