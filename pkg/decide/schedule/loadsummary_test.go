package schedule

import (
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sesamestream/sesamestream/pkg/batch"
	"github.com/sesamestream/sesamestream/pkg/decide/overload"
)

// Room that a summary leaves out, or work that it counts though no worker can take it, gets jobs refused that could run.
func TestLoadSummaryCountsUsableRoomAndWork(t *testing.T) {
	g := NewWithT(t)
	f := newHarness(testWorker("1", 4000), testWorker("2", 8000), testWorker("3", 2000))
	serve := testStep(1, 3000, func(s *batch.Step) { s.LongRunning = true })
	f.Add(f.now, testJob("l", "urgent", serve), nil, false)
	f.Add(f.now, testJob("run", "urgent", testStep(2, 4000)), nil, false)
	f.Add(f.now, testJob("wait", "urgent", testStep(4, 2500)), nil, false)
	f.Add(f.now, testJob("huge", "urgent", testStep(1, 9000)), nil, false)
	for _, s := range f.scheduleAfter(0).Starts {
		f.confirmStart(s)
	}
	f.SetOrigin("wait", "north")
	f.MarkUnresponsive("host-3")
	x := f.LoadSummary(f.now).Services[0]
	g.Expect(x.Workers).To(Equal(2))
	g.Expect(x.LargestCapacity.MilliCPU).To(Equal(8000))
	running, free := 0, 0
	for _, w := range f.workers {
		if w.host != "host-3" {
			running += w.reserved.MilliCPU - w.servingMilliCPU
			free += w.freeResources().MilliCPU
		}
	}
	g.Expect(x.Reserved.Free).To(Equal(free))
	freed := 0
	for _, n := range x.Reserved.Freed {
		freed += n
	}
	g.Expect(freed).To(Equal(running+2000), "running tasks and the worker out of reach")
	waiting, work := 0, 0.0
	for _, id := range []batch.JobID{"run", "wait"} {
		st := f.jobs[id].occurrences[0].steps[0]
		waiting += st.unassigned
		work += float64(st.unassigned) * taskWork(st.Step)
	}
	g.Expect(waiting).To(BeNumerically(">", 0))
	g.Expect(x.WaitingTasks).To(Equal(waiting), "without the task for which no worker is large enough")
	g.Expect(x.Queues).To(HaveLen(1))
	g.Expect(x.Queues[0].Work).To(Equal(int(work * 1000)))
	g.Expect(x.DataCentres).To(HaveLen(1))
	g.Expect(x.DataCentres[0].Name).To(Equal("north"))
}

// Room that is held for a long-running task isn't free for others: counted as free it would
// admit every job for as long as it's held.
func TestLoadSummaryLeavesOutHeldRoom(t *testing.T) {
	g := NewWithT(t)
	f := newHarness(testWorker("1", 4000))
	f.Add(f.now, testJob("run", "urgent", testStep(1, 3000)), nil, false)
	for _, s := range f.scheduleAfter(0).Starts {
		f.confirmStart(s)
	}
	f.Add(f.now, testJob("l", "urgent", testStep(1, 3500, func(s *batch.Step) { s.LongRunning = true })), nil, false)
	f.scheduleAfter(0)
	f.scheduleAfter(healthyWorkerWait)
	g.Expect(f.holds).To(HaveLen(1))
	x := f.LoadSummary(f.now).Services[0]
	g.Expect(x.LargestFree.MilliCPU).To(BeNumerically("<=", 0))
	g.Expect(x.LargestHeld.MilliCPU).To(Equal(1000))
	g.Expect(x.WaitingLongRunning).To(Equal(1))
	g.Expect(x.LongRunningWait).To(Equal(healthyWorkerWait))
}

// Until the workers of an earlier term are known, the missing ones would be taken for a shortage.
func TestNoLoadSummaryBeforeRecovery(t *testing.T) {
	g := NewWithT(t)
	s := New()
	g.Expect(s.LoadSummary(testStart)).To(BeNil())
	s.FinishRecovery()
	first := s.LoadSummary(testStart)
	g.Expect(first).NotTo(BeNil())
	g.Expect(s.LoadSummary(testStart.Add(loadSummaryInterval - 1))).To(BeIdenticalTo(first))
	g.Expect(s.LoadSummary(testStart.Add(loadSummaryInterval))).NotTo(BeIdenticalTo(first))
}

// The estimate is compared with what was seen for each completed job. At the usual load
// nineteen ends of twenty are within an objective of their estimate; a worse estimate can't tell late jobs from others.
func TestEstimateErrorAtUsualLoad(t *testing.T) {
	g := NewWithT(t)
	for _, load := range []string{"usual", "flood"} {
		m := newAdmissionSim(1, refuseNone, policyVariant{})
		m.play(overloadPhases[load])
		var starts, ends []time.Duration
		within, completed := 0, 0
		for _, c := range m.callers {
			if c.doneAt.IsZero() {
				continue
			}
			completed++
			x, ok := m.EstimateError(c.job.ID)
			if !ok {
				continue
			}
			g.Expect(x.SeenEnd).To(Equal(c.doneAt.Sub(c.submittedAt)))
			starts, ends = append(starts, x.SeenStart-x.PredictedStart), append(ends, x.SeenEnd-x.PredictedEnd)
			if (x.SeenEnd - x.PredictedEnd).Abs() <= c.objective {
				within++
			}
		}
		g.Expect(len(ends)).To(BeNumerically(">=", completed*9/10), "jobs with an estimate")
		if load == "usual" {
			g.Expect(within).To(BeNumerically(">=", len(ends)*19/20))
		}
		t.Logf("%s: start %v, end %v (seen less predicted), %d of %d ends within an objective", load, quantiles(starts), quantiles(ends), within, len(ends))
	}
}

// quantiles returns the 10th, 50th and 90th percentiles.
func quantiles(ds []time.Duration) string {
	slices.Sort(ds)
	return fmt.Sprint(ds[len(ds)/10], ds[len(ds)/2], ds[len(ds)*9/10])
}

// A job that is added while others wait ahead is predicted to start later than one on a free fleet.
func TestPredictionFollowsTheSummary(t *testing.T) {
	g := NewWithT(t)
	f := newHarness(testWorker("1", 4000))
	f.LoadSummary(f.now)
	f.Add(f.now, testJob("a", "urgent", testStep(40, 1000)), nil, false)
	g.Expect(f.jobs["a"].predicted.Start).To(BeZero())
	f.scheduleAfter(0)
	f.now = f.now.Add(loadSummaryInterval)
	f.LoadSummary(f.now)
	f.Add(f.now, testJob("b", "wide", testStep(1, 1000)), nil, false)
	g.Expect(f.jobs["b"].predicted.Start).To(BeNumerically(">", 5*time.Second))
	g.Expect(overload.Decide(f.now, f.LoadSummary(f.now), f.queues["wide"], overload.Job{Job: f.jobs["b"].Job}).Refuse).To(BeTrue())
}

// Work for which no worker is large enough delays nothing. Counted as arriving it would get less urgent jobs refused.
func TestArrivalsLeaveOutWorkThatFitsNoWorker(t *testing.T) {
	g := NewWithT(t)
	f := newHarness(testWorker("1", 4000))
	f.scheduleAfter(0)
	f.LoadSummary(f.now)
	f.Add(f.now, testJob("huge", "urgent", testStep(100, 9000)), nil, false)
	f.scheduleAfter(loadSummaryInterval)
	g.Expect(f.LoadSummary(f.now).Services[0].Waiting).To(BeEmpty())
	f.Add(f.now, testJob("run", "urgent", testStep(1, 3000)), nil, false)
	f.scheduleAfter(loadSummaryInterval)
	x := f.LoadSummary(f.now).Services[0]
	g.Expect(x.Waiting).To(HaveLen(1))
	arriving := 0
	for _, n := range x.Waiting[0].Arriving {
		arriving += n
	}
	g.Expect(arriving).To(BeNumerically(">", 0))
	g.Expect(arriving).To(BeNumerically("<", 9000))
}
