package schedule

import (
	"time"

	"github.com/sesamestream/sesamestream/pkg/batch"
	"github.com/sesamestream/sesamestream/pkg/fleet"
)

// A worker that turns slow or stands still shows first in the tail latencies of its
// latency-critical tasks: all of them rise far above their targets at once, while those
// of the same steps on other workers don't. Such a worker gets no work until it has
// recovered, and its tail latencies teach nothing about interference. The tasks stay:
// elsewhere they would close workers to best-effort work for longer than it is slow.

const (
	// minSlowServingTime is how long a worker has to look slow: two reports show it.
	minSlowServingTime = batch.LoadWindow * 4 / 5
	// minSlowVictims is the least number of latency-critical tasks that show a slow
	// worker. A single one may have met a burst of load.
	minSlowVictims = 2
	// maxIdleShare is the share of all best-effort tasks together up to which they
	// can't be the cause, however much they interfere.
	maxIdleShare = 0.05
	// stalledTailFactor is the multiple of the latency target above which all
	// latency-critical tasks of a worker are only if it is stalled: interference
	// differs from image to image.
	stalledTailFactor = 20
)

// judgeServing records whether nothing but a slow worker explains the tail latencies
// of the victims, which run on w. used is the share that the best-effort tasks on w
// used in the last window.
func (s *Scheduler) judgeServing(now time.Time, w *worker, victims []*task, used float64) {
	if len(victims) == 0 || s.variant.ignoreSlowWorkers {
		return
	}
	stalled := true
	for _, t := range victims {
		tail := t.tailLatency.latency
		if tail <= t.step.LatencyTarget || s.interference.Explains(now, fleet.Kind(t.step.Image), t.step, tail, w.bestEffortShares) {
			w.slowServingSince, w.slowAt = time.Time{}, time.Time{}
			return
		}
		stalled = stalled && tail > stalledTailFactor*t.step.LatencyTarget
	}
	switch {
	case !w.slowAt.IsZero():
		w.slowAt = now
	case len(victims) < minSlowVictims || used > maxIdleShare && !stalled:
		w.slowServingSince = time.Time{}
	case w.slowServingSince.IsZero():
		w.slowServingSince = now
	case now.Sub(w.slowServingSince) >= minSlowServingTime:
		w.slowAt = now
		s.addSlowWorker(now, w)
	}
}

// maySuit reports whether w may be given a task of st, as far as its speed is known.
// Where no latency-critical task shows it any more, single short tasks do.
func (w *worker) maySuit(now time.Time, st *step) bool {
	switch age := now.Sub(w.slowAt); {
	case w.slowAt.IsZero() || age >= maxQuarantine:
		return true
	case age < minQuarantine:
		return false
	}
	return !st.BestEffort && !st.LongRunning && !w.hasRunSince(now, w.slowAt)
}

// recordInTime records that a short task that started at startedAt was done in time.
func (w *worker) recordInTime(startedAt time.Time) {
	if startedAt.After(w.slowAt) {
		w.slowServingSince, w.slowAt = time.Time{}, time.Time{}
	}
}
