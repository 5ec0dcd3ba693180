package main

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// maxAdviceWaiting is how many calls of a machine may wait.
const maxAdviceWaiting = 32

// advice is a stand-in for the policy service, which handles one call at a time for each machine.
type advice struct {
	decision, perWorker, valid time.Duration

	mu    sync.Mutex
	lines map[string]*sync.Mutex
	waits map[string]int
	// calls counts the calls that were answered, steps the steps that they were about.
	calls int
	steps map[string]bool
}

// listen serves the calls of one machine, at an address of its own.
func (a *advice) listen(machine, addr string) error {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	h := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { a.serve(machine, w, r) })
	go func() { _ = (&http.Server{Handler: h, ReadHeaderTimeout: 10 * time.Second}).Serve(l) }()
	return nil
}

func (a *advice) serve(machine string, w http.ResponseWriter, r *http.Request) {
	var in struct {
		Step    string   `json:"step"`
		Workers []string `json:"workers"`
	}
	body, err := io.ReadAll(r.Body)
	if err != nil || json.Unmarshal(body, &in) != nil || len(in.Workers) > 100 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	a.mu.Lock()
	line := a.lines[machine]
	if line == nil {
		line = &sync.Mutex{}
		a.lines[machine] = line
	}
	if a.waits[machine] >= maxAdviceWaiting {
		a.mu.Unlock()
		w.WriteHeader(http.StatusTooManyRequests)
		return
	}
	a.waits[machine]++
	a.mu.Unlock()
	line.Lock()
	time.Sleep(a.decision + time.Duration(len(in.Workers))*a.perWorker)
	line.Unlock()
	a.mu.Lock()
	a.waits[machine]--
	a.calls++
	a.steps[in.Step] = true
	a.mu.Unlock()
	approved := [][]string{}
	for _, id := range in.Workers {
		if allows(in.Step, id) {
			approved = append(approved, []string{id, ticket(in.Step, id)})
		}
	}
	answer(w, http.StatusOK, map[string]any{"approved": approved, "validMs": a.valid.Milliseconds()})
}

// counts returns how many calls were answered, and about how many steps.
func (a *advice) counts() (calls, steps int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.calls, len(a.steps)
}

// allows reports whether the policy allows a step on a worker: three in four.
func allows(step, worker string) bool {
	h := fnv.New32a()
	_, _ = io.WriteString(h, step+"/"+worker)
	return h.Sum32()%4 != 0
}

// ticket is the ticket for a step on a worker.
func ticket(step, worker string) string {
	h := fnv.New64a()
	_, _ = io.WriteString(h, step+"/"+worker)
	return fmt.Sprintf("%016x", h.Sum64())
}
