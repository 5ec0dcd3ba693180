package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

// waitingJobs loses the only worker with room. The jobs that arrive before its lease
// has lapsed are offered to it, and wait for room afterwards. It is broken if a queue
// then shows under half of them as pending.
func waitingJobs(r *rig, trouble bool) (bool, error) {
	const (
		workers = 8
		jobs    = 6
		// visible is visible_ms and the 2 s that a count may be old.
		visible = 5 * time.Second
	)
	free := &worker{id: "i-1000000000", capacity: need{16000, 62500}}
	ws := []*worker{free}
	for i := 1; i < workers; i++ {
		ws = append(ws, &worker{id: fmt.Sprintf("i-%02x00000000", i+16), capacity: need{16000, 62500}, labels: []string{"b", "r1-2"}})
	}
	if err := r.startMachines(2, ws...); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	for i := 1; i < workers; i++ {
		id := fmt.Sprintf("%016x", 0xd100+i)
		if err := r.submit(id, step{Count: 5, CPU: 3200, MemMb: 6400, LongRunning: true, Requires: "b"}, 0); err != nil {
			return false, err
		}
	}
	time.Sleep(2 * time.Second)
	if n := r.history.startCount(fmt.Sprintf("%014x", 0xd1)); n != 5*(workers-1) {
		return false, fmt.Errorf("%w: %d lasting tasks have begun", errSetUp, n)
	}
	if trouble {
		free.fallSilent()
	}
	for i := range jobs {
		time.Sleep(250 * time.Millisecond)
		if err := r.submit(fmt.Sprintf("%016x", 0xd200+i), step{Count: 1, CPU: 240, MemMb: 480, EstDurationMs: 1000}, time.Second); err != nil {
			return false, err
		}
	}
	accepted := time.Now()
	time.Sleep(visible + 3*time.Second)
	broken := false
	for range 10 {
		waiting := 0
		for i := range jobs {
			if r.history.startCount(fmt.Sprintf("%016x", 0xd200+i)) == 0 {
				waiting++
			}
		}
		for _, m := range r.entries {
			status, _, b := call(http.MethodGet, "http://"+m.addr(portFront)+prefix, "", callerDeadline)
			var out struct{ Pending *int }
			if status != http.StatusOK || json.Unmarshal(b, &out) != nil || out.Pending == nil {
				r.rec.printf("GET %s at %s -> %d", prefix, m.name, status)
				continue
			}
			r.rec.printf("GET %s at %s -> pending %d; %d jobs, accepted over %.1f s before, have not begun",
				prefix, m.name, *out.Pending, waiting, time.Since(accepted).Seconds())
			if 2**out.Pending < waiting {
				r.rec.printf("CHECK %s shows %d as pending, under half of %d", m.name, *out.Pending, waiting)
				broken = true
			}
		}
		time.Sleep(500 * time.Millisecond)
	}
	return broken, nil
}
