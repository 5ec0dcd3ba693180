package fleet_test

import (
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sesamestream/sesamestream/internal/control"
	"github.com/sesamestream/sesamestream/internal/dispatch"
	"github.com/sesamestream/sesamestream/internal/election"
	"github.com/sesamestream/sesamestream/internal/gateway"
	"github.com/sesamestream/sesamestream/internal/kv/memory"
	"github.com/sesamestream/sesamestream/pkg/batch"
)

// leads reports the process that the store names as the scheduler.
func (r *rig) leads() string {
	items := r.store.Items("sesame/lead")
	if len(items) == 0 {
		return ""
	}
	var l election.Leader
	if err := json.Unmarshal(items[0].Value, &l); err != nil {
		r.t.Fatal(err)
	}
	return l.Node
}

// leader returns the process that schedules.
func (r *rig) leader() *proc {
	lead := r.leads()
	for _, p := range r.procs {
		if p.name == lead {
			return p
		}
	}
	r.t.Fatalf("%q leads", lead)
	return nil
}

// A host that left for good isn't waited for by the next scheduler, and what
// a host's worker runs isn't started elsewhere before its lease is over
// (seen: each takeover waited 5.7 s for a machine whose worker had left).
func TestTakeoverDoesNotWaitForHostsThatLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 1, 2, 3)
		time.Sleep(5 * time.Second)
		gone := r.procs[len(r.procs)-1]
		gone.worker.Crash()
		gone.ctl.Agent.WorkerLeft(gone.worker.Info.ID, gone.worker.Info.StartTime)
		gone.kill()
		time.Sleep(6 * time.Second)
		r.submitSome(6)
		for _, p := range r.procs {
			if p != gone {
				p.kill()
			}
		}
		for _, p := range r.procs {
			if p != gone {
				p.start()
			}
		}
		time.Sleep(6 * time.Second)
		r.history.CheckFinalState(r.state)
		r.close()
	})
}

// The strongest process schedules, also after it was away, and callers notice
// nothing of the handover (seen on bapei-sched-grown: after a rolling restart an
// entry with a ninth of a core led, and ends were stored 2 to 3 s late).
func TestStrongestProcessLeads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 1, 3, 3, 0.1, 0.8, 0.1)
		strong := r.procs[1]
		settle := func(want bool, d time.Duration, what string) {
			time.Sleep(d)
			if got := r.leads(); (got == strong.name) != want {
				t.Errorf("%s: %q leads", what, got)
			}
		}
		settle(true, 10*time.Second, "at the start")
		strong.kill()
		settle(false, 3*time.Second, "after its loss")
		r.submitSome(6)
		strong.start()
		for n := range 14 {
			time.Sleep(500 * time.Millisecond)
			r.submit(r.job(6 + n))
		}
		settle(true, 3*time.Second, "after its return")
		time.Sleep(10 * time.Second)
		r.history.CheckFinalState(r.state)
		r.close()
	})
}

// Processes of one strength take a free lead without waiting for a stronger one
// also when all start at once: the store tells them that there's none.
func TestEqualProcessesElectLeaderAtOnceAfterPowerLoss(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 1, 3, 3, 0.16, 0.16, 0.16, 0.24, 0.24, 0.24)
		time.Sleep(10 * time.Second)
		for _, p := range r.procs {
			p.kill()
		}
		time.Sleep(2 * time.Second)
		for _, p := range r.procs {
			p.start()
		}
		time.Sleep(200 * time.Millisecond)
		if r.leads() == "" {
			t.Error("nobody leads: the processes wait for a stronger one that there isn't")
		}
		r.close()
	})
}

// A host whose worker leaves while nobody schedules isn't waited for by the
// next scheduler (seen on release-and-scale: workers left 10 ms after the
// scheduler was killed, and earlier jobs waited 5.7 s).
func TestHostsThatLeaveDuringATakeoverAreNotWaitedFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 1, 3, 3, 0.1, 0.8, 0.1)
		time.Sleep(10 * time.Second)
		lead, leaves := r.procs[1], r.procs[5]
		if r.leads() != lead.name {
			t.Fatalf("%s leads", r.leads())
		}
		r.submitSome(4)
		lead.kill()
		time.Sleep(10 * time.Millisecond)
		leaves.worker.Crash()
		leaves.ctl.Agent.WorkerLeft(leaves.worker.Info.ID, leaves.worker.Info.StartTime)
		time.Sleep(500 * time.Millisecond)
		leaves.kill()
		time.Sleep(6 * time.Second)
		r.wantCompleted(4)
		// The host comes back with a new worker, and is waited for again.
		leaves.newWorker()
		leaves.start()
		time.Sleep(3 * time.Second)
		if got := r.store.Items("sesame/node/" + leaves.name); len(got) != 1 {
			t.Errorf("its key isn't there")
		}
		r.history.CheckFinalState(r.state)
		r.close()
	})
}

// The log tells of ends that a worker listed while nobody scheduled, so that
// each run in a job's story has its end (seen when the runs in a day's log were counted).
func TestEndsDuringATakeoverAreLogged(t *testing.T) {
	name := filepath.Join(t.TempDir(), "log")
	t.Setenv("LOGS", name)
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 1, 3, 3, 0.1, 0.8, 0.1)
		time.Sleep(10 * time.Second)
		r.submitSome(4)
		time.Sleep(300 * time.Millisecond)
		r.procs[1].kill()
		time.Sleep(10 * time.Second)
		r.wantCompleted(4)
		r.history.CheckFinalState(r.state)
		r.close()
	})
	b, err := os.ReadFile(name + ".1")
	if err != nil {
		t.Fatal(err)
	}
	runs := map[string]map[string]bool{"runStarted": {}, "runEnded": {}}
	for l := range strings.Lines(string(b)) {
		var e struct{ Event, Task string }
		if err := json.Unmarshal([]byte(l), &e); err != nil {
			t.Fatalf("%v: %s", err, l)
		}
		if m := runs[e.Event]; m != nil {
			m[e.Task] = true
		}
	}
	if len(runs["runStarted"]) == 0 {
		t.Error("no task started")
	}
	for task := range runs["runStarted"] {
		if !runs["runEnded"][task] {
			t.Errorf("no end of %s is logged", task)
		}
	}
}

// What is over doesn't weigh on a takeover: the store keeps its ID alone, and
// it's neither run again nor unknown under the next scheduler.
func TestTakeoverReadsOnlyUnfinishedJobs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		r := newRig(t, 1, 3, 3)
		time.Sleep(5 * time.Second)
		j := &batch.Job{
			ID: "0123456789abcdef", Queue: "urgent", Spec: strings.Repeat("x", 4000),
			Steps: []batch.Step{{Count: 3, Need: batch.Resources{MilliCPU: 100, MemoryMB: 10}, Estimate: 200 * time.Millisecond}},
		}
		r.submit(j)
		key := dispatch.JobPrefix + string(j.ID)
		g.Expect(len(r.store.Items(key)[0].Value)).To(BeNumerically(">", 4000))
		time.Sleep(10 * time.Second)
		starts := r.history.StartCount(j.ID)
		g.Expect(r.store.Items(key)).To(HaveLen(1))
		g.Expect(len(r.store.Items(key)[0].Value)).To(BeNumerically("<", 400))
		lead := r.leader()
		lead.kill()
		time.Sleep(3 * time.Second)
		lead.start()
		time.Sleep(6 * time.Second)
		for _, p := range r.procs {
			if p.host {
				continue
			}
			s, o := p.gateway().State(context.Background(), time.Now().Add(3*time.Second), j.ID)
			g.Expect(o).To(Equal(gateway.Found), p.name)
			g.Expect(s).To(Equal(batch.Completed), p.name)
		}
		r.submit(j)
		time.Sleep(5 * time.Second)
		g.Expect(r.history.StartCount(j.ID)).To(Equal(starts), "the same ID doesn't run again")
		r.close()
	})
}

// A scheduler that falls silent without a word is replaced once its lease is
// over, not only when the sessions with it time out (seen on incident ae8a of
// wattle-thread: a machine that lost its power led, and 2.7 s passed to the next lead).
func TestUnresponsiveSchedulerIsReplacedAfterItsLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		r := newRig(t, 1, 3, 3)
		time.Sleep(10 * time.Second)
		r.submitSome(4)
		lead := r.leader()
		r.island([]*proc{lead}, true)
		defer func() {
			r.island([]*proc{lead}, false)
			time.Sleep(10 * time.Second)
			r.history.CheckFinalState(r.state)
			r.close()
		}()
		began := time.Now()
		for l := lead.name; l == "" || l == lead.name; l = r.leads() {
			time.Sleep(20 * time.Millisecond)
			if time.Since(began) > 5*time.Second {
				break
			}
		}
		g.Expect(time.Since(began)).To(BeNumerically("<", control.LeaderTTL+time.Second))
	})
}

// A scheduler that was cut off for longer than its lease, and that hears of new
// jobs again before it learns of the next term, starts none of them: the next
// scheduler has started them (seen: seed 511 of TestFaults under load, two
// schedulers ordered the same tasks 1.9 s after the second had begun).
func TestSchedulerWithExpiredLeaseStartsNoNewJobs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 1, 3, 3)
		time.Sleep(10 * time.Second)
		lead := r.leader()
		var other, host *proc
		for _, p := range r.procs {
			switch {
			case p == lead:
			case p.host:
				host = p
			default:
				other = p
			}
		}
		island := []*proc{lead, host}
		r.island(island, true)
		// Its watch goes on while its renewals get lost.
		lead.store.Set(memory.Faults{DropRenewals: true})
		time.Sleep(3500 * time.Millisecond)
		if l := r.leads(); l == "" || l == lead.name {
			t.Fatalf("%q leads", l)
		}
		for n := range 4 {
			j := r.job(n)
			if v, _ := other.submitOnce(j); v.Outcome == gateway.Accepted {
				r.history.Accepted(j)
			}
		}
		time.Sleep(time.Second)
		r.island(island, false)
		time.Sleep(15 * time.Second)
		r.history.CheckFinalState(r.state)
		r.close()
	})
}
