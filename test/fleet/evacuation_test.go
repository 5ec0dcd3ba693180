package fleet_test

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sesamestream/sesamestream/internal/dispatch"
	"github.com/sesamestream/sesamestream/internal/hostagent/standin"
	"github.com/sesamestream/sesamestream/internal/kv"
	"github.com/sesamestream/sesamestream/internal/kv/memory"
	"github.com/sesamestream/sesamestream/pkg/batch"
	"github.com/sesamestream/sesamestream/test/history"
)

// requestEvacuation requests the evacuation of a data centre, as an operator does.
func (r *rig) requestEvacuation(dataCentre string) {
	r.store.Put(evacuationPrefix+dataCentre, nil)
	r.history.EvacuationRequested(dataCentre)
}

// endEvacuation removes the request.
func (r *rig) endEvacuation(dataCentre string) {
	r.history.EvacuationEnded(dataCentre)
	r.store.Remove(evacuationPrefix + dataCentre)
}

// submitSteadily submits n jobs, one each 100 ms, which keeps all workers in use, and returns a
// function that waits until all are submitted.
func (r *rig) submitSteadily(n int) (wait func()) {
	done := make(chan struct{})
	for i := range n {
		go func() {
			time.Sleep(time.Duration(i) * 100 * time.Millisecond)
			r.submit(r.newJob(i))
			done <- struct{}{}
		}()
	}
	return func() {
		for range n {
			<-done
		}
	}
}

// during injects faults into the store clients of all processes for a time, beside the test.
func (r *rig) during(f memory.Faults, d time.Duration) {
	for _, p := range r.procs {
		p.store.Set(f)
	}
	time.AfterFunc(d, func() {
		for _, p := range r.procs {
			p.store.Set(memory.Faults{})
		}
	})
}

// Tasks are started in a data centre later than the bound after the request of its evacuation if
// the scheduler doesn't learn of the request in time, forgets it with a change of the scheduler, or
// if an order that was sent before arrives late. The history checks each start. Load is offered
// all the time, so that a scheduler which doesn't obey starts tasks there at once.
func TestNothingStartsInEvacuatedDataCentre(t *testing.T) {
	stretched := history.EvacuationBound + history.EvacuationStretch
	for name, c := range map[string]struct {
		bound time.Duration
		// before and after are called just before and after the request is written.
		before, after func(r *rig)
	}{
		"no fault":                 {},
		"scheduler killed at once": {after: func(r *rig) { r.leader().kill() }},
		"scheduler killed before":  {before: func(r *rig) { r.leader().kill() }},
		"scheduler killed as it learns of it": {after: func(r *rig) {
			p := r.leader()
			time.AfterFunc(time.Millisecond, p.kill)
		}},
		"scheduler isolated at once":     {after: func(r *rig) { r.setIsolated([]*process{r.leader()}, true) }},
		"scheduler isolated just before": {before: func(r *rig) { r.setIsolated([]*process{r.leader()}, true) }},
		"scheduler isolated with a host": {bound: stretched, before: func(r *rig) { r.setIsolated([]*process{r.leader(), r.procs[3]}, true) }},
		"scheduler without store":        {bound: stretched, before: func(r *rig) { r.leader().store.Set(memory.Faults{Down: true}) }},
		"two schedulers lost one after the other": {after: func(r *rig) {
			r.leader().kill()
			time.AfterFunc(1500*time.Millisecond, func() {
				if r.leaderName() != "" {
					r.leader().kill()
				}
			})
		}},
		"store down as the request is written": {before: func(r *rig) { r.during(memory.Faults{Down: true, SuppressWatchEvents: true}, 2500*time.Millisecond) }},
		"store down for long":                  {bound: stretched, before: func(r *rig) { r.during(memory.Faults{Down: true, SuppressWatchEvents: true}, 7*time.Second) }},
		"store refuses":                        {before: func(r *rig) { r.during(memory.Faults{Refuse: true, SuppressWatchEvents: true}, 2500*time.Millisecond) }},
		"store slow":                           {before: func(r *rig) { r.during(memory.Faults{Delay: 500 * time.Millisecond}, 9*time.Second) }},
		"store very slow":                      {before: func(r *rig) { r.during(memory.Faults{Delay: 1200 * time.Millisecond}, 9*time.Second) }},
		"history compacted":                    {after: func(r *rig) { r.store.Compact() }},
		"history compacted after a silent watch": {
			before: func(r *rig) { r.during(memory.Faults{SuppressWatchEvents: true}, 100*time.Millisecond) },
			after:  func(r *rig) { r.store.Compact() },
		},
		"watch silent": {before: func(r *rig) { r.during(memory.Faults{SuppressWatchEvents: true}, 10*time.Second) }},
		"watch silent for the scheduler, which is then killed": {before: func(r *rig) {
			p := r.leader()
			p.store.Set(memory.Faults{SuppressWatchEvents: true})
			time.AfterFunc(500*time.Millisecond, p.kill)
		}},
		"workers answer late": {before: func(r *rig) {
			for _, p := range r.procs {
				if p.host {
					p.worker.SetFaults(standin.Faults{DropCalls: true})
					time.AfterFunc(3*time.Second, func() { p.worker.SetFaults(standin.Faults{}) })
				}
			}
		}},
		"answers of workers lost": {before: func(r *rig) {
			for _, p := range r.procs {
				if p.host {
					p.worker.SetFaults(standin.Faults{DropAnswers: true})
					time.AfterFunc(3*time.Second, func() { p.worker.SetFaults(standin.Faults{}) })
				}
			}
		}},
		"requested, ended and requested again": {after: func(r *rig) {
			for range 3 {
				time.Sleep(70 * time.Millisecond)
				r.endEvacuation("d")
				time.Sleep(70 * time.Millisecond)
				r.requestEvacuation("d")
			}
		}},
		"requested again while the watch is silent": {
			before: func(r *rig) { r.during(memory.Faults{SuppressWatchEvents: true}, 10*time.Second) },
			after: func(r *rig) {
				for range 3 {
					r.endEvacuation("d")
					r.requestEvacuation("d")
				}
			},
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newRigIn(t, 1, 3, 4, []string{"d", "e"})
				if c.bound > 0 {
					r.history.EvacuationBound = c.bound
				}
				time.Sleep(5 * time.Second)
				wait := r.submitSteadily(180)
				time.Sleep(3 * time.Second)
				if r.history.StartsIn("d") == 0 {
					t.Error("no task has started in the data centre before")
				}
				if c.before != nil {
					c.before(r)
				}
				r.requestEvacuation("d")
				if c.after != nil {
					c.after(r)
				}
				time.Sleep(r.history.EvacuationBound)
				before := r.history.StartsIn("e")
				time.Sleep(5 * time.Second)
				if r.history.StartsIn("e") == before {
					t.Error("nothing starts in the other data centre")
				}
				before = r.history.StartsIn("d")
				r.restoreAll()
				r.endEvacuation("d")
				time.Sleep(history.EvacuationBound)
				if r.history.StartsIn("d") == before {
					t.Error("nothing starts after the evacuation has ended")
				}
				wait()
				time.Sleep(20 * time.Second)
				r.history.CheckFinalState(r.jobState)
				r.close()
			})
		})
	}
}

// restoreAll ends all faults and starts the processes that were killed.
func (r *rig) restoreAll() {
	r.setIsolated(r.procs, false)
	for _, p := range r.procs {
		for _, o := range r.procs {
			r.net.SetPartitioned(p.addr.Addr(), o.addr.Addr(), false)
		}
		select {
		case <-p.done:
			p.start()
		default:
		}
	}
}

// A data centre that doesn't exist, or several at once, make an evacuation that compares single
// names or counts on room elsewhere start tasks where it mustn't, or nowhere at all.
func TestSeveralDataCentresAreEvacuated(t *testing.T) {
	for name, c := range map[string]struct{ requested, open []string }{
		"two":     {[]string{"d", "e"}, []string{"f"}},
		"all":     {[]string{"d", "e", "f"}, nil},
		"unknown": {[]string{"nowhere", "d/e", " "}, []string{"d", "e", "f"}},
		"empty":   {[]string{"", "d"}, []string{"e", "f"}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newRigIn(t, 1, 3, 6, []string{"d", "e", "f"})
				time.Sleep(5 * time.Second)
				wait := r.submitSteadily(120)
				time.Sleep(2 * time.Second)
				for _, d := range c.requested {
					r.requestEvacuation(d)
				}
				time.Sleep(history.EvacuationBound)
				before := map[string]int{}
				for _, d := range c.open {
					before[d] = r.history.StartsIn(d)
				}
				time.Sleep(5 * time.Second)
				for _, d := range c.open {
					if r.history.StartsIn(d) == before[d] {
						t.Errorf("nothing starts in %s", d)
					}
				}
				for _, d := range c.requested {
					r.endEvacuation(d)
				}
				wait()
				time.Sleep(20 * time.Second)
				r.history.CheckFinalState(r.jobState)
				r.close()
			})
		})
	}
}

// Long-running tasks that leave an evacuated data centre all at once, or whose move is lost with the
// scheduler that ordered it, don't serve meanwhile. They leave one at a time and come to run
// elsewhere, also where the scheduler is killed again and again.
func TestLongRunningTasksLeaveWholeDeployment(t *testing.T) {
	for name, kills := range map[string]int{"same scheduler": 0, "schedulers killed": 3} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newRigIn(t, 1, 3, 4, []string{"d", "e"})
				j := r.newJob(0)
				const tasks = 4
				j.Steps = []batch.Step{{Count: tasks, Need: batch.Resources{MilliCPU: 1000, MemoryMB: 100}, LongRunning: true, MaxUnavailable: 1}}
				for _, p := range r.procs {
					if p.host {
						p.worker.Duration = func(batch.Task) time.Duration { return 0 }
					}
				}
				time.Sleep(5 * time.Second)
				// With the other data centre evacuated all tasks start in d.
				r.requestEvacuation("e")
				time.Sleep(history.EvacuationBound)
				r.submit(j)
				time.Sleep(3 * time.Second)
				if n := r.history.RunningIn(j.ID, "d"); n != tasks {
					t.Fatalf("%d tasks run in d", n)
				}
				r.endEvacuation("e")
				time.Sleep(time.Second)
				r.requestEvacuation("d")
				for i := range 600 {
					time.Sleep(50 * time.Millisecond)
					if i%100 == 20 && i/100 < kills {
						p := r.leader()
						p.kill()
						p.start()
					}
					if n := r.history.RunningIn(j.ID, "d") + r.history.RunningIn(j.ID, "e"); n < tasks-1 {
						t.Errorf("%d of %d tasks run", n, tasks)
					}
				}
				if n := r.history.RunningIn(j.ID, "e"); n != tasks {
					t.Errorf("%d of %d tasks have moved", n, tasks)
				}
				r.cancel(j.ID)
				time.Sleep(5 * time.Second)
				r.close()
			})
		})
	}
}

// A new scheduler that reads the requests beside its other state starts tasks in a data centre
// whose evacuation was requested while it still read the rest, here 3.3 s before its first start,
// until its watch tells of the request.
func TestNewSchedulerReadsRequestsLast(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRigIn(t, 1, 2, 4, []string{"d", "e"})
		time.Sleep(5 * time.Second)
		r.history.EvacuationBound = 0
		for _, p := range r.procs {
			p.kill()
		}
		reading := make(chan struct{}, len(r.procs))
		for _, p := range r.procs {
			p.wrapStore = func(s kv.Store) kv.Store { return slowStates{s, reading} }
			p.start()
		}
		<-reading
		time.Sleep(50 * time.Millisecond)
		r.requestEvacuation("d")
		wait := r.submitSteadily(20)
		wait()
		time.Sleep(10 * time.Second)
		if r.history.StartsIn("e") == 0 {
			t.Error("nothing has started in the other data centre")
		}
		r.close()
	})
}

// slowStates is a store that takes 3.4 s to return the progress of the jobs, and 1.5 s to show
// evacuation requests to a watch.
type slowStates struct {
	kv.Store
	reading chan struct{}
}

func (s slowStates) Range(ctx context.Context, prefix string) ([]kv.Item, kv.Revision, error) {
	if strings.HasPrefix(prefix, dispatch.StatePrefix) {
		s.reading <- struct{}{}
		time.Sleep(3400 * time.Millisecond)
	}
	return s.Store.Range(ctx, prefix)
}

func (s slowStates) Watch(ctx context.Context, prefix string, after kv.Revision, wait time.Duration) ([]kv.Item, kv.Revision, error) {
	if prefix == evacuationPrefix {
		time.Sleep(1500 * time.Millisecond)
	}
	return s.Store.Watch(ctx, prefix, after, wait)
}
