package interfere

import (
	"time"

	"github.com/sesamestream/sesamestream/pkg/decide/host"
	"github.com/sesamestream/sesamestream/pkg/fleet"
)

// The times and bounds of a Controller.
const (
	// escalationInterval is the minimum time between two escalations.
	escalationInterval = 10 * time.Second
	// relaxInterval is how long all tail latencies have to stay well below their
	// budgets before the escalations are lowered by one step, and the minimum time
	// between two such steps.
	relaxInterval = 60 * time.Second
	// relaxBudgetShare is the share of the budget up to which a tail latency is well below it.
	relaxBudgetShare = 0.8
	// maxEvictions bounds the evictions requested within evictionWindow.
	evictionWindow = 5 * time.Minute
	maxEvictions   = 2
	// minWindowsOverBudget is the number of consecutive windows over the budget
	// that lead to an escalation.
	minWindowsOverBudget = 2
	// lightThrottleShare and strongThrottleShare are the shares of its processors that
	// an attempt may use at LightThrottle, and from StrongThrottle on.
	lightThrottleShare  = 0.7
	strongThrottleShare = 0.4
)

// An Event is an input of a Controller.
type Event interface{ event() }

// A Load is one attempt that runs on the host.
type Load struct {
	host.Key
	Kind fleet.Kind
	// Share is the share of the host's processors that it uses.
	Share float64
	// LastCheckpoint is the time of its last checkpoint, or else of its start.
	LastCheckpoint time.Time
	// Service is set for a latency-critical service, which must not be throttled.
	Service bool
}

// Loads lists all attempts that run on the host.
type Loads struct{ Loads []Load }

// A Window is the tail latency of a kind of requests in a recently ended measurement window.
type Window struct {
	Kind          fleet.Kind
	TailLatency   time.Duration
	LatencyBudget time.Duration
}

// Tick reports the passage of time.
type Tick struct{}

func (Loads) event()  {}
func (Window) event() {}
func (Tick) event()   {}

// An Action is an output of a Controller.
type Action interface{ action() }

// A Throttle sets the share of its processors that an attempt may use; 1 removes the limit.
type Throttle struct {
	host.Key
	Share float64
}

// StopAdmitting stops admitting tasks of a kind.
type StopAdmitting struct{ Kind fleet.Kind }

// ResumeAdmitting admits tasks of a kind again.
type ResumeAdmitting struct{ Kind fleet.Kind }

// RequestEviction requests that an attempt is checkpointed and moved to another host.
type RequestEviction struct{ Key host.Key }

func (Throttle) action()        {}
func (StopAdmitting) action()   {}
func (ResumeAdmitting) action() {}
func (RequestEviction) action() {}

// An Escalation is the level of the actions that a Controller takes against a kind.
type Escalation uint8

// The escalation levels; each includes the actions of the levels before it.
const (
	NoAction Escalation = iota
	LightThrottle
	StrongThrottle
	NotAdmitting
	Evicting
)

// throttleShares holds the throttle of each escalation level.
var throttleShares = [...]float64{NoAction: 1, LightThrottle: lightThrottleShare, StrongThrottle: strongThrottleShare, NotAdmitting: strongThrottleShare, Evicting: strongThrottleShare}

// A Controller protects the latency budgets of one host. It implements
// decide.Machine[Event, Action]. Its exported fields are set before the first Step.
type Controller struct {
	Model *LatencyModel

	now   time.Time
	loads []Load
	// windowsOverBudget counts the consecutive windows of a victim over its budget.
	windowsOverBudget map[fleet.Kind]int
	// relaxTimerStart is when a tail latency was last close to its budget, or when
	// the escalations were last lowered.
	relaxTimerStart time.Time
	escalatedAt     time.Time
	escalations     map[fleet.Kind]Escalation
	shares          map[host.Key]float64
	evictionTimes   []time.Time
}

// Step applies e at now, appends the actions that follow to out and returns it.
func (c *Controller) Step(now time.Time, e Event, out []Action) []Action {
	if c.escalations == nil {
		c.windowsOverBudget = make(map[fleet.Kind]int)
		c.escalations = make(map[fleet.Kind]Escalation)
		c.shares = make(map[host.Key]float64)
		c.relaxTimerStart = now
	}
	c.now = now
	switch e := e.(type) {
	case Loads:
		c.loads = e.Loads
		return c.applyThrottles(out)
	case Window:
		return c.handleWindow(e, out)
	case Tick:
		return c.relax(out)
	}
	return out
}

// handleWindow updates the model with a window, and escalates against the likely
// aggressor while the victim is over its budget.
func (c *Controller) handleWindow(w Window, out []Action) []Action {
	colocated := c.kindShares()
	c.Model.Observe(c.now, w.Kind, w.TailLatency, colocated)
	if w.TailLatency > time.Duration(relaxBudgetShare*float64(w.LatencyBudget)) {
		c.relaxTimerStart = c.now
	}
	if w.TailLatency <= w.LatencyBudget {
		c.windowsOverBudget[w.Kind] = 0
		return out
	}
	c.windowsOverBudget[w.Kind]++
	if c.windowsOverBudget[w.Kind] < minWindowsOverBudget || c.now.Sub(c.escalatedAt) < escalationInterval {
		return out
	}
	k, ok := c.likelyAggressor(w.Kind, colocated)
	if !ok {
		return out
	}
	c.escalatedAt = c.now
	return c.escalate(k, out)
}

// escalate raises the escalation of a kind by one level and takes its action.
func (c *Controller) escalate(k fleet.Kind, out []Action) []Action {
	if c.escalations[k] < Evicting {
		c.escalations[k]++
	}
	switch c.escalations[k] {
	case NotAdmitting:
		out = append(out, StopAdmitting{Kind: k})
	case Evicting:
		out = c.requestEviction(k, out)
	}
	return c.applyThrottles(out)
}

// requestEviction requests the eviction of the attempt of a kind that is cheapest
// to move, at most maxEvictions within evictionWindow.
func (c *Controller) requestEviction(k fleet.Kind, out []Action) []Action {
	for len(c.evictionTimes) > 0 && c.now.Sub(c.evictionTimes[0]) >= evictionWindow {
		c.evictionTimes = c.evictionTimes[1:]
	}
	l, ok := c.cheapestToMove(k)
	if !ok || len(c.evictionTimes) >= maxEvictions {
		return out
	}
	c.evictionTimes = append(c.evictionTimes, c.now)
	return append(out, RequestEviction{Key: l.Key})
}

// relax lowers each escalation by one level after relaxInterval.
func (c *Controller) relax(out []Action) []Action {
	if c.now.Sub(c.relaxTimerStart) < relaxInterval {
		return out
	}
	c.relaxTimerStart = c.now
	for _, k := range c.escalatedKinds() {
		c.escalations[k]--
		if c.escalations[k] == StrongThrottle {
			out = append(out, ResumeAdmitting{Kind: k})
		}
		if c.escalations[k] == NoAction {
			delete(c.escalations, k)
		}
	}
	return c.applyThrottles(out)
}

// applyThrottles throttles each attempt according to the escalation of its kind.
func (c *Controller) applyThrottles(out []Action) []Action {
	old := c.shares
	c.shares = make(map[host.Key]float64, len(c.loads))
	for _, l := range c.loads {
		was, known := old[l.Key]
		if !known {
			was = 1
		}
		share := throttleShares[c.escalations[l.Kind]]
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
