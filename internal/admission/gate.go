// Package admission runs an agent's admitter in an actor. Requests wait in the gate
// until the admitter starts or refuses them.
package admission

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/asynkron/protoactor-go/actor"

	"github.com/sesamestream/sesamestream/internal/runner"
	"github.com/sesamestream/sesamestream/pkg/decide/admit"
	"github.com/sesamestream/sesamestream/pkg/fleet"
	"github.com/sesamestream/sesamestream/pkg/table"
)

// A Gate admits requests. Its exported fields are set before Start.
type Gate struct {
	// System is the actor system of the gate's actor.
	System *actor.ActorSystem
	// Admitter decides which requests are started, queued or refused.
	Admitter admit.Admitter

	runner        *runner.Runner[event, admit.Action]
	lastRequestID atomic.Uint64
	lastLoad      atomic.Pointer[loadSnapshot]
	// waiting has the result channel of each undecided request. Only the
	// actor accesses it.
	waiting map[admit.RequestID]chan admit.Action
}

// A Permit is the right to have one request running. Its holder ends it with one
// call of Done or Cancel.
type Permit struct {
	gate    *Gate
	id      admit.RequestID
	started time.Time
	// latency is the time from the start to the answer's head; 0 before it arrives.
	latency time.Duration
}

// machine applies events to the gate's admitter and tracks the requests that wait
// for a decision.
type machine struct{ gate *Gate }

// Step implements decide.Machine.
func (m machine) Step(now time.Time, e event, out []admit.Action) []admit.Action {
	switch x := e.(type) {
	case offer:
		m.gate.waiting[x.request.ID] = x.result
	case cancel:
		delete(m.gate.waiting, x.id)
	}
	return e.apply(now, m.gate.Admitter, out)
}

// Start starts the actor.
func (g *Gate) Start() {
	g.waiting = make(map[admit.RequestID]chan admit.Action)
	g.runner = &runner.Runner[event, admit.Action]{
		System:  g.System,
		Machine: machine{gate: g},
		Execute: g.deliverResult,
		Wake:    g.Admitter.Wake,
		Tick:    tick{},
	}
	g.runner.Start()
}

// Stop stops the actor after the messages that it has received.
func (g *Gate) Stop() {
	g.runner.Stop()
}

// deliverResult sends the admitter's decision to the request that waits for it.
func (g *Gate) deliverResult(a admit.Action) {
	c := g.waiting[a.RequestID]
	delete(g.waiting, a.RequestID)
	if c != nil {
		c <- a
	}
}

// Admit waits until the request is started or refused. The permit is nil unless
// the request was started; the action has the reason of a refusal.
func (g *Gate) Admit(ctx context.Context, k fleet.Kind, deadline time.Time) (*Permit, admit.Action) {
	t := admit.RequestID(g.lastRequestID.Add(1))
	c := make(chan admit.Action, 1)
	g.runner.Send(offer{request: admit.Request{ID: t, Kind: k, Deadline: deadline}, result: c})
	select {
	case a := <-c:
		if a.Decision != admit.Start {
			return nil, a
		}
		return &Permit{gate: g, id: t, started: time.Now()}, a
	case <-ctx.Done():
		// If the request has been started meanwhile, this returns its permit.
		g.runner.Send(cancel{id: t})
		return nil, admit.Action{Decision: admit.Refuse, RequestID: t, Reason: admit.ReasonDeadline}
	}
}

// AnswerStarted ends the latency measurement at the answer's head, because the time
// that the receiver takes to read the answer does not depend on the target.
func (p *Permit) AnswerStarted() {
	p.latency = time.Since(p.started)
}

// Done ends the permit of a request that ended at the target; ok says whether its
// answer was complete.
func (p *Permit) Done(ok bool) {
	if p.latency == 0 {
		p.AnswerStarted()
	}
	p.gate.runner.Send(done{id: p.id, latency: p.latency, ok: ok})
}

// Cancel ends the permit of a request that never reached a target or was aborted
// there. Its latency is not used.
func (p *Permit) Cancel() {
	p.gate.runner.Send(cancel{id: p.id})
}

// SetTable puts a table in force.
func (g *Gate) SetTable(t *table.Table) {
	g.runner.Send(setTable{rows: t.Rows})
}

// SetCapacity limits the running requests to the connections of the host's targets.
func (g *Gate) SetCapacity(connections int) {
	g.runner.Send(setCapacity{connections: connections})
}

// SetShareFactors sets the factors that scale the fleet's floors and ceilings to this host.
func (g *Gate) SetShareFactors(factors []admit.ShareFactor) {
	g.runner.Send(setShareFactors{factors: factors})
}

// Drain refuses queued requests and all later ones.
func (g *Gate) Drain() {
	g.runner.Send(drain{})
}

// Load returns the current load of each kind.
func (g *Gate) Load(ctx context.Context) ([]admit.Load, error) {
	var out []admit.Load
	err := g.runner.Query(ctx, func() { out = g.Admitter.Load(time.Now(), nil) })
	return out, err
}

// maxLoadAge bounds the age of the load that LoadOf returns.
const maxLoadAge = 20 * time.Millisecond

// A loadSnapshot is the load of all kinds at one point in time.
type loadSnapshot struct {
	at    time.Time
	loads []admit.Load
}

// LoadOf returns the load of one kind, at most maxLoadAge old.
func (g *Gate) LoadOf(k fleet.Kind) admit.Load {
	s := g.lastLoad.Load()
	if s == nil || time.Since(s.at) > maxLoadAge {
		s = g.refreshLoad()
	}
	for _, l := range s.loads {
		if l.Kind == k {
			return l
		}
	}
	return admit.Load{Kind: k}
}

// refreshLoad takes a snapshot of the load and caches it. The snapshot is empty if the
// actor does not answer in time.
func (g *Gate) refreshLoad() *loadSnapshot {
	s := &loadSnapshot{at: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	loads, err := g.Load(ctx)
	if err == nil {
		s.loads = loads
	}
	g.lastLoad.Store(s)
	return s
}
