package main

import (
	"fmt"
	"net/http"
	"time"
)

// playOdd sends one heartbeat of another writer. It names a service that isn't in the
// configuration, and the address of a worker that is at work.
func playOdd(r *rig, trouble bool) error {
	entry, sides, err := r.deploy(3, "")
	if err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	if _, err := r.submit(entry, job{Spec: "long tasks", Steps: []step{{Count: 6, CPU: 2000, MemMb: 1000, EstDurationMs: 20000}}}); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	if trouble {
		side := sides[0]
		status, body, err := send(&r.client, http.MethodPut, fmt.Sprintf("http://%s:%d/api/instances/probe-7", side.ip, portControl), nil, map[string]any{
			"service": "monitoring", "address": side.worker.address, "zone": "z1", "version": "v9", "slots": 1, "state": "ready", "coldLeftMs": 0,
			"capacity": map[string]int{"cpu": 0, "memMb": 0, "gpu": 0}, "labels": []string{}, "clockMs": 1, "seq": 1, "born": time.Now().UnixMilli(),
		})
		r.note("another writer: heartbeat of probe-7 at %s -> %d %s %v", side.name, status, body, err)
	}
	time.Sleep(10 * time.Second)
	return nil
}
