package burn

import (
	"github.com/sesamestream/sesamestream/pkg/table"
)

// leastBudget is the budget that a target of 1 is held to: no burn rate is
// infinite, and one miss in a million spends it.
const leastBudget = 1e-6

// A Signal is one way to miss the objective.
type Signal string

// The signals.
const (
	// LatencySignal is answers later than the objective, of all answers.
	LatencySignal Signal = "latency"
	// RefusalsSignal is callers told that their request was not run, of all that were
	// told an outcome, whether or not their kind was owed more.
	RefusalsSignal Signal = "refusals"
	// UnknownSignal is callers told that nobody knows, of all that were told an outcome.
	UnknownSignal Signal = "unknown"
	// FloorRefusalsSignal is requests that an agent refused while its use of
	// their kind was under the floor, of all that came while it was.
	FloorRefusalsSignal Signal = "floorRefusals"
	// FloorsSignal is FloorRefusalsSignal with the requests that queued for
	// longer than the objective.
	FloorsSignal Signal = "floors"
)

// Signals returns all signals in the order of reports.
func Signals() []Signal {
	return []Signal{LatencySignal, RefusalsSignal, UnknownSignal, FloorRefusalsSignal, FloorsSignal}
}

// Misses returns how many of how many events missed the objective by the signal.
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

// Budget returns the share of a kind's work that may miss the objective, and
// false where the row sets no target.
func Budget(target table.Share) (float64, bool) {
	if target <= 0 {
		return 0, false
	}
	return max(leastBudget, 1-float64(target)), true
}

// Rate returns the burn rate, the share of misses over the budget, and false
// where there was nothing to miss.
func Rate(bad, total uint64, budget float64) (float64, bool) {
	if total == 0 {
		return 0, false
	}
	return float64(bad) / float64(total) / budget, true
}

// LocalFloor returns how many requests of the row's kind an agent owes to have
// running, where limit of them may run at most: the part of limit that the
// floor is of the ceiling, rounded down, and at least one where there is a
// floor. It leaves out the larger share that the kind has on hosts which make
// up for those without its targets.
func LocalFloor(r table.Row, limit int) int {
	if r.Floor <= 0 || r.Ceiling <= 0 || limit <= 0 {
		return 0
	}
	return max(1, int(float64(limit)*min(1, float64(r.Floor/r.Ceiling))))
}
