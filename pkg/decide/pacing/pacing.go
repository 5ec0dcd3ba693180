// Package pacing decides how fast the filling tasks of one host may work. It
// answers serving tasks whose tail latency rises within seconds when their
// own load or that of a neighbour does: filling work gives way first, and
// comes back in steps once the tail is well below its target.
package pacing

import (
	"time"

	"github.com/sesamestream/sesamestream/pkg/batch"
)

const (
	// stepEvery is the window over which a worker measures a tail.
	stepEvery = 500 * time.Millisecond
	// high is the share of the target above which filling tasks give way.
	high = 0.9
	// low is the share of the target below which they come back.
	low = 0.65
	// giveWay is the factor of a step back while the tail is above high.
	giveWay = 0.5
	// comeBack is the step forth in percent.
	comeBack = 15
	// least is the pace in percent below which a task is halted.
	least = 10
	// full is the pace of a task that starts.
	full = 100
)

// A Row is a run as the worker lists it, with what is known of its step.
type Row struct {
	Task   batch.Task
	Number int
	// Tail is the tail latency of a run that serves.
	Tail time.Duration
	// Target bounds Tail; 0 where the run doesn't serve.
	Target time.Duration
	Fills  bool
	Image  string
}

// A Change sets the pace of a run.
type Change struct {
	Task    batch.Task
	Number  int
	Percent int
	// Worst is the highest share of its target that a tail has.
	Worst float64
}

type run struct {
	task   batch.Task
	number int
}

// A Machine paces the runs of one worker.
type Machine struct {
	paces map[run]int
	last  time.Time
}

// Squeezed reports whether filling tasks are held back.
func (m *Machine) Squeezed() bool {
	for _, p := range m.paces {
		if p < full {
			return true
		}
	}
	return false
}

// Step takes the rows of a look and appends the changes that follow to out.
func (m *Machine) Step(now time.Time, rows []Row, out []Change) []Change {
	if now.Sub(m.last) < stepEvery {
		return out
	}
	m.last = now
	worst := 0.0
	there := map[run]bool{}
	for _, r := range rows {
		if r.Target > 0 {
			worst = max(worst, float64(r.Tail)/float64(r.Target))
		}
		there[run{r.Task, r.Number}] = true
	}
	if m.paces == nil {
		m.paces = map[run]int{}
	}
	for k := range m.paces {
		if !there[k] {
			delete(m.paces, k)
		}
	}
	for _, r := range rows {
		if !r.Fills {
			continue
		}
		k := run{r.Task, r.Number}
		old, ok := m.paces[k]
		if !ok {
			old = full
		}
		p := next(old, worst)
		m.paces[k] = p
		if p != old {
			out = append(out, Change{Task: r.Task, Number: r.Number, Percent: p, Worst: worst})
		}
	}
	return out
}

func next(p int, worst float64) int {
	switch {
	case worst > high:
		if p = int(float64(p) * giveWay); p < least {
			p = 0
		}
	case worst < low:
		p = min(p+comeBack, full)
	}
	return p
}
