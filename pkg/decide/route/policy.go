package route

import "time"

// A View is the input of a Policy for one sampled agent.
type View struct {
	// InFlight, Queued, Limit and QueueDelay are the values of the last report.
	InFlight, Queued, Limit int
	QueueDelay              time.Duration
	// OwnInFlight counts the requests of this entry in flight at the agent.
	OwnInFlight int
	// OthersInFlight estimates the requests of other entries at the agent, as a
	// moving average of the delayed reports.
	OthersInFlight float64
	// ServiceTime is the average time to an answer of the kind, without network delay.
	ServiceTime time.Duration
	// OneWayDelay is the average network delay in one direction.
	OneWayDelay time.Duration
	// FailureRate is the recent share of failures, from 0 to 1.
	FailureRate float64
}

// A Policy ranks agents.
type Policy interface {
	// Score returns the expected time to an answer in nanoseconds; lower is better.
	Score(v View) float64
}

// Balanced estimates the time to an answer from the requests of this entry in
// flight at the agent and the estimated requests of other entries. A slow agent
// holds its requests longer, so its load is higher. The latency of the single agent
// isn't used: it is delayed and noisy, and would cause the same oscillations as
// delayed load reports.
type Balanced struct{}

// failurePenalty weights the failure rate: an agent that always fails is scored as
// 1+failurePenalty times slower.
const failurePenalty = 8

// Score implements Policy.
func (Balanced) Score(v View) float64 {
	utilisation := estimatedLoad(v) / float64(max(v.Limit, 1))
	t := float64(v.ServiceTime) * (1 + utilisation)
	t *= 1 + failurePenalty*v.FailureRate
	return t + 2*float64(v.OneWayDelay)
}

// estimatedLoad estimates the number of requests at the agent, including the new one.
func estimatedLoad(v View) float64 {
	return float64(v.OwnInFlight) + v.OthersInFlight + 1
}

// wouldQueue reports whether the new request would exceed the limit and wait at the agent.
func wouldQueue(v View) bool {
	return estimatedLoad(v) > float64(v.Limit)
}

// LeastReportedLoad uses only the reported load. It is a baseline for comparison:
// all entries send to the same agent until the next report.
type LeastReportedLoad struct{}

// Score implements Policy.
func (LeastReportedLoad) Score(v View) float64 {
	return float64(v.InFlight+v.Queued) / float64(max(v.Limit, 1))
}
