// Package standin is a small worker for tests and trials. It simulates tasks
// under leases, checkpoints them, and records every start and end.
package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/sesamestream/sesamestream/internal/worker"
	"github.com/sesamestream/sesamestream/pkg/fleet"
)

// TickInterval is how often running attempts make progress and their leases are checked.
const TickInterval = 20 * time.Millisecond

// A Recorder counts the starts and ends of attempts; several workers may share it.
type Recorder struct {
	mu      sync.Mutex
	running map[string]int
	// duplicates counts the starts of a task that already ran elsewhere.
	duplicates int
	done       map[string]int
	// resumed counts the starts from a checkpoint.
	resumed int
	// fresh counts the starts from the beginning.
	fresh int
}

// Begin records the start of an attempt, from a checkpoint or from the beginning.
func (r *Recorder) Begin(task string, resumed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.running == nil {
		r.running = make(map[string]int)
		r.done = make(map[string]int)
	}
	r.running[task]++
	if r.running[task] > 1 {
		r.duplicates++
	}
	if resumed {
		r.resumed++
	} else {
		r.fresh++
	}
}

// End records that an attempt no longer runs, and whether the task is done.
func (r *Recorder) End(task string, done bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.running[task]--
	if done {
		r.done[task]++
	}
}

// Counts are the totals of a Recorder.
type Counts struct {
	// Duplicates counts the starts of a task that already ran or was done.
	Duplicates int
	Done       int
	Resumed    int
	// Fresh counts the starts from the beginning.
	Fresh int
}

// Counts returns the totals so far.
func (r *Recorder) Counts() Counts {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := Counts{Duplicates: r.duplicates, Done: len(r.done), Resumed: r.resumed, Fresh: r.fresh}
	for _, n := range r.done {
		c.Duplicates += n - 1
	}
	return c
}

// CompletedRuns returns how many runs of a task ended as done.
func (r *Recorder) CompletedRuns(task string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.done[task]
}

// A Worker stands in for the worker of a host. Its exported fields are set before Run.
type Worker struct {
	ID        string
	Listen    netip.AddrPort
	Agent     netip.AddrPort
	Resources fleet.Resources
	// Recorder records the starts and ends of attempts.
	Recorder *Recorder

	mu       sync.Mutex
	attempts map[worker.Attempt]*attempt
	bound    fleet.Incarnation
	// incarnation and sequence are those of the announcements.
	incarnation fleet.Incarnation
	sequence    uint64
}

// An attempt runs for the duration that its command gives, such as "3s"; the
// command "fail" makes it fail at once.
type attempt struct {
	report   worker.Report
	start    worker.Start
	progress time.Duration
	length   time.Duration
	leaseEnd time.Time
	share    float64
}

// Run serves until ctx ends; its tasks stop with it.
func (w *Worker) Run(ctx context.Context) error {
	l, err := net.Listen("tcp", w.Listen.String())
	if err != nil {
		return errors.Wrap(err, "worker: listen")
	}
	w.attempts = make(map[worker.Attempt]*attempt)
	w.incarnation = fleet.Incarnation(time.Now().UnixNano())
	a := worker.Announcement{
		ID:          w.ID,
		Incarnation: w.incarnation,
		Address:     netip.MustParseAddrPort(l.Addr().String()),
		Resources:   w.Resources,
	}
	h := &http.Server{Handler: w.mux(), ReadHeaderTimeout: worker.AnnounceTimeout}
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error {
		if err := h.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	g.Go(func() error { w.runEvery(ctx, TickInterval, func() { w.tick(time.Now()) }); return nil })
	g.Go(func() error { w.runEvery(ctx, worker.AnnounceInterval, func() { w.announce(a) }); return nil })
	g.Go(func() error {
		<-ctx.Done()
		w.stopAll()
		return h.Close()
	})
	return g.Wait()
}

func (w *Worker) runEvery(ctx context.Context, d time.Duration, f func()) {
	t := time.NewTicker(d)
	defer t.Stop()
	for {
		f()
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
	}
}

// announce sends an announcement, and another one at once where the agent that
// answers is newer than the one announced as bound.
func (w *Worker) announce(a worker.Announcement) {
	sent := time.Now()
	w.mu.Lock()
	w.sequence++
	a.Sequence = w.sequence
	a.BoundAgent = w.bound
	for _, t := range w.attempts {
		a.Attempts = append(a.Attempts, t.report)
	}
	w.mu.Unlock()
	b, err := json.Marshal(a)
	if err != nil {
		return
	}
	c := &http.Client{Timeout: worker.AnnounceInterval}
	r, err := c.Post("http://"+w.Agent.String()+worker.PathWorkers, "application/json", bytes.NewReader(b))
	if err != nil {
		return
	}
	defer r.Body.Close()
	var answer worker.Answer
	if r.StatusCode == http.StatusOK && json.NewDecoder(r.Body).Decode(&answer) == nil {
		w.applyAnswer(sent, answer)
		if a.BoundAgent < answer.Agent {
			a.Attempts = nil
			w.announce(a)
		}
	}
}

// applyAnswer extends leases and forgets acknowledged attempts; it ignores an answer
// from an agent older than the bound one.
func (w *Worker) applyAnswer(sent time.Time, a worker.Answer) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if a.Agent < w.bound {
		return
	}
	w.bound = a.Agent
	for _, l := range a.Leases {
		if t := w.attempts[l.Attempt]; t != nil {
			t.leaseEnd = sent.Add(l.Remaining)
		}
	}
	for _, k := range a.Acknowledged {
		if t := w.attempts[k]; t != nil && t.report.State != worker.Running {
			delete(w.attempts, k)
		}
	}
}

// tick advances every running attempt and stops those whose lease has lapsed.
func (w *Worker) tick(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, t := range w.attempts {
		if t.report.State != worker.Running {
			continue
		}
		t.progress += time.Duration(float64(TickInterval) * t.share)
		switch {
		case !worker.LeaseValid(now, t.leaseEnd):
			w.endAttempt(t, worker.Stopped, "lease lapsed")
		case t.start.Command == "fail":
			w.endAttempt(t, worker.Failed, "told to fail")
		case t.progress >= t.length:
			w.endAttempt(t, worker.Done, "")
		}
	}
}

func (w *Worker) endAttempt(t *attempt, s worker.State, reason string) {
	t.report.State = s
	t.report.Reason = reason
	t.report.Usage = fleet.Resources{}
	w.Recorder.End(t.report.Task, s == worker.Done)
}

func (w *Worker) stopAll() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, t := range w.attempts {
		if t.report.State == worker.Running {
			w.endAttempt(t, worker.Stopped, "worker stopped")
		}
	}
}

func (w *Worker) mux() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("POST "+worker.PathTasks, commandHandler(w.start))
	m.HandleFunc("POST "+worker.PathStop, commandHandler(w.stop))
	m.HandleFunc("POST "+worker.PathThrottle, commandHandler(w.throttle))
	m.HandleFunc("POST "+worker.PathCheckpoint, commandHandler(w.checkpoint))
	return m
}

// commandHandler returns an HTTP handler that decodes a command and passes it to f.
func commandHandler[Q any](f func(Q) (any, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var q Q
		if err := json.NewDecoder(io.LimitReader(r.Body, 1<<20)).Decode(&q); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		a, err := f(q)
		if err != nil {
			http.Error(w, err.Error(), http.StatusConflict)
			return
		}
		_ = json.NewEncoder(w).Encode(a)
	}
}

func (w *Worker) start(s worker.Start) (any, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.attempts[s.Attempt] != nil {
		return struct{}{}, nil
	}
	length, err := time.ParseDuration(s.Command)
	if err != nil && s.Command != "fail" {
		return nil, errors.Errorf("command %q is neither a duration nor fail", s.Command)
	}
	if s.Agent < w.bound {
		return nil, errors.New("the agent has been replaced")
	}
	if s.Worker != w.incarnation {
		return nil, errors.New("the start is for another life of this worker")
	}
	until := s.Sent.Add(s.Lease)
	if !worker.LeaseValid(time.Now(), until) {
		return nil, errors.New("the lease has lapsed on the way")
	}
	progress, _ := strconv.ParseInt(s.Checkpoint, 10, 64)
	w.attempts[s.Attempt] = &attempt{
		report:   worker.Report{Attempt: s.Attempt, State: worker.Running, Usage: s.Resources, Kind: s.Kind, Resources: s.Resources, Checkpoint: s.Checkpoint},
		start:    s,
		progress: time.Duration(progress),
		length:   length,
		leaseEnd: until,
		share:    1,
	}
	w.Recorder.Begin(s.Task, s.Checkpoint != "")
	return struct{}{}, nil
}

func (w *Worker) stop(a worker.Attempt) (any, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	t := w.attempts[a]
	if t == nil {
		// The stop is recorded so that a start that arrives later is not carried out.
		t = &attempt{report: worker.Report{Attempt: a, State: worker.Stopped, Reason: "told to stop"}}
		w.attempts[a] = t
	}
	if t.report.State == worker.Running {
		w.endAttempt(t, worker.Stopped, "told to stop")
	}
	return worker.StopResult{State: t.report.State, Reason: t.report.Reason, Checkpoint: t.report.Checkpoint}, nil
}

func (w *Worker) throttle(q worker.Throttle) (any, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if t := w.attempts[q.Attempt]; t != nil {
		t.share = q.Share
	}
	return struct{}{}, nil
}

func (w *Worker) checkpoint(a worker.Attempt) (any, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	t := w.attempts[a]
	if t == nil {
		return nil, errors.New("no such attempt")
	}
	t.report.Checkpoint = strconv.FormatInt(int64(t.progress), 10)
	return worker.CheckpointResult{Checkpoint: t.report.Checkpoint}, nil
}
