package schedule

import (
	"time"
)

// An evacuation request asks that nothing more is started in a data centre until the
// request is removed. What runs there may end. Long-running tasks never do, so they are
// moved, one of a step at a time, to workers with room for them.

const (
	// evacuationInterval is the time between two searches for moves out of evacuated data
	// centres. A moved task is away for about a second.
	evacuationInterval = 250 * time.Millisecond
	// workersPerEvacuationMove is the number of workers for each of which one task may be
	// on its way out at a time, so that the stops and starts of a large evacuation are spread.
	workersPerEvacuationMove = 16
	// unansweredStartLimit is how long a start in an evacuated data centre may go
	// unanswered before it's stopped, so that a late attempt isn't carried out.
	unansweredStartLimit = time.Second
	// busyMoveInterval is the time between two moves while finite work waits for room. Such work
	// may wait for as long as the evacuation lasts, if only the evacuated data centre can run it.
	busyMoveInterval = time.Second
	// maxEvacuationSearches bounds the tasks for which one search for moves looks, as each compares
	// all workers. A step for which it finds none is left out for moveRetryInterval.
	maxEvacuationSearches = 8
	moveRetryInterval     = time.Second
)

// evacuationReason is the logged reason of a stop.
const evacuationReason = "data centre is evacuated"

// SetEvacuations sets the data centres in which nothing more is started. Unknown ones are
// kept, as their workers may still come.
func (s *Scheduler) SetEvacuations(dataCentres []string) {
	s.evacuations = make(map[string]bool, len(dataCentres))
	for _, d := range dataCentres {
		s.evacuations[d] = true
	}
	for _, w := range s.workerList {
		w.evacuated = s.evacuations[w.DataCentre]
	}
}

// CountWorkers returns how many workers are in a data centre.
func (s *Scheduler) CountWorkers(dataCentre string) int {
	n := 0
	for _, w := range s.workerList {
		if w.DataCentre == dataCentre {
			n++
		}
	}
	return n
}

// evacuate stops unanswered starts on evacuated workers, and moves long-running tasks from
// them, few at a time while finite work is pending, which needs the room at once.
func (s *Scheduler) evacuate(now time.Time, pendingFinite []pendingStep, o *Orders) {
	if len(s.evacuations) == 0 || now.Sub(s.evacuatedAt) < evacuationInterval {
		return
	}
	s.evacuatedAt = now
	limit := len(s.workerList)/workersPerEvacuationMove + 1 - len(s.moves)
	if waitsForRoom(pendingFinite) {
		limit = min(limit, 1)
		if now.Sub(s.evacuationMoveAt) < busyMoveInterval {
			limit = 0
		}
	}
	searches := 0
	first := s.nextEvacuated
	for i := range s.workerList {
		at := (first + i) % len(s.workerList)
		w := s.workerList[at]
		if !w.evacuated || w.outOfReach() {
			continue
		}
		for _, t := range w.tasksInOrder() {
			switch {
			case t.stopping:
			case !t.confirmed:
				if now.Sub(t.startedAt) >= unansweredStartLimit {
					s.orderStop(t, evacuationReason)
				}
			case limit > 0 && searches < maxEvacuationSearches && t.mayLeaveEvacuated(now):
				searches++
				s.nextEvacuated = at
				to := s.findWorker(now, t.step, t, o)
				if to == nil {
					t.step.moveFailedAt = now
					continue
				}
				s.moveServing(now, t, to, evacuationReason)
				s.evacuationMoveAt = now
				limit--
			}
		}
	}
}

// mayLeaveEvacuated reports whether a worker is to be searched for t, which runs in an evacuated
// data centre: t never ends, and all other tasks of its step are at work. A caller who states no
// MaxUnavailable would otherwise keep the data centre from ever being empty.
func (t *task) mayLeaveEvacuated(now time.Time) bool {
	if !t.step.LongRunning || t.step.Gang || now.Sub(t.step.moveFailedAt) < moveRetryInterval || !t.mayBeAway() {
		return false
	}
	// A task whose worker is out of reach may be gone.
	for o := range t.step.records() {
		if o.worker.outOfReach() {
			return false
		}
	}
	return true
}

// waitsForRoom reports whether any of the steps waits for processor time that it reserves.
func waitsForRoom(steps []pendingStep) bool {
	for _, c := range steps {
		if !c.step.BestEffort && c.step.unassigned > 0 {
			return true
		}
	}
	return false
}
