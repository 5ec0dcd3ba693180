package schedule

import (
	"time"

	"github.com/sesamestream/sesamestream/pkg/batch"
)

const (
	// drainStopMargin is left of a draining worker's time for a stop and its listing.
	drainStopMargin = 700 * time.Millisecond
	// maxEvacuatePercent is the progress in percent from which a run without
	// checkpoints stays on a draining worker, which often serves longer than it says.
	maxEvacuatePercent = 50
	// minEstimatePercent is the progress in percent from which a run's speed tells its end.
	minEstimatePercent = 10
)

// setDrainDeadline notes when a draining worker may be gone.
func (w *worker) setDrainDeadline(now time.Time) {
	if w.Draining && w.drainDeadline.IsZero() {
		w.drainDeadline = now.Add(w.DrainLeft)
	}
}

// remainingTime estimates how long t still works.
func (t *task) remainingTime(now time.Time) time.Duration {
	if t.percent >= minEstimatePercent {
		return now.Sub(t.startedAt) * time.Duration(100-t.percent) / time.Duration(t.percent)
	}
	return t.step.Estimate
}

// evacuate stops, on workers that leave, what would end with them and has room
// elsewhere: what lasts at once, other work if it won't be done in time.
func (s *Scheduler) evacuate(now time.Time, o *Orders) {
	taken := map[*worker]batch.Resources{}
	for _, w := range s.workerList {
		if !w.Draining || w.unresponsive {
			continue
		}
		for _, t := range w.tasks {
			if t.stopping || !t.confirmed || t.step.Gang || !t.shouldEvacuate(now, w) {
				continue
			}
			to := s.findWorker(now, t.step, t, o)
			if to == nil || !reservation(t.step.Step).Plus(taken[to]).Fits(to.freeResources()) {
				continue
			}
			taken[to] = taken[to].Plus(reservation(t.step.Step))
			s.orderStop(t, "worker drains")
		}
	}
}

// shouldEvacuate reports whether t would lose more by staying than by a stop.
func (t *task) shouldEvacuate(now time.Time, w *worker) bool {
	if t.step.Lasting {
		return true
	}
	if t.remainingTime(now) < w.drainDeadline.Sub(now)-drainStopMargin {
		return false
	}
	return t.step.Checkpoints || t.percent < maxEvacuatePercent
}
