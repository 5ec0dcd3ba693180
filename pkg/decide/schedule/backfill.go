package schedule

import (
	"slices"
	"time"

	"github.com/sesamestream/sesamestream/pkg/batch"
)

// Small tasks take every piece of room that is freed at once, so that a large
// long-running task would find a worker only by chance. Room is therefore held for one
// that has waited, on the worker where the estimated ends of the running tasks free it
// soonest. Other tasks start there meanwhile if they end before or leave the room (EASY
// backfilling).

// A hold keeps the room that is freed on a worker for a waiting long-running task.
type hold struct {
	task   *task
	worker *worker
	// readyAt is when the room is expected to be free.
	readyAt time.Time
}

const (
	// maxHoldWait bounds the time until a hold is expected to be ready; estimates of longer tasks are rough.
	maxHoldWait = maxAvoidance
	// maxHoldOverrun is how long after that a hold still keeps other long-running tasks from the room,
	// as these have to run again within 6 s beside room for them. Their start takes the other half second.
	maxHoldOverrun = 6*time.Second - maxHoldWait - 500*time.Millisecond
	// holdInterval is the time between two searches for room to hold.
	holdInterval = 250 * time.Millisecond
	// maxHoldSearches bounds the tasks for which one of them looks, as each compares all workers.
	maxHoldSearches = 2
	// holdRetryInterval is how long a step for which no room can be held isn't searched again.
	holdRetryInterval = time.Second
)

// updateHolds gives up the holds that are of no use any more, and holds room for
// long-running tasks that have waited for healthyWorkerWait, in the order of their placement.
func (s *Scheduler) updateHolds(now time.Time, pending []pendingStep, o *Orders) {
	s.holds = slices.DeleteFunc(s.holds, func(h *hold) bool {
		if s.needsHold(now, h, o) {
			return false
		}
		h.worker.hold, h.task.hold = nil, nil
		return true
	})
	if now.Sub(s.heldAt) < holdInterval {
		return
	}
	s.heldAt = now
	searches := 0
	for _, c := range pending {
		if c.step.Gang || now.Sub(c.step.holdFailedAt) < holdRetryInterval {
			continue
		}
		for t := range c.step.records() {
			if t.worker != nil || t.hold != nil || t.yield != nil || !t.lastResortDue(now) {
				continue
			}
			if searches == maxHoldSearches {
				return
			}
			searches++
			if !s.holdRoom(now, t, o) {
				c.step.holdFailedAt = now
				break
			}
		}
	}
}

// needsHold reports whether the task of h still waits and may be given to the worker of h once there is room.
func (s *Scheduler) needsHold(now time.Time, h *hold, o *Orders) bool {
	if h.task.worker != nil || h.task.step.job.state.Final() || s.workers[h.worker.Key()] != h.worker {
		return false
	}
	x := s.newSearch(now, h.task.step, "", o)
	x.ignoreRoom = true
	if x.reservation.MilliCPU > h.worker.Capacity.MilliCPU-h.worker.servingMilliCPU {
		// Another task of the step has taken the room, which the ends of finite tasks don't free again.
		return false
	}
	return x.exclude(h.task, h.worker) == eligible
}

// holdRoom holds room for t on the worker where it is free soonest, and reports whether there is one.
func (s *Scheduler) holdRoom(now time.Time, t *task, o *Orders) bool {
	x := s.newSearch(now, t.step, "", o)
	x.ignoreRoom = true
	var best *hold
	for _, w := range s.workerList {
		if w.hold != nil {
			continue
		}
		if x.exclude(t, w) != eligible {
			continue
		}
		if at, ok := w.freeAt(now, x.reservation); ok && (best == nil || at.Before(best.readyAt)) {
			best = &hold{task: t, worker: w, readyAt: at}
		}
	}
	if best == nil {
		return false
	}
	t.hold, best.worker.hold = best, best
	s.holds = append(s.holds, best)
	return true
}

// freeAt returns when the estimated ends of the tasks on w leave the needed resources
// free. It returns false if they don't within maxHoldWait.
func (w *worker) freeAt(now time.Time, need batch.Resources) (time.Time, bool) {
	if need.MilliCPU > w.Capacity.MilliCPU-w.servingMilliCPU {
		return time.Time{}, false
	}
	type end struct {
		at    time.Time
		frees batch.Resources
	}
	var ends []end
	for _, t := range w.tasks {
		if !t.step.LongRunning {
			ends = append(ends, end{now.Add(max(0, t.remainingTime(now))), reservation(t.step.Step)})
		}
	}
	slices.SortFunc(ends, func(a, b end) int { return a.at.Compare(b.at) })
	free := w.freeResources()
	for _, e := range ends {
		free = free.Plus(e.frees)
		if need.Fits(free) {
			return e.at, e.at.Sub(now) <= maxHoldWait
		}
	}
	return time.Time{}, false
}

// delays reports whether a task of st that starts now takes room that h keeps, beyond the
// time at which that is expected to be free.
func (h *hold) delays(now time.Time, st *step, need batch.Resources) bool {
	if h == nil || h.task.step == st || !st.LongRunning && !now.Add(st.Estimate).After(h.readyAt) {
		return false
	}
	if st.LongRunning && now.Sub(h.readyAt) >= maxHoldOverrun {
		return false
	}
	left := h.worker.freeResources().Minus(reservation(h.task.step.Step))
	return need.MilliCPU > max(0, left.MilliCPU) || need.MemoryMB > max(0, left.MemoryMB) || need.GPU > max(0, left.GPU)
}
