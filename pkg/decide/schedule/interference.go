package schedule

import (
	"iter"
	"time"

	"github.com/sesamestream/sesamestream/pkg/batch"
	"github.com/sesamestream/sesamestream/pkg/decide/interfere"
	"github.com/sesamestream/sesamestream/pkg/fleet"
)

const (
	// maxExpectedTailShare is the share of its target that a tail latency may be
	// expected to reach after a placement. The rest is headroom for the load of the
	// latency-critical task itself, which swings by half.
	maxExpectedTailShare = 0.7
	// tailSmoothing is the part by which a tail latency follows a change of the colocated work in each window.
	tailSmoothing = 0.5
	// defaultMaxOccupancy bounds the occupancy of a victim whose idle tail latency is
	// unknown. Targets are five times the lowest tail latency.
	defaultMaxOccupancy = 0.7
)

// tailSample is the last tail latency reported of a latency-critical task.
type tailSample struct {
	latency    time.Duration
	measuredAt time.Time
}

// observeInterference updates the interference estimates from the last window of the runs on a worker.
func (s *Scheduler) observeInterference(now time.Time, w *worker, runs []batch.Run) {
	if now.Sub(w.observedAt) < batch.LoadWindow*4/5 {
		return
	}
	w.observedAt = now
	used := w.updateShares(runs)
	victims := s.warmVictims(now, w)
	s.judgeServing(now, w, victims, used)
	if !w.slowServingSince.IsZero() {
		return
	}
	for _, t := range victims {
		s.interference.Observe(now, fleet.Kind(t.step.Image), t.step, t.tailLatency.latency, w.bestEffortShares)
	}
}

// updateShares lets the shares of the best-effort images on w follow their use in the
// last window, and returns the sum of what they used in it.
func (w *worker) updateShares(runs []batch.Run) (used float64) {
	shares := interfere.Shares{}
	for k, v := range w.bestEffortShares {
		if v *= 1 - tailSmoothing; v > 0.01 {
			shares[k] = v
		}
	}
	for _, r := range runs {
		t := w.tasks[r.Task]
		if t != nil && t.step.BestEffort && t.run == r.Number && t.step.Image != "" && r.Load > 0 {
			share := interfere.Share(r.Load, w.Capacity.MilliCPU)
			shares[fleet.Kind(t.step.Image)] += tailSmoothing * share
			used += share
		}
	}
	w.bestEffortShares = shares
	return used
}

// warmVictims returns the latency-critical tasks of w with a new tail latency that
// shows their load. Those that have just started show their idle tail latency.
func (s *Scheduler) warmVictims(now time.Time, w *worker) []*task {
	var warm []*task
	for _, t := range w.victims {
		switch {
		case !t.tailLatency.measuredAt.Equal(now):
		case now.Sub(t.startedAt) < servingWarmUp:
			s.interference.ObserveIdle(fleet.Kind(t.step.Image), t.tailLatency.latency)
		default:
			warm = append(warm, t)
		}
	}
	return warm
}

// servingWarmUp is how long after its start the tail latency of a latency-critical task reflects the start itself.
const servingWarmUp = 2 * time.Second

// InterferenceEstimates returns the pairs with the most evidence and the lowest
// tail latencies of the victims, for the next scheduler.
func (s *Scheduler) InterferenceEstimates(now time.Time) interfere.EstimateSet {
	return interfere.EstimateSet{Estimates: s.interference.Estimates(now, interfere.MaxPairs), IdleTails: s.interference.IdleTails()}
}

// HostInterferenceEstimates returns the estimates for the images that run together on the workers of a host.
func (s *Scheduler) HostInterferenceEstimates(keys iter.Seq[batch.WorkerKey]) interfere.EstimateSet {
	l := interfere.EstimateSet{IdleTails: map[fleet.Kind]time.Duration{}}
	seen := map[interfere.Pair]bool{}
	for k := range keys {
		if w := s.workers[k]; w != nil && len(w.bestEffort) > 0 {
			s.addWorkerEstimates(w, &l, seen)
		}
	}
	return l
}

// addWorkerEstimates adds the estimates for the images on w to l, except the pairs in seen.
func (s *Scheduler) addWorkerEstimates(w *worker, l *interfere.EstimateSet, seen map[interfere.Pair]bool) {
	for _, v := range w.victims {
		image := fleet.Kind(v.step.Image)
		if idle := s.interference.IdleTail(image); idle > 0 {
			l.IdleTails[image] = idle
		}
		for _, f := range w.bestEffort {
			p := interfere.Pair{Victim: image, Aggressor: fleet.Kind(f.step.Image)}
			if seen[p] {
				continue
			}
			seen[p] = true
			l.Estimates = append(l.Estimates, interfere.Estimate{Pair: p, Weight: float32(s.interference.Weight(p.Victim, p.Aggressor))})
		}
	}
}

// LoadInterferenceEstimates loads the estimates of the previous scheduler.
func (s *Scheduler) LoadInterferenceEstimates(entries []interfere.Estimate, idle map[fleet.Kind]time.Duration) {
	s.interference.Import(entries, idle)
}

// expectedInterference returns whether each latency-critical task of w is expected
// to stay within its maximum occupancy with st on w, and the total occupancy that
// st adds to them.
func (s *Scheduler) expectedInterference(now time.Time, w *worker, st *step) (fits bool, total float64) {
	share := interfere.Share(st.Need.MilliCPU, w.Capacity.MilliCPU)
	fits = true
	headroom := s.headroom(now, w)
	for i, v := range w.victims {
		added := s.interference.Weight(fleet.Kind(v.step.Image), fleet.Kind(st.Image)) * share
		total += added
		if added >= negligibleInterference && added > headroom[i] {
			fits = false
		}
	}
	return fits, total
}

// headroom returns the occupancy that may be added to each latency-critical task of
// w. It's the same for all tasks that are placed in one pass, until w gets one of them.
func (s *Scheduler) headroom(now time.Time, w *worker) []float64 {
	if w.headroomAt.Equal(now) {
		return w.headroom
	}
	w.headroom = w.headroom[:0]
	for _, v := range w.victims {
		w.headroom = append(w.headroom, s.maxOccupancy(v)-s.expectedOccupancy(now, w, v))
	}
	w.headroomAt = now
	return w.headroom
}

// expectedOccupancy returns the occupancy of a latency-critical task of w that its
// own load and the best-effort tasks of w are expected to cause.
func (s *Scheduler) expectedOccupancy(now time.Time, w *worker, v *task) float64 {
	occupancy := s.expectedLoad(now, v)
	for _, f := range w.bestEffort {
		weight := s.interference.Weight(fleet.Kind(v.step.Image), fleet.Kind(f.step.Image))
		occupancy += weight * interfere.Share(f.expectedMilliCPU(now), w.Capacity.MilliCPU)
	}
	return occupancy
}

// maxOccupancy returns the occupancy of a latency-critical task up to which
// best-effort tasks are placed beside it.
func (s *Scheduler) maxOccupancy(v *task) float64 {
	image := fleet.Kind(v.step.Image)
	if s.interference.IdleTail(image) == 0 {
		return defaultMaxOccupancy
	}
	return s.interference.Occupancy(image, time.Duration(maxExpectedTailShare*float64(v.step.LatencyTarget)))
}

// negligibleInterference is the occupancy that an aggressor may always add to a victim.
const negligibleInterference = 0.03

const (
	// throttledPercent is the pace in percent below which a best-effort task makes too little progress.
	throttledPercent = 50
	// minThrottledTime is how long a task that would lose work by a move is throttled
	// before it is moved: two windows, as a swinging tail latency falls again.
	minThrottledTime = 800 * time.Millisecond
	// moveSearchInterval is the pause between searches for workers to move tasks of one step to.
	moveSearchInterval = 250 * time.Millisecond
	// maxMovePercent is the progress in percent from which a task without checkpoints isn't moved.
	maxMovePercent = 60
	// minMoveInterval keeps a task from being moved repeatedly; a stop and a start from a checkpoint take as long.
	minMoveInterval = time.Second
)

// recordPace records the pace of a best-effort task.
func (t *task) recordPace(now time.Time, pace int) {
	switch {
	case pace >= throttledPercent:
		t.throttledSince = time.Time{}
	case t.throttledSince.IsZero():
		t.throttledSince = now
	}
}

// moveThrottled stops throttled best-effort tasks that can run on another worker,
// where they continue from their checkpoints. The last task of a step determines
// when the step ends, so a task that loses little by a move is moved at once.
func (s *Scheduler) moveThrottled(now time.Time, o *Orders) {
	for _, w := range s.workerList {
		if w.outOfReach() {
			continue
		}
		for _, t := range w.bestEffort {
			if !t.movable(now, s.variant) {
				continue
			}
			if s.findWorker(now, t.step, t, o) == nil {
				// The tasks of a step need the same resources, so all of them wait for the next search.
				t.step.moveFailedAt = now
				continue
			}
			t.moveNotBefore = now.Add(minMoveInterval)
			s.orderStop(t, "held back by serving tasks")
		}
	}
}

// movable reports whether a best-effort task is throttled and may be stopped for a move.
func (t *task) movable(now time.Time, v policyVariant) bool {
	if t.throttledSince.IsZero() || t.stopping || !t.confirmed || t.step.Gang || now.Before(t.moveNotBefore) || now.Sub(t.step.moveFailedAt) < moveSearchInterval {
		return false
	}
	if t.step.Checkpoints && !v.delayMoves {
		return true
	}
	return now.Sub(t.throttledSince) >= minThrottledTime && (t.step.Checkpoints || t.percent < maxMovePercent)
}

// compatibility returns the share, from 0 to 1, of the known best-effort images
// that interfere little with the latency-critical tasks on w. Placement charges for
// it, so that tasks that interfere with nothing leave compatible workers to others.
func (s *Scheduler) compatibility(now time.Time, w *worker) float64 {
	if now.Sub(w.compatibilityAt) < maxCompatibilityAge {
		return w.compatibility
	}
	images := s.interference.Aggressors()
	sum := 0.0
	for _, i := range images {
		weight := 0.0
		for _, v := range w.victims {
			weight = max(weight, s.interference.Weight(fleet.Kind(v.step.Image), i))
		}
		sum += tolerance(weight)
	}
	w.compatibility, w.compatibilityAt = sum/float64(max(len(images), 1)), now
	return w.compatibility
}

// maxCompatibilityAge is how long the compatibility of a worker is cached while its
// victims stay the same: weights change over seconds.
const maxCompatibilityAge = time.Second

// incompatibleWeight is the weight from which a worker counts as incompatible with
// an aggressor: one task of it takes a fifth of the victim's headroom.
const incompatibleWeight = 0.4

// tolerance returns the share, from 0 to 1, of full use by an aggressor of a weight that a victim tolerates.
func tolerance(weight float64) float64 { return 1 - min(weight/incompatibleWeight, 1) }
