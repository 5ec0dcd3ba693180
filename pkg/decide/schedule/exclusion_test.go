package schedule

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sesamestream/sesamestream/pkg/batch"
)

// Room that is kept for a move is given up when the run doesn't end.
func TestRoomOfAMoveIsGivenUp(t *testing.T) {
	g := NewWithT(t)
	f := newHarness(testWorker("1", 2000), testWorker("2", 2000))
	f.Add(f.now, endlessJob("a", 1, 2000), nil, false)
	s := f.startFor(50 * time.Millisecond)[0]
	f.reportAtWork(s)
	f.moveServing(f.now, f.jobs["a"].occurrences[0].steps[0].tasks[0], f.workerOf("2"), "test")
	f.Add(f.now, endlessJob("b", 1, 2000), nil, false)
	g.Expect(f.startFor(time.Second)).To(BeEmpty())
	g.Expect(f.startFor(moveTimeout)).To(HaveLen(1))
}

// A worker that reports again takes tasks again.
func TestUnresponsiveWorkerReturns(t *testing.T) {
	g := NewWithT(t)
	f := newHarness(testWorker("1", 2000))
	f.MarkUnresponsive("host-1")
	f.Add(f.now, endlessJob("a", 1, 2000), nil, false)
	g.Expect(f.startFor(10 * time.Second)).To(BeEmpty())
	f.SyncWorker(f.now, "host-1", testWorker("1", 2000), nil, nil)
	g.Expect(f.startFor(50 * time.Millisecond)).To(HaveLen(1))
}

// The room of an unassigned run that its worker no longer has is free again.
func TestRoomOfAMissingRunIsFree(t *testing.T) {
	g := NewWithT(t)
	f := newHarness(testWorker("2", 2000))
	f.Add(f.now, endlessJob("a", 1, 2000), nil, false)
	s := f.startFor(50 * time.Millisecond)[0]
	f.reportAtWork(s)
	f.SyncWorker(f.now, "host-1", testWorker("1", 2000), []batch.Run{{Task: s.Task, Number: 7}}, nil)
	f.Add(f.now, endlessJob("b", 1, 2000), nil, false)
	g.Expect(f.startFor(10 * time.Second)).To(BeEmpty())
	f.HandleMissingRun(batch.WorkerKey{ID: "1", StartTime: 1}, s.Task)
	g.Expect(f.startFor(50 * time.Millisecond)).To(HaveLen(1))
}

// The count of a step's runs on a worker ends with the worker, also for a run that was to be
// stopped there. It stayed for as long as the job.
func TestCountOfUnassignedRunEndsWithItsWorker(t *testing.T) {
	g := NewWithT(t)
	f := newHarness(testWorker("2", 2000))
	j := endlessJob("a", 1, 2000)
	j.Steps[0].MaxPerWorker = 1
	f.Add(f.now, j, nil, false)
	s := f.startFor(50 * time.Millisecond)[0]
	f.SyncWorker(f.now, "host-1", testWorker("1", 2000), []batch.Run{{Task: s.Task, Number: 7}}, nil)
	g.Expect(checkAccounts(f.Scheduler)).To(Succeed())
	f.RemoveWorker(batch.WorkerKey{ID: "1", StartTime: 1})
	g.Expect(f.findTask(s.Task).step.tasksPerWorker).To(HaveLen(1))
	g.Expect(checkAccounts(f.Scheduler)).To(Succeed())
}
