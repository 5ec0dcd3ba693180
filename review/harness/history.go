package main

import (
	"sync"
	"time"
)

// A history holds what the workers have seen of each task.
type history struct {
	rec *record

	mu    sync.Mutex
	tasks map[string][]*runRecord
	lapse map[string][]time.Duration
}

// A runRecord is one run of a task on a worker.
type runRecord struct {
	worker    string
	number    int
	startedAt time.Duration
	endedAt   time.Duration
	// how is empty while the run has not ended.
	how string
	seq int64
	// seenAt is when seenUpto reached the end; 0 while it has not.
	seenAt time.Duration
}

func newHistory(r *record) *history {
	return &history{rec: r, tasks: map[string][]*runRecord{}, lapse: map[string][]time.Duration{}}
}

func (h *history) started(worker, task string, number int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.tasks[task] = append(h.tasks[task], &runRecord{worker: worker, number: number, startedAt: h.rec.now()})
}

func (h *history) ended(worker, task string, number int, how string, seq int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, r := range h.tasks[task] {
		if r.worker == worker && r.number == number && r.how == "" {
			r.how, r.seq, r.endedAt = how, seq, h.rec.now()
		}
	}
}

func (h *history) seen(worker string, upto int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, rs := range h.tasks {
		for _, r := range rs {
			if r.worker == worker && r.how != "" && r.seq > 0 && r.seq <= upto && r.seenAt == 0 {
				r.seenAt = h.rec.now()
			}
		}
	}
}

// lapsed records that the lease of a worker has lapsed.
func (h *history) lapsed(worker string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lapse[worker] = append(h.lapse[worker], h.rec.now())
}

// lapsedBetween reports whether the lease of a worker lapsed in a span.
func (h *history) lapsedBetween(worker string, from, to time.Duration) bool {
	for _, at := range h.lapse[worker] {
		if at >= from && at <= to {
			return true
		}
	}
	return false
}

// doubled counts the starts that break the rule TWICE: two runs of a task at the same
// time, or a start after a run has ended done, if that end was seen then or later and
// the lease of the worker did not lapse between the two.
func (h *history) doubled() (overlaps, afterDone int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for task, rs := range h.tasks {
		for i, a := range rs {
			for _, b := range rs[i+1:] {
				switch {
				case a.how == "" || b.startedAt < a.endedAt:
					overlaps++
					h.rec.printf("CHECK %s: run %d on %s starts while run %d on %s runs", task, b.number, b.worker, a.number, a.worker)
				case a.how == "done" && a.seenAt > 0 && !h.lapsedBetween(a.worker, a.endedAt, a.seenAt):
					afterDone++
					h.rec.printf("CHECK %s: run %d on %s starts at %.3f s, after run %d on %s has ended done at %.3f s, which was seen at %.3f s",
						task, b.number, b.worker, b.startedAt.Seconds(), a.number, a.worker, a.endedAt.Seconds(), a.seenAt.Seconds())
				}
			}
		}
	}
	return overlaps, afterDone
}

// count returns how many tasks have run, and how many of them have ended done.
func (h *history) count() (run, done int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, rs := range h.tasks {
		run++
		for _, r := range rs {
			if r.how == "done" {
				done++
				break
			}
		}
	}
	return run, done
}

// running reports whether a task of a job is at work now.
func (h *history) running(job string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	for task, rs := range h.tasks {
		if len(task) < len(job) || task[:len(job)] != job {
			continue
		}
		for _, r := range rs {
			if r.how == "" {
				return true
			}
		}
	}
	return false
}

// startCount returns how many runs of a job's tasks have begun.
func (h *history) startCount(job string) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := 0
	for task, rs := range h.tasks {
		if len(task) >= len(job) && task[:len(job)] == job {
			n += len(rs)
		}
	}
	return n
}
