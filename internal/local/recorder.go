// Package local runs a whole deployment in one process on loopback addresses,
// for trials and for the demo.
package local

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/sesamestream/sesamestream/pkg/fleet"
)

// The range of the latency histograms in microseconds, and their significant digits.
const (
	minLatencyMicros = 1
	maxLatencyMicros = 60_000_000
	latencyDigits    = 3
)

// RequestStats counts the requests of one kind by their outcome, as the callers saw them.
type RequestStats struct {
	Offered  int
	Answered int
	NotRun   int
	Unknown  int
	// Broken counts requests without a complete answer.
	Broken int
	// Mismatched counts answers that belong to another request.
	Mismatched int

	latency *hdrhistogram.Histogram
}

// LatencyQuantile returns the latency that the share q of the answers does not exceed.
func (t *RequestStats) LatencyQuantile(q float64) time.Duration {
	return time.Duration(t.latency.ValueAtQuantile(q*100)) * time.Microsecond
}

// CallerRecorder records the outcomes of requests as the callers saw them, by kind.
type CallerRecorder struct {
	mu          sync.Mutex
	byKind      map[fleet.Kind]*RequestStats
	floodByKind map[fleet.Kind]*RequestStats
	// outcomes holds the outcome of each attempt, by request ID.
	outcomes map[string][]fleet.Outcome
}

// Record adds the result of one request.
func (c *CallerRecorder) Record(k fleet.Kind, id string, e RequestResult) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.outcomes == nil {
		c.byKind = make(map[fleet.Kind]*RequestStats)
		c.floodByKind = make(map[fleet.Kind]*RequestStats)
		c.outcomes = make(map[string][]fleet.Outcome)
	}
	statsOf(c.byKind, k).add(e)
	if e.DuringFlood {
		statsOf(c.floodByKind, k).add(e)
	}
	if e.Broken {
		e.Outcome = fleet.Unknown
	}
	c.outcomes[id] = append(c.outcomes[id], e.Outcome)
}

// RequestResult is the result of one request as its caller saw it.
type RequestResult struct {
	Outcome fleet.Outcome
	Latency time.Duration
	// Broken reports that no complete answer arrived.
	Broken bool
	// Mismatched reports that the answer belongs to another request.
	Mismatched bool
	// DuringFlood reports that the request was sent during the flood.
	DuringFlood bool
}

func (t *RequestStats) add(e RequestResult) {
	t.Offered++
	switch {
	case e.Broken:
		t.Broken++
	case e.Mismatched:
		t.Mismatched++
	case e.Outcome == fleet.Answered:
		t.Answered++
		_ = t.latency.RecordValue(max(e.Latency.Microseconds(), minLatencyMicros))
	case e.Outcome == fleet.NotRun:
		t.NotRun++
	default:
		t.Unknown++
	}
}

func statsOf(m map[fleet.Kind]*RequestStats, k fleet.Kind) *RequestStats {
	t := m[k]
	if t == nil {
		t = &RequestStats{latency: hdrhistogram.New(minLatencyMicros, maxLatencyMicros, latencyDigits)}
		m[k] = t
	}
	return t
}

// Stats returns a copy of the counts of one kind.
func (c *CallerRecorder) Stats(k fleet.Kind) RequestStats {
	return c.copyStats(func() map[fleet.Kind]*RequestStats { return c.byKind }, k)
}

// FloodStats returns a copy of the counts of one kind during the flood.
func (c *CallerRecorder) FloodStats(k fleet.Kind) RequestStats {
	return c.copyStats(func() map[fleet.Kind]*RequestStats { return c.floodByKind }, k)
}

func (c *CallerRecorder) copyStats(selectStats func() map[fleet.Kind]*RequestStats, k fleet.Kind) RequestStats {
	c.mu.Lock()
	defer c.mu.Unlock()
	m := selectStats()
	if m == nil {
		return RequestStats{latency: hdrhistogram.New(minLatencyMicros, maxLatencyMicros, latencyDigits)}
	}
	t := *statsOf(m, k)
	t.latency = hdrhistogram.Import(t.latency.Export())
	return t
}

// FalseNotRuns returns the IDs of requests that ran according to runs, although
// every attempt under the ID was answered "not run".
func (c *CallerRecorder) FalseNotRuns(runs func(id string) int) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []string
	for id, outcomes := range c.outcomes {
		if allEqual(outcomes, fleet.NotRun) && runs(id) > 0 {
			out = append(out, id)
		}
	}
	return out
}

func allEqual(outcomes []fleet.Outcome, want fleet.Outcome) bool {
	for _, o := range outcomes {
		if o != want {
			return false
		}
	}
	return true
}
