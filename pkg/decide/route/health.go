package route

import "time"

// The rules for ejecting an agent that fails or is slow, and for trying it again.
const (
	// ejectFailing is the recent share of failures that ejects.
	ejectFailing = 0.5
	// ejectSlower is how many times slower than its kind an agent is ejected.
	ejectSlower = 4
	// ejectMargin is what it must be slower at least.
	ejectMargin = 5 * time.Millisecond
	// ejectSamples is how many answers a judgement of latency needs.
	ejectSamples = 8
	ejectMin     = time.Second
	ejectMax     = 30 * time.Second

	failingStep = 0.2
	// failingFade is how long a failure counts, less and less.
	failingFade = 5 * time.Second
	latencyStep = 0.1
	kindStep    = 0.02
	travelStep  = 0.1

	// serviceUnknown stands for the time to an answer before any was measured.
	serviceUnknown = 5 * time.Millisecond
)

// health is what the answers of one peer say of it.
type health struct {
	latency time.Duration
	samples int
	failing float64
	at      time.Time // of failing
	// trial lets an ejected peer have one request at a time.
	trial     bool
	ejections int
}

func (h *health) answered(latency time.Duration) {
	if h.samples == 0 {
		h.latency = latency
	}
	h.latency = blend(h.latency, latency, latencyStep)
	h.samples++
	h.failing -= h.failing * failingStep
}

// fading returns the share of failures as it counts at now.
func (h *health) fading(now time.Time) float64 {
	if h.failing == 0 {
		return 0
	}
	return h.failing * max(0, 1-float64(now.Sub(h.at))/float64(failingFade))
}

func (h *health) failed(now time.Time) {
	h.failing = h.fading(now)
	h.at = now
	h.failing += (1 - h.failing) * failingStep
}

// slow reports whether the peer is an outlier of its kind.
func (h *health) slow(kind time.Duration) bool {
	if h.samples < ejectSamples {
		return false
	}
	return h.latency > ejectSlower*kind && h.latency > kind+ejectMargin
}

// eject starts a trial after a pause that doubles each time.
func (h *health) eject() time.Duration {
	d := ejectMin << min(h.ejections, 5)
	h.ejections++
	h.samples = 0
	h.failing = 0
	h.trial = true
	return min(d, ejectMax)
}

// pass ends a trial.
func (h *health) pass() {
	h.trial = false
}

// calm forgets earlier ejections once a run of answers was good.
func (h *health) calm() {
	if h.samples >= 4*ejectSamples && h.failing < ejectFailing/2 {
		h.ejections = 0
	}
}

func blend(old, new time.Duration, step float64) time.Duration {
	return old + time.Duration(step*float64(new-old))
}
