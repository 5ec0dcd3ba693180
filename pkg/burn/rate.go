package burn

import (
	"github.com/sesamestream/sesamestream/pkg/table"
)

// minBudget is the error budget for a target of 1, which one miss in a million
// spends. It keeps burn rates finite.
const minBudget = 1e-6

// Signal is one way in which requests miss their objective.
type Signal string

// The signals.
const (
	// LatencySignal is the share of answers later than the objective.
	LatencySignal Signal = "latency"
	// RefusalsSignal is the share of reported outcomes that are refusals, whether or
	// not the kind was under its floor.
	RefusalsSignal Signal = "refusals"
	// UnknownSignal is the share of reported outcomes that are unknown.
	UnknownSignal Signal = "unknown"
	// FloorRefusalsSignal is the share of refused requests among those that reached an
	// agent while it used less than the floor of their kind.
	FloorRefusalsSignal Signal = "floorRefusals"
	// FloorsSignal is FloorRefusalsSignal plus the requests that queued for longer
	// than the objective.
	FloorsSignal Signal = "floors"
)

// Signals returns all signals in the order in which reports list them.
func Signals() []Signal {
	return []Signal{LatencySignal, RefusalsSignal, UnknownSignal, FloorRefusalsSignal, FloorsSignal}
}

// Misses returns the number of events that missed the objective by signal s, and the
// number of events that the signal covers.
func (c *Counts) Misses(s Signal) (bad, total uint64) {
	switch s {
	case LatencySignal:
		return c.Late, c.Answered
	case RefusalsSignal:
		return c.NotRun, c.Outcomes()
	case UnknownSignal:
		return c.Unknown, c.Outcomes()
	case FloorRefusalsSignal:
		return c.FloorRefused, c.FloorAsked
	case FloorsSignal:
		return c.FloorRefused + c.FloorLate, c.FloorAsked
	default:
		return 0, 0
	}
}

// Budget returns the error budget for a target: the share of requests that may miss
// the objective. It returns false if there is no target.
func Budget(target table.Share) (float64, bool) {
	if target <= 0 {
		return 0, false
	}
	return max(minBudget, 1-float64(target)), true
}

// Rate returns the burn rate: the share of misses divided by the budget. It returns
// false if total is 0.
func Rate(bad, total uint64, budget float64) (float64, bool) {
	if total == 0 {
		return 0, false
	}
	return float64(bad) / float64(total) / budget, true
}

// LocalFloor returns the floor of the row's kind on one agent, where at most limit
// requests of the kind may run: limit times the ratio of floor to ceiling, rounded
// down, and at least one if the row has a floor. It ignores the larger share that
// the kind has on hosts which compensate for hosts without its targets.
func LocalFloor(r table.Row, limit int) int {
	if r.Floor <= 0 || r.Ceiling <= 0 || limit <= 0 {
		return 0
	}
	return max(1, int(float64(limit)*min(1, float64(r.Floor/r.Ceiling))))
}
