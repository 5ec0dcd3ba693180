package schedule

import (
	"maps"
	"slices"
	"time"

	"github.com/sesamestream/sesamestream/pkg/batch"
	"github.com/sesamestream/sesamestream/pkg/decide/straggle"
)

// restartOverhead is the cost of a restart on another worker besides the repeated
// work: the stop, which takes up to a second, and the worker's listing of its end.
const restartOverhead = 700 * time.Millisecond

// relocateStragglers stops runs that stand still or are much slower than their
// peers, if another worker has capacity for them.
func (s *Scheduler) relocateStragglers(now time.Time, o *Orders) {
	if now.Sub(s.judgedAt) < judgeInterval {
		return
	}
	s.judgedAt = now
	reserved := map[*worker]batch.Resources{}
	// The order is fixed, so that the same inputs give the same orders.
	for _, id := range slices.Sorted(maps.Keys(s.openJobs)) {
		j := s.openJobs[id]
		if j.state.Final() || j.awaitsHosts {
			continue
		}
		for _, occ := range j.occurrences {
			for _, st := range occ.steps {
				if st != nil && st.unassigned < st.unfinished && !st.LongRunning && !st.Gang {
					s.relocateStep(now, st, reserved, o)
				}
			}
		}
	}
}

// relocateStep stops the stragglers of one step. reserved holds the resources
// promised to relocated tasks in this pass.
func (s *Scheduler) relocateStep(now time.Time, st *step, reserved map[*worker]batch.Resources, o *Orders) {
	var running []straggle.Run
	for t := range st.records() {
		if t.worker != nil && !t.firstReportAt.IsZero() {
			running = append(running, t.runProgress())
		}
	}
	typical, known := st.peerDurations.Median(running)
	for t := range st.records() {
		w := t.worker
		// The worker isn't the cause if its host throttles the task.
		if w == nil || w.outOfReach() || !t.confirmed || t.stopping || t.firstReportAt.IsZero() || !t.throttledSince.IsZero() || now.Before(t.moveNotBefore) {
			continue
		}
		r := t.runProgress()
		expected, ok := typical, known
		if !known {
			// The run is compared with its own earlier progress.
			expected, ok = r.ProjectedDuration()
		}
		if !ok {
			continue
		}
		v := straggle.Judge(r, expected)
		// Best-effort tasks get the processor time that others leave, so their speed says little about the worker.
		if v == straggle.Keep || v == straggle.Slow && st.BestEffort {
			continue
		}
		t.moveNotBefore = now.Add(relocateSearchInterval)
		to := s.findWorker(now, st, t, o)
		if to == nil || !reservation(st.Step).Plus(reserved[to]).Fits(to.freeResources()) {
			continue
		}
		reserved[to] = reserved[to].Plus(reservation(st.Step))
		t.moveNotBefore = now.Add(minMoveInterval)
		t.avoidance.start(now, w.Machine)
		t.relocations++
		if !st.BestEffort {
			s.recordSlowRun(now, w, st.job.ID)
		}
		s.orderStop(t, relocateReasons[v])
	}
}

// judgeInterval is how often runs are judged; all workers report their progress within one window.
const judgeInterval = batch.LoadWindow / 2

// relocateSearchInterval is the pause between searches for another worker: one window of the reports.
const relocateSearchInterval = batch.LoadWindow

// relocateReasons are the logged reasons of a stop.
var relocateReasons = map[straggle.Verdict]string{
	straggle.Stalled: "stands still",
	straggle.Slow:    "slower than its peers",
}

// runProgress returns the progress of the task's run.
func (t *task) runProgress() straggle.Run {
	return straggle.Run{
		FirstReport: t.firstReportAt, FirstPercent: t.firstPercent, LastProgress: t.progressedAt, LastReport: t.lastReportAt, Percent: t.percent,
		Resumable: t.step.Checkpoints && t.checkpoint != "", RestartCost: restartOverhead, PriorReplacements: t.relocations,
	}
}
