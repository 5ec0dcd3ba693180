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
	flood map[fleet.Kind]*Tally
	// outcomes are those told of each request.
	outcomes map[string][]fleet.Outcome
}

// Tell records one request's end.
func (c *Callers) Tell(k fleet.Kind, id string, e End) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.outcomes == nil {
		c.kinds = make(map[fleet.Kind]*Tally)
		c.flood = make(map[fleet.Kind]*Tally)
		c.outcomes = make(map[string][]fleet.Outcome)
	}
	tallyOf(c.kinds, k).add(e)
	if e.Flood {
		tallyOf(c.flood, k).add(e)
	}
	if e.Broken {
		e.Outcome = fleet.Unknown
	}
	c.outcomes[id] = append(c.outcomes[id], e.Outcome)
}

// An End is how one request ended for its caller.
type End struct {
	Outcome fleet.Outcome
	Latency time.Duration
	// Broken tells that no whole answer came.
	Broken bool
	// Wrong tells that the answer was another request's.
	Wrong bool
	// Flood tells that the request was sent during the flood.
	Flood bool
}

func (t *Tally) add(e End) {
	t.Offered++
	switch {
	case e.Broken:
		t.Broken++
	case e.Wrong:
		t.Wrong++
	case e.Outcome == fleet.Answered:
		t.Answered++
		_ = t.latency.RecordValue(max(e.Latency.Microseconds(), lowest))
	case e.Outcome == fleet.NotRun:
		t.NotRun++
	default:
		t.Unknown++
	}
}

func tallyOf(m map[fleet.Kind]*Tally, k fleet.Kind) *Tally {
	t := m[k]
	if t == nil {
		t = &Tally{latency: hdrhistogram.New(lowest, highest, digits)}
		m[k] = t
	}
	return t
}

// Of returns a copy of the tally of one kind.
func (c *Callers) Of(k fleet.Kind) Tally {
	return c.copy(func() map[fleet.Kind]*Tally { return c.kinds }, k)
}

// InFlood returns a copy of the tally of one kind during the flood.
func (c *Callers) InFlood(k fleet.Kind) Tally {
	return c.copy(func() map[fleet.Kind]*Tally { return c.flood }, k)
}

func (c *Callers) copy(tallies func() map[fleet.Kind]*Tally, k fleet.Kind) Tally {
	c.mu.Lock()
	defer c.mu.Unlock()
	m := tallies()
	if m == nil {
		return Tally{latency: hdrhistogram.New(lowest, highest, digits)}
	}
	t := *tallyOf(m, k)
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
