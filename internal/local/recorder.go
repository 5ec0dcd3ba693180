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

// A Tally is what the callers of one kind saw.
type Tally struct {
	Offered  int
	Answered int
	NotRun   int
	Unknown  int
	// Broken counts answers that were cut or never came.
	Broken int
	// Wrong counts answers to another request.
	Wrong int

	latency *hdrhistogram.Histogram
}

// Quantile returns the latency that the share q of answers did not exceed.
func (t *Tally) Quantile(q float64) time.Duration {
	return time.Duration(t.latency.ValueAtQuantile(q*100)) * time.Microsecond
}

// A Callers record counts what callers saw, kind by kind.
type Callers struct {
	mu    sync.Mutex
	kinds map[fleet.Kind]*Tally
	// outcomes are those told of each request.
	outcomes map[string][]fleet.Outcome
}

// Tell records one request's end.
func (c *Callers) Tell(k fleet.Kind, id string, o fleet.Outcome, latency time.Duration, broken, wrong bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.tally(k)
	t.Offered++
	switch {
	case broken:
		t.Broken++
		o = fleet.Unknown
	case wrong:
		t.Wrong++
	case o == fleet.Answered:
		t.Answered++
		_ = t.latency.RecordValue(max(latency.Microseconds(), lowest))
	case o == fleet.NotRun:
		t.NotRun++
	default:
		t.Unknown++
	}
	c.outcomes[id] = append(c.outcomes[id], o)
}

func (c *Callers) tally(k fleet.Kind) *Tally {
	if c.kinds == nil {
		c.kinds = make(map[fleet.Kind]*Tally)
		c.outcomes = make(map[string][]fleet.Outcome)
	}
	t := c.kinds[k]
	if t == nil {
		t = &Tally{latency: hdrhistogram.New(lowest, highest, digits)}
		c.kinds[k] = t
	}
	return t
}

// Of returns a copy of the tally of one kind.
func (c *Callers) Of(k fleet.Kind) Tally {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := *c.tally(k)
	t.latency = hdrhistogram.Import(t.latency.Export())
	return t
}

// Lies returns the requests that were told "not run" by every attempt under
// their name and yet ran, by the runs that targets recorded.
func (c *Callers) Lies(runs func(id string) int) []string {
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
