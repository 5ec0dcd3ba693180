package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// The bounds of a worker, as in the settings.
const (
	holdMax       = 6 * time.Second
	stopTime      = 300 * time.Millisecond
	heartbeatTime = 1500 * time.Millisecond
	// listedEnds is how many ends a worker lists at a time.
	listedEnds = 500
)

// A task is what the worker knows of a task beside its name.
type task struct {
	duration time.Duration
	cpu, mem int
	saves    bool
}

// A run is a task at work.
type run struct {
	name   string
	number int
	task   task
	since  time.Time
	timer  *time.Timer
}

// An end is the end of a run as it is listed.
type end struct {
	seq    int64
	name   string
	number int
	how    string
	saved  string
}

// A worker serves the interface of the platform's workers. It enforces its capacity.
type worker struct {
	id, zone, address, control string
	cpu, mem                   int
	record                     *record
	// lookUp returns what the worker knows of a task.
	lookUp func(name string) task
	// onStart is called for each start.
	onStart func(w *worker, name string, number int)
	// onEnd is called for each end.
	onEnd func(w *worker, name string, number int, how string)
	// lateness returns how long after its arrival a start without an answer is carried out; 0 is at
	// once, with an answer. It is nil if none is late.
	lateness func(w *worker, name string) time.Duration
	// firstHeartbeat is the time from the start of a life to its first heartbeat.
	firstHeartbeat time.Duration

	mu         sync.Mutex
	born       time.Time
	seq        int64
	fence      int64
	leaseEnd   time.Time
	lease      *time.Timer
	runs       map[string]*run
	highest    map[string]int
	ended      []end
	endSeq     int64
	usedCPU    int
	usedMem    int
	changed    chan struct{}
	server     *http.Server
	heartbeats context.CancelFunc
	// up is set while the worker is up.
	up bool
}

// start begins a new life of the worker.
func (w *worker) start() error {
	l, err := net.Listen("tcp", w.address)
	if err != nil {
		return err
	}
	w.mu.Lock()
	w.born, w.seq, w.fence, w.leaseEnd, w.endSeq, w.usedCPU, w.usedMem = time.Now(), 0, 0, time.Time{}, 0, 0, 0
	w.runs, w.highest, w.ended, w.changed = map[string]*run{}, map[string]int{}, nil, make(chan struct{})
	w.server = &http.Server{Handler: w, ReadHeaderTimeout: time.Second}
	s := w.server
	w.up = true
	ctx, cancel := context.WithCancel(context.Background())
	w.heartbeats = cancel
	w.mu.Unlock()
	go func() { _ = s.Serve(l) }()
	go w.sendHeartbeats(ctx)
	return nil
}

// crash ends the life of the worker.
func (w *worker) crash() {
	w.mu.Lock()
	w.heartbeats()
	for _, r := range w.runs {
		if r.timer != nil {
			r.timer.Stop()
		}
		w.onEnd(w, r.name, r.number, "crashed")
	}
	w.runs = map[string]*run{}
	w.up = false
	s := w.server
	w.mu.Unlock()
	_ = s.Close()
}

// sendHeartbeats sends heartbeats to the process on the worker's machine.
func (w *worker) sendHeartbeats(ctx context.Context) {
	c := &http.Client{Timeout: time.Second}
	time.Sleep(w.firstHeartbeat)
	for ctx.Err() == nil {
		w.mu.Lock()
		w.seq++
		body := fmt.Sprintf(`{"service":"s","address":%q,"zone":%q,"version":"v1","slots":8,"state":"ready","coldLeftMs":0,"machine":"m-%s","capacity":{"cpu":%d,"memMb":%d,"gpu":0},"labels":["a","r1-1"],"clockMs":%d,"seq":%d,"born":%d}`,
			w.address, w.zone, w.id, w.cpu, w.mem, w.clock(), w.seq, w.born.UnixMilli())
		w.mu.Unlock()
		r, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+w.control+"/api/instances/"+w.id, strings.NewReader(body))
		if err != nil {
			return
		}
		r.Header.Set("Content-Type", "application/json")
		pause := 100 * time.Millisecond
		if a, err := c.Do(r); err == nil {
			_ = a.Body.Close()
			if a.StatusCode < 300 {
				pause = heartbeatTime
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

// clock returns the worker's steady clock in milliseconds.
func (w *worker) clock() int64 { return time.Since(w.born).Milliseconds() + 1 }

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
	if r.URL.Path == "/api/run-start" && w.lateness != nil {
		if d := w.lateness(w, o.Task); d > 0 {
			w.record.add("worker %s: start of %s run %d gets no answer", w.id, o.Task, o.Run)
			time.AfterFunc(d, func() { w.startLate(o) })
			<-r.Context().Done()
			return
		}
	}
	var reason string
	w.mu.Lock()
	if o.FenceToken < w.fence {
		reason = "fence"
	} else {
		w.fence = o.FenceToken
		switch r.URL.Path {
		case "/api/run-start":
			reason = w.startRun(o)
		case "/api/run-stop":
			w.stopRun(o)
		case "/api/hold":
			w.mu.Unlock()
			w.hold(rw, r, o)
			return
		case "/api/pace":
		default:
			w.mu.Unlock()
			rw.WriteHeader(http.StatusNotFound)
			return
		}
	}
	out := map[string]any{"clockMs": w.clock(), "born": w.born.UnixMilli()}
	w.mu.Unlock()
	status := http.StatusOK
	if reason != "" {
		status, out["reason"] = http.StatusConflict, reason
	}
	answer(rw, status, out)
}

// An order is the body of a call.
type order struct {
	Task       string `json:"task"`
	Run        int    `json:"run"`
	UntilMs    int64  `json:"untilMs"`
	FenceToken int64  `json:"fenceToken"`
	SeenUpto   int64  `json:"seenUpto"`
	WaitMs     int64  `json:"waitMs"`
}

// answer writes the answer of a call.
func answer(rw http.ResponseWriter, status int, out any) {
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	_ = json.NewEncoder(rw).Encode(out)
}

// extend extends the lease, which never shortens.
func (w *worker) extend(untilMs int64) {
	if untilMs <= 0 {
		return
	}
	at := w.born.Add(time.Duration(untilMs) * time.Millisecond)
	if longest := time.Now().Add(holdMax); at.After(longest) {
		at = longest
	}
	if !at.After(w.leaseEnd) {
		return
	}
	w.leaseEnd = at
	if w.lease != nil {
		w.lease.Stop()
	}
	born := w.born
	w.lease = time.AfterFunc(time.Until(at), func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.born != born || time.Now().Before(w.leaseEnd) {
			return
		}
		for _, r := range w.runs {
			w.endRun(r, "lapsed")
		}
	})
}

// startRun starts a run, or returns the reason for which it doesn't.
func (w *worker) startRun(o order) string {
	w.extend(o.UntilMs)
	r := w.runs[o.Task]
	switch {
	case r != nil && r.number == o.Run:
		return ""
	case r != nil, o.Run <= w.highest[o.Task]:
		return "old"
	case w.clock() >= o.UntilMs:
		return "late"
	}
	t := w.lookUp(o.Task)
	if w.usedCPU+t.cpu > w.cpu || w.usedMem+t.mem > w.mem {
		return "room"
	}
	r = &run{name: o.Task, number: o.Run, task: t, since: time.Now()}
	w.runs[o.Task] = r
	w.usedCPU, w.usedMem = w.usedCPU+t.cpu, w.usedMem+t.mem
	if t.duration > 0 {
		r.timer = time.AfterFunc(t.duration, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.endRun(r, "done")
		})
	}
	w.onStart(w, o.Task, o.Run)
	return ""
}

// startLate carries out a start that got no answer, in whatever life the worker is then.
func (w *worker) startLate(o order) {
	w.mu.Lock()
	defer w.mu.Unlock()
	reason := "down"
	if w.up {
		reason = "fence"
		if o.FenceToken >= w.fence {
			w.fence = o.FenceToken
			reason = w.startRun(o)
		}
	}
	w.record.add("worker %s: late start of %s run %d: %q", w.id, o.Task, o.Run, reason)
}

// stopRun stops a run, and has any start of it that comes later rejected.
func (w *worker) stopRun(o order) {
	w.highest[o.Task] = max(w.highest[o.Task], o.Run)
	if r := w.runs[o.Task]; r != nil && r.number <= o.Run {
		time.AfterFunc(stopTime, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.endRun(r, "stopped")
		})
	}
}

// endRun ends a run and lists its end.
func (w *worker) endRun(r *run, how string) {
	if w.runs[r.name] != r {
		return
	}
	if r.timer != nil {
		r.timer.Stop()
	}
	delete(w.runs, r.name)
	w.usedCPU, w.usedMem = w.usedCPU-r.task.cpu, w.usedMem-r.task.mem
	w.highest[r.name] = max(w.highest[r.name], r.number)
	w.endSeq++
	e := end{seq: w.endSeq, name: r.name, number: r.number, how: how}
	if r.task.saves {
		e.saved = fmt.Sprintf("%016x", w.endSeq)
	}
	w.ended = append(w.ended, e)
	close(w.changed)
	w.changed = make(chan struct{})
	w.onEnd(w, r.name, r.number, how)
}

// hold answers with the lists, at once if there are ends and else after an end or the wait.
func (w *worker) hold(rw http.ResponseWriter, r *http.Request, o order) {
	w.mu.Lock()
	w.extend(o.UntilMs)
	for len(w.ended) > 0 && w.ended[0].seq <= o.SeenUpto {
		w.ended = w.ended[1:]
	}
	changed, some := w.changed, len(w.ended) > 0
	w.mu.Unlock()
	if !some && o.WaitMs > 0 {
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-time.After(time.Duration(min(o.WaitMs, 2000)) * time.Millisecond):
		}
	}
	w.mu.Lock()
	running, ended := [][]any{}, [][]any{}
	for _, x := range w.runs {
		percent, saved := 100, ""
		if x.task.duration > 0 {
			percent = int(100 * time.Since(x.since) / x.task.duration)
		}
		if x.task.saves {
			saved = fmt.Sprintf("%016x", x.since.UnixNano())
		}
		running = append(running, []any{x.name, x.number, saved, percent, x.task.cpu})
	}
	sort.Slice(running, func(a, b int) bool { return fmt.Sprint(running[a][0]) < fmt.Sprint(running[b][0]) })
	for _, e := range w.ended[:min(len(w.ended), listedEnds)] {
		ended = append(ended, []any{e.seq, e.name, e.number, e.how, e.saved})
	}
	out := map[string]any{"clockMs": w.clock(), "born": w.born.UnixMilli(), "running": running, "ended": ended}
	w.mu.Unlock()
	answer(rw, http.StatusOK, out)
}

// jobs returns the jobs of the tasks that run.
func (w *worker) jobs() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var ids []string
	for name := range w.runs {
		id, _ := parts(name)
		ids = append(ids, id)
	}
	return ids
}

// used returns how many thousandths of a core are in use, and how many there are.
func (w *worker) used() (cpu, total int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.usedCPU, w.cpu
}

// unseen returns how many ends wait to be taken note of.
func (w *worker) unseen() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.ended)
}

// parts returns the job and the step in the name of a task.
func parts(name string) (job string, step int) {
	p := strings.Split(name, ".")
	if len(p) != 4 {
		return name, 0
	}
	// A name that the system made up is no task of any job.
	step, _ = strconv.Atoi(p[2])
	return p[0], step
}
