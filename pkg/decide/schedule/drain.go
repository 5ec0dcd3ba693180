package schedule

import (
	"time"

	"github.com/sesamestream/sesamestream/pkg/batch"
)

const (
	// drainStopMargin is the time reserved before the end of a drain for stopping a
	// run and for the worker to list its end.
	drainStopMargin = 700 * time.Millisecond
	// maxDrainPercent is the progress in percent from which a run without
	// checkpoints stays on a draining worker, because workers often remain longer than they report.
	maxDrainPercent = 50
	// minEstimatePercent is the progress in percent from which the speed of a run predicts its end.
	minEstimatePercent = 10
)

// drainReason is the logged reason of a stop.
const drainReason = "worker drains"

// setDrainDeadline records the time after which a draining worker may be gone.
func (w *worker) setDrainDeadline(now time.Time) {
	switch {
	case !w.Draining:
		w.drainDeadline = time.Time{}
	case w.drainDeadline.IsZero():
		w.drainDeadline = now.Add(w.DrainRemaining)
	}
}

// remainingTime estimates how long t has to run until it is done.
func (t *task) remainingTime(now time.Time) time.Duration {
	if t.percent >= minEstimatePercent {
		return now.Sub(t.startedAt) * time.Duration(100-t.percent) / time.Duration(t.percent)
	}
	return t.step.Estimate
}

// moveFromDraining stops runs on draining workers that would be lost there and that fit
// on another worker. Long-running tasks are stopped at once, other tasks only if
// they cannot finish before the worker is gone.
func (s *Scheduler) moveFromDraining(now time.Time, o *Orders) {
	reserved := map[*worker]batch.Resources{}
	for _, w := range s.workerList {
		if !w.Draining || w.outOfReach() {
			continue
		}
		for _, t := range w.tasksInOrder() {
			if t.stopping || !t.confirmed || t.step.Gang || !t.shouldLeaveDraining(now, w) {
				continue
			}
			to := s.findWorker(now, t.step, t, o)
			if to == nil || !reservation(t.step.Step).Plus(reserved[to]).Fits(to.freeResources()) {
				continue
			}
			if t.step.LongRunning {
				// Later passes, and tasks that leave an evacuated data centre, look for the same room.
				s.moveServing(now, t, to, drainReason)
				continue
			}
			reserved[to] = reserved[to].Plus(reservation(t.step.Step))
			s.orderStop(t, drainReason)
		}
	}
}

// shouldLeaveDraining reports whether t loses more work by staying on w than by being stopped.
func (t *task) shouldLeaveDraining(now time.Time, w *worker) bool {
	if t.step.LongRunning {
		return true
	}
	if t.remainingTime(now) < w.drainDeadline.Sub(now)-drainStopMargin {
		return false
	}
	return t.step.Checkpoints || t.percent < maxDrainPercent
}
