package route

import "time"

// The limits and smoothing factors for ejecting an agent that fails or is slow.
const (
	// ejectFailureRate is the recent failure rate above which an endpoint is ejected.
	ejectFailureRate = 0.5
	// ejectLatencyFactor is how many times the average latency of the kind an
	// endpoint must exceed to be ejected.
	ejectLatencyFactor = 4
	// ejectLatencyMargin is the least excess over that average for an ejection.
	ejectLatencyMargin = 5 * time.Millisecond
	// ejectMinSamples is how many answers are needed to judge the latency.
	ejectMinSamples = 8
	minEjection     = time.Second
	maxEjection     = 30 * time.Second

	failureRateSmoothing = 0.2
	// failureRateDecayTime is the time in which the failure rate decays linearly
	// to zero after the last failure.
	failureRateDecayTime = 5 * time.Second
	latencySmoothing     = 0.1
	serviceTimeSmoothing = 0.02
	oneWayDelaySmoothing = 0.1

	// defaultServiceTime is assumed until an answer has been measured.
	defaultServiceTime = 5 * time.Millisecond
)

// health tracks the latency, failures and ejections of one endpoint.
type health struct {
	latency     time.Duration
	samples     int
	failureRate float64
	lastFailure time.Time // when failureRate was last raised
	// probation limits an endpoint to one request at a time after an ejection.
	probation bool
	ejections int
}

func (h *health) recordAnswer(latency time.Duration) {
	if h.samples == 0 {
		h.latency = latency
	}
	h.latency = movingAverage(h.latency, latency, latencySmoothing)
	h.samples++
	h.failureRate -= h.failureRate * failureRateSmoothing
}

// decayedFailureRate returns the failure rate after its decay up to now.
func (h *health) decayedFailureRate(now time.Time) float64 {
	if h.failureRate == 0 {
		return 0
	}
	return h.failureRate * max(0, 1-float64(now.Sub(h.lastFailure))/float64(failureRateDecayTime))
}

func (h *health) recordFailure(now time.Time) {
	h.failureRate = h.decayedFailureRate(now)
	h.lastFailure = now
	h.failureRate += (1 - h.failureRate) * failureRateSmoothing
}

// isOutlier reports whether the latency is far above the average service time of the kind.
func (h *health) isOutlier(kindServiceTime time.Duration) bool {
	if h.samples < ejectMinSamples {
		return false
	}
	return h.latency > ejectLatencyFactor*kindServiceTime && h.latency > kindServiceTime+ejectLatencyMargin
}

// startProbation puts the endpoint on probation and returns the backoff before it,
// which doubles with each ejection up to maxEjection.
func (h *health) startProbation() time.Duration {
	d := minEjection << min(h.ejections, 5)
	h.ejections++
	h.samples = 0
	h.failureRate = 0
	h.probation = true
	return min(d, maxEjection)
}

func (h *health) endProbation() {
	h.probation = false
}

// resetEjections resets the backoff to its minimum after enough answers with few failures.
func (h *health) resetEjections() {
	if h.samples >= 4*ejectMinSamples && h.failureRate < ejectFailureRate/2 {
		h.ejections = 0
	}
}

// movingAverage returns the exponential moving average of old and new, with weight for new.
func movingAverage(old, new time.Duration, weight float64) time.Duration {
	return old + time.Duration(weight*float64(new-old))
}
