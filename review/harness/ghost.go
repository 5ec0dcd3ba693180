package main

import (
	"fmt"
	"net/http"
	"time"
)

// ghostWorker crashes a worker, which comes back while the store is down and crashes
// once more before the store is back. It is broken if a job has nothing running for 3 s
// afterwards, though all workers are idle.
func ghostWorker(r *rig, trouble bool) (bool, error) {
	const (
		outage   = 4500 * time.Millisecond
		lifeTime = 1500 * time.Millisecond
		workers  = 8
	)
	capacity := need{16000, 62500}
	first := &worker{id: "i-1a00000001", capacity: capacity}
	ws := []*worker{first}
	for i := 1; i < workers; i++ {
		ws = append(ws, &worker{id: fmt.Sprintf("i-%02x00000000", i+0x90), capacity: capacity})
	}
	if err := r.startMachines(2, ws...); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	job := func(n int) string { return fmt.Sprintf("%016x", 0xb000+n) }
	task := step{Count: 1, CPU: 1800, MemMb: 3200, EstDurationMs: 500}
	if err := r.submit(job(0), task, 500*time.Millisecond); err != nil {
		return false, err
	}
	startNext := func(id string) (*worker, error) {
		w := &worker{id: id, machine: first.machine, capacity: capacity}
		r.attach(r.sides[0], w)
		return w, w.start()
	}
	time.Sleep(time.Second)
	// The first worker is down for 5 s. The store goes down when it is about to return.
	first.crash()
	time.Sleep(4800 * time.Millisecond)
	if trouble {
		r.rec.printf("the store is down")
		r.store.SetStatus(http.StatusServiceUnavailable)
	}
	began := time.Now()
	time.Sleep(200 * time.Millisecond)
	second, err := startNext("i-1a00000003")
	if err != nil {
		return false, err
	}
	time.Sleep(lifeTime)
	second.crash()
	time.Sleep(700 * time.Millisecond)
	if _, err := startNext("i-1a00000004"); err != nil {
		return false, err
	}
	time.Sleep(time.Until(began.Add(outage)))
	r.store.SetStatus(0)
	r.rec.printf("the store is up")
	// The core is stable again after contactMs.
	time.Sleep(4 * time.Second)
	for n := 1; n <= 3; n++ {
		if err := r.submit(job(n), task, 500*time.Millisecond); err != nil {
			return false, err
		}
	}
	return r.starved(job, 3)
}

// starved waits for finish_s after the last submission and reports whether a job of
// the last n then has nothing running for 3 s, though all workers are idle.
func (r *rig) starved(job func(int) string, n int) (bool, error) {
	const (
		finish = 14 * time.Second
		idle   = 3 * time.Second
	)
	time.Sleep(finish)
	began := map[int]bool{}
	for end := time.Now().Add(idle); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		for i := 1; i <= n; i++ {
			began[i] = began[i] || r.history.startCount(job(i)) > 0
		}
	}
	broken := false
	for i := 1; i <= n; i++ {
		r.rec.printf("job %s is shown as %s; %d runs have begun", job(i), r.state(job(i)), r.history.startCount(job(i)))
		if !began[i] {
			r.rec.printf("CHECK job %s has nothing running for %v, %v after the last submission, and all workers are idle", job(i), idle, finish)
			broken = true
		}
	}
	return broken, nil
}
