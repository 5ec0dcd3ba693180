package flood

import (
	"slices"
	"time"

	"github.com/sesamestream/sesamestream/pkg/fleet"
	"github.com/sesamestream/sesamestream/pkg/table"
)

// A Result is what became of one kind.
type Result struct {
	Kind    fleet.Kind
	Offered int
	// InTime and Late count answers before and after the deadline.
	InTime int
	Late   int
	// Refused counts requests that never ran.
	Refused int
	// Unfinished counts requests that waited or ran at the end.
	Unfinished int

	offeredWork float64
	inTimeWork  float64
	latencies   []time.Duration
	entitled    float64
}

// offer counts one arrival with its processor time in seconds.
func (r *Result) offer(work float64) {
	r.Offered++
	r.offeredWork += work
}

// answer counts one answer.
func (r *Result) answer(latency, deadline time.Duration, work float64) {
	r.latencies = append(r.latencies, latency)
	if latency > deadline {
		r.Late++
		return
	}
	r.InTime++
	r.inTimeWork += work
}

// finish closes the results.
func (r *Simulation) finish() {
	for _, j := range r.jobs {
		if j.counted {
			r.results[j.kind].Unfinished++
		}
	}
	for i := range r.results {
		v := &r.results[i]
		slices.Sort(v.latencies)
		v.entitled = r.entitled(r.Workloads[i].Row.Floor)
	}
}

// entitled returns the processor time in seconds that a floor stands for.
func (r *Simulation) entitled(floor table.Share) float64 {
	return float64(floor) * float64(r.Processors) * r.Measurement.Seconds()
}

// FloorAttainment returns the work answered in time over what was due: the floor, or all
// that was offered where that is less.
func (r *Result) FloorAttainment() float64 {
	due := min(r.entitled, r.offeredWork)
	if due == 0 {
		return 1
	}
	return r.inTimeWork / due
}

// InTimeWork returns the processor time in seconds that was answered in time.
func (r *Result) InTimeWork() float64 { return r.inTimeWork }

// InTimeRatio returns the part of the offered requests that was answered in time.
func (r *Result) InTimeRatio() float64 {
	if r.Offered == 0 {
		return 1
	}
	return float64(r.InTime) / float64(r.Offered)
}

// Quantile returns the latency that the part p of the answers did not exceed.
func (r *Result) Quantile(p float64) time.Duration {
	if len(r.latencies) == 0 {
		return 0
	}
	i := int(p * float64(len(r.latencies)))
	return r.latencies[min(i, len(r.latencies)-1)]
}
