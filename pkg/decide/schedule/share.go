package schedule

import (
	"iter"
	"math"
	"time"

	"github.com/sesamestream/sesamestream/pkg/batch"
	"github.com/sesamestream/sesamestream/pkg/decide/interfere"
	"github.com/sesamestream/sesamestream/pkg/fleet"
)

const (
	// maxExpectedTailShare is the share of its target that a tail may be expected to reach by a placement;
	// the rest is for the serving task's own load, which swings by half.
	maxExpectedTailShare = 0.7
	// maxTailAge is how long a measured tail is believed.
	maxTailAge = 2 * time.Second
	// startEffectLag is how long a start isn't in the tails at all: until the next window is told.
	startEffectLag = batch.LoadWindow
	// startEffectTime is when nearly all of it is there, as tails follow it by a part each window.
	startEffectTime = 6 * batch.LoadWindow
	// tailSmoothing is the part by which a tail follows a change of what works beside it, each window.
	tailSmoothing = 0.5
	// defaultOccupancy is the occupancy assumed of a serving task whose tail wasn't measured lately: the middle of its swing.
	defaultOccupancy = 0.5
	// defaultMaxOccupancy is the occupancy that a victim may reach of which nothing was measured: targets are five times the least tail.
	defaultMaxOccupancy = 0.7
)

// tailSample is the last tailSample latency measured of a serving task.
type tailSample struct {
	latency    time.Duration
	measuredAt time.Time
}

// baselineTail returns what the tail of t would be with nothing that fills beside it:
// the tasks of a step share their load, so the least of them is the nearest.
func (t *task) baselineTail(now time.Time) time.Duration {
	least := t.tailLatency.latency
	for _, o := range t.step.tasks {
		if o.worker != nil && o.tailLatency.latency > 0 && now.Sub(o.tailLatency.measuredAt) <= 2*batch.LoadWindow {
			least = min(least, o.tailLatency.latency)
		}
	}
	return least
}

// observeInterference takes in how the runs of a worker did in the last window.
func (s *Scheduler) observeInterference(now time.Time, w *worker, runs []batch.Run) {
	if now.Sub(w.observedAt) < batch.LoadWindow*4/5 {
		return
	}
	w.observedAt = now
	beside := interfere.Shares{}
	for k, v := range w.bestEffortShares {
		if v *= 1 - tailSmoothing; v > 0.01 {
			beside[k] = v
		}
	}
	for _, r := range runs {
		t := w.tasks[r.Task]
		if t != nil && t.step.Fills && t.run == r.Number && t.step.Image != "" && r.Load > 0 {
			beside[fleet.Kind(t.step.Image)] += tailSmoothing * float64(r.Load) / interfere.CrowdingUnit
		}
	}
	w.bestEffortShares = beside
	for _, r := range runs {
		t := w.tasks[r.Task]
		if t == nil || t.run != r.Number || t.step.TailTarget <= 0 || r.Load <= 0 || now.Sub(t.startedAt) < servingWarmUp {
			continue
		}
		s.interference.Observe(fleet.Kind(t.step.Image), t.tailLatency.latency, t.baselineTail(now), beside)
	}
}

// servingWarmUp is how long the tail of a serving task tells of its own start.
const servingWarmUp = 2 * time.Second

// InterferenceEstimates returns the best known pairs and the victims' least tails, for the next scheduler.
func (s *Scheduler) InterferenceEstimates(now time.Time) interfere.Lesson {
	return interfere.Lesson{Entries: s.interference.Entries(now, interfere.MaxPairs), Idle: s.interference.Victims()}
}

// HostInterferenceEstimates returns what is known of the images that run beside each other on the workers of a host.
func (s *Scheduler) HostInterferenceEstimates(keys iter.Seq[batch.WorkerKey]) interfere.Lesson {
	l := interfere.Lesson{Idle: map[fleet.Kind]time.Duration{}}
	seen := map[interfere.Pair]bool{}
	for k := range keys {
		if w := s.workers[k]; w != nil && len(w.bestEffort) > 0 {
			s.addWorkerEstimates(w, &l, seen)
		}
	}
	return l
}

func (s *Scheduler) addWorkerEstimates(w *worker, l *interfere.Lesson, seen map[interfere.Pair]bool) {
	for _, v := range w.victims {
		image := fleet.Kind(v.step.Image)
		if idle := s.interference.Idle(image); idle > 0 {
			l.Idle[image] = idle
		}
		for _, f := range w.bestEffort {
			p := interfere.Pair{Victim: image, Disturber: fleet.Kind(f.step.Image)}
			if seen[p] {
				continue
			}
			seen[p] = true
			l.Entries = append(l.Entries, interfere.Entry{Pair: p, Weight: float32(s.interference.Weight(p.Victim, p.Disturber))})
		}
	}
}

// LoadInterferenceEstimates takes in what the scheduler before knew of images.
func (s *Scheduler) LoadInterferenceEstimates(entries []interfere.Entry, idle map[fleet.Kind]time.Duration) {
	s.interference.Learn(entries, idle)
}

// expectedInterference returns whether each serving task of w is expected to stay within its
// room with st beside it, and how much of their rooms st takes together.
func (s *Scheduler) expectedInterference(now time.Time, w *worker, st *step) (fits bool, taken float64) {
	share := float64(st.Need.MilliCPU) / interfere.CrowdingUnit
	starts := s.recentStarts(now, w)
	fits = true
	for _, v := range w.victims {
		image := fleet.Kind(v.step.Image)
		mine := s.interference.Weight(image, fleet.Kind(st.Image)) * share
		taken += mine
		if mine < negligibleInterference {
			continue
		}
		has := defaultOccupancy
		if now.Sub(v.tailLatency.measuredAt) < maxTailAge {
			has = s.interference.Occupancy(image, v.tailLatency.latency)
		}
		for _, x := range starts {
			has += s.interference.Weight(image, x.image) * x.share
		}
		may := defaultMaxOccupancy
		if s.interference.Idle(image) > 0 {
			may = s.interference.Occupancy(image, time.Duration(maxExpectedTailShare*float64(v.step.TailTarget)))
		}
		if has+mine > may {
			fits = false
		}
	}
	return fits, taken
}

// recentStart is the part of a start's share that the tails don't show yet.
type recentStart struct {
	image fleet.Kind
	share float64
}

// recentStarts returns what has started on w lately. The slice is overwritten by the next call.
func (s *Scheduler) recentStarts(now time.Time, w *worker) []recentStart {
	out := s.startsBuffer[:0]
	for _, t := range w.bestEffort {
		age := now.Sub(t.startedAt)
		if age >= startEffectTime {
			continue
		}
		part := math.Pow(1-tailSmoothing, max(age-startEffectLag, 0).Seconds()/batch.LoadWindow.Seconds())
		if s.variant.stepStartEffect {
			part = 0
			if age < 2*startEffectLag {
				part = 1
			}
		}
		out = append(out, recentStart{fleet.Kind(t.step.Image), part * float64(t.step.Need.MilliCPU) / interfere.CrowdingUnit})
	}
	s.startsBuffer = out
	return out
}

// negligibleInterference is the part of a victim's room that a disturber may always take.
const negligibleInterference = 0.03

const (
	// throttledPercent is the pace in percent below which a filling task makes too little headway.
	throttledPercent = 50
	// minThrottledTime is how long a task that would lose its work is held back before
	// it's moved: two windows, as a tail that swings falls again.
	minThrottledTime = 800 * time.Millisecond
	// moveSearchInterval is the pause before another place is looked for, for tasks of one step.
	moveSearchInterval = 250 * time.Millisecond
	// maxMovePercent is the progress in percent from which a task without checkpoints stays where it is.
	maxMovePercent = 60
	// minMoveInterval keeps a task from being moved again and again: a stop and a start from a checkpoint take as long.
	minMoveInterval = time.Second
)

// recordPace takes in the pace of a filling task.
func (t *task) recordPace(now time.Time, pace int) {
	switch {
	case pace >= throttledPercent:
		t.throttledSince = time.Time{}
	case t.throttledSince.IsZero():
		t.throttledSince = now
	}
}

// moveThrottled stops filling tasks that are held back where another worker would let
// them work; they go on from what they saved. The last task of a step decides
// when it ends, so that a task that loses little by it is moved at once.
func (s *Scheduler) moveThrottled(now time.Time, o *Orders) {
	for _, w := range s.workerList {
		if w.unresponsive {
			continue
		}
		for _, t := range w.bestEffort {
			if !t.movable(now, s.variant) {
				continue
			}
			if s.findWorker(now, t.step, t, o) == nil {
				// What finds no place for one finds none for the like; both wait for the next look.
				t.step.moveFailedAt = now
				continue
			}
			t.moveNotBefore = now.Add(minMoveInterval)
			s.orderStop(t, "held back by serving tasks")
		}
	}
}

// movable reports whether a filling task is held back and may be stopped for that.
func (t *task) movable(now time.Time, r policyVariant) bool {
	if t.throttledSince.IsZero() || t.stopping || !t.confirmed || t.step.Gang || now.Before(t.moveNotBefore) || now.Sub(t.step.moveFailedAt) < moveSearchInterval {
		return false
	}
	if t.step.Checkpoints && !r.delayMoves {
		return true
	}
	return now.Sub(t.throttledSince) >= minThrottledTime && (t.step.Checkpoints || t.percent < maxMovePercent)
}

// compatibility returns how much of the filling work known wouldn't disturb what
// serves on w, from 0 to 1. Harmless work leaves the open workers to the rest.
func (s *Scheduler) compatibility(now time.Time, w *worker) float64 {
	if now.Sub(w.compatibilityAt) < maxCompatibilityAge {
		return w.compatibility
	}
	images := s.interference.Disturbers()
	sum := 0.0
	for _, i := range images {
		grow := 0.0
		for _, v := range w.victims {
			grow = max(grow, s.interference.Weight(fleet.Kind(v.step.Image), i))
		}
		sum += 1 - min(grow/incompatibleWeight, 1)
	}
	w.compatibility, w.compatibilityAt = sum/float64(max(len(images), 1)), now
	return w.compatibility
}

// maxCompatibilityAge is how long the openness of a worker is kept while its victims stay: weights change over seconds.
const maxCompatibilityAge = time.Second

// incompatibleWeight is the weight from which a worker is closed to a disturber: a task of it takes a fifth of the victim's room.
const incompatibleWeight = 0.4
