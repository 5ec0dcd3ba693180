package schedule

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/sesamestream/sesamestream/pkg/batch"
	"github.com/sesamestream/sesamestream/pkg/decide/interfere"
)

// worker is a worker with the runs assigned to it.
type worker struct {
	batch.Worker
	host string
	// unresponsive workers are given no orders; their runs stay assigned to them.
	unresponsive bool
	// silent workers don't answer their host and are treated likewise.
	silent bool
	// evacuated is set while the evacuation of the worker's data centre is requested.
	evacuated bool
	// warmAt is until when the worker is slow after its start.
	warmAt time.Time
	// unavailableUntil is until when the worker gets no tasks after its host refused one.
	unavailableUntil time.Time
	tasks            map[batch.Task]*task
	// unassignedRuns are the steps of runs that are not assigned to the worker, until it lists their ends.
	unassignedRuns map[batch.Task]*step
	// victims are the tasks with a tail latency target, bestEffort the best-effort tasks.
	victims, bestEffort []*task
	// compatibility is the compatibility with best-effort tasks as computed at compatibilityAt.
	compatibility   float64
	compatibilityAt time.Time
	// headroom is the occupancy that may be added to each of victims, as computed at headroomAt.
	headroom   []float64
	headroomAt time.Time
	reserved   batch.Resources
	// servingMilliCPU is the processor time reserved by long-running tasks, in thousandths of a core.
	servingMilliCPU int
	// bestEffortMilliCPU is the processor time requested by best-effort tasks, in thousandths of a core.
	bestEffortMilliCPU int
	health             health
	// hold is the hold of room on the worker, or nil.
	hold *hold
	// yield is the room on the worker that running tasks yield to urgent work, or nil.
	yield         *roomYield
	measuredSpare spareSample
	// drainDeadline is when a draining worker may be gone.
	drainDeadline time.Time
	// bestEffortShares is the recent usage of best-effort images, smoothed as the tail latencies follow it.
	bestEffortShares interfere.Shares
	observedAt       time.Time
	// slowServingSince is since when nothing but a slow worker explains its tail latencies; zero while others do.
	// slowAt is when they last showed a slow worker; zero once something shows the contrary.
	slowServingSince, slowAt time.Time
}

// spareSample is a measurement of the processor time that the best-effort tasks of a worker get.
type spareSample struct {
	// milliCPU is their total usage while they lacked processor time, in thousandths of a core.
	milliCPU   int
	measuredAt time.Time
}

// expectedServingUsage is the share of their reservation that long-running tasks
// are expected to use where their load isn't known.
const expectedServingUsage = 0.6

// maxSpareSampleAge bounds the age of a spare time sample in use; loads swing over 14 s or more.
const maxSpareSampleAge = 3 * time.Second

// spareMilliCPU returns the processor time left on w for further best-effort tasks, in thousandths of a core.
func (s *Scheduler) spareMilliCPU(now time.Time, w *worker) int {
	free := w.Capacity.MilliCPU - (w.reserved.MilliCPU - w.servingMilliCPU)
	if w.measuredSpare.milliCPU > 0 && now.Sub(w.measuredSpare.measuredAt) < maxSpareSampleAge {
		return w.measuredSpare.milliCPU - w.bestEffortMilliCPU
	}
	unknown := w.servingMilliCPU
	for _, v := range w.victims {
		if load, ok := s.knownLoad(now, v); ok && v.step.LongRunning && !s.variant.constantServingUse {
			free -= int(load * float64(v.step.Need.MilliCPU))
			unknown -= v.step.Need.MilliCPU
		}
	}
	return free - int(expectedServingUsage*float64(unknown)) - w.bestEffortMilliCPU
}

// isEarlierIncarnation reports whether w is an earlier incarnation of x.
func (w *worker) isEarlierIncarnation(x *worker) bool {
	return w.ID == x.ID && w.StartTime < x.StartTime
}

// freeResources returns the capacity of the worker that is not reserved.
func (w *worker) freeResources() batch.Resources { return w.Capacity.Minus(w.reserved) }

// reservation returns the resources that a task of s reserves on its worker.
// Best-effort tasks reserve no processor time.
func reservation(s *batch.Step) batch.Resources {
	n := s.Need
	if s.BestEffort {
		n.MilliCPU = 0
	}
	return n
}

// addTask adds an assigned task and its reservation.
func (w *worker) addTask(t *task) {
	w.tasks[t.id] = t
	w.headroomAt = time.Time{}
	w.reserved = w.reserved.Plus(reservation(t.step.Step))
	if t.step.LatencyTarget > 0 {
		w.victims = append(w.victims, t)
		w.compatibilityAt = time.Time{}
	}
	switch {
	case t.step.BestEffort:
		w.bestEffort = append(w.bestEffort, t)
		w.bestEffortMilliCPU += t.step.Need.MilliCPU
	case t.step.LongRunning:
		w.servingMilliCPU += t.step.Need.MilliCPU
	}
}

// removeTask removes a task and its reservation.
func (w *worker) removeTask(t *task) {
	delete(w.tasks, t.id)
	w.headroomAt = time.Time{}
	w.reserved = w.reserved.Minus(reservation(t.step.Step))
	if i := slices.Index(w.victims, t); i >= 0 {
		w.victims = slices.Delete(w.victims, i, i+1)
		w.compatibilityAt = time.Time{}
	}
	switch {
	case t.step.BestEffort:
		if i := slices.Index(w.bestEffort, t); i >= 0 {
			w.bestEffort = slices.Delete(w.bestEffort, i, i+1)
		}
		w.bestEffortMilliCPU -= t.step.Need.MilliCPU
	case t.step.LongRunning:
		w.servingMilliCPU -= t.step.Need.MilliCPU
	}
}

// addUnassigned reserves the resources of a run that is to be stopped, until its end is
// listed. A run that is listed twice counts once.
func (w *worker) addUnassigned(t *task) {
	w.removeUnassigned(t.id)
	if w.unassignedRuns == nil {
		w.unassignedRuns = map[batch.Task]*step{}
	}
	w.unassignedRuns[t.id] = t.step
	w.reserved = w.reserved.Plus(reservation(t.step.Step))
	t.step.countOn(w, 1)
}

// removeUnassigned releases the resources of an unassigned run.
func (w *worker) removeUnassigned(t batch.Task) {
	if st, ok := w.unassignedRuns[t]; ok {
		w.reserved = w.reserved.Minus(reservation(st.Step))
		st.countOn(w, -1)
		delete(w.unassignedRuns, t)
	}
}

// tasksInOrder returns the tasks of the worker in the order of their names, so that the same
// inputs give the same orders.
func (w *worker) tasksInOrder() []*task {
	return slices.SortedFunc(maps.Values(w.tasks), func(a, b *task) int { return cmp.Compare(a.id.String(), b.id.String()) })
}

// outOfReach reports whether no order reaches the worker at present.
func (w *worker) outOfReach() bool { return w.unresponsive || w.silent }

// refusesTasks returns why the worker may not be given new work at all.
func (w *worker) refusesTasks(now time.Time) exclusion {
	switch {
	case w.outOfReach() || now.Before(w.unavailableUntil):
		return unresponsive
	case w.evacuated:
		return evacuated
	case w.Draining:
		return draining
	case w.health.quarantined(now):
		return quarantined
	case w.health.probing() && w.hasRunSince(now, w.health.quarantinedUntil):
		return probing
	}
	return eligible
}

// refusesStep returns why the worker may not be given work of a step, whatever its size.
func (w *worker) refusesStep(now time.Time, st *step) exclusion {
	e := w.refusesTasks(now)
	if e == eligible && !w.maySuit(now, st) {
		e = slow
	}
	return e
}

// onProbation reports whether the worker may be given a task of a long-running step only as a last resort.
func (w *worker) onProbation(now time.Time, st *step) bool {
	return w.refusesStep(now, st).doubtful() && w.mayTryLongRunning(now)
}

// mayTryLongRunning reports whether w, whose health is in doubt, may be given a
// long-running task that finds no other worker: one at a time until it is at work, and
// not sooner than minQuarantine after the last failed run.
func (w *worker) mayTryLongRunning(now time.Time) bool {
	doubtAt := w.health.lastFailedAt
	if now.Sub(doubtAt) < minQuarantine {
		return false
	}
	for _, at := range []time.Time{w.health.quarantinedAt, w.slowAt} {
		if at.After(doubtAt) {
			doubtAt = at
		}
	}
	onTrial := false
	for _, t := range w.tasks {
		if !t.step.LongRunning {
			continue
		}
		if t.percent >= atWorkPercent && t.startedAt.After(doubtAt) {
			return true
		}
		onTrial = onTrial || t.onTrial(now)
	}
	return !onTrial
}

// onTrial reports whether the task is about to show whether its worker can run it. A
// finite task that takes longer than any quarantine shows nothing any more.
func (t *task) onTrial(now time.Time) bool {
	limit := maxQuarantine
	if t.step.LongRunning {
		limit = maxTrial
	}
	return t.percent < atWorkPercent && now.Sub(t.startedAt) < limit
}

// maxTrial is how long a long-running run that isn't at work keeps others from a worker
// whose health is in doubt. Some never are, and a task that waits has to run in time.
const maxTrial = 4 * time.Second

// hasRunSince reports whether the worker has a run that started at a time or later
// whose outcome will show the health of the worker: its end, or that a long-running one is at work.
func (w *worker) hasRunSince(now, at time.Time) bool {
	for _, t := range w.tasks {
		if !t.startedAt.Before(at) && t.onTrial(now) {
			return true
		}
	}
	return false
}
