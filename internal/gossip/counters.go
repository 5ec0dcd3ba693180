package gossip

import "github.com/rcrowley/go-metrics"

// counters count the bytes sent and received, and the packets dropped.
type counters struct {
	sent, received, dropped metrics.Counter
}

// newCounters returns the counters of r, or counters without effect if r is nil.
func newCounters(r metrics.Registry) counters {
	if r == nil {
		return counters{metrics.NilCounter{}, metrics.NilCounter{}, metrics.NilCounter{}}
	}
	return counters{
		sent:     metrics.GetOrRegisterCounter("gossip.sent", r),
		received: metrics.GetOrRegisterCounter("gossip.received", r),
		dropped:  metrics.GetOrRegisterCounter("gossip.dropped", r),
	}
}
