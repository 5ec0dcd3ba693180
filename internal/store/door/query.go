package door

import (
	"time"

	"github.com/rcrowley/go-metrics"
)

// Contact returns when the last call was asked that the store answered, zero for never.
func (d *Door) Contact() time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.contact
}

// Resting reports whether the breaker refuses all calls at now.
func (d *Door) Resting(now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return now.Before(d.reopen)
}

// Calls returns how many calls of a sort reached the store.
func (d *Door) Calls(s Sort) int64 {
	d.once.Do(d.open)
	return metrics.GetOrRegisterCounter("store.calls."+string(s), d.Metrics).Count()
}
