// Package local runs a whole deployment in one process on loopback, for
// trials and for the demonstration.
package local

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/sesamestream/sesamestream/pkg/fleet"
)

// The range of recorded latencies, in microseconds.
const (
	lowest  = 1
	highest = 60_000_000
	digits  = 3
)

// A RequestStats is what the callers of one kind saw.
type RequestStats struct {
	Offered  int
	Answered int
	NotRun   int
	Unknown  int
	// Broken counts answers that were cut or never came.
	Broken int
	// Mismatched counts answers to another request.
	Mismatched int

	latency *hdrhistogram.Histogram
}

// LatencyQuantile returns the latency that the share q of answers did not exceed.
func (t *RequestStats) LatencyQuantile(q float64) time.Duration {
	return time.Duration(t.latency.ValueAtQuantile(q*100)) * time.Microsecond
}

// A CallerRecorder record counts what callers saw, kind by kind.
type CallerRecorder struct {
	mu    sync.Mutex
	kinds map[fleet.Kind]*RequestStats
	flood map[fleet.Kind]*RequestStats
	// outcomes are those told of each request.
	outcomes map[string][]fleet.Outcome
}

// Record records one request's end.
func (c *CallerRecorder) Record(k fleet.Kind, id string, e RequestResult) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.outcomes == nil {
		c.kinds = make(map[fleet.Kind]*RequestStats)
		c.flood = make(map[fleet.Kind]*RequestStats)
		c.outcomes = make(map[string][]fleet.Outcome)
	}
	tallyOf(c.kinds, k).add(e)
	if e.DuringFlood {
		tallyOf(c.flood, k).add(e)
	}
	if e.Broken {
		e.Outcome = fleet.Unknown
	}
	c.outcomes[id] = append(c.outcomes[id], e.Outcome)
}

// An RequestResult is how one request ended for its caller.
type RequestResult struct {
	Outcome fleet.Outcome
	Latency time.Duration
	// Broken tells that no whole answer came.
	Broken bool
	// Mismatched tells that the answer was another request's.
	Mismatched bool
	// DuringFlood tells that the request was sent during the flood.
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
		_ = t.latency.RecordValue(max(e.Latency.Microseconds(), lowest))
	case e.Outcome == fleet.NotRun:
		t.NotRun++
	default:
		t.Unknown++
	}
}

func tallyOf(m map[fleet.Kind]*RequestStats, k fleet.Kind) *RequestStats {
	t := m[k]
	if t == nil {
		t = &RequestStats{latency: hdrhistogram.New(lowest, highest, digits)}
		m[k] = t
	}
	return t
}

// Stats returns a copy of the tally of one kind.
func (c *CallerRecorder) Stats(k fleet.Kind) RequestStats {
	return c.copy(func() map[fleet.Kind]*RequestStats { return c.kinds }, k)
}

// FloodStats returns a copy of the tally of one kind during the flood.
func (c *CallerRecorder) FloodStats(k fleet.Kind) RequestStats {
	return c.copy(func() map[fleet.Kind]*RequestStats { return c.flood }, k)
}

func (c *CallerRecorder) copy(tallies func() map[fleet.Kind]*RequestStats, k fleet.Kind) RequestStats {
	c.mu.Lock()
	defer c.mu.Unlock()
	m := tallies()
	if m == nil {
		return RequestStats{latency: hdrhistogram.New(lowest, highest, digits)}
	}
	t := *tallyOf(m, k)
	t.latency = hdrhistogram.Import(t.latency.Export())
	return t
}

// FalseNotRuns returns the requests that were told "not run" by every attempt under
// their name and yet ran, by the runs that targets recorded.
func (c *CallerRecorder) FalseNotRuns(runs func(id string) int) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []string
	for id, told := range c.outcomes {
		if all(told, fleet.NotRun) && runs(id) > 0 {
			out = append(out, id)
		}
	}
	return out
}

func all(told []fleet.Outcome, o fleet.Outcome) bool {
	for _, t := range told {
		if t != o {
			return false
		}
	}
	return true
}
