package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sort"
	"strings"
	"sync"
	"time"
)

const (
	// maxListedEnds is how many ends a worker lists at a time.
	maxListedEnds = 500
	// stopDelay is the time between a stop and the end of the run; it is below stopMs of the settings.
	stopDelay = 200 * time.Millisecond
	// heartbeatInterval is heartbeatMs of the settings.
	heartbeatInterval = 1500 * time.Millisecond
)

// A need is what a task of a job requests of a worker.
type need struct{ cpu, memMb int }

// A workload tells the workers what the tasks of each job are, as their specs do on the platform.
type workload struct {
	// uneven makes the tasks of a step take up to a quarter less than their time. It is set before the first job.
	uneven bool

	mu   sync.Mutex
	jobs map[string]jobKind
}

// A jobKind describes the tasks of a job.
type jobKind struct {
	need     need
	duration time.Duration
	// lasts is set for tasks that run until they are stopped.
	lasts bool
}

func (l *workload) set(job string, k jobKind) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.jobs == nil {
		l.jobs = map[string]jobKind{}
	}
	l.jobs[job] = k
}

// of returns the kind of the job of a task.
func (l *workload) of(task string) (jobKind, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	k, ok := l.jobs[strings.SplitN(task, ".", 2)[0]]
	return k, ok
}

// A worker is a stand-in of one incarnation of a worker of the platform.
type worker struct {
	id, machine, service, zone string
	addr, control              string
	capacity                   need
	labels                     []string
	holdMax                    time.Duration
	load                       *workload
	rec                        *record
	history                    *history

	born    time.Time
	server  *http.Server
	stopped chan struct{}

	mu   sync.Mutex
	dead bool
	// silent is set while the worker answers nothing and sends nothing.
	silent  bool
	seq     int64
	fence   int64
	until   time.Duration
	timer   *time.Timer
	used    need
	runs    map[string]*run
	highest map[string]int
	ended   []end
	endSeq  int64
	changed chan struct{}
}

type run struct {
	number int
	kind   jobKind
	begin  time.Time
	timer  *time.Timer
	saved  string
}

type end struct {
	seq    int64
	task   string
	number int
	how    string
	saved  string
}

// clock is the reading of the worker's steady clock.
func (w *worker) clock() time.Duration { return time.Since(w.born) }

// start serves the calls of the agent and sends heartbeats until crash.
func (w *worker) start() error {
	w.runs, w.highest, w.changed = map[string]*run{}, map[string]int{}, make(chan struct{})
	w.born, w.stopped = time.Now(), make(chan struct{})
	l, err := net.Listen("tcp", w.addr)
	if err != nil {
		return err
	}
	w.server = &http.Server{Handler: w, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = w.server.Serve(l) }()
	go w.sendHeartbeats()
	w.rec.printf("worker %s born %d starts at %s", w.id, w.born.UnixMilli(), w.addr)
	return nil
}

// crash ends the worker and all its runs without any message.
func (w *worker) crash() {
	w.mu.Lock()
	if w.dead {
		w.mu.Unlock()
		return
	}
	w.dead = true
	for t, r := range w.runs {
		if r.timer != nil {
			r.timer.Stop()
		}
		w.history.ended(w.id, t, r.number, "gone", 0)
	}
	if w.timer != nil {
		w.timer.Stop()
	}
	w.mu.Unlock()
	close(w.stopped)
	_ = w.server.Close()
	w.rec.printf("worker %s crashes", w.id)
}

// fallSilent ends all runs without any message, and leaves all later calls unanswered,
// as the loss of the machine does.
func (w *worker) fallSilent() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.silent = true
	for t, r := range w.runs {
		if r.timer != nil {
			r.timer.Stop()
		}
		w.history.ended(w.id, t, r.number, "gone", 0)
		delete(w.runs, t)
	}
	w.rec.printf("worker %s is lost and silent", w.id)
}

// isSilent reports whether fallSilent was called.
func (w *worker) isSilent() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.silent
}

func (w *worker) sendHeartbeats() {
	c := &http.Client{Timeout: time.Second}
	for !w.isSilent() {
		w.mu.Lock()
		w.seq++
		b, err := json.Marshal(map[string]any{
			"service": w.service, "address": w.addr, "zone": w.zone, "version": "v1", "slots": 8, "state": "ready", "coldLeftMs": 0,
			"machine": w.machine, "capacity": map[string]int{"cpu": w.capacity.cpu, "memMb": w.capacity.memMb, "gpu": 0},
			"labels": w.labels, "clockMs": w.clock().Milliseconds(), "seq": w.seq, "born": w.born.UnixMilli(),
		})
		w.mu.Unlock()
		if err != nil {
			panic(err)
		}
		status := 0
		if r, err := http.NewRequest(http.MethodPut, "http://"+w.control+"/api/instances/"+w.id, strings.NewReader(string(b))); err == nil {
			r.Header.Set("Content-Type", "application/json")
			if a, err := c.Do(r); err == nil {
				status = a.StatusCode
				_ = a.Body.Close()
			}
		}
		w.rec.printf("heartbeat %s seq %d -> %d", w.id, w.seq, status)
		pause := heartbeatInterval
		if status != http.StatusOK {
			pause = heartbeatInterval / 3
		}
		select {
		case <-w.stopped:
			return
		case <-time.After(pause):
		}
	}
}

// An order is the body of any call to a worker.
type order struct {
	Task       string `json:"task"`
	Run        int    `json:"run"`
	Spec       string `json:"spec"`
	UntilMs    int64  `json:"untilMs"`
	FenceToken int64  `json:"fenceToken"`
	Saved      string `json:"saved"`
	SeenUpto   int64  `json:"seenUpto"`
	WaitMs     int64  `json:"waitMs"`
	Percent    int    `json:"percent"`
}

var errUnknownTask = errors.New("a task that no client submitted")

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
	if w.isSilent() {
		<-r.Context().Done()
		return
	}
	answer := map[string]any{"born": w.born.UnixMilli()}
	reason := ""
	switch r.URL.Path {
	case "/api/run-start":
		var err error
		if reason, err = w.startRun(o); err != nil {
			w.rec.printf("start %s run %d on %s -> 400 %v", o.Task, o.Run, w.id, err)
			rw.WriteHeader(http.StatusBadRequest)
			return
		}
		w.rec.printf("start %s run %d on %s fence %d -> %s", o.Task, o.Run, w.id, o.FenceToken, outcome(reason))
	case "/api/run-stop":
		reason = w.stopRun(o)
		w.rec.printf("stop %s run %d on %s fence %d -> %s", o.Task, o.Run, w.id, o.FenceToken, outcome(reason))
	case "/api/pace":
		w.mu.Lock()
		reason = w.checkFence(o.FenceToken)
		w.mu.Unlock()
	case "/api/hold":
		reason = w.hold(r.Context(), o, answer)
	default:
		rw.WriteHeader(http.StatusNotFound)
		return
	}
	if w.isSilent() {
		<-r.Context().Done()
		return
	}
	answer["clockMs"] = w.clock().Milliseconds()
	status := http.StatusOK
	if reason != "" {
		status = http.StatusConflict
		answer["reason"] = reason
	}
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	// The error means that the agent has hung up.
	_ = json.NewEncoder(rw).Encode(answer)
}

func outcome(reason string) string {
	if reason == "" {
		return "200"
	}
	return "409 " + reason
}

// checkFence returns a reason for a lower fence than one that was seen, and records a higher one.
func (w *worker) checkFence(f int64) string {
	if f < w.fence {
		return "fence"
	}
	w.fence = f
	return ""
}

// extendLease extends the lease to a time by the worker's clock; it never shortens the lease.
func (w *worker) extendLease(untilMs int64) {
	u := min(time.Duration(untilMs)*time.Millisecond, w.clock()+w.holdMax)
	if untilMs <= 0 || u <= w.until {
		return
	}
	w.until = u
	if w.timer != nil {
		w.timer.Stop()
	}
	w.timer = time.AfterFunc(u-w.clock(), func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.dead || w.clock() < w.until {
			return
		}
		w.rec.printf("lease of %s lapses, %d runs end", w.id, len(w.runs))
		w.history.lapsed(w.id)
		for t := range w.runs {
			w.endRun(t, "lapsed")
		}
	})
}

// startRun carries out a start and returns the reason of a refusal.
func (w *worker) startRun(o order) (string, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	k, ok := w.load.of(o.Task)
	if !ok {
		return "", errUnknownTask
	}
	if reason := w.checkFence(o.FenceToken); reason != "" {
		return reason, nil
	}
	r := w.runs[o.Task]
	late := time.Duration(o.UntilMs)*time.Millisecond <= w.clock()
	w.extendLease(o.UntilMs)
	switch {
	case r != nil && r.number == o.Run:
		return "", nil
	case r != nil || o.Run <= w.highest[o.Task]:
		return "old", nil
	case late:
		return "late", nil
	case w.used.cpu+k.need.cpu > w.capacity.cpu || w.used.memMb+k.need.memMb > w.capacity.memMb:
		return "room", nil
	}
	r = &run{number: o.Run, kind: k, begin: time.Now(), saved: o.Saved}
	w.runs[o.Task] = r
	w.used.cpu += k.need.cpu
	w.used.memMb += k.need.memMb
	if !k.lasts {
		if w.load.uneven {
			r.kind.duration -= time.Duration(rand.Int64N(int64(k.duration)/4 + 1))
		}
		r.timer = time.AfterFunc(r.kind.duration, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			if !w.dead && w.runs[o.Task] == r {
				w.endRun(o.Task, "done")
			}
		})
	}
	w.history.started(w.id, o.Task, o.Run)
	return "", nil
}

// endRun ends a run and lists its end. The worker is locked.
func (w *worker) endRun(task, how string) {
	r := w.runs[task]
	if r.timer != nil {
		r.timer.Stop()
	}
	delete(w.runs, task)
	w.used.cpu -= r.kind.need.cpu
	w.used.memMb -= r.kind.need.memMb
	w.highest[task] = max(w.highest[task], r.number)
	w.endSeq++
	w.ended = append(w.ended, end{w.endSeq, task, r.number, how, r.saved})
	w.history.ended(w.id, task, r.number, how, w.endSeq)
	w.rec.printf("end %d of %s: %s run %d %s", w.endSeq, w.id, task, r.number, how)
	close(w.changed)
	w.changed = make(chan struct{})
}

// fail ends the run of a task as failed and reports whether there was one.
func (w *worker) fail(task string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.runs[task] == nil {
		return false
	}
	w.endRun(task, "failed")
	return true
}

// has reports whether a run of a task is at work.
func (w *worker) has(task string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.runs[task] != nil
}

// stopRun stops a run; the end is listed after stopDelay.
func (w *worker) stopRun(o order) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	if reason := w.checkFence(o.FenceToken); reason != "" {
		return reason
	}
	w.highest[o.Task] = max(w.highest[o.Task], o.Run)
	if r := w.runs[o.Task]; r != nil && r.number <= o.Run {
		time.AfterFunc(stopDelay, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			if !w.dead && w.runs[o.Task] == r {
				w.endRun(o.Task, "stopped")
			}
		})
	}
	return ""
}

// hold renews the lease, forgets the ends that were seen, and lists the runs and the
// ends. Without an end it waits for one.
func (w *worker) hold(ctx context.Context, o order, answer map[string]any) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	if reason := w.checkFence(o.FenceToken); reason != "" {
		w.rec.printf("hold of %s fence %d -> 409 %s", w.id, o.FenceToken, reason)
		return reason
	}
	w.extendLease(o.UntilMs)
	n := 0
	for n < len(w.ended) && w.ended[n].seq <= o.SeenUpto {
		n++
	}
	if n > 0 {
		w.history.seen(w.id, o.SeenUpto)
		w.rec.printf("hold of %s sees the ends up to %d", w.id, o.SeenUpto)
		w.ended = w.ended[n:]
	}
	deadline := time.Now().Add(time.Duration(o.WaitMs) * time.Millisecond)
	for len(w.ended) == 0 && time.Now().Before(deadline) && ctx.Err() == nil && !w.dead {
		changed := w.changed
		w.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
		case <-time.After(time.Until(deadline)):
		}
		w.mu.Lock()
	}
	running, ended := [][]any{}, [][]any{}
	for t, r := range w.runs {
		percent := 100
		if !r.kind.lasts {
			percent = int(100 * time.Since(r.begin) / r.kind.duration)
		}
		running = append(running, []any{t, r.number, r.saved, min(percent, 100), r.kind.need.cpu})
	}
	sort.Slice(running, func(i, j int) bool { return fmt.Sprint(running[i][0]) < fmt.Sprint(running[j][0]) })
	for _, e := range w.ended[:min(len(w.ended), maxListedEnds)] {
		ended = append(ended, []any{e.seq, e.task, e.number, e.how, e.saved})
	}
	if len(w.ended) > 100 {
		w.rec.printf("hold of %s fence %d lists %d of %d ends", w.id, o.FenceToken, len(ended), len(w.ended))
	}
	answer["running"], answer["ended"] = running, ended
	return ""
}
