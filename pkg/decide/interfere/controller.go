package interfere

import (
	"time"

	"github.com/sesamestream/sesamestream/pkg/decide/host"
	"github.com/sesamestream/sesamestream/pkg/fleet"
)

// The times and bounds of a Controller.
const (
	// stepEvery is the time between two harder measures.
	stepEvery = 10 * time.Second
	// calmFor is how long a victim has to be well inside its budget before one
	// measure is taken back, and the time between two that are.
	calmFor = 60 * time.Second
	// calmBelow is the part of the budget that is well inside.
	calmBelow = 0.8
	// evictWindow and maxEvictions bound the evictions that are asked.
	evictWindow  = 5 * time.Minute
	maxEvictions = 2
	// burning is how many windows in a row have to be over the budget.
	burning = 2
	// firstShare and lastShare are the throttles.
	firstShare = 0.7
	lastShare  = 0.4
)

// An Event is what a Controller is told.
type Event interface{ event() }

// A Load is one attempt that runs on the host.
type Load struct {
	host.Key
	Kind fleet.Kind
	// Share is the part of the host's processors that it uses.
	Share float64
	// LastCheckpoint is when its progress was last saved, or when it started.
	LastCheckpoint time.Time
	// Service is set for what must not be throttled.
	Service bool
}

// Loads lists all that runs on the host.
type Loads struct{ Loads []Load }

// A Window is the tail latency of a kind of requests in a window that ended lately.
type Window struct {
	Kind          fleet.Kind
	TailLatency   time.Duration
	LatencyBudget time.Duration
}

// Tick lets time pass.
type Tick struct{}

func (Loads) event()  {}
func (Window) event() {}
func (Tick) event()   {}

// An Action is what a Controller wants done.
type Action interface{ action() }

// A Throttle sets the share of its processors that an attempt may use; 1 restores it.
type Throttle struct {
	host.Key
	Share float64
}

// StopAdmitting stops admitting tasks of a kind.
type StopAdmitting struct{ Kind fleet.Kind }

// ResumeAdmitting admits tasks of a kind again.
type ResumeAdmitting struct{ Kind fleet.Kind }

// RequestEviction asks to checkpoint an attempt and move it away.
type RequestEviction struct{ Key host.Key }

func (Throttle) action()        {}
func (StopAdmitting) action()   {}
func (ResumeAdmitting) action() {}
func (RequestEviction) action() {}

// A Escalation is how far a Controller goes against a kind.
type Escalation uint8

// The measures, each with those before it.
const (
	NoAction Escalation = iota
	LightThrottle
	StrongThrottle
	NotAdmitting
	Evicting
)

// shares are the throttles of the measures.
var shares = [...]float64{NoAction: 1, LightThrottle: firstShare, StrongThrottle: lastShare, NotAdmitting: lastShare, Evicting: lastShare}

// A Controller protects the latency budgets of one host. It implements
// decide.Machine[Event, Action]. Its exported fields are set before the first Step.
type Controller struct {
	Model *LatencyModel

	now      time.Time
	loads    []Load
	over     map[fleet.Kind]int
	calm     time.Time
	stepped  time.Time
	measures map[fleet.Kind]Escalation
	shares   map[host.Key]float64
	evicted  []time.Time
}

// Step applies e at now, appends the actions that follow to out and returns it.
func (c *Controller) Step(now time.Time, e Event, out []Action) []Action {
	if c.measures == nil {
		c.over = make(map[fleet.Kind]int)
		c.measures = make(map[fleet.Kind]Escalation)
		c.shares = make(map[host.Key]float64)
		c.calm = now
	}
	c.now = now
	switch e := e.(type) {
	case Loads:
		c.loads = e.Loads
		return c.apply(out)
	case Window:
		return c.window(e, out)
	case Tick:
		return c.giveBack(out)
	}
	return out
}

// window learns from a window and goes further while it is over the budget.
func (c *Controller) window(w Window, out []Action) []Action {
	beside := c.beside()
	c.Model.Observe(c.now, w.Kind, w.TailLatency, beside)
	if w.TailLatency > time.Duration(calmBelow*float64(w.LatencyBudget)) {
		c.calm = c.now
	}
	if w.TailLatency <= w.LatencyBudget {
		c.over[w.Kind] = 0
		return out
	}
	c.over[w.Kind]++
	if c.over[w.Kind] < burning || c.now.Sub(c.stepped) < stepEvery {
		return out
	}
	k, ok := c.disturber(w.Kind, beside)
	if !ok {
		return out
	}
	c.stepped = c.now
	return c.harder(k, out)
}

// harder takes the next measure against a kind.
func (c *Controller) harder(k fleet.Kind, out []Action) []Action {
	if c.measures[k] < Evicting {
		c.measures[k]++
	}
	switch c.measures[k] {
	case NotAdmitting:
		out = append(out, StopAdmitting{Kind: k})
	case Evicting:
		out = c.evict(k, out)
	}
	return c.apply(out)
}

// evict asks for the cheapest attempt of a kind to move, within the bound.
func (c *Controller) evict(k fleet.Kind, out []Action) []Action {
	for len(c.evicted) > 0 && c.now.Sub(c.evicted[0]) >= evictWindow {
		c.evicted = c.evicted[1:]
	}
	l, ok := c.cheapest(k)
	if !ok || len(c.evicted) >= maxEvictions {
		return out
	}
	c.evicted = append(c.evicted, c.now)
	return append(out, RequestEviction{Key: l.Key})
}

// giveBack takes one measure back after each calm time.
func (c *Controller) giveBack(out []Action) []Action {
	if c.now.Sub(c.calm) < calmFor {
		return out
	}
	c.calm = c.now
	for _, k := range c.measured() {
		c.measures[k]--
		if c.measures[k] == StrongThrottle {
			out = append(out, ResumeAdmitting{Kind: k})
		}
		if c.measures[k] == NoAction {
			delete(c.measures, k)
		}
	}
	return c.apply(out)
}

// apply throttles each attempt as the measure against its kind has it.
func (c *Controller) apply(out []Action) []Action {
	old := c.shares
	c.shares = make(map[host.Key]float64, len(c.loads))
	for _, l := range c.loads {
		was, known := old[l.Key]
		if !known {
			was = 1
		}
		share := shares[c.measures[l.Kind]]
		if l.Service {
			share = 1
		}
		c.shares[l.Key] = share
		if share != was {
			out = append(out, Throttle{Key: l.Key, Share: share})
		}
	}
	return out
}
