package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// maxListedEnds is how many ends a list of a worker holds (PROTOCOL.md, "500 at a time").
const maxListedEnds = 500

// stopTime is how long a stop takes; bounds.stopMs of the settings is longer.
const stopTime = 150 * time.Millisecond

// A worker is a stand-in of one incarnation of the users' worker. It guards its
// capacity and follows "Running tasks" of PROTOCOL.md.
type worker struct {
	rig     *rig
	id      string
	born    int64
	address string
	machine string
	labels  []string
	// refuse makes the worker answer starts with 503, as an unhealthy one does.
	refuse func(task string) bool

	mu sync.Mutex
	// dead is set once the worker has crashed.
	dead     bool
	began    time.Time
	fence    int64
	leaseEnd time.Time
	runs     map[string]*workerRun
	highest  map[string]int
	ended    [][]any
	seq      int64
	seenUpto int64
	// excusedUpto is the last end that was listed when the lease expired. Later notice of it doesn't count.
	excusedUpto int64
	usedCPU     int
	usedMem     int
	endsAdded   chan struct{}
}

type workerRun struct {
	number   int
	began    time.Time
	spec     taskSpec
	timer    *time.Timer
	stopping bool
}

// checkpointInterval is bounds.checkpointIntervalS of the settings.
const checkpointInterval = 500 * time.Millisecond

// saved returns the checkpoint of a run, empty where there is none yet.
func (x *workerRun) saved(task string) string {
	n := int(time.Since(x.began) / checkpointInterval)
	if !x.spec.Saves || n == 0 {
		return ""
	}
	return fmt.Sprintf("%08x%s", n, task[:8])
}

// startup is how long a lasting task takes until it is at work.
const startup = time.Second

// percent returns the progress of a run, for a lasting task that of its startup.
func (x *workerRun) percent() int {
	d := x.spec.Work
	if d == 0 {
		d = startup
	}
	return int(min(100, 100*time.Since(x.began)/d))
}

// The room of a worker, as on the first site.
const workerCPU, workerMemMb = 16000, 64000

func newWorker(r *rig, id string, labels []string) *worker {
	w := &worker{
		rig: r, id: id, born: time.Now().UnixMilli(), machine: "m-" + id, labels: labels,
		began: time.Now().Add(-time.Second), runs: map[string]*workerRun{}, highest: map[string]int{}, endsAdded: make(chan struct{}),
	}
	go w.watchLease()
	return w
}

func (w *worker) clockMs() int64 { return time.Since(w.began).Milliseconds() }

// watchLease ends everything that runs once the lease has expired.
func (w *worker) watchLease() {
	for range time.Tick(5 * time.Millisecond) {
		w.mu.Lock()
		if !w.leaseEnd.IsZero() && time.Now().After(w.leaseEnd) {
			w.rig.note("worker %s: the lease expired with %d runs", w.id, len(w.runs))
			for t := range w.runs {
				w.end(t, "lapsed")
			}
			w.excusedUpto, w.leaseEnd = w.seq, time.Time{}
		}
		w.mu.Unlock()
	}
}

// end ends a run and lists its end.
func (w *worker) end(task, how string) {
	x := w.runs[task]
	if x == nil {
		return
	}
	if x.timer != nil {
		x.timer.Stop()
	}
	delete(w.runs, task)
	w.usedCPU -= x.spec.CPU
	w.usedMem -= x.spec.MemMb
	w.highest[task] = max(w.highest[task], x.number)
	w.seq++
	w.ended = append(w.ended, []any{w.seq, task, x.number, how, x.saved(task)})
	w.rig.runEnded(w.id, task, x.number, how)
	close(w.endsAdded)
	w.endsAdded = make(chan struct{})
}

type order struct {
	Task       string `json:"task"`
	Run        int    `json:"run"`
	Spec       string `json:"spec"`
	Ticket     string `json:"ticket"`
	UntilMs    int64  `json:"untilMs"`
	FenceToken int64  `json:"fenceToken"`
	SeenUpto   int64  `json:"seenUpto"`
	WaitMs     int64  `json:"waitMs"`
}

func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	if id := r.Header.Get("X-Target-Instance"); id != "" && id != w.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	var o order
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.dead {
		w.mu.Unlock()
		<-r.Context().Done()
		w.mu.Lock()
		return
	}
	answer := func(status int, extra map[string]any) {
		out := map[string]any{"clockMs": w.clockMs(), "born": w.born}
		for k, v := range extra {
			out[k] = v
		}
		rw.Header().Set("Content-Type", "application/json")
		rw.WriteHeader(status)
		_ = json.NewEncoder(rw).Encode(out)
	}
	if o.FenceToken < w.fence {
		answer(http.StatusConflict, map[string]any{"reason": "fence"})
		return
	}
	w.fence = o.FenceToken
	switch r.URL.Path {
	case "/api/run-start":
		w.start(o, answer)
	case "/api/run-stop":
		w.highest[o.Task] = max(w.highest[o.Task], o.Run)
		if x := w.runs[o.Task]; x != nil && x.number <= o.Run && !x.stopping {
			x.stopping = true
			time.AfterFunc(stopTime, func() {
				w.mu.Lock()
				defer w.mu.Unlock()
				if w.runs[o.Task] == x {
					w.end(o.Task, "stopped")
				}
			})
		}
		answer(http.StatusOK, nil)
	case "/api/hold":
		w.hold(r, o, answer)
	case "/api/pace":
		answer(http.StatusOK, nil)
	default:
		rw.WriteHeader(http.StatusNotFound)
	}
}

// extendLease extends the lease to a time by the worker's clock; it never shortens it.
func (w *worker) extendLease(untilMs int64) {
	if untilMs <= 0 {
		return
	}
	left := min(time.Duration(untilMs-w.clockMs())*time.Millisecond, holdMax)
	if at := time.Now().Add(left); at.After(w.leaseEnd) {
		w.leaseEnd = at
	}
}

func (w *worker) start(o order, answer func(int, map[string]any)) {
	if w.refuse != nil && w.refuse(o.Task) {
		w.rig.note("worker %s: refused %s run %d as unhealthy", w.id, o.Task, o.Run)
		answer(http.StatusServiceUnavailable, nil)
		return
	}
	refused := func(reason string) {
		w.rig.note("worker %s: refused %s run %d: %s", w.id, o.Task, o.Run, reason)
		answer(http.StatusConflict, map[string]any{"reason": reason})
	}
	w.extendLease(o.UntilMs)
	x := w.runs[o.Task]
	spec, ok := w.rig.spec(o.Task, o.Spec)
	switch {
	case x != nil && x.number == o.Run:
		answer(http.StatusOK, nil)
		return
	case x != nil || o.Run <= w.highest[o.Task]:
		refused("old")
		return
	case w.clockMs() >= o.UntilMs:
		refused("late")
		return
	case ok && spec.Advised && !w.rig.ticketValid(o.Ticket, o.Task, w.id):
		refused("ticket")
		return
	case !ok:
		w.rig.broken("UNASKED", "worker %s was told to start %s with a spec that no client sent", w.id, o.Task)
		answer(http.StatusBadRequest, nil)
		return
	case w.usedCPU+spec.CPU > workerCPU || w.usedMem+spec.MemMb > workerMemMb:
		refused("room")
		return
	}
	x = &workerRun{number: o.Run, began: time.Now(), spec: spec}
	w.runs[o.Task] = x
	w.usedCPU += spec.CPU
	w.usedMem += spec.MemMb
	w.rig.runStarted(w.id, o.Task, o.Run)
	after, how := spec.Work, "done"
	if spec.FailsAfter > 0 {
		after, how = spec.FailsAfter, "failed"
	}
	if after > 0 {
		x.timer = time.AfterFunc(after, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			if w.runs[o.Task] == x {
				w.end(o.Task, how)
			}
		})
	}
	answer(http.StatusOK, nil)
}

func (w *worker) hold(r *http.Request, o order, answer func(int, map[string]any)) {
	w.extendLease(o.UntilMs)
	if o.SeenUpto > w.seenUpto {
		w.seenUpto = o.SeenUpto
		for len(w.ended) > 0 && w.ended[0][0].(int64) <= o.SeenUpto {
			e := w.ended[0]
			w.ended = w.ended[1:]
			if e[0].(int64) > w.excusedUpto {
				w.rig.endTaken(w.id, e[1].(string), e[2].(int), e[3].(string))
			}
		}
	}
	if len(w.ended) == 0 && o.WaitMs > 0 {
		added := w.endsAdded
		w.mu.Unlock()
		select {
		case <-added:
		case <-time.After(time.Duration(o.WaitMs) * time.Millisecond):
		case <-r.Context().Done():
		}
		w.mu.Lock()
	}
	running := [][]any{}
	for t, x := range w.runs {
		running = append(running, []any{t, x.number, x.saved(t), x.percent(), x.spec.CPU})
	}
	ended := w.ended[:min(len(w.ended), maxListedEnds)]
	if len(ended) == 0 {
		ended = [][]any{}
	}
	answer(http.StatusOK, map[string]any{"running": running, "ended": ended})
}

// heartbeat sends the report of the worker to its host's control address.
func (w *worker) heartbeat(c *http.Client, control string, seq int64) {
	w.mu.Lock()
	dead := w.dead
	w.mu.Unlock()
	if dead {
		return
	}
	body := map[string]any{
		"service": service, "address": w.address, "zone": "z1", "version": "v1", "slots": 8, "state": "ready", "coldLeftMs": 0,
		"capacity": map[string]int{"cpu": workerCPU, "memMb": workerMemMb, "gpu": 0}, "labels": w.labels, "machine": w.machine,
		"clockMs": w.clockMs(), "seq": seq, "born": w.born,
	}
	_, _, _ = send(c, http.MethodPut, "http://"+control+"/api/instances/"+w.id, nil, body)
}
