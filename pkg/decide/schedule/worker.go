package schedule

import (
	"slices"
	"time"

	"github.com/sesamestream/sesamestream/pkg/batch"
	"github.com/sesamestream/sesamestream/pkg/decide/interfere"
)

// worker is a worker with what runs on it.
type worker struct {
	batch.Worker
	host string
	// unresponsive workers take no orders; what they run stays theirs.
	unresponsive bool
	tasks        map[batch.Task]*task
	// unassignedRuns are what runs take that nobody assigned, until their ends are listed.
	unassignedRuns map[batch.Task]batch.Resources
	// victims are the tasks with a target for their tail, bestEffort those that fill.
	victims, bestEffort []*task
	// compatibility is how compatibility the worker is to filling work, as found at openAt.
	compatibility   float64
	compatibilityAt time.Time
	reserved        batch.Resources
	// servingMilliCPU is the processor time reserved by tasks that last, in thousandths of a core.
	servingMilliCPU int
	// bestEffortMilliCPU is the processor time asked for by tasks that fill.
	bestEffortMilliCPU int
	health             health
	measuredSpare      spareSample
	// drainDeadline is when a draining worker may be gone.
	drainDeadline time.Time
	// bestEffortShares is what filling images used lately, as the tails follow it.
	bestEffortShares interfere.Shares
	observedAt       time.Time
}

// spareSample learns how much processor time the filling tasks of a worker get.
type spareSample struct {
	// milliCPU is what they used while they wanted more, in thousandths of a core.
	milliCPU   int
	measuredAt time.Time
}

// expectedServingUsage is the share of their reservation that serving tasks are
// expected to use where nothing was measured; their load swings about half.
const expectedServingUsage = 0.6

// maxSpareSampleAge is how long a measured leftover is believed; loads swing in 14 s or more.
const maxSpareSampleAge = 3 * time.Second

// spareMilliCPU returns the processor time that filling tasks may be promised.
func (w *worker) spareMilliCPU(now time.Time) int {
	other := w.reserved.MilliCPU - w.servingMilliCPU
	free := w.Room.MilliCPU - other - int(expectedServingUsage*float64(w.servingMilliCPU))
	if w.measuredSpare.milliCPU > 0 && now.Sub(w.measuredSpare.measuredAt) < maxSpareSampleAge {
		free = w.measuredSpare.milliCPU
	}
	return free - w.bestEffortMilliCPU
}

// isEarlierIncarnation reports whether w is an earlier life of x.
func (w *worker) isEarlierIncarnation(x *worker) bool { return w.ID == x.ID && w.Born < x.Born }

func (w *worker) freeResources() batch.Resources { return w.Room.Minus(w.reserved) }

// reservation is what t takes of the worker's room.
func reservation(s *batch.Step) batch.Resources {
	n := s.Need
	if s.Fills {
		n.MilliCPU = 0
	}
	return n
}

func (w *worker) addTask(t *task) {
	w.tasks[t.id] = t
	w.reserved = w.reserved.Plus(reservation(t.step.Step))
	if t.step.TailTarget > 0 {
		w.victims = append(w.victims, t)
		w.compatibilityAt = time.Time{}
	}
	switch {
	case t.step.Fills:
		w.bestEffort = append(w.bestEffort, t)
		w.bestEffortMilliCPU += t.step.Need.MilliCPU
	case t.step.Lasting:
		w.servingMilliCPU += t.step.Need.MilliCPU
	}
}

func (w *worker) removeTask(t *task) {
	delete(w.tasks, t.id)
	w.reserved = w.reserved.Minus(reservation(t.step.Step))
	if i := slices.Index(w.victims, t); i >= 0 {
		w.victims = slices.Delete(w.victims, i, i+1)
		w.compatibilityAt = time.Time{}
	}
	switch {
	case t.step.Fills:
		if i := slices.Index(w.bestEffort, t); i >= 0 {
			w.bestEffort = slices.Delete(w.bestEffort, i, i+1)
		}
		w.bestEffortMilliCPU -= t.step.Need.MilliCPU
	case t.step.Lasting:
		w.servingMilliCPU -= t.step.Need.MilliCPU
	}
}

// addUnassigned counts a run that is to be stopped; it takes its room until its end is listed.
func (w *worker) addUnassigned(t *task) {
	if w.unassignedRuns == nil {
		w.unassignedRuns = map[batch.Task]batch.Resources{}
	}
	w.unassignedRuns[t.id] = reservation(t.step.Step)
	w.reserved = w.reserved.Plus(w.unassignedRuns[t.id])
}

// removeUnassigned gives the room of a stray back.
func (w *worker) removeUnassigned(t batch.Task) {
	if n, ok := w.unassignedRuns[t]; ok {
		w.reserved = w.reserved.Minus(n)
		delete(w.unassignedRuns, t)
	}
}

// acceptsTasks reports whether the worker acceptsTasks new work at all.
func (w *worker) acceptsTasks(now time.Time) bool {
	if w.unresponsive || w.Draining || w.health.quarantined(now) {
		return false
	}
	return !w.health.probing() || !w.hasProbeRun()
}

// hasProbeRun reports whether the worker has a run that tells whether it works again.
func (w *worker) hasProbeRun() bool {
	for _, t := range w.tasks {
		if !t.step.Lasting && !t.startedAt.Before(w.health.quarantinedUntil) {
			return true
		}
	}
	return false
}
