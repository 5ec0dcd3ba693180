package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// maxListedEnds is how many ends a worker lists at a time.
const maxListedEnds = 500

// runTask is a task of a submitted job, as the worker that runs it knows it.
type runTask struct {
	job       *job
	step      step
	name      string
	stepIndex int
}

// workerRun is a run on a worker.
type workerRun struct {
	task      string
	number    int
	step      step
	startedAt time.Time
	length    time.Duration
	timer     *time.Timer
}

// worker is one life of a worker of the platform. It guards its capacity.
type worker struct {
	rig     *rig
	id      string
	machine string
	zone    string
	addr    string
	cpu     int
	memMb   int
	born    int64
	bornAt  time.Time

	mu       sync.Mutex
	server   *http.Server
	state    string
	dead     bool
	fence    int64
	leaseEnd time.Duration
	// lapsedAt is when the lease last lapsed.
	lapsedAt time.Time
	lease    *time.Timer
	runs     map[string]*workerRun
	// highest is the highest run that was stopped or has ended here, by task.
	highest map[string]int
	ended   [][]any
	ends    int
	seen    int64
	usedCPU int
	usedMem int
	changed chan struct{}
	// late, if set, takes the calls that are left unanswered.
	late func(path string, o *order) bool
	// cut is set while the worker is cut off.
	cut atomic.Bool
}

// start serves the worker's calls at its address.
func (w *worker) start() error {
	w.born, w.bornAt = time.Now().UnixMilli(), time.Now()
	w.runs, w.highest, w.changed, w.state = map[string]*workerRun{}, map[string]int{}, make(chan struct{}), "ready"
	var l net.Listener
	var err error
	for range 20 {
		// The last life on the address may just have ended.
		if l, err = net.Listen("tcp", w.addr); err == nil {
			break
		}
		time.Sleep(50 * time.Millisecond)
	}
	if err != nil {
		return err
	}
	w.server = &http.Server{Handler: w, ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = w.server.Serve(l) }()
	w.rig.rec.add(w.id, "starts, born %d", w.born)
	return nil
}

// end ends this life and all that runs on it.
func (w *worker) end() {
	w.mu.Lock()
	w.dead = true
	for name, r := range w.runs {
		r.timer.Stop()
		w.rig.checks.runEnded(w, name, r.number, "gone")
	}
	w.runs = map[string]*workerRun{}
	w.mu.Unlock()
	_ = w.server.Close()
	w.rig.rec.add(w.id, "ends, born %d", w.born)
}

// clock is the worker's steady clock.
func (w *worker) clock() time.Duration { return time.Since(w.bornAt) }

// heartbeat is the body of a heartbeat.
func (w *worker) heartbeat(seq int) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	b, _ := json.Marshal(map[string]any{
		"service": serviceName, "address": w.addr, "zone": w.zone, "version": "v1", "slots": 8, "state": w.state, "coldLeftMs": 0,
		"capacity": map[string]int{"cpu": w.cpu, "memMb": w.memMb, "gpu": 0}, "labels": []string{"a", "r1-1"}, "machine": w.machine,
		"clockMs": w.clock().Milliseconds(), "seq": seq, "born": w.born,
	})
	return string(b)
}

// beat sends heartbeats to an address until this life ends.
func (w *worker) beat(control string) {
	c := &http.Client{Timeout: time.Second}
	for seq := 1; ; seq++ {
		w.mu.Lock()
		dead := w.dead
		w.mu.Unlock()
		if dead {
			return
		}
		if w.cut.Load() {
			time.Sleep(100 * time.Millisecond)
			continue
		}
		r, err := http.NewRequest(http.MethodPut, "http://"+control+"/api/instances/"+w.id, strings.NewReader(w.heartbeat(seq)))
		if err == nil {
			r.Header.Set("Content-Type", "application/json")
			if a, err := c.Do(r); err == nil {
				_ = a.Body.Close()
			}
		}
		time.Sleep(heartbeatInterval)
	}
}

// order is the body of a call to a worker.
type order struct {
	Task       string `json:"task"`
	Run        int    `json:"run"`
	Spec       string `json:"spec"`
	Ticket     string `json:"ticket"`
	UntilMs    int64  `json:"untilMs"`
	FenceToken int64  `json:"fenceToken"`
	SeenUpto   int64  `json:"seenUpto"`
	WaitMs     int    `json:"waitMs"`
}

// ServeHTTP serves a call of the machine's process.
func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	var o order
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	if w.cut.Load() {
		<-r.Context().Done()
		return
	}
	if id := r.Header.Get("X-Target-Instance"); id != "" && id != w.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.mu.Lock()
	late := w.late
	w.mu.Unlock()
	if late != nil && late(r.URL.Path, &o) {
		// The call gets no answer.
		<-r.Context().Done()
		return
	}
	if r.URL.Path == "/api/hold" {
		w.hold(rw, r, &o)
		return
	}
	w.mu.Lock()
	if w.dead {
		w.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	reason, known := w.carryOut(r.URL.Path, &o)
	out := map[string]any{"clockMs": w.clock().Milliseconds(), "born": w.born}
	w.mu.Unlock()
	switch {
	case !known:
		answer(rw, http.StatusBadRequest, out)
	case reason != "":
		out["reason"] = reason
		answer(rw, http.StatusConflict, out)
	default:
		answer(rw, http.StatusOK, out)
	}
}

// carryOut carries out a call. It returns why not, and false for a call that makes no sense.
func (w *worker) carryOut(path string, o *order) (reason string, known bool) {
	if o.FenceToken < w.fence {
		return "fence", true
	}
	switch path {
	case "/api/run-start":
		w.fence = o.FenceToken
		return w.startRun(o)
	case "/api/run-stop":
		w.fence = o.FenceToken
		w.stopRun(o)
	case "/api/pace":
		w.fence = o.FenceToken
	case "/api/hold":
		w.fence = o.FenceToken
		w.extendLease(o.UntilMs)
		w.forgetEnds(o.SeenUpto)
	default:
		return "", false
	}
	return "", true
}

// carryOutLate carries out a call that got no answer.
func (w *worker) carryOutLate(path string, o *order) {
	w.mu.Lock()
	defer w.mu.Unlock()
	reason, _ := w.carryOut(path, o)
	w.rig.rec.add(w.id, "carries out %s late (fence %d, task %q, run %d, untilMs %d, seenUpto %d): %q", path, o.FenceToken, o.Task, o.Run, o.UntilMs, o.SeenUpto, reason)
}

// startRun starts a run, or returns why not; false for a task that nobody submitted.
func (w *worker) startRun(o *order) (reason string, known bool) {
	t, ok := w.rig.findTask(o.Task)
	if !ok {
		w.rig.checks.fail("UNASKED", "%s is told to start %s, which no client sent", w.id, o.Task)
		return "", false
	}
	w.extendLease(o.UntilMs)
	if x := w.runs[o.Task]; x != nil {
		if x.number == o.Run {
			return "", true
		}
		return "old", true
	}
	switch {
	case o.Run <= w.highest[o.Task]:
		return "old", true
	case time.Duration(o.UntilMs)*time.Millisecond <= w.clock():
		return "late", true
	case w.rig.advice != nil && o.Ticket != ticket(o.Task[:strings.LastIndex(o.Task, ".")], w.id):
		return "ticket", true
	case w.usedCPU+t.step.CPU > w.cpu || w.usedMem+t.step.MemMb > w.memMb:
		return "room", true
	}
	x := &workerRun{task: o.Task, number: o.Run, step: t.step, startedAt: time.Now(), length: t.job.duration(t)}
	w.usedCPU += t.step.CPU
	w.usedMem += t.step.MemMb
	w.runs[o.Task] = x
	x.timer = time.AfterFunc(x.length, func() { w.endRun(x, "done") })
	w.rig.checks.runStarted(w, o.Task, o.Run)
	return "", true
}

// stopRun stops a run and those before it.
func (w *worker) stopRun(o *order) {
	w.highest[o.Task] = max(w.highest[o.Task], o.Run)
	if x := w.runs[o.Task]; x != nil && x.number <= o.Run {
		time.AfterFunc(stopTime, func() { w.endRun(x, "stopped") })
	}
}

// endRun ends a run and lists its end.
func (w *worker) endRun(x *workerRun, how string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.endRunLocked(x, how)
}

func (w *worker) endRunLocked(x *workerRun, how string) {
	if w.dead || w.runs[x.task] != x {
		return
	}
	x.timer.Stop()
	delete(w.runs, x.task)
	w.usedCPU -= x.step.CPU
	w.usedMem -= x.step.MemMb
	w.highest[x.task] = max(w.highest[x.task], x.number)
	w.ends++
	w.ended = append(w.ended, []any{w.ends, x.task, x.number, how, ""})
	w.rig.checks.runEnded(w, x.task, x.number, how)
	close(w.changed)
	w.changed = make(chan struct{})
}

// extendLease extends the lease to a time on the worker's clock, by the longest lease at most.
func (w *worker) extendLease(untilMs int64) {
	until := min(time.Duration(untilMs)*time.Millisecond, w.clock()+holdMax)
	if until <= w.leaseEnd {
		return
	}
	if w.clock() > w.leaseEnd {
		w.lapsedAt = w.bornAt.Add(w.leaseEnd)
	}
	w.leaseEnd = until
	if w.lease != nil {
		w.lease.Stop()
	}
	w.lease = time.AfterFunc(until-w.clock(), func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.clock() < w.leaseEnd {
			return
		}
		for _, x := range w.runs {
			w.endRunLocked(x, "lapsed")
		}
	})
}

// hold renews the lease and answers with the lists, once there is an end or the wait is over.
func (w *worker) hold(rw http.ResponseWriter, r *http.Request, o *order) {
	end := time.NewTimer(time.Duration(min(o.WaitMs, 2000)) * time.Millisecond)
	defer end.Stop()
	over := o.WaitMs <= 0
	w.mu.Lock()
	for first := true; ; first = false {
		if w.dead {
			w.mu.Unlock()
			panic(http.ErrAbortHandler)
		}
		if o.FenceToken < w.fence {
			out := map[string]any{"clockMs": w.clock().Milliseconds(), "born": w.born, "reason": "fence"}
			w.mu.Unlock()
			answer(rw, http.StatusConflict, out)
			return
		}
		if first {
			w.carryOut("/api/hold", o)
		}
		if over || len(w.ended) > 0 {
			break
		}
		changed := w.changed
		w.mu.Unlock()
		select {
		case <-r.Context().Done():
			return
		case <-end.C:
			over = true
		case <-changed:
		}
		w.mu.Lock()
	}
	running := [][]any{}
	for name, x := range w.runs {
		percent := min(int(100*time.Since(x.startedAt)/x.length), 99)
		running = append(running, []any{name, x.number, "", percent, x.step.CPU})
	}
	ended := w.ended[:min(len(w.ended), maxListedEnds)]
	out := map[string]any{"clockMs": w.clock().Milliseconds(), "born": w.born, "running": running, "ended": ended}
	w.mu.Unlock()
	sort.Slice(running, func(a, b int) bool { return running[a][0].(string) < running[b][0].(string) })
	answer(rw, http.StatusOK, out)
}

// forgetEnds drops the ends up to a number.
func (w *worker) forgetEnds(upto int64) {
	w.seen = max(w.seen, upto)
	for len(w.ended) > 0 && int64(w.ended[0][0].(int)) <= upto {
		e := w.ended[0]
		lapsed := w.lapsedAt
		if w.clock() > w.leaseEnd {
			lapsed = w.bornAt.Add(w.leaseEnd)
		}
		w.rig.checks.endSeen(w, e[1].(string), e[2].(int), lapsed)
		w.ended = w.ended[1:]
	}
}

// highestFence returns the highest fencing token that the worker has seen. The agent polls a life that
// has sent a heartbeat under a higher one than the life before.
func (w *worker) highestFence() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.fence
}

// running returns how many runs are on the worker.
func (w *worker) running() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.runs)
}

// parseTask splits the name of a task.
func parseTask(name string) (id string, numbers [3]int, ok bool) {
	p := strings.Split(name, ".")
	if len(p) != 4 {
		return "", numbers, false
	}
	for i := range numbers {
		n, err := strconv.Atoi(p[i+1])
		if err != nil {
			return "", numbers, false
		}
		numbers[i] = n
	}
	return p[0], numbers, true
}
