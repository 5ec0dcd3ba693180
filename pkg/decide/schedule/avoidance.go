package schedule

import "time"

// avoidance keeps a task for a while from the machine where it failed, was refused as
// unhealthy or was too slow, so that it runs elsewhere if it can. It ends by itself, as
// that machine may be the only one with room for the task.
type avoidance struct {
	machine string
	until   time.Time
	// inRow counts the times since the task was last at work.
	inRow int
}

const (
	// minAvoidance is the duration of the first avoidance; the next one in a row doubles it, up to maxAvoidance.
	minAvoidance = minQuarantine
	// maxAvoidance leaves a long-running task enough of the time within which it has to run again.
	maxAvoidance = 4 * time.Second
	// repeatedFailureDelay is the pause of a long-running task between starts while it fails
	// wherever it runs. The avoidance of one machine doesn't bound its starts.
	repeatedFailureDelay = time.Second
)

// start begins to avoid a machine.
func (a *avoidance) start(now time.Time, machine string) {
	d := maxAvoidance
	if a.inRow == 0 {
		d = minAvoidance
	}
	*a = avoidance{machine: machine, until: now.Add(d), inRow: a.inRow + 1}
}

// active reports whether a machine is avoided.
func (a *avoidance) active(now time.Time) bool { return now.Before(a.until) }

// covers reports whether the given machine is avoided.
func (a *avoidance) covers(now time.Time, machine string) bool {
	return a.active(now) && a.machine == machine
}

// continueAfterStop lets an avoidance that began with the order to stop a run last for
// minAvoidance after its end, as a slow machine takes long to carry the order out.
func (a *avoidance) continueAfterStop(now time.Time, machine string, runStartedAt time.Time) {
	if until := now.Add(minAvoidance); a.machine == machine && a.until.After(runStartedAt) && until.After(a.until) {
		a.until = until
	}
}

// retryDelay returns how long a long-running task that has just failed waits for its next start.
func (a *avoidance) retryDelay() time.Duration {
	if a.inRow > 1 {
		return repeatedFailureDelay
	}
	return 0
}
