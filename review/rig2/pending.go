package main

import (
	"fmt"
	"net/http"
	"time"
)

// playPending crashes the only worker with a label for good, just before jobs that require
// the label come. Their first starts are ordered and never carried out.
func playPending(r *rig, trouble bool) error {
	entry, sides, err := r.deploy(8, "b")
	if err != nil {
		return err
	}
	labelled := sides[len(sides)-1].worker
	time.Sleep(3 * time.Second)
	if trouble {
		labelled.crash()
	}
	const jobs = 10
	var ids []string
	for range jobs {
		id, err := r.submit(entry, job{Spec: "needs b", Steps: []step{{Count: 6, CPU: 240, MemMb: 480, EstDurationMs: 1000, Requires: "b"}}})
		if err != nil {
			return err
		}
		ids = append(ids, id)
	}
	accepted := time.Now()
	for range 12 {
		time.Sleep(time.Second)
		age := time.Since(accepted)
		waiting := r.notBegun(ids)
		status, body := r.call(entry, http.MethodGet, prefix, nil)
		r.note("client: GET %s -> %d %s; %d jobs that were accepted %.1f s ago or more haven't begun", prefix, status, body, waiting, age.Seconds())
		var shown int
		if _, err := fmt.Sscanf(body, `{"pending":%d}`, &shown); err == nil && age > pendingDue && 2*shown < r.notBegun(ids) {
			r.broken("MIXED", "%d jobs are shown as pending, and %d haven't begun", shown, waiting)
		}
	}
	return nil
}

// pendingDue is visible_ms and 2 s more, after which a job has to be counted.
const pendingDue = 5 * time.Second

// notBegun returns how many of the jobs have had no start.
func (r *rig) notBegun(ids []string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, id := range ids {
		begun := false
		for i := range 6 {
			begun = begun || r.starts[fmt.Sprintf("%s.0.0.%d", id, i)] > 0
		}
		if !begun {
			n++
		}
	}
	return n
}

// crash ends the worker for good: its machine is dark, so that no call is answered.
func (w *worker) crash() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.dead = true
	for t, x := range w.runs {
		delete(w.runs, t)
		w.rig.runEnded(w.id, t, x.number, "lost with the worker")
	}
	w.rig.note("worker %s: crashed", w.id)
}
