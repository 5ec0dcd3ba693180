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

// A taskCluster is a cluster that runs tasks until the test ends.
type taskCluster struct {
	*Cluster
	t testing.TB
	g Gomega
}

func startTaskCluster(t testing.TB, shards int) *taskCluster {
	c := &Cluster{
		Tasks: settings.Tasks{Lease: 6 * time.Second, RideThrough: time.Minute, Shards: shards},
		Dir:   t.TempDir(),
		Log:   &log.Logger{Level: log.ErrorLevel},
	}
	w := &taskCluster{Cluster: c, t: t, g: NewWithT(t)}
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

// submit submits a job, and retries until it is accepted.
func (w *taskCluster) submit(j operator.Job) {
	j.Kind = kindForecast
	j.Class = max(j.Class, table.ClassBatch)
	j.Resources = fleet.Resources{Processors: 1000, Memory: 1 << 30, Slots: 1}
	w.g.Eventually(func() error {
		return w.Client().Call(w.t.Context(), http.MethodPost, operator.PathJobs, j, nil)
	}, "20s", "20ms").Should(Succeed())
}

func (w *taskCluster) jobState(id task.JobID) operator.JobState {
	var s operator.JobState
	if err := w.Client().Call(w.t.Context(), http.MethodGet, operator.PathJobs+"/"+string(id), nil, &s); err != nil {
		return operator.JobState{}
	}
	return s
}

// assignedTasks returns a function that returns how many tasks of a job have a host.
func (w *taskCluster) assignedTasks(id task.JobID) func() int {
	return func() int { return w.jobState(id).Tasks[task.Assigned.String()] }
}

// completionTime submits a job of one short task and returns the time until it completes.
func (w *taskCluster) completionTime(id task.JobID, urgent bool) time.Duration {
	began := time.Now()
	w.submit(operator.Job{ID: id, Tasks: 1, Urgent: urgent, Command: "1ms"})
	w.g.Eventually(func() int { return w.WorkerRecorder.CompletedRuns(taskName(id, 0, w.Tasks.Shards)) }, "30s", "5ms").Should(Equal(1))
	return time.Since(began)
}

// completionTimes runs n such jobs one after the other and returns their completion times
// in ascending order.
func (w *taskCluster) completionTimes(name string, n int, urgent bool) []time.Duration {
	var times []time.Duration
	for i := range n {
		times = append(times, w.completionTime(task.JobID(fmt.Sprintf("%s-%d", name, i)), urgent))
	}
	slices.Sort(times)
	w.t.Logf("%s: p50 %s p99 %s of %d", name, times[n/2], times[n*99/100], n)
	return times
}

// totalSlots is the number of slots of all workers.
var totalSlots = len(deploymentPlaces) * agentsPerDataCentre * slotsPerWorker

// urgentStartLimit bounds the time until urgent work starts on a full fleet.
const urgentStartLimit = 7400 * time.Millisecond

// TestUrgentWorkStartsOnAFullFleet guards against urgent jobs that wait for a full fleet.
// One job of one shard fills the whole fleet. Urgent jobs of any shard must evict tasks to
// start within their limit, and each evicted task must resume once from its checkpoint.
func TestUrgentWorkStartsOnAFullFleet(t *testing.T) {
	w := startTaskCluster(t, 4)
	w.completionTimes("first", 1, false)
	w.completionTimes("plain", 30, false)
	w.submit(operator.Job{ID: "long", Tasks: uint32(totalSlots), Command: "1h"})
	began := time.Now()
	w.g.Eventually(w.assignedTasks("long"), "30s", "50ms").Should(Equal(totalSlots))
	t.Logf("one shard filled %d slots after %s", totalSlots, time.Since(began))
	urgent := w.completionTimes("urgent", 30, true)
	w.g.Expect(urgent[len(urgent)-1]).To(BeNumerically("<", urgentStartLimit))
	w.g.Eventually(w.assignedTasks("long"), "30s", "50ms").Should(Equal(totalSlots))
	r := w.WorkerRecorder.Counts()
	t.Logf("%+v, %+v", r, w.jobState("long"))
	w.g.Expect(r.Resumed).To(BeNumerically(">", 0))
	// Only the first start of a task begins without a checkpoint.
	w.g.Expect(r.Fresh).To(Equal(totalSlots + r.Done))
	w.g.Expect(r.Duplicates).To(BeZero())
}

// TestTasksOutliveAStoreOutage guards against tasks that stop or restart, and jobs that are
// falsely accepted, while the store is down for longer than the owners' leases.
func TestTasksOutliveAStoreOutage(t *testing.T) {
	w := startTaskCluster(t, 2)
	n := totalSlots / 2
	for i := range 2 {
		w.submit(operator.Job{ID: task.JobID(fmt.Sprint("long-", i)), Tasks: uint32(n / 2), Command: "1h"})
		w.g.Eventually(w.assignedTasks(task.JobID(fmt.Sprint("long-", i))), "20s", "50ms").Should(Equal(n / 2))
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
	w.completionTime("after", false)
	t.Logf("a job ran %s after the outage", time.Since(up))
	for i := range 2 {
		id := task.JobID(fmt.Sprint("long-", i))
		var s operator.JobState
		// A shard whose owner's lease lapsed in the outage needs a new owner first.
		w.g.Eventually(func() task.JobID { s = w.jobState(id); return s.ID }, "30s", "100ms").Should(Equal(id))
		t.Logf("%+v %+v", s, w.WorkerRecorder.Counts())
		w.g.Expect(s.Tasks[task.Assigned.String()]).To(Equal(n / 2))
	}
	// An attempt that a host refused never ran. Each task that ran was started once and
	// still runs.
	r := w.WorkerRecorder.Counts()
	w.g.Expect(r.Fresh).To(Equal(n + r.Done))
	w.g.Expect(r.Resumed).To(BeZero())
	w.g.Expect(r.Duplicates).To(BeZero())
}

// TestJobsGoOnAfterAnOwnersDeath kills the host of an owner. It guards against accepted jobs
// that never end and tasks that run twice at once.
func TestJobsGoOnAfterAnOwnersDeath(t *testing.T) {
	w := startTaskCluster(t, 2)
	w.submit(operator.Job{ID: "long", Tasks: uint32(totalSlots / 2), Command: "8s"})
	w.g.Eventually(w.assignedTasks("long"), "20s", "50ms").Should(Equal(totalSlots / 2))
	owner := w.shardOwner(base.ShardOf("long", 2))
	owner.Kill()
	began := time.Now()
	w.g.Eventually(func() bool { return w.jobState("long").ID != "" }, "60s", "100ms").Should(BeTrue())
	t.Logf("the job can be read again after %s", time.Since(began))
	w.g.Eventually(func() string { return w.jobState("long").Phase }, "100s", "100ms").Should(Equal(task.Done.String()))
	t.Logf("all its tasks have ended after %s", time.Since(began))
	w.g.Expect(w.WorkerRecorder.Counts().Duplicates).To(BeZero())
}

// shardOwner returns the agent that owns a shard.
func (w *taskCluster) shardOwner(shard int) *Member {
	for _, m := range w.Agents {
		var s []message.Status
		err := w.ClientOf(m).Call(w.t.Context(), http.MethodGet, operator.PathStatus+"?only=self", nil, &s)
		if err == nil && slices.Contains(s[0].Shards, shard) {
			return m
		}
	}
	w.t.Fatal("no agent owns the shard")
	return nil
}
