// Package steady reads a clock that no step of the wall clock moves and that
// goes on while the machine is suspended. Go's own monotonic clock stands
// still then, so a lease counted by it would outlive its end. Pauses that a
// context ends are here too.
package steady

import (
	"time"

	"golang.org/x/sys/unix"
)

var begin = time.Now()

// Now returns the time since some point in the past.
func Now() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// Every kernel since 2.6.39 has the clock; without it no suspension is seen.
		return time.Since(begin)
	}
	return time.Duration(t.Nano())
}
