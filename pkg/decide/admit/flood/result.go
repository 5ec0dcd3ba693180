package flood

import (
	"slices"
	"time"

	"github.com/sesamestream/sesamestream/pkg/fleet"
	"github.com/sesamestream/sesamestream/pkg/table"
)

// A Result holds the counts and latencies of one workload.
type Result struct {
	Kind    fleet.Kind
	Offered int
	// InTime and Late count the requests answered before and after their deadline.
	InTime int
	Late   int
	// Refused counts the refused requests, which never ran.
	Refused int
	// Unfinished counts the requests that were queued or running at the end.
	Unfinished int

	offeredWork float64
	inTimeWork  float64
	latencies   []time.Duration
	floorWork   float64
}

// countArrival counts an arrival that needs the given processor time in seconds.
func (r *Result) countArrival(processorTime float64) {
	r.Offered++
	r.offeredWork += processorTime
}

// countAnswer counts an answered request that used the given processor time in seconds.
func (r *Result) countAnswer(latency, deadline time.Duration, processorTime float64) {
	r.latencies = append(r.latencies, latency)
	if latency > deadline {
		r.Late++
		return
	}
	r.InTime++
	r.inTimeWork += processorTime
}

// finish counts the unfinished requests and completes the results.
func (r *Simulation) finish() {
	for _, j := range r.requests {
		if j.measured {
			r.results[j.workload].Unfinished++
		}
	}
	for i := range r.results {
		v := &r.results[i]
		slices.Sort(v.latencies)
		v.floorWork = r.floorWork(r.Workloads[i].Row.Floor)
	}
}

// floorWork returns the processor time in seconds that floor guarantees during the measurement.
func (r *Simulation) floorWork(floor table.Share) float64 {
	return float64(floor) * float64(r.Processors) * r.Measurement.Seconds()
}

// FloorAttainment returns the ratio of the processor time of requests answered in time to the
// processor time that the kind is entitled to: its floor, or the offered work if that is less.
func (r *Result) FloorAttainment() float64 {
	entitled := min(r.floorWork, r.offeredWork)
	if entitled == 0 {
		return 1
	}
	return r.inTimeWork / entitled
}

// InTimeWork returns the processor time in seconds of the requests answered in time.
func (r *Result) InTimeWork() float64 { return r.inTimeWork }

// InTimeRatio returns the fraction of the offered requests that were answered in time.
func (r *Result) InTimeRatio() float64 {
	if r.Offered == 0 {
		return 1
	}
	return float64(r.InTime) / float64(r.Offered)
}

// Quantile returns the p-quantile of the latencies of answered requests.
func (r *Result) Quantile(p float64) time.Duration {
	if len(r.latencies) == 0 {
		return 0
	}
	i := int(p * float64(len(r.latencies)))
	return r.latencies[min(i, len(r.latencies)-1)]
}
