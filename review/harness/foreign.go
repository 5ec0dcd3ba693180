package main

import (
	"fmt"
	"net/http"
	"time"
)

// foreignHeartbeat sends one heartbeat of another writer, for a service that is not in
// the configuration, to the agent of a worker that runs tasks. It is broken if a task
// then runs on two workers at the same time.
func foreignHeartbeat(r *rig, trouble bool) (bool, error) {
	const (
		workers  = 8
		jobs     = 16
		duration = 2500 * time.Millisecond
	)
	var ws []*worker
	for i := range workers {
		ws = append(ws, &worker{id: fmt.Sprintf("i-%02x00000000", i+16), capacity: need{16000, 62500}})
	}
	if err := r.startMachines(2, ws...); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	for i := range jobs {
		if err := r.submit(fmt.Sprintf("%016x", 0xe000+i), step{Count: 6, CPU: 720, MemMb: 960, EstDurationMs: duration.Milliseconds()}, duration); err != nil {
			return false, err
		}
	}
	time.Sleep(500 * time.Millisecond)
	if trouble {
		body := fmt.Sprintf(`{"service":"other","address":%q,"zone":"z1","version":"v9","slots":8,"state":"ready","coldLeftMs":0,"capacity":{"cpu":16000,"memMb":62500},"labels":["a"],"clockMs":5000,"seq":1,"born":%d}`,
			ws[0].addr, time.Now().UnixMilli())
		status, _, _ := call(http.MethodPut, "http://"+ws[0].control+"/api/instances/i-other", body, time.Second)
		r.rec.printf("heartbeat of another writer at %s -> %d: %s", ws[0].control, status, body)
	}
	time.Sleep(15 * time.Second)
	run, done := r.history.count()
	overlaps, afterDone := r.history.doubled()
	r.rec.printf("%d tasks have run, %d are done; %d starts beside another run, %d starts after a done end", run, done, overlaps, afterDone)
	return overlaps+afterDone > 0, nil
}
