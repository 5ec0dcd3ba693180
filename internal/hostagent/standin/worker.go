// Package standin provides an in-memory worker that follows the protocol of real
// workers: fences, leases, run numbers and lists of ended runs. Tests use it with a fake clock.
package standin

import (
	"context"
	"sort"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/sesamestream/sesamestream/internal/hostagent"
	"github.com/sesamestream/sesamestream/pkg/batch"
)

// A Worker simulates runs that take the time given by Duration. Its exported
// fields must be set before use.
type Worker struct {
	Info batch.Worker
	// MaxLease is the longest lease, to which a longer one is shortened; 0 is any.
	MaxLease time.Duration
	// Duration returns how long a task runs; with 0 it runs until it's stopped.
	Duration func(batch.Task) time.Duration
	// Fails reports whether a run ends as failed.
	Fails func(batch.Task, int) bool
	// OnStart and OnEnd are called for each run, if set.
	OnStart func(w *Worker, t batch.Task, run int)
	OnEnd   func(w *Worker, e batch.End)
	// OnEndsAcked is called with the ends that were acknowledged, if set.
	OnEndsAcked func(w *Worker, ends []batch.End)

	mu          sync.Mutex
	faults      Faults
	dead        bool
	left        bool
	startedAt   time.Time
	fence       int64
	leaseEnd    time.Time
	leaseTimer  *time.Timer
	runs        map[batch.Task]*run
	highestRun  map[batch.Task]int
	ended       []batch.End
	seq         int64
	used        batch.Resources
	endsChanged chan struct{}
	// lateSince is when the delayed call was sent that takes effect; zero if none does.
	lateSince time.Time
}

type run struct {
	number    int
	startedAt time.Time
	timer     *time.Timer
	need      batch.Resources
	pace      int
}

// Faults are the injected faults.
type Faults struct {
	// DropCalls leaves calls unanswered and without effect.
	DropCalls bool
	// Delay postpones the effect of calls, which get no answer.
	Delay time.Duration
	// DropAnswers carries out calls without answering them.
	DropAnswers bool
	// Unhealthy refuses all calls with ErrUnhealthy.
	Unhealthy bool
}

var _ hostagent.Worker = (*Worker)(nil)

// SetFaults changes the faults.
func (w *Worker) SetFaults(f Faults) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faults = f
}

// Late reports whether the call that takes effect was delayed by the worker itself. It may be
// called from OnStart and OnEnd only.
func (w *Worker) Late() bool { return !w.lateSince.IsZero() }

// SentAt returns when the call was sent that takes effect. It may be called from OnStart and OnEnd only.
func (w *Worker) SentAt() time.Time {
	if w.Late() {
		return w.lateSince
	}
	return time.Now()
}

type lateKey struct{}

// LateContext returns a context for calls that are sent now and are late: their sender has given
// them up, and they may have been sent to an earlier incarnation.
func LateContext(ctx context.Context) context.Context {
	return context.WithValue(ctx, lateKey{}, time.Now())
}

// Fence returns the highest fence that the worker has seen.
func (w *Worker) Fence() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.fence
}

// ForgetEnds drops all ends, as a late call to the previous incarnation does if
// it acknowledges a higher sequence number.
func (w *Worker) ForgetEnds() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ended = nil
}

// Dead reports whether the worker has crashed or left.
func (w *Worker) Dead() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.dead
}

// Crash ends all runs and leaves all further calls unanswered.
func (w *Worker) Crash() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.dead = true
	for t, r := range w.runs {
		if r.timer != nil {
			r.timer.Stop()
		}
		delete(w.runs, t)
		w.notifyEnd(batch.End{Task: t, Number: r.number, How: batch.Lapsed})
	}
	if w.leaseTimer != nil {
		w.leaseTimer.Stop()
	}
}

// Leave ends all runs, resets connections and refuses further ones.
func (w *Worker) Leave() {
	w.Crash()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.init()
	w.left = true
	close(w.endsChanged)
	w.endsChanged = make(chan struct{})
}

func (w *Worker) notifyEnd(e batch.End) {
	if w.OnEnd != nil {
		w.OnEnd(w, e)
	}
}

func (w *Worker) init() {
	if w.runs == nil {
		w.runs, w.highestRun = map[batch.Task]*run{}, map[batch.Task]int{}
		w.endsChanged = make(chan struct{})
		w.startedAt = time.Now()
	}
}

func (w *Worker) clock() time.Duration { return time.Since(w.startedAt) + time.Millisecond }

// execute carries out one call subject to the injected faults.
func (w *Worker) execute(ctx context.Context, do func() error) (hostagent.Answer, error) {
	w.mu.Lock()
	w.init()
	f := w.faults
	if w.left {
		w.mu.Unlock()
		return hostagent.Answer{}, hostagent.ErrRefused
	}
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
		sent := time.Now()
		time.AfterFunc(f.Delay, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			if !w.dead {
				// The caller has given up, so that the result of a delayed call is dropped.
				w.lateSince = sent
				_ = do()
				w.lateSince = time.Time{}
			}
		})
		w.mu.Unlock()
		<-ctx.Done()
		return hostagent.Answer{}, hostagent.ErrNoAnswer
	}
	w.lateSince, _ = ctx.Value(lateKey{}).(time.Time)
	err := do()
	w.lateSince = time.Time{}
	a := hostagent.Answer{Clock: w.clock()}
	w.mu.Unlock()
	if f.DropAnswers {
		<-ctx.Done()
		return hostagent.Answer{}, hostagent.ErrNoAnswer
	}
	return a, err
}

// isStale reports whether a higher fence than this was seen, and otherwise records it.
func (w *Worker) isStale(fence int64) bool {
	if fence < w.fence {
		return true
	}
	w.fence = fence
	return false
}

// extendLease extends the lease to an end by the worker's clock. It never shortens the lease.
func (w *Worker) extendLease(end time.Duration) {
	if end <= 0 {
		return
	}
	if w.MaxLease > 0 {
		end = min(end, w.clock()+w.MaxLease)
	}
	at := w.startedAt.Add(end - time.Millisecond)
	if !at.After(w.leaseEnd) {
		return
	}
	w.leaseEnd = at
	if w.leaseTimer != nil {
		w.leaseTimer.Stop()
	}
	w.leaseTimer = time.AfterFunc(time.Until(at), func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if time.Now().Before(w.leaseEnd) {
			return
		}
		for t := range w.runs {
			w.endRun(t, batch.Lapsed)
		}
	})
}

// endRun ends the run of a task, lists its end and wakes waiting polls.
func (w *Worker) endRun(t batch.Task, how batch.EndKind) {
	r := w.runs[t]
	if r == nil {
		return
	}
	if r.timer != nil {
		r.timer.Stop()
	}
	delete(w.runs, t)
	w.used = w.used.Minus(r.need)
	w.highestRun[t] = max(w.highestRun[t], r.number)
	w.seq++
	e := batch.End{Seq: w.seq, Task: t, Number: r.number, How: how}
	w.ended = append(w.ended, e)
	w.notifyEnd(e)
	close(w.endsChanged)
	w.endsChanged = make(chan struct{})
}

// percent returns the progress of a run; that of a long-running one is 100.
func (w *Worker) percent(t batch.Task, r *run) int {
	if d := w.Duration(t); d > 0 {
		return int(100 * time.Since(r.startedAt) / d)
	}
	return 100
}

// Start implements hostagent.Worker.
func (w *Worker) Start(ctx context.Context, o hostagent.StartOrder) (hostagent.Answer, error) {
	return w.execute(ctx, func() error {
		if w.isStale(o.Fence) {
			return hostagent.ErrFenced
		}
		if r := w.runs[o.Task]; r != nil && r.number == o.Number {
			w.extendLease(o.LeaseEnd)
			return nil
		}
		w.extendLease(o.LeaseEnd)
		if w.runs[o.Task] != nil || o.Number <= w.highestRun[o.Task] {
			return hostagent.ErrOldRun
		}
		if w.clock() >= o.LeaseEnd {
			return hostagent.ErrLeaseExpired
		}
		r := &run{number: o.Number, startedAt: time.Now(), pace: 100}
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
					w.endRun(t, how)
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
	return w.execute(ctx, func() error {
		if w.isStale(fence) {
			return hostagent.ErrFenced
		}
		w.highestRun[t] = max(w.highestRun[t], number)
		if r := w.runs[t]; r != nil && r.number <= number {
			// The stop takes effect after stopDuration; only then the end is listed.
			time.AfterFunc(stopDuration, func() {
				w.mu.Lock()
				defer w.mu.Unlock()
				if w.runs[t] == r {
					w.endRun(t, batch.Stopped)
				}
			})
		}
		return nil
	})
}

// stopDuration is the time between a stop and the end of the run.
const stopDuration = 200 * time.Millisecond

// Pace implements hostagent.Worker.
func (w *Worker) Pace(ctx context.Context, t batch.Task, number, percent int, fence int64) (hostagent.Answer, error) {
	return w.execute(ctx, func() error {
		if w.isStale(fence) {
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
	var changed chan struct{}
	for waited := o.Wait == 0; ; {
		var l hostagent.RunLists
		a, err := w.execute(ctx, func() error {
			if w.isStale(o.Fence) {
				return hostagent.ErrFenced
			}
			w.extendLease(o.LeaseEnd)
			var acked, remaining []batch.End
			for _, e := range w.ended {
				if e.Seq <= o.AckedSeq {
					acked = append(acked, e)
				} else {
					remaining = append(remaining, e)
				}
			}
			w.ended = remaining
			if len(acked) > 0 && w.OnEndsAcked != nil {
				w.OnEndsAcked(w, acked)
			}
			l.Ended = append(l.Ended, remaining...)
			for t, r := range w.runs {
				l.Running = append(l.Running, batch.Run{Task: t, Number: r.number, ProgressPercent: w.percent(t, r)})
			}
			sort.Slice(l.Running, func(i, j int) bool { return l.Running[i].Task.String() < l.Running[j].Task.String() })
			changed = w.endsChanged
			return nil
		})
		if errors.Is(err, hostagent.ErrRefused) && changed != nil {
			err = hostagent.ErrNoAnswer
		}
		if err != nil {
			return a, hostagent.RunLists{}, err
		}
		if len(l.Ended) > 0 || waited {
			return a, l, nil
		}
		select {
		case <-ctx.Done():
			return a, hostagent.RunLists{}, hostagent.ErrNoAnswer
		case <-wait.C:
			waited = true
		case <-changed:
		}
	}
}
