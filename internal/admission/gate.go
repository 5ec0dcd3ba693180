// Package admission holds an agent's admitter in an actor: requests wait at
// the gate until the admitter starts or refuses them.
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
	// System is where the gate's actor lives.
	System *actor.ActorSystem
	// Admitter decides.
	Admitter admit.Admitter

	runner  *runner.Runner[event, admit.Action]
	tickets atomic.Uint64
	last    atomic.Pointer[snapshot]
	// waiting is touched by the actor alone.
	waiting map[admit.RequestID]chan admit.Action
}

// A Permit is the right to have one request running; its holder ends it once.
type Permit struct {
	gate    *Gate
	ticket  admit.RequestID
	started time.Time
	// latency is the time to the answer's head, 0 before it.
	latency time.Duration
}

// machine feeds events to an admitter and notes who waits.
type machine struct{ gate *Gate }

func (m machine) Step(now time.Time, e event, out []admit.Action) []admit.Action {
	switch x := e.(type) {
	case offer:
		m.gate.waiting[x.request.ID] = x.verdict
	case cancel:
		delete(m.gate.waiting, x.ticket)
	}
	return e.apply(now, m.gate.Admitter, out)
}

// Start spawns the actor.
func (g *Gate) Start() {
	g.waiting = make(map[admit.RequestID]chan admit.Action)
	g.runner = &runner.Runner[event, admit.Action]{
		System:  g.System,
		Machine: machine{gate: g},
		Execute: g.carry,
		Wake:    g.Admitter.Wake,
		Tick:    tick{},
	}
	g.runner.Start()
}

// Stop ends the actor.
func (g *Gate) Stop() {
	g.runner.Stop()
}

// carry tells a waiting request its verdict.
func (g *Gate) carry(a admit.Action) {
	c := g.waiting[a.RequestID]
	delete(g.waiting, a.RequestID)
	if c != nil {
		c <- a
	}
}

// Admit waits until the request is started or refused. The permit is nil
// unless it was started; the action tells why.
func (g *Gate) Admit(ctx context.Context, k fleet.Kind, deadline time.Time) (*Permit, admit.Action) {
	t := admit.RequestID(g.tickets.Add(1))
	c := make(chan admit.Action, 1)
	g.runner.Send(offer{request: admit.Request{ID: t, Kind: k, Deadline: deadline}, verdict: c})
	select {
	case a := <-c:
		if a.Decision != admit.Start {
			return nil, a
		}
		return &Permit{gate: g, ticket: t, started: time.Now()}, a
	case <-ctx.Done():
		// A verdict that crosses this is taken back by the same message.
		g.runner.Send(cancel{ticket: t})
		return nil, admit.Action{Decision: admit.Refuse, RequestID: t, Reason: admit.ReasonDeadline}
	}
}

// AnswerStarted notes that the answer began: how long its receiver takes to read it
// says nothing of the target.
func (p *Permit) AnswerStarted() {
	p.latency = time.Since(p.started)
}

// Done ends a permit after an answer, whole or not.
func (p *Permit) Done(ok bool) {
	if p.latency == 0 {
		p.AnswerStarted()
	}
	p.gate.runner.Send(done{ticket: p.ticket, latency: p.latency, ok: ok})
}

// Cancel ends a permit whose request was cut off at the target.
func (p *Permit) Cancel() {
	p.gate.runner.Send(cancel{ticket: p.ticket})
}

// SetTable puts a table in force.
func (g *Gate) SetTable(t *table.Table) {
	g.runner.Send(setTable{rows: t.Rows})
}

// SetCapacity bounds the requests by the connections of the host's targets.
func (g *Gate) SetCapacity(connections int) {
	g.runner.Send(setCapacity{connections: connections})
}

// SetShares places the fleet's floors and ceilings on this host.
func (g *Gate) SetShares(scales []admit.ShareFactor) {
	g.runner.Send(setShares{scales: scales})
}

// Drain refuses all that is not yet running.
func (g *Gate) Drain() {
	g.runner.Send(drain{})
}

// Load returns the state of each kind.
func (g *Gate) Load(ctx context.Context) ([]admit.Load, error) {
	var out []admit.Load
	err := g.runner.Query(ctx, func() { out = g.Admitter.Load(time.Now(), nil) })
	return out, err
}

// loadAge is how old the load that LoadOf returns may be.
const loadAge = 20 * time.Millisecond

// A snapshot is the load of all kinds at one time.
type snapshot struct {
	at    time.Time
	loads []admit.Load
}

// LoadOf returns the state of one kind, at most a moment old.
func (g *Gate) LoadOf(k fleet.Kind) admit.Load {
	s := g.last.Load()
	if s == nil || time.Since(s.at) > loadAge {
		s = g.refresh()
	}
	for _, l := range s.loads {
		if l.Kind == k {
			return l
		}
	}
	return admit.Load{Kind: k}
}

func (g *Gate) refresh() *snapshot {
	s := &snapshot{at: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	loads, err := g.Load(ctx)
	if err == nil {
		s.loads = loads
	}
	g.last.Store(s)
	return s
}
