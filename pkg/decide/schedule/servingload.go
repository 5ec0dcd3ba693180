package schedule

import (
	"maps"
	"slices"
	"time"

	"github.com/sesamestream/sesamestream/pkg/decide/interfere"
	"github.com/sesamestream/sesamestream/pkg/fleet"
)

// The load of latency-critical tasks rises and falls within seconds, and all tasks
// of a step share it. It shows in their tail latencies once the effect of the
// best-effort tasks beside them is subtracted. Best-effort tasks are placed by the
// load that is expected while they run, and get the processors that it leaves.

const (
	// loadForecast is how far ahead the load counts: a start takes that long to show
	// in the tail latencies.
	loadForecast = 500 * time.Millisecond
	// defaultLoad is assumed of a latency-critical task without recent tail latencies: the middle of its swing.
	defaultLoad = 0.5
	// maxLoad bounds the expected load of a latency-critical task.
	maxLoad = 0.95
)

// observeLoad updates the load of t's step from t's tail latency on w.
func (s *Scheduler) observeLoad(now time.Time, w *worker, t *task) {
	image := fleet.Kind(t.step.Image)
	occupancy := s.interference.Occupancy(image, t.tailLatency.latency)
	if occupancy >= interfere.SaturatedOccupancy {
		return
	}
	// The order of the sum is fixed, so that the same inputs give the same result.
	for _, k := range slices.Sorted(maps.Keys(w.bestEffortShares)) {
		occupancy -= s.interference.Weight(image, k) * w.bestEffortShares[k]
	}
	t.step.load.add(now, max(occupancy, 0))
}

// expectedLoad returns the occupancy of t that its own load is expected to cause soon.
func (t *task) expectedLoad(now time.Time) float64 {
	if load, ok := t.knownLoad(now); ok {
		return load
	}
	return defaultLoad
}

// knownLoad returns the load of t that is expected soon, and whether there are recent samples of it.
func (t *task) knownLoad(now time.Time) (float64, bool) {
	load, ok := t.step.load.forecast(now, loadForecast)
	return min(max(load, 0), maxLoad), ok
}

// expectedMilliCPU returns the processor time that a best-effort task is expected
// to use, in thousandths of a core: what it used lately, or else its request.
func (t *task) expectedMilliCPU(now time.Time) int {
	if t.confirmed && now.Sub(t.startedAt) > loadSettleTime {
		return t.usedMilliCPU
	}
	return t.step.Need.MilliCPU
}
