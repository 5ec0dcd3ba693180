package local

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/phuslu/log"

	"github.com/sesamestream/sesamestream/internal/base"
	storestandin "github.com/sesamestream/sesamestream/internal/consul/standin"
	"github.com/sesamestream/sesamestream/internal/message"
	"github.com/sesamestream/sesamestream/internal/operator"
	"github.com/sesamestream/sesamestream/internal/settings"
	"github.com/sesamestream/sesamestream/pkg/decide/task"
	"github.com/sesamestream/sesamestream/pkg/fleet"
	"github.com/sesamestream/sesamestream/pkg/table"
)

// A taskWorld is a cluster that runs tasks until its test ends.
type taskWorld struct {
	*Cluster
	t testing.TB
	g Gomega
}

func startTasks(t testing.TB, shards int) *taskWorld {
	c := &Cluster{
		Tasks: settings.Tasks{Lease: 6 * time.Second, RideThrough: time.Minute, Shards: shards},
		Dir:   t.TempDir(),
		Log:   &log.Logger{Level: log.ErrorLevel},
	}
	w := &taskWorld{Cluster: c, t: t, g: NewWithT(t)}
	w.g.Expect(c.Prepare()).To(Succeed())
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- c.Run(ctx) }()
	t.Cleanup(func() {
		stop()
		w.g.Expect(<-ended).To(Succeed())
	})
	w.g.Expect(c.SetTable(ctx, DemoTable())).To(Succeed())
	return w
}

// submit submits a job and repeats it until it is accepted.
func (w *taskWorld) submit(j operator.Job) {
	j.Kind = kindForecast
	j.Class = max(j.Class, table.ClassBatch)
	j.Resources = fleet.Resources{Processors: 1000, Memory: 1 << 30, Slots: 1}
	w.g.Eventually(func() error {
		return w.Client().Call(w.t.Context(), http.MethodPost, operator.PathJobs, j, nil)
	}, "20s", "20ms").Should(Succeed())
}

func (w *taskWorld) job(id task.JobID) operator.JobState {
	var s operator.JobState
	if err := w.Client().Call(w.t.Context(), http.MethodGet, operator.PathJobs+"/"+string(id), nil, &s); err != nil {
		return operator.JobState{}
	}
	return s
}

// assigned returns how many tasks of a job have a host.
func (w *taskWorld) assigned(id task.JobID) func() int {
	return func() int { return w.job(id).Tasks[task.Assigned.String()] }
}

// startTime submits a job of one short task and returns how long it takes to run it.
func (w *taskWorld) startTime(id task.JobID, urgent bool) time.Duration {
	began := time.Now()
	w.submit(operator.Job{ID: id, Tasks: 1, Urgent: urgent, Command: "1ms"})
	w.g.Eventually(func() int { return w.WorkerRecorder.CompletedRuns(taskName(id, 0, w.Tasks.Shards)) }, "30s", "5ms").Should(Equal(1))
	return time.Since(began)
}

// startTimes returns the start times of n jobs one after the other, in order of length.
func (w *taskWorld) startTimes(name string, n int, urgent bool) []time.Duration {
	var all []time.Duration
	for i := range n {
		all = append(all, w.startTime(task.JobID(fmt.Sprintf("%s-%d", name, i)), urgent))
	}
	slices.Sort(all)
	w.t.Logf("%s: p50 %s p99 %s of %d", name, all[n/2], all[n*99/100], n)
	return all
}

// fleetSlots are the slots of all workers.
var fleetSlots = len(places) * agentsEach * slots

// urgentBound is within what urgent work starts.
const urgentBound = 7400 * time.Millisecond

// TestUrgentWorkStartsOnAFullFleet lets one job of one shard fill the whole
// fleet. Urgent jobs of any shard start within their bound by evictions, and
// each evicted task resumes once from its checkpoint.
func TestUrgentWorkStartsOnAFullFleet(t *testing.T) {
	w := startTasks(t, 4)
	w.startTimes("first", 1, false)
	w.startTimes("plain", 30, false)
	w.submit(operator.Job{ID: "long", Tasks: uint32(fleetSlots), Command: "1h"})
	began := time.Now()
	w.g.Eventually(w.assigned("long"), "30s", "50ms").Should(Equal(fleetSlots))
	t.Logf("one shard filled %d slots after %s", fleetSlots, time.Since(began))
	all := w.startTimes("urgent", 30, true)
	w.g.Expect(all[len(all)-1]).To(BeNumerically("<", urgentBound))
	w.g.Eventually(w.assigned("long"), "30s", "50ms").Should(Equal(fleetSlots))
	r := w.WorkerRecorder.Counts()
	t.Logf("%+v, %+v", r, w.job("long"))
	w.g.Expect(r.Resumed).To(BeNumerically(">", 0))
	// Only the first start of a task is from the beginning.
	w.g.Expect(r.Fresh).To(Equal(fleetSlots + r.Done))
	w.g.Expect(r.Duplicates).To(BeZero())
}

// TestTasksOutliveAStoreOutage cuts the store off for longer than the owners'
// leases: what runs goes on, and what is submitted is not called accepted.
func TestTasksOutliveAStoreOutage(t *testing.T) {
	w := startTasks(t, 2)
	n := fleetSlots / 2
	for i := range 2 {
		w.submit(operator.Job{ID: task.JobID(fmt.Sprint("long-", i)), Tasks: uint32(n / 2), Command: "1h"})
		w.g.Eventually(w.assigned(task.JobID(fmt.Sprint("long-", i))), "20s", "50ms").Should(Equal(n / 2))
	}
	w.g.Expect(w.Store.SetFault(storestandin.Fault{Mode: storestandin.Down})).To(Succeed())
	down := time.Now()
	j := operator.Job{ID: "late", Kind: kindForecast, Class: table.ClassBatch, Tasks: 1, Command: "1ms"}
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	err := w.Client().Call(ctx, http.MethodPost, operator.PathJobs, j, nil)
	t.Logf("submitted in the outage: %v", err)
	w.g.Expect(err).To(HaveOccurred())
	time.Sleep(25*time.Second - time.Since(down))
	w.g.Expect(w.Store.SetFault(storestandin.Fault{Mode: storestandin.Up})).To(Succeed())
	up := time.Now()
	w.startTime("after", false)
	t.Logf("a job ran %s after the outage", time.Since(up))
	for i := range 2 {
		id := task.JobID(fmt.Sprint("long-", i))
		var s operator.JobState
		// A shard whose owner's lease lapsed in the outage is owned again first.
		w.g.Eventually(func() task.JobID { s = w.job(id); return s.ID }, "30s", "100ms").Should(Equal(id))
		t.Logf("%+v %+v", s, w.WorkerRecorder.Counts())
		w.g.Expect(s.Tasks[task.Assigned.String()]).To(Equal(n / 2))
	}
	// An attempt that a host refused never ran; what ran was started once, and runs on.
	r := w.WorkerRecorder.Counts()
	w.g.Expect(r.Fresh).To(Equal(n + r.Done))
	w.g.Expect(r.Resumed).To(BeZero())
	w.g.Expect(r.Duplicates).To(BeZero())
}

// TestJobsGoOnAfterAnOwnersDeath kills the host of an owner: accepted jobs end
// and new ones are taken, and nothing runs twice at once.
func TestJobsGoOnAfterAnOwnersDeath(t *testing.T) {
	w := startTasks(t, 2)
	w.submit(operator.Job{ID: "long", Tasks: uint32(fleetSlots / 2), Command: "8s"})
	w.g.Eventually(w.assigned("long"), "20s", "50ms").Should(Equal(fleetSlots / 2))
	owner := w.ownerOf(base.ShardOf("long", 2))
	owner.Kill()
	began := time.Now()
	w.g.Eventually(func() bool { return w.job("long").ID != "" }, "60s", "100ms").Should(BeTrue())
	t.Logf("the job is answered for again after %s", time.Since(began))
	w.g.Eventually(func() string { return w.job("long").Phase }, "100s", "100ms").Should(Equal(task.Done.String()))
	t.Logf("all its tasks have ended after %s", time.Since(began))
	w.g.Expect(w.WorkerRecorder.Counts().Duplicates).To(BeZero())
}

// ownerOf returns the agent that owns a shard.
func (w *taskWorld) ownerOf(shard int) *Member {
	for _, m := range w.Agents {
		var s []message.Status
		err := w.ClientOf(m).Call(w.t.Context(), http.MethodGet, operator.PathStatus+"?only=self", nil, &s)
		if err == nil && slices.Contains(s[0].Shards, shard) {
			return m
		}
	}
	w.t.Fatal("no owner")
	return nil
}
