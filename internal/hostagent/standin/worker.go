// Package standin is a worker in memory that keeps the rules of the real ones:
// fences, leases, run numbers and lists of ends. Tests use it with a paused clock.
package standin

import (
	"context"
	"sort"
	"sync"
	"time"

	"github.com/sesamestream/sesamestream/internal/hostagent"
	"github.com/sesamestream/sesamestream/pkg/batch"
)

// A Worker runs tasks for the time that Duration says. Its exported fields are set before use.
type Worker struct {
	Info batch.Worker
	// Duration returns how long a task works; 0 is until it's stopped.
	Duration func(batch.Task) time.Duration
	// Fails reports whether a run ends as failed.
	Fails func(batch.Task, int) bool
	// OnStart and Over are told of each run.
	OnStart func(w *Worker, t batch.Task, run int)
	OnEnd   func(w *Worker, e batch.End)
	// OnEndsAcked is told up to which end the worker may forget.
	OnEndsAcked func(w *Worker, ends []batch.End)

	mu      sync.Mutex
	faults  Faults
	dead    bool
	epoch   time.Time
	fence   int64
	until   time.Time
	lapse   *time.Timer
	runs    map[batch.Task]*run
	highest map[batch.Task]int
	ended   []batch.End
	seq     int64
	used    batch.Resources
	changed chan struct{}
}

type run struct {
	number int
	began  time.Time
	timer  *time.Timer
	need   batch.Resources
	pace   int
}

// Faults are what the agent meets.
type Faults struct {
	// DropCalls calls get no answer and have no effect.
	DropCalls bool
	// Delay is how much later an order is carried out, without an answer.
	Delay time.Duration
	// DropAnswers of orders, which are carried out.
	DropAnswers bool
	// Unhealthy orders are refused.
	Unhealthy bool
}

var _ hostagent.Worker = (*Worker)(nil)

// SetFaults changes the faults.
func (w *Worker) SetFaults(f Faults) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faults = f
}

// ForgetEnds lets the worker forget all ends, as a late call to the life before it
// does that names a higher one.
func (w *Worker) ForgetEnds() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ended = nil
}

// Crash ends the worker: nothing runs, nothing answers.
func (w *Worker) Crash() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.dead = true
	for t, r := range w.runs {
		if r.timer != nil {
			r.timer.Stop()
		}
		delete(w.runs, t)
		w.tell(batch.End{Task: t, Number: r.number, How: batch.Lapsed})
	}
	if w.lapse != nil {
		w.lapse.Stop()
	}
}

func (w *Worker) tell(e batch.End) {
	if w.OnEnd != nil {
		w.OnEnd(w, e)
	}
}

func (w *Worker) init() {
	if w.runs == nil {
		w.runs, w.highest = map[batch.Task]*run{}, map[batch.Task]int{}
		w.changed = make(chan struct{})
		w.epoch = time.Now()
	}
}

func (w *Worker) clock() time.Duration { return time.Since(w.epoch) + time.Millisecond }

// order carries one order out under the faults.
func (w *Worker) order(ctx context.Context, do func() error) (hostagent.Answer, error) {
	w.mu.Lock()
	w.init()
	f := w.faults
	if w.dead || f.DropCalls {
		w.mu.Unlock()
		<-ctx.Done()
		return hostagent.Answer{}, hostagent.ErrNoAnswer
	}
	if f.Unhealthy {
		w.mu.Unlock()
		return hostagent.Answer{}, hostagent.ErrUnhealthy
	}
	if f.Delay > 0 {
		time.AfterFunc(f.Delay, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			if !w.dead {
				// Nobody hears what became of a late order.
				_ = do()
			}
		})
		w.mu.Unlock()
		<-ctx.Done()
		return hostagent.Answer{}, hostagent.ErrNoAnswer
	}
	err := do()
	a := hostagent.Answer{Clock: w.clock()}
	w.mu.Unlock()
	if f.DropAnswers {
		<-ctx.Done()
		return hostagent.Answer{}, hostagent.ErrNoAnswer
	}
	return a, err
}

func (w *Worker) fenced(fence int64) bool {
	if fence < w.fence {
		return true
	}
	w.fence = fence
	return false
}

// extend takes a lease in; it never gets shorter.
func (w *Worker) extend(until time.Duration) {
	if until <= 0 {
		return
	}
	at := w.epoch.Add(until - time.Millisecond)
	if !at.After(w.until) {
		return
	}
	w.until = at
	if w.lapse != nil {
		w.lapse.Stop()
	}
	w.lapse = time.AfterFunc(time.Until(at), func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if time.Now().Before(w.until) {
			return
		}
		for t := range w.runs {
			w.end(t, batch.Lapsed)
		}
	})
}

func (w *Worker) end(t batch.Task, how batch.EndKind) {
	r := w.runs[t]
	if r == nil {
		return
	}
	if r.timer != nil {
		r.timer.Stop()
	}
	delete(w.runs, t)
	w.used = w.used.Minus(r.need)
	w.highest[t] = max(w.highest[t], r.number)
	w.seq++
	e := batch.End{Seq: w.seq, Task: t, Number: r.number, How: how}
	w.ended = append(w.ended, e)
	w.tell(e)
	close(w.changed)
	w.changed = make(chan struct{})
}

// percent returns how far a run is, or that a lasting one is up.
func (w *Worker) percent(t batch.Task, r *run) int {
	if d := w.Duration(t); d > 0 {
		return int(100 * time.Since(r.began) / d)
	}
	return 100
}

// Start implements hostagent.Worker.
func (w *Worker) Start(ctx context.Context, o hostagent.StartOrder) (hostagent.Answer, error) {
	return w.order(ctx, func() error {
		if w.fenced(o.Fence) {
			return hostagent.ErrFenced
		}
		if r := w.runs[o.Task]; r != nil && r.number == o.Number {
			w.extend(o.LeaseEnd)
			return nil
		}
		w.extend(o.LeaseEnd)
		if w.runs[o.Task] != nil || o.Number <= w.highest[o.Task] {
			return hostagent.ErrOldRun
		}
		if w.clock() >= o.LeaseEnd {
			return hostagent.ErrLeaseExpired
		}
		r := &run{number: o.Number, began: time.Now(), pace: 100}
		w.runs[o.Task] = r
		if d := w.Duration(o.Task); d > 0 {
			how := batch.Done
			if w.Fails != nil && w.Fails(o.Task, o.Number) {
				how = batch.Failed
			}
			t := o.Task
			r.timer = time.AfterFunc(d, func() {
				w.mu.Lock()
				defer w.mu.Unlock()
				if w.runs[t] == r {
					w.end(t, how)
				}
			})
		}
		if w.OnStart != nil {
			w.OnStart(w, o.Task, o.Number)
		}
		return nil
	})
}

// Stop implements hostagent.Worker.
func (w *Worker) Stop(ctx context.Context, t batch.Task, number int, fence int64) (hostagent.Answer, error) {
	return w.order(ctx, func() error {
		if w.fenced(fence) {
			return hostagent.ErrFenced
		}
		w.highest[t] = max(w.highest[t], number)
		if r := w.runs[t]; r != nil && r.number <= number {
			// Stopping takes a while; the run ends when it's listed.
			time.AfterFunc(stopTime, func() {
				w.mu.Lock()
				defer w.mu.Unlock()
				if w.runs[t] == r {
					w.end(t, batch.Stopped)
				}
			})
		}
		return nil
	})
}

// stopTime is how long a stop takes.
const stopTime = 200 * time.Millisecond

// Pace implements hostagent.Worker.
func (w *Worker) Pace(ctx context.Context, t batch.Task, number, percent int, fence int64) (hostagent.Answer, error) {
	return w.order(ctx, func() error {
		if w.fenced(fence) {
			return hostagent.ErrFenced
		}
		if r := w.runs[t]; r != nil && r.number == number {
			r.pace = percent
		}
		return nil
	})
}

// Hold implements hostagent.Worker.
func (w *Worker) Hold(ctx context.Context, o hostagent.HoldOrder) (hostagent.Answer, hostagent.RunLists, error) {
	wait := time.NewTimer(o.Wait)
	defer wait.Stop()
	for {
		var l hostagent.RunLists
		var changed chan struct{}
		a, err := w.order(ctx, func() error {
			if w.fenced(o.Fence) {
				return hostagent.ErrFenced
			}
			w.extend(o.LeaseEnd)
			var noted, kept []batch.End
			for _, e := range w.ended {
				if e.Seq <= o.AckedSeq {
					noted = append(noted, e)
				} else {
					kept = append(kept, e)
				}
			}
			w.ended = kept
			if len(noted) > 0 && w.OnEndsAcked != nil {
				w.OnEndsAcked(w, noted)
			}
			l.Ended = append(l.Ended, kept...)
			for t, r := range w.runs {
				l.Running = append(l.Running, batch.Run{Task: t, Number: r.number, Percent: w.percent(t, r)})
			}
			sort.Slice(l.Running, func(i, j int) bool { return l.Running[i].Task.String() < l.Running[j].Task.String() })
			changed = w.changed
			return nil
		})
		if err != nil {
			return a, hostagent.RunLists{}, err
		}
		if len(l.Ended) > 0 || o.Wait == 0 {
			return a, l, nil
		}
		select {
		case <-ctx.Done():
			return a, hostagent.RunLists{}, hostagent.ErrNoAnswer
		case <-wait.C:
			return a, l, nil
		case <-changed:
		}
	}
}
