package fleet_test

import (
	"context"
	"fmt"
	"os"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sesamestream/sesamestream/internal/gateway"
	"github.com/sesamestream/sesamestream/internal/hostagent/standin"
	"github.com/sesamestream/sesamestream/internal/kv/memory"
	"github.com/sesamestream/sesamestream/pkg/batch"
	"github.com/sesamestream/sesamestream/test/history"
)

// state asks an entry until it knows.
func (r *rig) state(id batch.JobID) (batch.JobState, bool) {
	for range 5 {
		s, o := r.entry().gateway().State(context.Background(), time.Now().Add(2*time.Second), id)
		switch o {
		case gateway.Found:
			return s, true
		case gateway.NotFound:
			return "", false
		}
	}
	return "", false
}

func (r *rig) cancel(id batch.JobID) {
	for range 10 {
		if r.entry().gateway().Cancel(context.Background(), time.Now().Add(2*time.Second), id) == gateway.Found {
			r.history.CancelAcked(id)
			return
		}
	}
}

// submitSome hands the first n jobs in.
func (r *rig) submitSome(n int) {
	for i := range n {
		r.submit(r.job(i))
	}
}

// wantCompleted checks that the first n jobs are completed.
func (r *rig) wantCompleted(n int) {
	r.t.Helper()
	for i := range n {
		id := history.JobID(i)
		if s, _ := r.state(id); s != batch.Completed {
			r.t.Errorf("%s is %q", id, s)
		}
	}
}

// faults are what may happen, one after the other and at the same time.
var faults = []struct {
	name string
	do   func(r *rig, p *proc, d time.Duration)
}{
	{"kill", func(r *rig, p *proc, d time.Duration) {
		p.kill()
		time.Sleep(d / 2)
		p.start()
	}},
	{"killAll", func(r *rig, _ *proc, d time.Duration) {
		for _, p := range r.procs {
			p.kill()
		}
		time.Sleep(d / 4)
		for _, p := range r.procs {
			p.start()
		}
	}},
	{"workerCrash", func(r *rig, p *proc, d time.Duration) {
		if !p.host {
			return
		}
		p.worker.Crash()
		time.Sleep(d / 2)
		p.newWorker()
	}},
	{"workerLeaves", func(r *rig, p *proc, d time.Duration) {
		if !p.host {
			return
		}
		p.worker.Crash()
		p.mu.Lock()
		c := p.ctl
		p.mu.Unlock()
		c.Agent.WorkerLeft(p.worker.Info.ID, p.worker.Info.StartTime)
		time.Sleep(d / 2)
		p.newWorker()
	}},
	{"island", func(r *rig, p *proc, d time.Duration) {
		island := []*proc{p, r.procs[r.intn(len(r.procs))]}
		r.island(island, true)
		time.Sleep(2 * d)
		r.island(island, false)
	}},
	{"cut", func(r *rig, p *proc, d time.Duration) {
		for _, o := range r.procs {
			if o != p {
				r.net.SetPartitioned(p.addr.Addr(), o.addr.Addr(), true)
			}
		}
		p.store.Set(memory.Faults{Down: true})
		time.Sleep(d)
		p.store.Set(memory.Faults{})
		for _, o := range r.procs {
			r.net.SetPartitioned(p.addr.Addr(), o.addr.Addr(), false)
		}
	}},
	{"storeCut", func(r *rig, p *proc, d time.Duration) {
		p.store.Set(memory.Faults{Down: true})
		time.Sleep(d)
		p.store.Set(memory.Faults{})
	}},
	{"storeDown", func(r *rig, _ *proc, d time.Duration) { r.storeFault(memory.Faults{Down: true}, d) }},
	{"storeBusy", func(r *rig, _ *proc, d time.Duration) { r.storeFault(memory.Faults{Refuse: true}, d) }},
	{"storeLost", func(r *rig, _ *proc, d time.Duration) { r.storeFault(memory.Faults{LoseAnswers: true}, d/2) }},
	{"storeLate", func(r *rig, _ *proc, d time.Duration) { r.storeFault(memory.Faults{ApplyDelay: d}, d/2) }},
	{"storeDeaf", func(r *rig, _ *proc, d time.Duration) { r.storeFault(memory.Faults{SuppressWatchEvents: true}, d) }},
	{"storeForgets", func(r *rig, _ *proc, _ time.Duration) { r.store.Compact() }},
	{"leasesEnd", func(r *rig, _ *proc, _ time.Duration) { r.store.EndLeases() }},
	{"lateOrders", func(r *rig, p *proc, d time.Duration) {
		if !p.host {
			return
		}
		w := p.worker
		w.SetFaults(standin.Faults{Delay: 2 * d})
		time.Sleep(d / 4)
		w.SetFaults(standin.Faults{})
	}},
	{"lostOrders", func(r *rig, p *proc, d time.Duration) {
		if !p.host {
			return
		}
		w := p.worker
		w.SetFaults(standin.Faults{DropAnswers: true})
		time.Sleep(d / 4)
		w.SetFaults(standin.Faults{})
	}},
	{"silentWorker", func(r *rig, p *proc, d time.Duration) {
		if !p.host {
			return
		}
		w := p.worker
		w.SetFaults(standin.Faults{DropCalls: true})
		time.Sleep(2 * d)
		w.SetFaults(standin.Faults{})
	}},
}

// island cuts some processes off from the store and from all others, or heals it.
func (r *rig) island(ps []*proc, cut bool) {
	for _, p := range ps {
		p.store.Set(memory.Faults{Down: cut})
		for _, o := range r.procs {
			if !slices.Contains(ps, o) {
				r.net.SetPartitioned(p.addr.Addr(), o.addr.Addr(), cut)
			}
		}
	}
}

func (r *rig) storeFault(f memory.Faults, d time.Duration) {
	r.storeFaultDuring(f, func() { time.Sleep(d) })
}

func (r *rig) storeFaultDuring(f memory.Faults, do func()) {
	for _, p := range r.procs {
		p.store.Set(f)
	}
	do()
	for _, p := range r.procs {
		p.store.Set(memory.Faults{})
	}
}

// TestFaults runs deployments under random faults. SEEDS=FROM-TO runs others than the fixed seeds.
func TestFaults(t *testing.T) {
	from, to := uint64(0), uint64(seeds)
	if v := os.Getenv("SEEDS"); v != "" {
		if _, err := fmt.Sscanf(v, "%d-%d", &from, &to); err != nil {
			t.Fatal(err)
		}
	}
	var play []uint64
	for seed := from; seed < to; seed++ {
		play = append(play, seed)
	}
	if os.Getenv("SEEDS") == "" {
		play = append(play, failedSeeds...)
	}
	for _, seed := range play {
		t.Run(fmt.Sprint("seed", seed), func(t *testing.T) { run(t, seed) })
	}
}

// seeds is how many seeds run each time.
const seeds = 12

// failedSeeds are others that failed once, with the cause.
var failedSeeds = []uint64{
	511, // a scheduler cut off with a host started jobs that the next one had started
}

// run plays one seed: jobs come for a while among faults, then all has to settle.
func run(t *testing.T, seed uint64) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, seed, 2, 4)
		r.history.FailPercent = 10
		time.Sleep(5 * time.Second)
		finished := make(chan struct{})
		const jobs = 40
		for n := range jobs {
			go func() {
				defer func() { finished <- struct{}{} }()
				time.Sleep(time.Duration(r.intn(20000)) * time.Millisecond)
				j := r.job(n)
				r.submit(j)
				if n%8 == 7 {
					time.Sleep(time.Duration(r.intn(1500)) * time.Millisecond)
					r.cancel(j.ID)
				}
			}()
		}
		for range 8 {
			time.Sleep(time.Duration(r.intn(2500)) * time.Millisecond)
			f := faults[r.intn(len(faults))]
			p := r.procs[r.intn(len(r.procs))]
			d := 500*time.Millisecond + time.Duration(r.intn(4000))*time.Millisecond
			t.Logf("%.3f s: %s %s for %v", time.Since(r.begin).Seconds(), f.name, p.name, d)
			f.do(r, p, d)
		}
		for range jobs {
			<-finished
		}
		time.Sleep(30 * time.Second)
		r.history.CheckFinalState(r.state)
		r.close()
	})
}

// TestNoFaults runs a deployment without faults: each job is done, each task once.
func TestNoFaults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 1, 2, 3)
		time.Sleep(5 * time.Second)
		r.submitSome(10)
		time.Sleep(15 * time.Second)
		r.history.CheckFinalState(r.state)
		for _, task := range r.history.DoneTasks() {
			if r.history.StartCount(task.Job) == 0 {
				t.Errorf("%s has no start", task)
			}
		}
		r.close()
	})
}

// A job begins and a cancelled one ends while the store's watches are silent:
// the entry tells the scheduler (seen: on platform_compact all new jobs waited 1.5 s).
func TestJobsStartWithoutWatchEvents(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 1, 2, 3)
		time.Sleep(5 * time.Second)
		r.storeFaultDuring(memory.Faults{SuppressWatchEvents: true}, func() {
			j := r.job(1)
			r.submit(j)
			time.Sleep(100 * time.Millisecond)
			if s, _ := r.state(j.ID); s != batch.Running {
				t.Errorf("state %q, want it running", s)
			}
			r.cancel(j.ID)
			time.Sleep(300 * time.Millisecond)
			if s, _ := r.state(j.ID); s != batch.Cancelled {
				t.Errorf("state %q, want it cancelled", s)
			}
		})
		r.close()
	})
}

// Work goes on under the same scheduler while nobody reaches the store (seen
// on bapei-sched-grown trouble-2: an idle entry that hadn't noticed the outage
// yet was taken for one that reaches the store, and the scheduler gave up until
// the store was back, 6.5 s later).
func TestTasksContinueWhileStoreIsUnreachable(t *testing.T) {
	for at := range 5 {
		synctest.Test(t, func(t *testing.T) {
			r := newRig(t, uint64(at), 3, 3)
			time.Sleep(5*time.Second + time.Duration(at)*230*time.Millisecond)
			j := r.job(1)
			j.Steps = nil
			for i := range 5 {
				s := batch.Step{Count: 1, Need: batch.Resources{MilliCPU: 200, MemoryMB: 100}, Estimate: 400 * time.Millisecond}
				if i > 0 {
					s.DependsOn = []int{i - 1}
				}
				j.Steps = append(j.Steps, s)
			}
			r.submit(j)
			epoch := r.store.Items("sesame/epoch")[0].Revision
			r.storeFaultDuring(memory.Faults{Down: true}, func() {
				time.Sleep(6 * time.Second)
				done := r.history.DoneCount()
				if done != len(j.Steps) {
					t.Errorf("%d steps are done, want %d", done, len(j.Steps))
				}
			})
			time.Sleep(5 * time.Second)
			if got := r.store.Items("sesame/epoch")[0].Revision; got != epoch {
				t.Errorf("another scheduler began: epoch %d after %d", got, epoch)
			}
			r.history.CheckFinalState(r.state)
			r.close()
		})
	}
}

// A scheduler that is cut off from the store and from the other entries
// together with a host stops granting that host its lease, so that what runs
// there is over before it's started elsewhere.
func TestPartitionedSchedulerAndHostStopRunsInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 1, 3, 3, 0.1, 0.8, 0.1)
		time.Sleep(10 * time.Second)
		island := []*proc{r.procs[1], r.procs[3]}
		r.history.ExtraDuration = 12 * time.Second
		r.submitSome(8)
		r.island(island, true)
		time.Sleep(12 * time.Second)
		r.island(island, false)
		time.Sleep(60 * time.Second)
		r.history.CheckFinalState(r.state)
		r.close()
	})
}

// A task whose end was forgotten before anybody saw it runs again, and its job
// ends (seen in the soak, seed 22: a look of the life before reached the new one).
func TestTasksWithForgottenEndsRunAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 1, 2, 3)
		time.Sleep(5 * time.Second)
		r.submitSome(4)
		for range 3 {
			time.Sleep(150 * time.Millisecond)
			for _, p := range r.procs {
				if p.host {
					p.worker.SetFaults(standin.Faults{DropCalls: true})
				}
			}
			time.Sleep(700 * time.Millisecond)
			for _, p := range r.procs {
				if p.host {
					p.worker.ForgetEnds()
					p.worker.SetFaults(standin.Faults{})
				}
			}
		}
		time.Sleep(15 * time.Second)
		r.wantCompleted(4)
		r.close()
	})
}

// A job that was accepted isn't refused when it's sent again while the store is
// away: a refusal says that it has not run (seen in incident 6f4a: a caller who
// sent an accepted job again was refused).
func TestResubmittedJobsAreNotRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 1, 3, 3)
		time.Sleep(5 * time.Second)
		j := r.job(1)
		r.submit(j)
		r.storeFaultDuring(memory.Faults{Down: true}, func() {
			for range 4 {
				time.Sleep(700 * time.Millisecond)
				for _, p := range r.procs {
					if p.host {
						continue
					}
					c := *j
					if v := p.gateway().Submit(context.Background(), time.Now().Add(3*time.Second), &c); v.Outcome != gateway.Accepted {
						t.Errorf("%s: outcome %d", p.name, v.Outcome)
					}
				}
			}
		})
		r.close()
	})
}
