package schedule

import (
	"time"

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

// expectedLoad returns the occupancy of t that its own load is expected to cause soon.
func (s *Scheduler) expectedLoad(now time.Time, t *task) float64 {
	if load, ok := s.knownLoad(now, t); ok {
		return load
	}
	return defaultLoad
}

// knownLoad returns the load of t that is expected soon, and whether it was observed lately.
func (s *Scheduler) knownLoad(now time.Time, t *task) (float64, bool) {
	load, ok := s.interference.Load(now, fleet.Kind(t.step.Image), t.step, loadForecast)
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
