package fleet_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/sesamestream/sesamestream/internal/kv/memory"
	"github.com/sesamestream/sesamestream/pkg/batch"
)

// dismissWorker ends the worker, which gives notice.
func (p *process) dismissWorker() {
	p.worker.Crash()
	p.control.Agent.WorkerLeft(p.worker.Info.ID, p.worker.Info.StartTime)
}

// restartWorker replaces the worker by its next incarnation.
func (p *process) restartWorker() {
	p.worker.Crash()
	p.startWorker()
}

// replaceWorker replaces the worker by one with another ID.
func (p *process) replaceWorker() {
	p.worker.Crash()
	p.startWorkerAs("x-" + p.name)
}

// hostRemovalTime is longer than the lease of a worker that crashed, after which
// its host is removed from the store.
const hostRemovalTime = 6 * time.Second

// registrationCases are the ways in which a host has to be registered again while
// its worker runs.
var registrationCases = []struct {
	name string
	// prepare runs while the store answers, join once it doesn't.
	prepare, join func(p *process)
}{
	{"returned worker", func(p *process) {
		p.worker.Crash()
		time.Sleep(hostRemovalTime)
	}, (*process).startWorker},
	{"restarted process", func(*process) {}, func(p *process) {
		p.kill()
		p.start()
	}},
}

// withPendingRegistration calls do while a host waits to be registered and the tasks of a
// job fill all workers, also that of the host if it didn't end before.
func (r *rig) withPendingRegistration(host *process, prepare, join func(*process), do func()) {
	time.Sleep(5 * time.Second)
	prepare(host)
	r.submitWide(0, 3)
	time.Sleep(time.Second)
	store := r.leader().store
	store.Set(memory.Faults{ApplyDelay: 5 * time.Second})
	join(host)
	time.Sleep(2 * time.Second)
	do()
	time.Sleep(2 * time.Second)
	store.Set(memory.Faults{})
}

// submitWide submits the nth job, whose tasks fill a number of workers.
func (r *rig) submitWide(n, workers int) *batch.Job {
	need := batch.Resources{MilliCPU: 1000, MemoryMB: 100}
	j := r.newJob(n)
	j.Steps = []batch.Step{{Count: workers * workerCapacity.MilliCPU / need.MilliCPU, Need: need, Estimate: 8 * time.Second}}
	r.submit(j)
	return j
}

// A worker that ends while the registration of its host waits for the store gets no
// tasks afterwards, and its tasks start again. Before, its snapshot was handled after
// the notice of its end: its runs counted as running for good, and the starts ordered
// there were refused and repeated without end (LOST).
func TestWorkerThatEndsBeforeItsHostIsRegisteredGetsNoTasks(t *testing.T) {
	const maxStartDelay = 3 * time.Second
	for _, c := range registrationCases {
		for _, e := range []struct {
			name string
			end  func(p *process)
			// workers is how many workers there are afterwards.
			workers int
		}{
			{"restarts", (*process).restartWorker, 3},
			{"is replaced", (*process).replaceWorker, 3},
			{"leaves", (*process).dismissWorker, 2},
		} {
			t.Run(c.name+" "+e.name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					r := newRig(t, 1, 2, 3)
					r.history.ExtraDuration = 8 * time.Second
					host := r.procs[2]
					r.withPendingRegistration(host, c.prepare, c.join, func() { e.end(host) })
					time.Sleep(30 * time.Second)
					r.checkCompleted(1)
					j := r.submitWide(1, e.workers)
					time.Sleep(maxStartDelay)
					if n := r.history.StartCount(j.ID); n != j.Steps[0].Count {
						t.Errorf("%d tasks have started after %v, want %d", n, maxStartDelay, j.Steps[0].Count)
					}
					time.Sleep(20 * time.Second)
					r.history.CheckFinalState(r.jobState)
					r.close()
				})
			})
		}
	}
}
