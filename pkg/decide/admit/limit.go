package admit

import "math"

const (
	// leastLimit is the limit below which a host is not throttled for latency.
	leastLimit = 4
	// firstPart is the divisor from the connections to the first limit.
	firstPart = 8
	// firstWindow is the least samples of a window before the first slowdown.
	firstWindow = 64
	// leastWindow is the least samples of a window after it.
	leastWindow = 128
	// tolerance is the slowdown against an unloaded host that is allowed.
	tolerance = 1.25
	// rampUp is the factor of one increase before the first slowdown.
	rampUp = 1.25
	// steepest is the least factor of one decrease by Gradient.
	steepest = 0.5
	// backoff is the factor of one decrease by AIMD.
	backoff = 0.9
)

// A WindowStats sums up the answers since the limit last moved.
type WindowStats struct {
	// Slowdown is the mean of latency over unloaded latency of the same kind.
	Slowdown float64
	// Saturated reports whether all permits were in use at some time.
	Saturated bool
}

// A LimitAlgorithm moves the limit after each window of at least as many answers as permits.
type LimitAlgorithm interface {
	// Next returns the limit that follows limit; the caller bounds it.
	Next(limit float64, w WindowStats) float64
}

// Gradient scales the limit by how far the slowdown is above the tolerance and
// adds room for a short queue, after the gradient of TCP Vegas (Brakmo and
// Peterson, 1995) applied to a limit of concurrency.
type Gradient struct{}

// Next returns the limit that follows limit.
func (Gradient) Next(limit float64, w WindowStats) float64 {
	g := min(1, max(steepest, tolerance/w.Slowdown))
	next := limit * g
	if w.Saturated {
		next += math.Sqrt(limit) / 2
	}
	return next
}

// AIMD adds one permit while the slowdown is tolerated and takes a tenth when
// it is not (Chiu and Jain, 1989).
type AIMD struct{}

// Next returns the limit that follows limit.
func (AIMD) Next(limit float64, w WindowStats) float64 {
	if w.Slowdown > tolerance {
		return limit * backoff
	}
	if w.Saturated {
		return limit + 1
	}
	return limit
}

// Fixed leaves the limit at the connections of the host.
type Fixed struct{}

// Next returns a limit above any host's connections.
func (Fixed) Next(float64, WindowStats) float64 { return math.MaxInt32 }

// A window collects a Window.
type window struct {
	sum       float64
	count     int
	saturated bool
	// slowed reports whether a window was above the tolerance.
	slowed bool
}

// next returns the limit that follows limit by l. Until the first slowdown the
// limit grows by a factor, as in the slow start of TCP (Jacobson, 1988).
func (w *window) next(l LimitAlgorithm, limit float64) float64 {
	v := w.take()
	if v.Slowdown > tolerance {
		w.slowed = true
	}
	next := l.Next(limit, v)
	if v.Saturated && !w.slowed {
		next = max(next, limit*rampUp)
	}
	return next
}

// add takes one answer.
func (w *window) add(slowdown float64) {
	w.sum += slowdown
	w.count++
}

// full reports whether the window has enough answers for limit.
func (w *window) full(limit int) bool {
	if !w.slowed {
		return w.count >= max(firstWindow, limit)
	}
	return w.count >= max(leastWindow, limit)
}

// take returns the Window and starts the next.
func (w *window) take() WindowStats {
	v := WindowStats{Slowdown: w.sum / float64(w.count), Saturated: w.saturated}
	w.sum, w.count, w.saturated = 0, 0, false
	return v
}
