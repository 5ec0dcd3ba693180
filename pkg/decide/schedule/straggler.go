package schedule

import (
	"time"

	"github.com/sesamestream/sesamestream/pkg/batch"
	"github.com/sesamestream/sesamestream/pkg/decide/straggle"
)

// restartTime is what a stop and a start elsewhere cost beside the work: the
// stop, which takes up to a second on the deployments known, and its listing.
const restartTime = 700 * time.Millisecond

// relocate stops runs that stand still or that are much slower than their
// peers, where another worker has room for them.
func (s *Scheduler) relocate(now time.Time, o *Orders) {
	if now.Sub(s.judged) < judgeEvery {
		return
	}
	s.judged = now
	taken := map[*worker]batch.Resources{}
	for _, j := range s.open {
		if j.state.Final() || j.earlier {
			continue
		}
		for _, at := range j.runs {
			for _, st := range at.steps {
				if st.waiting < st.left && !st.Lasting && !st.Gang {
					s.relocateOf(now, st, taken, o)
				}
			}
		}
	}
}

func (s *Scheduler) relocateOf(now time.Time, st *step, taken map[*worker]batch.Resources, o *Orders) {
	var running []straggle.Run
	for _, t := range st.tasks {
		if t.worker != nil && !t.seen.IsZero() {
			running = append(running, t.progress())
		}
	}
	typical, known := st.peers.Typical(running)
	for _, t := range st.tasks {
		w := t.worker
		// What its host holds back isn't the worker's fault.
		if w == nil || w.silent || !t.there || t.stopping || t.seen.IsZero() || !t.slow.IsZero() || now.Before(t.unmoved) {
			continue
		}
		r := t.progress()
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
		t.unmoved = now.Add(lookAgain)
		to := s.place(now, st, t, o)
		if to == nil || !need(st.Step).Plus(taken[to]).Fits(to.room()) {
			continue
		}
		taken[to] = taken[to].Plus(need(st.Step))
		t.avoid, t.unmoved = w.Machine, now.Add(moveEvery)
		t.given++
		if !st.Fills {
			s.straggles(now, w, st.job.ID)
		}
		s.stop(t, stragglers[v])
	}
}

// judgeEvery is how often runs are judged: the figures of all workers come within a window.
const judgeEvery = batch.LoadWindow / 2

// lookAgain is the pause before another place is looked for: each window of the figures.
const lookAgain = batch.LoadWindow

// stragglers are the reasons of a stop, for the log.
var stragglers = map[straggle.Verdict]string{
	straggle.Still: "stands still",
	straggle.Slow:  "slower than its peers",
}

// progress returns what is known of how a task's run gets on.
func (t *task) progress() straggle.Run {
	return straggle.Run{
		Since: t.seen, From: t.from, Rose: t.rose, Told: t.told, Percent: t.percent,
		Saved: t.step.Checkpoints && t.saved != "", Extra: restartTime, Before: t.given,
	}
}
