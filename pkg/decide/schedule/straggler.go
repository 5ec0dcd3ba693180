package schedule

import (
	"time"

	"github.com/sesamestream/sesamestream/pkg/batch"
	"github.com/sesamestream/sesamestream/pkg/decide/straggle"
)

// restartOverhead is what a stop and a start elsewhere cost beside the work: the
// stop, which takes up to a second on the deployments known, and its listing.
const restartOverhead = 700 * time.Millisecond

// relocateStragglers stops runs that stand still or that are much slower than their
// peers, where another worker has room for them.
func (s *Scheduler) relocateStragglers(now time.Time, o *Orders) {
	if now.Sub(s.judgedAt) < judgeInterval {
		return
	}
	s.judgedAt = now
	taken := map[*worker]batch.Resources{}
	for _, j := range s.openJobs {
		if j.state.Final() || j.awaitsHosts {
			continue
		}
		for _, at := range j.occurrences {
			for _, st := range at.steps {
				if st.unassigned < st.unfinished && !st.Lasting && !st.Gang {
					s.relocateStep(now, st, taken, o)
				}
			}
		}
	}
}

func (s *Scheduler) relocateStep(now time.Time, st *step, taken map[*worker]batch.Resources, o *Orders) {
	var running []straggle.Run
	for _, t := range st.tasks {
		if t.worker != nil && !t.firstReportAt.IsZero() {
			running = append(running, t.runProgress())
		}
	}
	typical, known := st.peerDurations.Typical(running)
	for _, t := range st.tasks {
		w := t.worker
		// What its host holds back isn't the worker's fault.
		if w == nil || w.unresponsive || !t.confirmed || t.stopping || t.firstReportAt.IsZero() || !t.throttledSince.IsZero() || now.Before(t.moveNotBefore) {
			continue
		}
		r := t.runProgress()
		expected, ok := typical, known
		if !known {
			// It's measured by how it went on before.
			expected, ok = r.Whole()
		}
		if !ok {
			continue
		}
		v := straggle.Judge(r, expected)
		// Filling work gets what others leave, so that its speed tells little of the worker.
		if v == straggle.Keep || v == straggle.Slow && st.Fills {
			continue
		}
		t.moveNotBefore = now.Add(relocateSearchInterval)
		to := s.findWorker(now, st, t, o)
		if to == nil || !reservation(st.Step).Plus(taken[to]).Fits(to.freeResources()) {
			continue
		}
		taken[to] = taken[to].Plus(reservation(st.Step))
		t.avoidMachine, t.moveNotBefore = w.Machine, now.Add(minMoveInterval)
		t.relocations++
		if !st.Fills {
			s.recordSlowRun(now, w, st.job.ID)
		}
		s.orderStop(t, relocateReasons[v])
	}
}

// judgeInterval is how often runs are judged: the figures of all workers come within a window.
const judgeInterval = batch.LoadWindow / 2

// relocateSearchInterval is the pause before another place is looked for: each window of the figures.
const relocateSearchInterval = batch.LoadWindow

// relocateReasons are the reasons of a stop, for the log.
var relocateReasons = map[straggle.Verdict]string{
	straggle.Still: "stands still",
	straggle.Slow:  "slower than its peers",
}

// runProgress returns what is known of how a task's run gets on.
func (t *task) runProgress() straggle.Run {
	return straggle.Run{
		Since: t.firstReportAt, From: t.firstPercent, Rose: t.progressedAt, Told: t.lastReportAt, Percent: t.percent,
		Saved: t.step.Checkpoints && t.checkpoint != "", Extra: restartOverhead, Before: t.relocations,
	}
}
