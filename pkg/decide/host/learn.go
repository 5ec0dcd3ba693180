package host

import (
	"time"

	"github.com/sesamestream/sesamestream/pkg/fleet"
)

// The parameters of learned needs.
const (
	// riseShare and fallShare are how far an estimate moves to one report above
	// or below it. Their ratio makes it an expectile near the 98th percentile.
	riseShare = 0.5
	fallShare = 0.01
	// memoryFallShare is that of memory, which is not shared like time is.
	memoryFallShare = 0.004
	// processorMargin and memoryMargin are reserved over the estimate.
	processorMargin = 1.1
	memoryMargin    = 1.2
	// riseOver and fallUnder are how far an estimate has to leave what is in
	// use before that follows.
	riseOver  = 1.05
	fallUnder = 0.8
	// fallEvery is the time between two reductions of one kind.
	fallEvery = 60 * time.Second
)

// A NeedEstimator knows what the attempts of each kind use. Its zero value knows nothing.
type NeedEstimator struct {
	kinds map[fleet.Kind]*usage
}

type usage struct {
	processors estimate
	memory     estimate
}

// An estimate follows reports; inUse follows the estimate with hysteresis.
type estimate struct {
	value  float64
	inUse  float64
	fallen time.Time
}

func newEstimate(now time.Time, declared int64) estimate {
	return estimate{value: float64(declared), inUse: float64(declared), fallen: now}
}

// take moves the estimate to a report, quickly up and slowly down.
func (e *estimate) take(now time.Time, used int64, fall, margin float64) {
	u := float64(used) * margin
	share := fall
	if u > e.value {
		share = riseShare
	}
	e.value += share * (u - e.value)
	switch {
	case e.value > e.inUse*riseOver:
		e.inUse = e.value
	case e.value < e.inUse*fallUnder && now.Sub(e.fallen) >= fallEvery:
		e.inUse = (e.value + e.inUse) / 2
		e.fallen = now
	}
}

// Observe takes what one attempt used lately; the first of its kind starts from
// what was declared.
func (l *NeedEstimator) Observe(now time.Time, k fleet.Kind, declared, used fleet.Resources) {
	if l.kinds == nil {
		l.kinds = make(map[fleet.Kind]*usage)
	}
	u := l.kinds[k]
	if u == nil {
		u = &usage{newEstimate(now, int64(declared.Processors)), newEstimate(now, int64(declared.Memory))}
		l.kinds[k] = u
	}
	u.processors.take(now, int64(used.Processors), fallShare, processorMargin)
	u.memory.take(now, int64(used.Memory), memoryFallShare, memoryMargin)
}

// Need returns what to reserve for an attempt of k on a host that has total:
// processors and memory as learned, the rest as declared.
func (l *NeedEstimator) Need(k fleet.Kind, declared, total fleet.Resources) fleet.Resources {
	u := l.kinds[k]
	if u == nil {
		return declared
	}
	declared.Processors = min(fleet.MilliProcessors(u.processors.need(int64(declared.Processors), processorMargin)), total.Processors)
	declared.Memory = min(fleet.Bytes(u.memory.need(int64(declared.Memory), memoryMargin)), total.Memory)
	return declared
}

// need returns what is in use, but no more than what was declared where the
// margin alone is above it.
func (e *estimate) need(declared int64, margin float64) float64 {
	d := float64(declared)
	if e.inUse > d && e.inUse <= d*margin {
		return d
	}
	return e.inUse
}
