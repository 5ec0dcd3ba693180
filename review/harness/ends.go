package main

import (
	"fmt"
	"time"
)

// unlistedEnds kills the leader while two workers have run 900 tasks each. All
// of them end while the next leader takes over, so that a worker lists only the first
// 500 ends to it. It is broken if a task starts again after it has ended done.
func unlistedEnds(r *rig, trouble bool) (bool, error) {
	const (
		jobs     = 50
		width    = 36
		duration = 3 * time.Second
	)
	worker := func(id string) *worker { return &worker{id: id, capacity: need{16000, 62500}} }
	if err := r.startMachines(2, worker("i-1a00000001"), worker("i-2a00000002")); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	begin := time.Now()
	for i := range jobs {
		id := fmt.Sprintf("%016x", 0xa000+i)
		if err := r.submit(id, step{Count: width, CPU: 15, MemMb: 60, EstDurationMs: duration.Milliseconds()}, duration); err != nil {
			return false, err
		}
		time.Sleep(10 * time.Millisecond)
	}
	r.rec.printf("%d jobs of %d tasks are accepted", jobs, width)
	time.Sleep(time.Until(begin.Add(2500 * time.Millisecond)))
	if trouble {
		l := r.leader()
		if l == nil {
			return false, errSetUp
		}
		if err := l.kill(time.Second); err != nil {
			return false, err
		}
	}
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
		if _, done := r.history.count(); done == jobs*width {
			break
		}
	}
	// All ends are seen, and what was started again has ended.
	time.Sleep(10 * time.Second)
	run, done := r.history.count()
	overlaps, afterDone := r.history.doubled()
	r.rec.printf("%d tasks have run, %d are done; %d starts beside another run, %d starts after a done end", run, done, overlaps, afterDone)
	if done < jobs*width {
		return overlaps+afterDone > 0, fmt.Errorf("%w: %d of %d tasks are done", errSetUp, done, jobs*width)
	}
	return overlaps+afterDone > 0, nil
}
