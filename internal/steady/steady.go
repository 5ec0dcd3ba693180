// Package steady provides a monotonic clock that also counts while the machine is suspended,
// and a sleep that a context can end. Go's own monotonic clock stops during suspension, so a
// lease timed by it would be held past its expiry.
package steady

import (
	"time"

	"golang.org/x/sys/unix"
)

var processStart = time.Now()

// Now returns the time since an arbitrary fixed point in the past.
func Now() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// Linux has had CLOCK_BOOTTIME since 2.6.39; without it the time of a suspension
		// isn't counted.
		return time.Since(processStart)
	}
	return time.Duration(t.Nano())
}
