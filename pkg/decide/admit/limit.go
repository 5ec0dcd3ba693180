package admit

import "math"

const (
	// minThrottledLimit is the limit below which latency does not reduce the limit of a host.
	minThrottledLimit = 4
	// initialLimitDivisor sets the initial limit to the host's connections divided by it.
	initialLimitDivisor = 8
	// minRampUpWindowSamples is the minimum number of samples in a window until the first slowdown.
	minRampUpWindowSamples = 64
	// minWindowSamples is the minimum number of samples in a window after the first slowdown.
	minWindowSamples = 128
	// maxToleratedSlowdown is the ratio of latency to unloaded latency up to which the limit is
	// not reduced.
	maxToleratedSlowdown = 1.25
	// rampUpFactor is the minimum factor by which a saturated window increases the limit until
	// the first slowdown.
	rampUpFactor = 1.25
	// minGradientFactor is the smallest factor by which Gradient scales the limit in one step.
	minGradientFactor = 0.5
	// aimdDecreaseFactor is the factor by which AIMD decreases the limit in one step.
	aimdDecreaseFactor = 0.9
)

// A WindowStats summarises the completed requests of one sample window.
type WindowStats struct {
	// Slowdown is the mean ratio of a request's latency to the unloaded latency of its kind.
	Slowdown float64
	// Saturated reports whether all permits were in use at some time in the window.
	Saturated bool
}

// A LimitAlgorithm adapts the limit after each sample window, which has at least as many
// samples as there are permits.
type LimitAlgorithm interface {
	// Next returns the new limit given the current limit and the statistics of the
	// window. The caller clamps the result to the allowed range.
	Next(limit float64, w WindowStats) float64
}

// Gradient scales the limit by the ratio of the tolerated to the measured slowdown and
// adds headroom for a short queue. It applies the gradient of TCP Vegas (Brakmo and
// Peterson, 1995) to a concurrency limit.
type Gradient struct{}

// Next returns the limit scaled by the gradient.
func (Gradient) Next(limit float64, w WindowStats) float64 {
	g := min(1, max(minGradientFactor, maxToleratedSlowdown/w.Slowdown))
	next := limit * g
	if w.Saturated {
		next += math.Sqrt(limit) / 2
	}
	return next
}

// AIMD increases the limit by one permit while the slowdown is tolerated and decreases it
// by a tenth otherwise: additive increase, multiplicative decrease (Chiu and Jain, 1989).
type AIMD struct{}

// Next returns the limit after one increase or decrease.
func (AIMD) Next(limit float64, w WindowStats) float64 {
	if w.Slowdown > maxToleratedSlowdown {
		return limit * aimdDecreaseFactor
	}
	if w.Saturated {
		return limit + 1
	}
	return limit
}

// Fixed keeps the limit at the number of connections of the host.
type Fixed struct{}

// Next returns a limit above the connections of any host, which the caller clamps.
func (Fixed) Next(float64, WindowStats) float64 { return math.MaxInt32 }

// A window accumulates the samples of one WindowStats.
type window struct {
	sum       float64
	count     int
	saturated bool
	// slowdownSeen reports whether any window so far was above maxToleratedSlowdown.
	slowdownSeen bool
}

// nextLimit ends the window and returns the new limit according to l. Until the first
// slowdown, a saturated window increases the limit at least by rampUpFactor, as in TCP slow
// start (Jacobson, 1988).
func (w *window) nextLimit(l LimitAlgorithm, limit float64) float64 {
	v := w.flush()
	if v.Slowdown > maxToleratedSlowdown {
		w.slowdownSeen = true
	}
	next := l.Next(limit, v)
	if v.Saturated && !w.slowdownSeen {
		next = max(next, limit*rampUpFactor)
	}
	return next
}

// add adds the slowdown of one completed request.
func (w *window) add(slowdown float64) {
	w.sum += slowdown
	w.count++
}

// full reports whether the window has enough samples to update limit.
func (w *window) full(limit int) bool {
	if !w.slowdownSeen {
		return w.count >= max(minRampUpWindowSamples, limit)
	}
	return w.count >= max(minWindowSamples, limit)
}

// flush returns the statistics of the window and starts a new one.
func (w *window) flush() WindowStats {
	v := WindowStats{Slowdown: w.sum / float64(w.count), Saturated: w.saturated}
	w.sum, w.count, w.saturated = 0, 0, false
	return v
}
