package schedule

import (
	"math"
	"time"

	"github.com/sesamestream/sesamestream/pkg/batch"
	"github.com/sesamestream/sesamestream/pkg/decide/interfere"
	"github.com/sesamestream/sesamestream/pkg/fleet"
)

const (
	// ShareUnit is the processor time that counts as a share of 1 in the
	// interference model, in thousandths of a core: at twice that the
	// strongest disturbers known stay below the model's largest weight.
	ShareUnit = 4000
	// priorWeight is the weight of a pair of which nothing is known: half that of a strong disturber.
	priorWeight = 0.6
	// sureEvidence is the evidence at which a learned weight counts as much as the prior.
	sureEvidence = 0.4
	// tailRoom is the share of its target that a tail may be expected to reach by a placement;
	// the rest is for the serving task's own load, which swings by half.
	tailRoom = 0.6
	// tailAge is how long a measured tail is believed.
	tailAge = 2 * time.Second
	// effectAge is how long the effect of a start isn't in the tails yet: the worker's window and a look.
	effectAge = time.Second
)

// pressure returns by how much the logarithm of the victim's tail grows with
// each unit of the disturber's share.
func (s *Scheduler) pressure(now time.Time, victim, disturber string) float64 {
	w, e := s.model.Weight(now, fleet.Kind(victim), fleet.Kind(disturber))
	return (w*e + priorWeight*sureEvidence) / (e + sureEvidence)
}

// tail is the last tail latency measured of a serving task.
type tail struct {
	value time.Duration
	at    time.Time
}

// learn takes in how the runs of a worker did in the last window.
func (s *Scheduler) learn(now time.Time, w *worker, runs []batch.Run) {
	beside := interfere.Shares{}
	for _, r := range runs {
		t := w.tasks[r.Task]
		if t != nil && t.step.Fills && t.run == r.Number && t.step.Image != "" {
			if now.Sub(t.started) < effectAge {
				// Its work is in a part of the window only.
				return
			}
			beside[fleet.Kind(t.step.Image)] += float64(r.Load) / ShareUnit
		}
	}
	for _, r := range runs {
		t := w.tasks[r.Task]
		if t == nil || t.run != r.Number || t.step.TailTarget <= 0 || r.Load <= 0 {
			continue
		}
		s.model.Observe(now, fleet.Kind(t.step.Image), time.Duration(r.Load)*time.Millisecond, beside)
	}
}

// Pressures returns the n best known pairs, for the hosts that pace.
func (s *Scheduler) Pressures(now time.Time, n int) []interfere.Entry { return s.model.Entries(now, n) }

// strain returns the highest share of its target that a serving task of w is
// expected to reach with st beside it, and how much st adds to all of them.
func (s *Scheduler) strain(now time.Time, w *worker, st *step) (worst, added float64) {
	share := float64(st.Need.MilliCPU) / ShareUnit
	for _, v := range w.tasks {
		if v.step.TailTarget <= 0 {
			continue
		}
		now0 := unmeasuredTail
		if now.Sub(v.tail.at) < tailAge {
			now0 = float64(v.tail.value) / float64(v.step.TailTarget)
		}
		grow := 0.0
		for _, t := range w.tasks {
			if t.step.Fills && now.Sub(t.started) < effectAge {
				grow += s.pressure(now, v.step.Image, t.step.Image) * float64(t.step.Need.MilliCPU) / ShareUnit
			}
		}
		mine := s.pressure(now, v.step.Image, st.Image) * share
		worst = max(worst, now0*math.Exp(grow+mine))
		added += now0 * (math.Exp(mine) - 1)
	}
	return worst, added
}

// unmeasuredTail is the share of its target assumed of a tail that wasn't measured lately; most tails stand there undisturbed.
const unmeasuredTail = 0.4
