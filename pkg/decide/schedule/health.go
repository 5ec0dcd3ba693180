package schedule

import (
	"time"

	"github.com/sesamestream/sesamestream/pkg/batch"
)

// health is what the outcomes on a worker tell. A worker that fails all it
// starts has room at once again and would draw ever more work, while what it
// began before still ends well.
type health struct {
	// failures counts the failed runs since the last one done.
	failures int
	// job is the one that failed last, jobs how many did in turn.
	job  batch.JobID
	jobs int
	// recent are the last failed runs, the newest first.
	recent [burstFailures]failure
	// burst is when the worker failed many runs at once; what it began before tells nothing of it.
	burst time.Time
	// slow counts the runs that it held up since the last one done in time.
	slow int
	// until is when the worker may be tried again.
	until time.Time
	// round is how often it was set aside without a run done since.
	round int
}

// failure is a failed run of a job that may not be to blame itself.
type failure struct {
	at    time.Time
	job   batch.JobID
	works bool
}

// The bounds of setting a worker aside.
const (
	// failuresToSuspect is how many failed runs without one done set a worker
	// aside, if they are of two jobs or of one that works elsewhere.
	failuresToSuspect = 2
	// burstFailures in burstTime set it aside whatever else is done: a sound
	// worker that starts ten runs a second, of which one in twenty fails, does
	// so once in three minutes.
	burstFailures = 3
	burstTime     = 300 * time.Millisecond
	// doubtTime is how long a worker that failed a run gets none that would be the last try of its task.
	doubtTime = time.Second
	// slowToSuspect is how many runs that were held up set a worker aside, unless one is done in time between.
	slowToSuspect = 2
	// suspectTime is how long the first time; it doubles up to suspectLimit.
	suspectTime  = 2 * time.Second
	suspectLimit = 8 * time.Second
	// maxRound bounds the doubling.
	maxRound = 4
)

// fail takes in a failed run of a job; works tells that other tasks of the job
// were done, so that the job can't be to blame.
// It returns whether the worker is set aside for that.
func (h *health) fail(now time.Time, id batch.JobID, works bool) bool {
	h.failures++
	copy(h.recent[1:], h.recent[:])
	h.recent[0] = failure{now, id, works}
	if h.job != id {
		h.job = id
		h.jobs++
	}
	many := h.failsMany(now)
	if many {
		h.burst = now
	}
	if many || h.failures >= failuresToSuspect && (h.jobs >= 2 || works) {
		return h.setAside(now)
	}
	return false
}

// failsMany reports whether the last failures came at once and aren't those of one job that fails everywhere.
func (h *health) failsMany(now time.Time) bool {
	oldest := h.recent[burstFailures-1]
	if now.Sub(oldest.at) > burstTime {
		return false
	}
	for _, f := range h.recent {
		if f.works || f.job != oldest.job {
			return true
		}
	}
	return false
}

// straggled takes in a run that the worker held up, and returns whether it's set aside for that.
func (h *health) straggled(now time.Time) bool {
	h.slow++
	return h.slow >= slowToSuspect && h.setAside(now)
}

// setAside returns false where the worker is aside already.
func (h *health) setAside(now time.Time) bool {
	if now.Before(h.until) {
		return false
	}
	h.until = now.Add(min(suspectTime<<h.round, suspectLimit))
	h.round = min(h.round+1, maxRound)
	return true
}

// done takes in a run that was done in time and began then. It returns whether
// the worker, which had been set aside, takes all work again.
func (h *health) done(began time.Time) bool {
	if !began.After(h.burst) {
		return false
	}
	back := h.probing()
	*h = health{recent: h.recent}
	return back
}

// aside reports whether the worker takes no new work now.
func (h *health) aside(now time.Time) bool { return now.Before(h.until) }

// doubted reports whether the worker has failed a run lately.
func (h *health) doubted(now time.Time) bool { return now.Sub(h.recent[0].at) < doubtTime }

// probing reports whether the worker takes one run at a time.
func (h *health) probing() bool { return h.round > 0 }
