package schedule

import (
	"container/heap"
	"time"

	"github.com/sesamestream/sesamestream/pkg/batch"
)

// enough is how many workers with room a search compares: the best of so many
// is among the best hundredth of a larger fleet with a certainty of 0.9, and a
// search then costs the same at any size.
const enough = 256

// search looks for workers for the tasks of one step.
type search struct {
	scheduler *Scheduler
	now       time.Time
	step      *step
	queue     batch.Queue
	need      batch.Resources
	// rack is the one to look on; empty for all.
	rack string
	// patient searches leave out workers that the step would strain.
	patient bool
	// unasked are the workers of which the policy service has to be asked.
	unasked []string
	orders  *Orders
}

func (s *Scheduler) search(now time.Time, st *step, rack string, o *Orders) *search {
	return &search{
		scheduler: s, now: now, step: st, queue: s.terms(st.job), need: need(st.Step), rack: rack, orders: o,
		patient: !st.Fills || !st.patienceOver(now),
	}
}

// wide reports whether the step wants particular workers, so that none may be left out.
func (x *search) wide() bool {
	return x.step.Lasting || x.step.DataRack != "" || x.step.Requires != "" || x.rack != ""
}

// each calls f with the workers that may take a task of the step, and how good each is.
func (x *search) each(f func(w *worker, value float64)) {
	s := x.scheduler
	x.orders.Searches++
	found := 0
	for i := range s.fleet {
		w := s.fleet[(s.next+i)%len(s.fleet)]
		v, ok := x.value(w)
		if !ok {
			continue
		}
		f(w, v)
		if found++; found >= enough && !x.wide() {
			// The next search begins where this one ended, so that all have their turn.
			s.next = (s.next + i + 1) % len(s.fleet)
			break
		}
	}
	if len(x.unasked) > 0 {
		ids := x.unasked
		x.unasked = nil
		x.step.advice.ask(x.now, x.step, ids, x.orders)
	}
}

// value returns how good a worker is for a task of the step, and whether it may take one.
func (x *search) value(w *worker) (float64, bool) {
	st := x.step
	if w.Service != x.queue.Service || !w.takes(x.now) || !x.need.Fits(w.room()) {
		return 0, false
	}
	if st.Requires != "" && !w.Has(st.Requires) || x.rack != "" && w.Rack() != x.rack {
		return 0, false
	}
	if st.MaxPerWorker > 0 && st.counts[w] >= st.MaxPerWorker {
		return 0, false
	}
	taken := 0.0
	if st.Fills {
		if x.patient && w.spare(x.now) < fillFloor(st) {
			return 0, false
		}
		var fits bool
		if fits, taken = x.scheduler.strain(x.now, w, st); x.patient && !fits {
			return 0, false
		}
	}
	if x.queue.Advised {
		switch st.advice.answer(x.now, w) {
		case adviceUnknown:
			x.unasked = append(x.unasked, w.ID)
			return 0, false
		case adviceNo:
			return 0, false
		case adviceYes:
		}
	}
	return x.scheduler.score(x.now, st, w, taken), true
}

// candidate is a worker with how good it is for a task.
type candidate struct {
	worker *worker
	value  float64
}

// better reports whether c goes before d; workers that are as good go by their names.
func (c candidate) better(d candidate) bool {
	return c.value > d.value || c.value == d.value && c.worker.ID < d.worker.ID
}

// ranking is a heap of candidates, the best first.
type ranking []candidate

func (r ranking) Len() int           { return len(r) }
func (r ranking) Less(a, b int) bool { return r[a].better(r[b]) }
func (r ranking) Swap(a, b int)      { r[a], r[b] = r[b], r[a] }

// Push implements heap.Interface.
func (r *ranking) Push(c any) { *r = append(*r, c.(candidate)) }

// Pop implements heap.Interface.
func (r *ranking) Pop() any {
	last := len(*r) - 1
	c := (*r)[last]
	*r = (*r)[:last]
	return c
}

// rank looks through the fleet once for all tasks of a step.
func (x *search) rank() ranking {
	r := x.scheduler.ranked[:0]
	x.each(func(w *worker, v float64) { r = append(r, candidate{w, v}) })
	heap.Init(&r)
	x.scheduler.ranked = r
	return r
}

// placed takes in that the best of r got a task; no other worker has changed by that.
func (x *search) placed(r *ranking) {
	if v, ok := x.value((*r)[0].worker); ok {
		(*r)[0].value = v
		heap.Fix(r, 0)
		return
	}
	heap.Pop(r)
}
