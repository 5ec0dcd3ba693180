package route

import "time"

// A View is what a policy sees of one sampled agent.
type View struct {
	// InFlight, Queued, Limit and QueueDelay are as last reported.
	InFlight, Queued, Limit int
	QueueDelay              time.Duration
	// OwnInFlight counts the requests in flight from here.
	OwnInFlight int
	// OthersInFlight estimates the requests that other entries have there, as a mean of the late reports.
	OthersInFlight float64
	// ServiceTime is the kind's measured time to an answer without travel.
	ServiceTime time.Duration
	// OneWayDelay is the delay one way.
	OneWayDelay time.Duration
	// FailureRate is the recent share of failures, 0 to 1.
	FailureRate float64
}

// A Policy scores agents.
type Policy interface {
	// Score returns the expected time to an answer in nanoseconds; less is better.
	Score(v View) float64
}

// Balanced estimates the time to an answer from what this entry has in flight
// at the agent and what the others are estimated to have. A slow agent keeps its
// requests longer and so counts as fuller; its own latency is left out, since
// that is late and noisy and would bring the swings of late reports back.
type Balanced struct{}

// failingWeight is how many times an agent that fails always counts as slower.
const failingWeight = 8

// Score implements Policy.
func (Balanced) Score(v View) float64 {
	used := load(v) / float64(max(v.Limit, 1))
	t := float64(v.ServiceTime) * (1 + used)
	t *= 1 + failingWeight*v.FailureRate
	return t + 2*float64(v.OneWayDelay)
}

// load estimates the agent's requests, this one included.
func load(v View) float64 {
	return float64(v.OwnInFlight) + v.OthersInFlight + 1
}

// crowded reports whether one more request would wait at the agent.
func crowded(v View) bool {
	return load(v) > float64(v.Limit)
}

// A LeastReportedLoad policy goes by the reported load alone. It is a baseline: all
// entries send to the same agent until the next report.
type LeastReportedLoad struct{}

// Score implements Policy.
func (LeastReportedLoad) Score(v View) float64 {
	return float64(v.InFlight+v.Queued) / float64(max(v.Limit, 1))
}
