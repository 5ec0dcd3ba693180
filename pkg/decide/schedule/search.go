package schedule

import (
	"container/heap"
	"time"

	"github.com/sesamestream/sesamestream/pkg/batch"
)

// maxCandidates bounds the suitable workers that a search compares, so that it
// costs the same for any fleet size. The best of 256 is among the best hundredth
// of a larger fleet with a probability of 0.9.
const maxCandidates = 256

// search finds workers for the tasks of one step.
type search struct {
	scheduler   *Scheduler
	now         time.Time
	step        *step
	queue       batch.Queue
	reservation batch.Resources
	// rack restricts the search to one rack; empty is any.
	rack string
	// limitInterference leaves out workers on which the step would interfere too much or lack processor time.
	limitInterference bool
	// lastResort admits workers whose health is in doubt, one such run at a time.
	lastResort bool
	// ignoreRoom admits workers that have no room now.
	ignoreRoom bool
	// ignoreHold admits workers with a hold, for a task whose own room the hold counts as taken.
	ignoreHold bool
	// unadvised are the workers on which the policy service has not decided.
	unadvised []string
	orders    *Orders
}

// newSearch returns a search for the tasks of st.
func (s *Scheduler) newSearch(now time.Time, st *step, rack string, o *Orders) *search {
	return &search{
		scheduler: s, now: now, step: st, queue: s.queueConfig(st.job), reservation: reservation(st.Step), rack: rack, orders: o,
		limitInterference: !st.BestEffort || !st.waitLimitReached(now),
	}
}

// exhaustive reports whether the search must cover all workers, because the step needs particular ones.
func (x *search) exhaustive() bool {
	return x.step.LongRunning || x.step.DataRack != "" || x.step.RequiredLabel != "" || x.rack != ""
}

// forEachCandidate calls f with the workers that may take a task of the step and their scores.
func (x *search) forEachCandidate(f func(w *worker, score float64)) {
	s := x.scheduler
	x.orders.Searches++
	found := 0
	for i := range s.workerList {
		w := s.workerList[(s.nextSearchStart+i)%len(s.workerList)]
		v, e := x.evaluate(w)
		if e != eligible {
			continue
		}
		f(w, v)
		if found++; found >= maxCandidates && !x.exhaustive() {
			// The next search starts where this one ended, so that every worker is considered in turn.
			s.nextSearchStart = (s.nextSearchStart + i + 1) % len(s.workerList)
			break
		}
	}
	if x.queue.Advised {
		s.want(x.now, x.step, x.unadvised)
		x.unadvised = x.unadvised[:0]
	}
}

// evaluate returns the score of a worker for a task of the step, or why the worker may not take one.
func (x *search) evaluate(w *worker) (float64, exclusion) {
	st := x.step
	if w.Service != x.queue.Service {
		return 0, otherService
	}
	e := w.refusesStep(x.now, st)
	if e != eligible && (!x.lastResort || !e.doubtful() || !w.mayTryLongRunning(x.now)) {
		return 0, e
	}
	if e := lacking(x.reservation, w.freeResources()); e != eligible && !x.ignoreRoom {
		return 0, e
	}
	switch {
	case st.RequiredLabel != "" && !w.HasLabel(st.RequiredLabel):
		return 0, lacksLabel
	case x.rack != "" && w.Rack() != x.rack:
		return 0, otherRack
	case !x.ignoreHold && w.hold.delays(x.now, st, x.reservation), w.yield.refuses(st, x.queue.Priority):
		return 0, held
	case st.MaxPerWorker > 0 && st.tasksPerWorker[w] >= st.MaxPerWorker:
		return 0, atTaskLimit
	}
	interference := 0.0
	if st.BestEffort {
		if x.limitInterference && x.scheduler.spareMilliCPU(x.now, w) < minBestEffortCPU(st) {
			return 0, lacksSpareCPU
		}
		var fits bool
		if fits, interference = x.scheduler.expectedInterference(x.now, w, st); x.limitInterference && !fits {
			return 0, wouldInterfere
		}
	}
	if x.queue.Advised {
		switch st.advice.decision(x.now, w) {
		case adviceUnknown:
			x.unadvised = append(x.unadvised, w.ID)
			return 0, unadvised
		case adviceDenied:
			return 0, denied
		case adviceGranted:
		}
	}
	return x.scheduler.score(x.now, st, w, interference), eligible
}

// exclude returns why t may not be given to w, or eligible.
func (x *search) exclude(t *task, w *worker) exclusion {
	if _, e := x.evaluate(w); e != eligible {
		return e
	}
	return x.avoids(t, w)
}

// avoids returns why t isn't given to w, as the outcome of its earlier runs there suggests.
func (x *search) avoids(t *task, w *worker) exclusion {
	switch {
	case t.avoidance.covers(x.now, w.Machine) && len(x.scheduler.workerList) > 1:
		return avoided
	case t.onLastAttempt(x.queue) && x.now.Sub(t.failedAt) < recentFailureWindow && w.health.failedRecently(x.now):
		return failedLately
	case t.onLastAttempt(x.queue) && x.now.Sub(t.failedAt) < lastAttemptPatience && w.health.probing() && len(x.scheduler.workerList) > 1:
		return failedLately
	}
	return eligible
}

// candidate is a worker with its score for a task.
type candidate struct {
	worker *worker
	score  float64
}

// better reports whether c ranks before d. Equal scores are ordered by worker ID.
func (c candidate) better(d candidate) bool {
	return c.score > d.score || c.score == d.score && c.worker.ID < d.worker.ID
}

// candidateHeap is a heap of candidates, the best first.
type candidateHeap []candidate

func (r candidateHeap) Len() int           { return len(r) }
func (r candidateHeap) Less(a, b int) bool { return r[a].better(r[b]) }
func (r candidateHeap) Swap(a, b int)      { r[a], r[b] = r[b], r[a] }

// Push implements heap.Interface.
func (r *candidateHeap) Push(c any) { *r = append(*r, c.(candidate)) }

// Pop implements heap.Interface.
func (r *candidateHeap) Pop() any {
	last := len(*r) - 1
	c := (*r)[last]
	*r = (*r)[:last]
	return c
}

// rank returns the candidates for all tasks of the step from one search.
func (x *search) rank() candidateHeap {
	r := x.scheduler.rankingBuffer[:0]
	x.forEachCandidate(func(w *worker, v float64) { r = append(r, candidate{w, v}) })
	heap.Init(&r)
	x.scheduler.rankingBuffer = r
	return r
}

// updateFirst updates r after its best candidate was given a task. The scores of the others are unchanged.
func (x *search) updateFirst(r *candidateHeap) {
	if v, e := x.evaluate((*r)[0].worker); e == eligible {
		(*r)[0].score = v
		heap.Fix(r, 0)
		return
	}
	heap.Pop(r)
}
