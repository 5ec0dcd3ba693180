package host

import (
	"time"

	"github.com/sesamestream/sesamestream/pkg/fleet"
)

// The parameters of estimated needs.
const (
	// riseWeight and fallWeight are the shares of the distance by which an estimate
	// moves towards a report above or below it. Their ratio makes the estimate an
	// expectile near the 98th percentile.
	riseWeight = 0.5
	fallWeight = 0.01
	// memoryFallWeight is fallWeight for memory. It is lower because memory, unlike
	// processor time, cannot be shared.
	memoryFallWeight = 0.004
	// processorMargin and memoryMargin are the factors by which the estimates exceed
	// the reported usage.
	processorMargin = 1.1
	memoryMargin    = 1.2
	// riseThreshold and fallThreshold are the ratios of the estimate to the applied
	// value beyond which the applied value changes.
	riseThreshold = 1.05
	fallThreshold = 0.8
	// reductionInterval is the minimum time between two reductions of an applied value.
	reductionInterval = 60 * time.Second
)

// NeedEstimator estimates the resource needs of each kind from reported usage.
// Its zero value has no estimates.
type NeedEstimator struct {
	kinds map[fleet.Kind]*kindEstimates
}

// kindEstimates holds the estimates of one kind.
type kindEstimates struct {
	processors estimate
	memory     estimate
}

// estimate is a running estimate of one resource. Reservations use applied, which
// follows value with hysteresis.
type estimate struct {
	value     float64
	applied   float64
	reducedAt time.Time
}

func newEstimate(now time.Time, declared int64) estimate {
	return estimate{value: float64(declared), applied: float64(declared), reducedAt: now}
}

// update moves the estimate towards a report, quickly upwards and slowly downwards.
func (e *estimate) update(now time.Time, used int64, fall, margin float64) {
	u := float64(used) * margin
	weight := fall
	if u > e.value {
		weight = riseWeight
	}
	e.value += weight * (u - e.value)
	switch {
	case e.value > e.applied*riseThreshold:
		e.applied = e.value
	case e.value < e.applied*fallThreshold && now.Sub(e.reducedAt) >= reductionInterval:
		e.applied = (e.value + e.applied) / 2
		e.reducedAt = now
	}
}

// Observe updates the estimates of k with the recent usage of one attempt. The
// estimates of a new kind start at declared.
func (l *NeedEstimator) Observe(now time.Time, k fleet.Kind, declared, used fleet.Resources) {
	if l.kinds == nil {
		l.kinds = make(map[fleet.Kind]*kindEstimates)
	}
	u := l.kinds[k]
	if u == nil {
		u = &kindEstimates{newEstimate(now, int64(declared.Processors)), newEstimate(now, int64(declared.Memory))}
		l.kinds[k] = u
	}
	u.processors.update(now, int64(used.Processors), fallWeight, processorMargin)
	u.memory.update(now, int64(used.Memory), memoryFallWeight, memoryMargin)
}

// Need returns the resources to reserve for an attempt of k on a host with the
// capacity total: estimated processors and memory, and the rest as declared.
func (l *NeedEstimator) Need(k fleet.Kind, declared, total fleet.Resources) fleet.Resources {
	u := l.kinds[k]
	if u == nil {
		return declared
	}
	declared.Processors = min(fleet.MilliProcessors(u.processors.reservation(int64(declared.Processors), processorMargin)), total.Processors)
	declared.Memory = min(fleet.Bytes(u.memory.reservation(int64(declared.Memory), memoryMargin)), total.Memory)
	return declared
}

// reservation returns the applied value, or declared where applied exceeds it by
// no more than the margin.
func (e *estimate) reservation(declared int64, margin float64) float64 {
	d := float64(declared)
	if e.applied > d && e.applied <= d*margin {
		return d
	}
	return e.applied
}
