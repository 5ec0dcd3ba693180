package fleet_test

import (
	"context"
	"fmt"
	"math/rand/v2"
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

// jobState queries the state of a job until an entry knows it, at most 5 times.
func (r *rig) jobState(id batch.JobID) (batch.JobState, bool) {
	for range 5 {
		s, o := r.randomEntry().gateway().State(context.Background(), time.Now().Add(2*time.Second), id)
		switch o {
		case gateway.Found:
			return s, true
		case gateway.NotFound:
			return "", false
		}
	}
	return "", false
}

// cancel requests the cancellation of a job until it is acknowledged, at most 10 times.
func (r *rig) cancel(id batch.JobID) {
	for range 10 {
		switch r.randomEntry().gateway().Cancel(context.Background(), time.Now().Add(2*time.Second), id).Outcome {
		case gateway.Found, gateway.NotFound:
			r.history.CancelAcked(id)
			return
		}
	}
}

// submitJobs submits the first n jobs.
func (r *rig) submitJobs(n int) {
	for i := range n {
		r.submit(r.newJob(i))
	}
}

// checkCompleted checks that the first n jobs are completed.
func (r *rig) checkCompleted(n int) {
	r.t.Helper()
	for i := range n {
		id := history.JobID(i)
		if s, _ := r.jobState(id); s != batch.Completed {
			r.t.Errorf("%s is %q", id, s)
		}
	}
}

// faults are the faults that TestFaults injects. Each function returns after it has
// undone its fault. Seeds select faults by index, so the order must not change.
var faults = []struct {
	name   string
	inject func(r *rig, p *process, d time.Duration)
}{
	{"kill", func(r *rig, p *process, d time.Duration) {
		p.kill()
		time.Sleep(d / 2)
		p.start()
	}},
	{"killAll", func(r *rig, _ *process, d time.Duration) {
		for _, p := range r.procs {
			p.kill()
		}
		time.Sleep(d / 4)
		for _, p := range r.procs {
			p.start()
		}
	}},
	{"workerCrash", func(r *rig, p *process, d time.Duration) {
		if !p.host {
			return
		}
		p.worker.Crash()
		time.Sleep(d / 2)
		p.startWorker()
	}},
	{"workerLeaves", func(r *rig, p *process, d time.Duration) {
		if !p.host {
			return
		}
		p.dismissWorker()
		time.Sleep(d / 2)
		p.startWorker()
	}},
	{"island", func(r *rig, p *process, d time.Duration) {
		isolated := []*process{p, r.procs[r.intn(len(r.procs))]}
		r.setIsolated(isolated, true)
		time.Sleep(2 * d)
		r.setIsolated(isolated, false)
	}},
	{"cut", func(r *rig, p *process, d time.Duration) {
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
	{"storeCut", func(r *rig, p *process, d time.Duration) {
		p.store.Set(memory.Faults{Down: true})
		time.Sleep(d)
		p.store.Set(memory.Faults{})
	}},
	{"storeDown", func(r *rig, _ *process, d time.Duration) { r.injectStoreFaults(memory.Faults{Down: true}, d) }},
	{"storeBusy", func(r *rig, _ *process, d time.Duration) { r.injectStoreFaults(memory.Faults{Refuse: true}, d) }},
	{"storeLost", func(r *rig, _ *process, d time.Duration) { r.injectStoreFaults(memory.Faults{LoseAnswers: true}, d/2) }},
	{"storeLate", func(r *rig, _ *process, d time.Duration) { r.injectStoreFaults(memory.Faults{ApplyDelay: d}, d/2) }},
	{"storeDeaf", func(r *rig, _ *process, d time.Duration) {
		r.injectStoreFaults(memory.Faults{SuppressWatchEvents: true}, d)
	}},
	{"storeForgets", func(r *rig, _ *process, _ time.Duration) { r.store.Compact() }},
	{"leasesEnd", func(r *rig, _ *process, _ time.Duration) { r.store.EndLeases() }},
	{"lateOrders", func(r *rig, p *process, d time.Duration) {
		if !p.host {
			return
		}
		w := p.worker
		w.SetFaults(standin.Faults{Delay: 2 * d})
		time.Sleep(d / 4)
		w.SetFaults(standin.Faults{})
	}},
	{"lostOrders", func(r *rig, p *process, d time.Duration) {
		if !p.host {
			return
		}
		w := p.worker
		w.SetFaults(standin.Faults{DropAnswers: true})
		time.Sleep(d / 4)
		w.SetFaults(standin.Faults{})
	}},
	{"silentWorker", func(r *rig, p *process, d time.Duration) {
		if !p.host {
			return
		}
		w := p.worker
		w.SetFaults(standin.Faults{DropCalls: true})
		time.Sleep(2 * d)
		w.SetFaults(standin.Faults{})
	}},
}

// storeFaults are the faults that keep the store out of reach of some processes or of all, so
// that an evacuation may be in force later.
var storeFaults = map[string]bool{
	"island": true, "cut": true, "storeCut": true, "storeDown": true, "storeBusy": true, "storeLost": true, "storeLate": true,
}

// evacuateAtRandom requests and ends three evacuations at random times, and closes the channel
// after the last one. It draws from numbers of its own, so that a seed selects the same jobs and
// faults as without it.
func (r *rig) evacuateAtRandom(seed uint64) <-chan struct{} {
	random := rand.New(rand.NewPCG(seed, 2))
	choices := [][]string{{"d"}, {"e"}, {"d", "e"}, {"nowhere", "d"}}
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 3 {
			time.Sleep(time.Duration(random.IntN(3000)) * time.Millisecond)
			choice := choices[random.IntN(len(choices))]
			lasts := 50*time.Millisecond + time.Duration(random.IntN(12000))*time.Millisecond
			r.t.Logf("%.3f s: evacuation of %v for %v", time.Since(r.begin).Seconds(), choice, lasts)
			for _, d := range choice {
				r.requestEvacuation(d)
			}
			time.Sleep(lasts)
			for _, d := range choice {
				r.endEvacuation(d)
			}
		}
	}()
	return done
}

// setIsolated partitions processes from the store and from all other processes, or
// heals the partition. The processes still reach each other.
func (r *rig) setIsolated(ps []*process, isolated bool) {
	for _, p := range ps {
		p.store.Set(memory.Faults{Down: isolated})
		for _, o := range r.procs {
			if !slices.Contains(ps, o) {
				r.net.SetPartitioned(p.addr.Addr(), o.addr.Addr(), isolated)
			}
		}
	}
}

// injectStoreFaults injects faults into the store clients of all processes for a
// duration.
func (r *rig) injectStoreFaults(f memory.Faults, d time.Duration) {
	r.withStoreFaults(f, func() { time.Sleep(d) })
}

// withStoreFaults calls do while the store clients of all processes have faults.
func (r *rig) withStoreFaults(f memory.Faults, do func()) {
	for _, p := range r.procs {
		p.store.Set(f)
	}
	do()
	for _, p := range r.procs {
		p.store.Set(memory.Faults{})
	}
}

// TestFaults runs deployments under random faults. SEEDS=FROM-TO runs the seeds from
// FROM to below TO instead of the default ones.
func TestFaults(t *testing.T) {
	selected := selectedSeeds(t, seedCount)
	if os.Getenv("SEEDS") == "" {
		selected = append(selected, regressionSeeds...)
	}
	for _, seed := range selected {
		t.Run(fmt.Sprint("seed", seed), func(t *testing.T) { runSeed(t, seed) })
	}
}

// selectedSeeds returns the seeds of SEEDS=FROM-TO, or those from 0 to below count.
func selectedSeeds(t *testing.T, count uint64) (selected []uint64) {
	from, to := uint64(0), count
	if v := os.Getenv("SEEDS"); v != "" {
		if _, err := fmt.Sscanf(v, "%d-%d", &from, &to); err != nil {
			t.Fatal(err)
		}
	}
	for seed := from; seed < to; seed++ {
		selected = append(selected, seed)
	}
	return selected
}

// seedCount is the number of seeds, from 0, that run by default.
const seedCount = 12

// regressionSeeds are further seeds that run by default. They have failed, with the
// cause given.
var regressionSeeds = []uint64{
	511, // A scheduler partitioned together with a host started jobs that its successor had started.
	// A scheduler partitioned together with a host started tasks of hosts whose leases, by its
	// reckoning, had ended, though its successor had renewed them.
	15532, 18392, 23383,
}

// runSeed submits jobs for 20 s while random faults are injected and evacuations of data
// centres are requested, and then checks that all jobs have ended. The order of the draws must not change, because the seed
// selects jobs and faults. Concurrent goroutines also draw, so that two runs of a
// seed can still differ.
func runSeed(t *testing.T, seed uint64) {
	synctest.Test(t, func(t *testing.T) {
		r := newRigIn(t, seed, 2, 4, []string{"d", "e"})
		r.history.FailPercent = 10
		time.Sleep(5 * time.Second)
		finished := make(chan struct{})
		evacuated := r.evacuateAtRandom(seed)
		const jobs = 40
		for n := range jobs {
			go func() {
				defer func() { finished <- struct{}{} }()
				time.Sleep(time.Duration(r.intn(20000)) * time.Millisecond)
				j := r.newJob(n)
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
			if storeFaults[f.name] {
				r.history.StoreDisturbed()
			}
			f.inject(r, p, d)
			if storeFaults[f.name] {
				r.history.StoreReachable()
			}
		}
		for range jobs {
			<-finished
		}
		<-evacuated
		time.Sleep(30 * time.Second)
		r.history.CheckFinalState(r.jobState)
		r.close()
	})
}

// TestNoFaults runs a deployment without faults. Each job is completed and each task runs once.
func TestNoFaults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 1, 2, 3)
		time.Sleep(5 * time.Second)
		r.submitJobs(10)
		time.Sleep(15 * time.Second)
		r.history.CheckFinalState(r.jobState)
		for _, task := range r.history.DoneTasks() {
			if r.history.StartCount(task.Job) == 0 {
				t.Errorf("%s has no start", task)
			}
		}
		r.close()
	})
}

// Jobs start and cancelled jobs stop while the store sends no watch events, because
// the entry notifies the scheduler itself. Without the notification, all new
// jobs in the scenario platform_compact wait 1.5 s.
func TestJobsStartWithoutWatchEvents(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 1, 2, 3)
		time.Sleep(5 * time.Second)
		r.withStoreFaults(memory.Faults{SuppressWatchEvents: true}, func() {
			j := r.newJob(1)
			r.submit(j)
			time.Sleep(100 * time.Millisecond)
			if s, _ := r.jobState(j.ID); s != batch.Running {
				t.Errorf("state %q, want it running", s)
			}
			r.cancel(j.ID)
			time.Sleep(300 * time.Millisecond)
			if s, _ := r.jobState(j.ID); s != batch.Cancelled {
				t.Errorf("state %q, want it cancelled", s)
			}
		})
		r.close()
	})
}

// The same scheduler keeps running tasks while no process reaches the store. An
// idle entry that has not noticed the outage yet must not count as one that reaches
// the store: the scheduler would step down until the store is back, 6.5 s in one case.
func TestTasksContinueWhileStoreIsUnreachable(t *testing.T) {
	for phase := range 5 {
		synctest.Test(t, func(t *testing.T) {
			r := newRig(t, uint64(phase), 3, 3)
			time.Sleep(5*time.Second + time.Duration(phase)*230*time.Millisecond)
			j := r.newJob(1)
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
			r.withStoreFaults(memory.Faults{Down: true}, func() {
				time.Sleep(6 * time.Second)
				done := r.history.DoneCount()
				if done != len(j.Steps) {
					t.Errorf("%d steps are done, want %d", done, len(j.Steps))
				}
			})
			time.Sleep(5 * time.Second)
			if got := r.store.Items("sesame/epoch")[0].Revision; got != epoch {
				t.Errorf("another scheduler took over: epoch %d after %d", got, epoch)
			}
			r.history.CheckFinalState(r.jobState)
			r.close()
		})
	}
}

// A scheduler that is partitioned from the store and the other entries together
// with a host stops granting the host its lease, so that the runs there end before
// their tasks start elsewhere.
func TestPartitionedSchedulerAndHostStopRunsInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 1, 3, 3, 0.1, 0.8, 0.1)
		time.Sleep(10 * time.Second)
		isolated := []*process{r.procs[1], r.procs[3]}
		r.history.SetExtraDuration(12 * time.Second)
		r.submitJobs(8)
		r.setIsolated(isolated, true)
		time.Sleep(12 * time.Second)
		r.setIsolated(isolated, false)
		time.Sleep(60 * time.Second)
		r.history.CheckFinalState(r.jobState)
		r.close()
	})
}

// A task whose end the worker discarded before anybody read it runs again, and its
// job completes. Ends are discarded when a poll meant for the worker's previous
// incarnation reaches the new one (soak seed 22).
func TestTasksWithForgottenEndsRunAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 1, 2, 3)
		time.Sleep(5 * time.Second)
		r.submitJobs(4)
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
		r.checkCompleted(4)
		r.close()
	})
}

// An accepted job that is submitted again while the store is unreachable is not
// refused, because a refusal guarantees that the job has not run (incident 6f4a).
func TestResubmittedJobsAreNotRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 1, 3, 3)
		time.Sleep(5 * time.Second)
		j := r.newJob(1)
		r.submit(j)
		r.withStoreFaults(memory.Faults{Down: true}, func() {
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
