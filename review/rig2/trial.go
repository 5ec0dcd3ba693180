package main

import (
	"net/http"
	"time"
)

// playTrial hands in three lasting tasks that fail in their startup, and then a sound one of a queue
// with advice. All require a label that one worker has.
func playTrial(r *rig, trouble bool) error {
	entry, sides, err := r.deploy(8, "b")
	if err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	lasting := []step{{Count: 1, CPU: 3200, MemMb: 6400, Requires: "b", LongRunning: true}}
	for range soundJobs {
		if _, err := r.submit(entry, job{Spec: "sound beside", Steps: []step{{Count: 1, CPU: 100, MemMb: 64, LongRunning: true}}}); err != nil {
			return err
		}
	}
	time.Sleep(time.Second)
	if trouble {
		for range failingJobs {
			if _, err := r.submit(entry, job{Spec: "fails in its startup", Steps: lasting, failsAfter: failingStartup}); err != nil {
				return err
			}
		}
	}
	time.Sleep(time.Second)
	id, err := r.submitTo(entry, advisedPrefix, job{Spec: "sound", Steps: lasting})
	if err != nil {
		return err
	}
	time.Sleep(finish)
	task := id + ".0.0.0"
	ran, used := r.isRunning(task), 0
	for end := time.Now().Add(idleFor); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		ran = ran || r.isRunning(task)
		w := sides[len(sides)-1].worker
		w.mu.Lock()
		used = max(used, w.usedCPU)
		w.mu.Unlock()
	}
	_, body := r.call(entry, http.MethodGet, advisedPrefix+id, nil)
	r.note("client: GET %s -> %s; at most %d of %d thousandths of a core of the worker with the label were in use for %v", id, body, used, workerCPU, idleFor)
	if !ran && 2*lasting[0].CPU <= workerCPU-used {
		r.broken("LOST", "%s has had no run %v after the traffic, and for %v more, with room for it twice over", task, finish, idleFor)
	}
	return nil
}

// failingJobs is the number of the failing jobs. With soundJobs, which may run anywhere, they are a share of 0.05.
const failingJobs, soundJobs = 3, 57

// failingStartup is how long the failing tasks run.
const failingStartup = 700 * time.Millisecond

// isRunning reports whether a task is at work on a worker.
func (r *rig) isRunning(task string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.running[task]) > 0
}
