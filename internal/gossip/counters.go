package gossip

import "github.com/rcrowley/go-metrics"

// Counters count bytes sent and received, and packets dropped.
type counters struct {
	sent, received, dropped metrics.Counter
}

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
