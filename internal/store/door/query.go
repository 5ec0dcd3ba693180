package door

import (
	"time"

	"github.com/rcrowley/go-metrics"
)

// LastContact returns the time at which the newest answered call was sent, or the zero time if the
// store has not answered yet.
func (d *LimitedStore) LastContact() time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.lastContact
}

// BreakerOpen reports whether the breaker rejects all calls at now.
func (d *LimitedStore) BreakerOpen(now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return now.Before(d.openUntil)
}

// CallCount returns the number of calls of a type that were sent to the store.
func (d *LimitedStore) CallCount(s CallType) int64 {
	d.once.Do(d.initialise)
	return metrics.GetOrRegisterCounter("store.calls."+string(s), d.Metrics).Count()
}
