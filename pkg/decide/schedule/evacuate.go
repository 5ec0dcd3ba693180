package schedule

import (
	"time"

	"github.com/sesamestream/sesamestream/pkg/batch"
)

const (
	// stopMargin is left of a draining worker's time for a stop and its listing.
	stopMargin = 700 * time.Millisecond
	// worthFinishing is the progress in percent from which a run without
	// checkpoints stays on a draining worker, which often serves longer than it says.
	worthFinishing = 50
	// trusted is the progress in percent from which a run's speed tells its end.
	trusted = 10
)

// drains notes when a draining worker may be gone.
func (w *worker) drains(now time.Time) {
	if w.Draining && w.leaves.IsZero() {
		w.leaves = now.Add(w.DrainLeft)
	}
}

// remaining estimates how long t still works.
func (t *task) remaining(now time.Time) time.Duration {
	if t.percent >= trusted {
		return now.Sub(t.started) * time.Duration(100-t.percent) / time.Duration(t.percent)
	}
	return t.step.Estimate
}

// evacuate stops, on workers that leave, what would end with them and has room
// elsewhere: what lasts at once, other work if it won't be done in time.
func (s *Scheduler) evacuate(now time.Time, o *Orders) {
	taken := map[*worker]batch.Resources{}
	for _, w := range s.fleet {
		if !w.Draining || w.silent {
			continue
		}
		for _, t := range w.tasks {
			if t.stopping || !t.there || t.step.Gang || !t.leavesLoss(now, w) {
				continue
			}
			to := s.place(now, t.step, t, o)
			if to == nil || !need(t.step.Step).Plus(taken[to]).Fits(to.room()) {
				continue
			}
			taken[to] = taken[to].Plus(need(t.step.Step))
			s.stop(t, "worker drains")
		}
	}
}

// leavesLoss reports whether t would lose more by staying than by a stop.
func (t *task) leavesLoss(now time.Time, w *worker) bool {
	if t.step.Lasting {
		return true
	}
	if t.remaining(now) < w.leaves.Sub(now)-stopMargin {
		return false
	}
	return t.step.Checkpoints || t.percent < worthFinishing
}
