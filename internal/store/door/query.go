package door

import (
	"time"

	"github.com/rcrowley/go-metrics"
)

// LastContact returns when the last call was asked that the store answered, zero for never.
func (d *LimitedStore) LastContact() time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.contact
}

// BreakerOpen reports whether the breaker refuses all calls at now.
func (d *LimitedStore) BreakerOpen(now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return now.Before(d.reopen)
}

// CallCount returns how many calls of a sort reached the store.
func (d *LimitedStore) CallCount(s CallType) int64 {
	d.once.Do(d.open)
	return metrics.GetOrRegisterCounter("store.calls."+string(s), d.Metrics).Count()
}
