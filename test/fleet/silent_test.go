package fleet_test

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sesamestream/sesamestream/internal/hostagent/standin"
	"github.com/sesamestream/sesamestream/internal/kv/memory"
	"github.com/sesamestream/sesamestream/pkg/batch"
)

// maxLongRunningGap is the time within which a long-running task runs again if there is room for it.
const maxLongRunningGap = 9 * time.Second

// startLog records the starts of all workers of a rig.
type startLog struct {
	mu      sync.Mutex
	times   []time.Time
	workers []string
}

// recordStarts makes all tasks run until they are stopped and records their starts.
func (r *rig) recordStarts() *startLog {
	l := &startLog{}
	for _, p := range r.procs {
		if p.worker == nil {
			continue
		}
		p.worker.Duration = func(batch.Task) time.Duration { return 0 }
		p.worker.OnStart = func(w *standin.Worker, t batch.Task, run int) {
			l.mu.Lock()
			l.times, l.workers = append(l.times, time.Now()), append(l.workers, w.Info.ID)
			l.mu.Unlock()
			r.history.RunStarted(w, t, run)
		}
	}
	return l
}

// since returns the workers that started a task from a time on, and the time until the first of these starts.
func (l *startLog) since(from time.Time) (workers []string, gap time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i, at := range l.times {
		if at.Before(from) {
			continue
		}
		if len(workers) == 0 {
			gap = at.Sub(from)
		}
		workers = append(workers, l.workers[i])
	}
	return workers, gap
}

// refusedStarts returns how many starts the scheduler was told to be refused.
func (r *rig) refusedStarts() (n int) {
	var b strings.Builder
	r.leader().control.Log.Metrics.WriteText(&b)
	for line := range strings.Lines(b.String()) {
		if _, err := fmt.Sscanf(line, `sesamestream_events_total{event="runRefused"} %d`, &n); err == nil {
			return n
		}
	}
	return 0
}

// submitLongRunning submits a job of one long-running task and returns the process of the worker that runs it.
func (r *rig) submitLongRunning(l *startLog) *process {
	j := r.newJob(0)
	j.Steps = []batch.Step{{Count: 1, Need: batch.Resources{MilliCPU: 1000, MemoryMB: 100}, LongRunning: true}}
	from := time.Now()
	r.submit(j)
	time.Sleep(3 * time.Second)
	workers, _ := l.since(from)
	for _, p := range r.procs {
		if p.worker != nil && len(workers) == 1 && p.worker.Info.ID == workers[0] {
			return p
		}
	}
	r.t.Fatalf("the task was started on %v, want one worker", workers)
	return nil
}

// A long-running task whose worker is lost runs again in time though the workers that
// would be chosen next are silent one after the other, as another has room. Before, each
// of them was chosen every quarter of a second, and refused by its host, until its lease was over.
func TestLongRunningTaskIsNotOfferedToSilentWorkers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 1, 2, 4)
		starts := r.recordStarts()
		time.Sleep(5 * time.Second)
		first := r.submitLongRunning(starts)
		var others []*process
		for _, p := range r.procs {
			if p.host && p != first {
				others = append(others, p)
			}
		}
		lostAt := time.Now()
		first.worker.Crash()
		time.Sleep(3500 * time.Millisecond)
		others[0].worker.SetFaults(standin.Faults{DropCalls: true})
		time.Sleep(3100 * time.Millisecond)
		others[1].worker.SetFaults(standin.Faults{DropCalls: true})
		time.Sleep(9 * time.Second)
		workers, gap := starts.since(lostAt)
		if len(workers) == 0 || gap > maxLongRunningGap {
			t.Errorf("the task runs again after %v on %v, want at most %v", gap, workers, maxLongRunningGap)
		}
		r.close()
	})
}

// A worker that falls silent while the registration of its host waits for the store gets
// no tasks afterwards, until it answers again.
func TestWorkerSilentBeforeItsHostIsRegisteredGetsNoTasks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 1, 2, 3)
		host := r.procs[2]
		time.Sleep(5 * time.Second)
		host.worker.Crash()
		time.Sleep(hostRemovalTime)
		store := r.leader().store
		store.Set(memory.Faults{ApplyDelay: 5 * time.Second})
		host.startWorker()
		starts := r.recordStarts()
		time.Sleep(1200 * time.Millisecond)
		host.worker.SetFaults(standin.Faults{DropCalls: true})
		time.Sleep(800 * time.Millisecond)
		store.Set(memory.Faults{})
		from := time.Now()
		j := r.newJob(0)
		j.Steps = []batch.Step{{Count: 3, Need: batch.Resources{MilliCPU: 3000, MemoryMB: 100}, LongRunning: true}}
		r.submit(j)
		time.Sleep(2 * time.Second)
		if workers, _ := starts.since(from); len(workers) != 2 {
			t.Errorf("tasks run on %v, want two workers", workers)
		}
		if n := r.refusedStarts(); n != 0 {
			t.Errorf("%d starts were refused, want 0", n)
		}
		host.worker.SetFaults(standin.Faults{})
		time.Sleep(8 * time.Second)
		if workers, _ := starts.since(from); len(workers) != 3 {
			t.Errorf("tasks run on %v once the worker answers, want three workers", workers)
		}
		r.close()
	})
}
