package main

import (
	"fmt"
	"time"
)

// avoidedWorker fails one run of a task that lasts and one of a task that needs a
// label. For both the worker on which they failed is the only one with room that
// they may use. It is broken if they are not started again.
func avoidedWorker(r *rig, trouble bool) (bool, error) {
	const (
		workers = 11
		// restartBound is how long a task that lasts may be away, idle how long nothing may run then.
		restartBound = 6 * time.Second
		idle         = 3 * time.Second
		finish       = 14 * time.Second
		work         = 2 * time.Second
	)
	var ws []*worker
	for i := range workers {
		w := &worker{id: fmt.Sprintf("i-%02x00000000", i+16), capacity: need{16000, 62500}, labels: []string{"a", fmt.Sprintf("r1-%d", i/3)}}
		if i == 0 {
			w.labels[0] = "b"
		}
		ws = append(ws, w)
	}
	if err := r.startMachines(3, ws...); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	lasting, labelled := fmt.Sprintf("%016x", 0xc001), fmt.Sprintf("%016x", 0xc002)
	if err := r.submit(lasting, step{Count: workers, CPU: 3200, MemMb: 6400, LongRunning: true, MaxPerServer: 1}, 0); err != nil {
		return false, err
	}
	if err := r.submit(labelled, step{Count: 1, CPU: 240, MemMb: 480, EstDurationMs: work.Milliseconds(), Requires: "b"}, work); err != nil {
		return false, err
	}
	time.Sleep(time.Second)
	if n := r.history.startCount(lasting); n != workers {
		return false, fmt.Errorf("%w: %d of %d lasting tasks have begun", errSetUp, n, workers)
	}
	failed := ""
	if trouble {
		for n := range workers {
			if task := fmt.Sprintf("%s.0.0.%d", lasting, n); failed == "" && ws[5].fail(task) {
				failed = task
			}
		}
		if failed == "" || !ws[0].fail(labelled+".0.0.0") {
			return false, fmt.Errorf("%w: no run to fail", errSetUp)
		}
	}
	failedAt := time.Now()
	broken := false
	time.Sleep(restartBound)
	away := failed != ""
	for end := time.Now().Add(idle); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		away = away && !r.history.running(failed)
	}
	if away {
		r.rec.printf("CHECK %s lasts, and nothing of it runs from %v to %v after its run failed; its worker has room for four more", failed, restartBound, restartBound+idle)
		broken = true
	}
	time.Sleep(time.Until(failedAt.Add(finish)))
	begun := r.history.startCount(labelled)
	time.Sleep(idle)
	state := r.state(labelled)
	r.rec.printf("job %s is shown as %s; %d runs have begun, 2 attempts are allowed", labelled, state, begun)
	if state != "completed" && !r.history.running(labelled) && r.history.startCount(labelled) == begun {
		r.rec.printf("CHECK job %s has nothing running for %v, %v after its only run failed; the worker that it needs is idle", labelled, idle, finish)
		broken = true
	}
	return broken, nil
}
