package main

import (
	"net/http"
	"strings"
	"time"
)

// finish is finish_s of the settings, idleFor how long a job may have nothing running after it.
const (
	finish  = 14 * time.Second
	idleFor = 3 * time.Second
)

// playRecord hands in a job that runs many times, and small jobs beside it. The stored
// progress of the large job grows with each time, beyond the largest value of the store.
func playRecord(r *rig, trouble bool) error {
	r.quiet = true
	entry, sides, err := r.deploy(2, "")
	if err != nil {
		return err
	}
	times := 100
	if trouble {
		times = 600
	}
	if _, err := r.submit(entry, job{
		Spec: "runs many times", Steps: []step{{Count: 36, CPU: 20, MemMb: 16, EstDurationMs: 600, Checkpoint: true}},
		StartAtMs: time.Now().UnixMilli(), IntervalMs: 80, RepeatCount: times,
	}); err != nil {
		return err
	}
	var small []string
	for began := time.Now(); time.Since(began) < 65*time.Second; time.Sleep(5 * time.Second) {
		id, err := r.submit(entry, job{Spec: "small", Steps: []step{{Count: 6, CPU: 240, MemMb: 480, EstDurationMs: 1000}}})
		if err != nil {
			return err
		}
		small = append(small, id)
		r.mu.Lock()
		r.noteLocked("%d runs started, ends %v, largest value sent to the store %d bytes", len(r.starts), r.ends, r.largest)
		r.mu.Unlock()
	}
	r.note("the traffic ends")
	time.Sleep(finish)
	// Nothing of these jobs has ever run: their first step's turn has come. Each needs 0.24 cores.
	idle, used := r.notBegun(small), 0
	for end := time.Now().Add(idleFor); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		idle = min(idle, r.notBegun(small))
		for _, n := range sides {
			n.worker.mu.Lock()
			used = max(used, n.worker.usedCPU)
			n.worker.mu.Unlock()
		}
	}
	for _, id := range small {
		status, body := r.call(entry, http.MethodGet, prefix+id, nil)
		r.note("client: GET %s -> %d %s", id, status, strings.TrimSpace(body))
	}
	r.note("ends: %v; at most %d of %d thousandths of a core were in use on a worker for %v", r.ends, used, workerCPU, idleFor)
	if idle > 0 && used < workerCPU/2 {
		r.broken("LOST", "%d accepted jobs have had nothing running %v after the traffic, and for %v more", idle, finish, idleFor)
	}
	return nil
}
