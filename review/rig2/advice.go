package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"
)

// The policy service's times, as in the configuration of the queue with advice; the validity
// is that of the example in wire.
const (
	decisionMs, perWorkerMs, ticketMs = 20, 5, 3000
)

// ticket allows a step on a worker until a time.
type ticket struct {
	step, worker string
	until        time.Time
}

// serveAdvice approves all workers.
func (r *rig) serveAdvice(w http.ResponseWriter, q *http.Request) {
	var in struct {
		Step    string   `json:"step"`
		Workers []string `json:"workers"`
	}
	if json.NewDecoder(q.Body).Decode(&in) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(time.Duration(decisionMs+perWorkerMs*len(in.Workers)) * time.Millisecond)
	approved := [][]string{}
	r.mu.Lock()
	for _, id := range in.Workers {
		t := fmt.Sprintf("t%x", rand.Uint32())
		r.tickets[t] = ticket{in.Step, id, time.Now().Add(ticketMs * time.Millisecond)}
		approved = append(approved, []string{id, t})
	}
	r.noteLocked("policy service: %s approved on %v", in.Step, in.Workers)
	r.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"approved": approved, "validMs": ticketMs})
}

// ticketValid reports whether a ticket allows a task on a worker now.
func (r *rig) ticketValid(text, task, worker string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	t, ok := r.tickets[text]
	return ok && t.worker == worker && strings.HasPrefix(task, t.step+".") && time.Now().Before(t.until)
}
