package schedule

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sesamestream/sesamestream/pkg/batch"
)

// keyOf returns the key of a worker of the harness.
func keyOf(id string) batch.WorkerKey { return batch.WorkerKey{ID: id, StartTime: 1} }

// lastingJob returns a job of one long-running task.
func lastingJob(id string, milliCPU int) *batch.Job {
	return testJob(id, "urgent", testStep(1, milliCPU, func(s *batch.Step) { s.LongRunning = true }))
}

// A worker that doesn't answer its host gets no tasks until it answers again or sends a
// snapshot, and keeps its runs.
func TestSilentWorkerGetsNoTasks(t *testing.T) {
	for name, end := range map[string]func(f *harness, b batch.Worker, runs []batch.Run){
		"answers again":        func(f *harness, b batch.Worker, _ []batch.Run) { f.SetSilent(b.Key(), false) },
		"sends a new snapshot": func(f *harness, b batch.Worker, runs []batch.Run) { f.SyncWorker(f.now, "host-1", b, runs, nil) },
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			b := testWorker("1", 4000)
			f := newHarness(b)
			f.Add(f.now, lastingJob("a", 1000), nil, false)
			first := f.scheduleAfter(0).Starts
			g.Expect(first).To(HaveLen(1))
			f.confirmStart(first[0])
			f.SetSilent(b.Key(), true)
			f.UpdateWorker(f.now, b)
			f.Add(f.now, lastingJob("b", 1000), nil, false)
			for range 20 {
				o := f.scheduleAfter(100 * time.Millisecond)
				g.Expect(o.Starts).To(BeEmpty())
				g.Expect(o.Stops).To(BeEmpty())
			}
			g.Expect(f.workerOf("1").tasks).To(HaveLen(1))
			end(f, b, []batch.Run{{Task: first[0].Task, Number: first[0].Number}})
			g.Expect(f.scheduleAfter(0).Starts).To(HaveLen(1))
		})
	}
}

// A session that ends and a worker that answers again are told apart: only a snapshot
// shows that a host has a session again.
func TestWorkerWithoutSessionThatAnswersGetsNoTasks(t *testing.T) {
	g := NewWithT(t)
	f := newHarness(testWorker("1", 4000))
	f.SetSilent(keyOf("1"), true)
	f.MarkUnresponsive("host-1")
	f.SetSilent(keyOf("1"), false)
	f.Add(f.now, lastingJob("a", 1000), nil, false)
	g.Expect(f.scheduleAfter(0).Starts).To(BeEmpty())
}

// A new incarnation of a silent worker isn't silent.
func TestNextIncarnationOfSilentWorkerGetsTasks(t *testing.T) {
	g := NewWithT(t)
	f := newHarness(testWorker("1", 4000))
	f.SetSilent(keyOf("1"), true)
	next := testWorker("1", 4000)
	next.StartTime = 2
	f.SyncWorker(f.now, "host-1", next, nil, nil)
	f.Add(f.now, lastingJob("a", 1000), nil, false)
	starts := f.scheduleAfter(0).Starts
	g.Expect(starts).To(HaveLen(1))
	g.Expect(starts[0].Key).To(Equal(next.Key()))
}

// A run on a draining worker isn't stopped for room on a worker that doesn't answer, nor
// while its own worker doesn't.
func TestRunIsNotEvacuatedBesideSilence(t *testing.T) {
	for _, silent := range []string{"1", "2"} {
		t.Run(silent, func(t *testing.T) {
			g := NewWithT(t)
			f := newHarness(testWorker("1", 4000))
			f.Add(f.now, lastingJob("a", 1000), nil, false)
			f.confirmStart(f.scheduleAfter(0).Starts[0])
			f.SyncWorker(f.now, "host-2", testWorker("2", 4000), nil, nil)
			f.setDraining("1")
			f.SetSilent(keyOf(silent), true)
			g.Expect(f.scheduleAfter(0).Stops).To(BeEmpty())
			f.SetSilent(keyOf(silent), false)
			g.Expect(f.scheduleAfter(0).Stops).To(HaveLen(1))
		})
	}
}

// A task that a host refuses without asking its worker is started on the next worker with
// room at once. The first worker gets no tasks for a while, so that a host of an earlier
// version, which doesn't report silences, isn't asked again and again.
func TestTaskRefusedByHostStartsElsewhereAtOnce(t *testing.T) {
	g := NewWithT(t)
	f := newHarness(testWorker("1", 4000), testWorker("2", 8000))
	f.Add(f.now, lastingJob("a", 1000), nil, false)
	first := f.scheduleAfter(0).Starts[0]
	g.Expect(first.Key.ID).To(Equal("1"))
	f.HandleUnavailable(f.now, first.Key, first.Task, first.Number)
	second := f.scheduleAfter(0).Starts
	g.Expect(second).To(HaveLen(1))
	g.Expect(second[0].Key.ID).To(Equal("2"))
	// Another host that refuses it makes it wait, so that starts don't go round many hosts.
	f.HandleUnavailable(f.now, second[0].Key, second[0].Task, second[0].Number)
	g.Expect(f.scheduleAfter(refusedRetryDelay - 1).Starts).To(BeEmpty())
	g.Expect(f.scheduleAfter(1).Starts).To(HaveLen(1))
}

// A refusal of an earlier run says nothing about the present one.
func TestLateRefusalByHostIsIgnored(t *testing.T) {
	g := NewWithT(t)
	f := newHarness(testWorker("1", 4000))
	f.Add(f.now, lastingJob("a", 1000), nil, false)
	first := f.scheduleAfter(0).Starts[0]
	f.HandleUnavailable(f.now, first.Key, first.Task, first.Number)
	second := f.scheduleAfter(refusedRetryDelay).Starts
	g.Expect(second).To(HaveLen(1))
	f.HandleUnavailable(f.now, first.Key, first.Task, first.Number)
	g.Expect(f.workerOf("1").tasks).To(HaveLen(1))
}
