// Package entry is the thin process between callers and agents.
package entry

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/sesamestream/sesamestream/internal/base"
	"github.com/sesamestream/sesamestream/internal/caller"
	"github.com/sesamestream/sesamestream/internal/runner"
	"github.com/sesamestream/sesamestream/internal/steady"
	"github.com/sesamestream/sesamestream/pkg/decide/attempt"
	"github.com/sesamestream/sesamestream/pkg/decide/member"
	"github.com/sesamestream/sesamestream/pkg/decide/route"
	"github.com/sesamestream/sesamestream/pkg/fleet"
	"github.com/sesamestream/sesamestream/pkg/table"
)

// observeEvery is how often the summaries of other data centres are taken in.
const observeEvery = time.Second

// leaveTime is how long an entry that leaves waits until the balancer and
// callers with open connections send it no more.
const leaveTime = 3 * time.Second

// An Entry is one entry. Its exported fields are set before Run.
type Entry struct {
	// Base is the common part of the process.
	Base *base.Base
	// Caller serves callers; the entry sets its handler.
	Caller *caller.Server

	router *runner.ValueActor[*route.Router]

	mu        sync.Mutex
	budgets   map[fleet.Kind]*budget
	addresses map[fleet.ProcessIncarnation]netip.AddrPort
	// remote are the addresses in other data centres, as last summarised.
	remote map[fleet.ProcessIncarnation]netip.AddrPort
}

// A budget pays for the retries and hedges of one kind.
type budget struct {
	mu     sync.Mutex
	budget *attempt.Budget
}

// hedgeAfter is when a repeatable request is sent a second time: once its
// objective has passed, which few requests see.
func (b *budget) hedgeAfter(r table.Row) time.Duration {
	if r.Unrepeatable {
		return 0
	}
	return r.Objective
}

// Run serves until ctx ends.
func (e *Entry) Run(ctx context.Context) error {
	e.budgets = make(map[fleet.Kind]*budget)
	e.addresses = make(map[fleet.ProcessIncarnation]netip.AddrPort)
	seed := uint64(e.Base.Self.Incarnation)
	e.router = &runner.ValueActor[*route.Router]{
		System: e.Base.System,
		Value: &route.Router{
			Place: e.Base.Self.Place,
			Rand:  rand.New(rand.NewPCG(seed, seed)), //nolint:gosec // Sampling needs no secret.
		},
	}
	e.router.Start()
	defer e.router.Stop()
	e.Caller.Handler = e
	e.Base.OnTable = e.tableChanged
	e.Base.OnMember = e.memberChanged
	e.Base.Prepare()
	callers, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	served := make(chan struct{})
	return e.Base.Run(ctx,
		func(ctx context.Context) {
			e.Caller.BeginDrain()
			steady.Sleep(ctx, leaveTime)
			stop()
			<-served
			e.Base.Leave()
		},
		e.observe,
		func(ctx context.Context) error {
			defer close(served)
			defer context.AfterFunc(ctx, stop)()
			return e.Caller.Run(callers)
		},
	)
}

// Serve decides one request and answers it.
func (e *Entry) Serve(ctx context.Context, r *caller.Request, w caller.Responder) {
	t := e.Base.InForce()
	if t == nil {
		e.refuse(w, http.StatusServiceUnavailable, "no table is in force yet")
		return
	}
	row, ok := t.Row(r.Kind)
	if !ok || row.Class != table.ClassRequest {
		e.refuse(w, http.StatusNotFound, "no such kind of request")
		return
	}
	if row.Unrepeatable && r.Key == "" {
		e.refuse(w, http.StatusBadRequest, "this kind needs an Idempotency-Key")
		return
	}
	f := &flight{entry: e, request: r, row: row, revision: t.Revision, w: w, budget: e.budgetOf(r.Kind)}
	f.run(ctx)
}

func (e *Entry) refuse(w caller.Responder, status int, reason string) {
	metrics.GetOrRegisterCounter("requests.malformed", e.Base.Metrics).Inc(1)
	w.Refuse(status, reason, 0)
}

func (e *Entry) budgetOf(k fleet.Kind) *budget {
	e.mu.Lock()
	defer e.mu.Unlock()
	b := e.budgets[k]
	if b == nil {
		b = &budget{budget: attempt.NewBudget()}
		e.budgets[k] = b
	}
	return b
}

// outcome counts what a caller is told.
func (e *Entry) outcome(k fleet.Kind, o fleet.Outcome, latency time.Duration) {
	e.Base.Told(k, o, latency)
	name := "requests." + string(k) + "."
	metrics.GetOrRegisterCounter(name+string(o), e.Base.Metrics).Inc(1)
	if o == fleet.Answered {
		metrics.GetOrRegisterTimer(name+"latency", e.Base.Metrics).Update(latency)
	}
}

// pick asks the router for an agent.
func (e *Entry) pick(ctx context.Context, q route.Query) (route.Choice, error) {
	var c route.Choice
	var err error
	if x := e.router.Do(ctx, func(r *route.Router) { c, err = r.Pick(time.Now(), q) }); x != nil {
		return c, x
	}
	return c, err
}

// routed teaches the router how a choice ended.
func (e *Entry) routed(c route.Choice, r route.Result) {
	if c.Agent.ID == "" {
		return
	}
	e.router.Post(func(x *route.Router) { x.Done(time.Now(), c, r) })
}

func (e *Entry) tableChanged(t *table.Table) {
	e.router.Post(func(x *route.Router) { x.SetTable(t.Rows) })
}

// memberChanged takes the agents of the own data centre in.
func (e *Entry) memberChanged(i member.Info, s member.State) {
	if i.Role != fleet.RoleAgent {
		return
	}
	e.mu.Lock()
	if s > member.Suspect {
		delete(e.addresses, i.ProcessIncarnation)
	} else {
		e.addresses[i.ProcessIncarnation] = i.Address
	}
	e.mu.Unlock()
	e.router.Post(func(x *route.Router) {
		if s > member.Suspect {
			x.Remove(time.Now(), i.ProcessIncarnation)
			return
		}
		for _, o := range i.Offers {
			x.Observe(time.Now(), route.Report{Agent: i.ProcessIncarnation, Place: i.Place, Kind: o.Kind, Limit: int(o.Limit)})
		}
	})
}

// observe takes the agents of other data centres in, as their summaries name them.
func (e *Entry) observe(ctx context.Context) error {
	t := time.NewTicker(observeEvery)
	defer t.Stop()
	for {
		select {
		case <-t.C:
		case <-ctx.Done():
			return nil
		}
		remotes := e.Base.Remotes()
		e.setRemote(remotes)
		for _, r := range remotes {
			e.observeRemote(r)
		}
		entries := 1
		for _, m := range e.Base.Members() {
			if m.Role == fleet.RoleEntry {
				entries++
			}
		}
		e.router.Post(func(x *route.Router) { x.SetEntryCount(entries) })
	}
}

// setRemote notes where the agents of other data centres are reached.
func (e *Entry) setRemote(remotes []member.RemoteDataCentre) {
	out := make(map[fleet.ProcessIncarnation]netip.AddrPort)
	for _, r := range remotes {
		for _, c := range r.Summary.Contacts {
			out[c.Identity] = c.Address
		}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.remote = out
}

// observeRemote takes the contacts of one data centre in, each with its part
// of the data centre's capacity.
func (e *Entry) observeRemote(r member.RemoteDataCentre) {
	p := fleet.Place{Region: r.Summary.Region, DataCentre: r.Summary.DataCentre}
	for _, c := range r.Summary.Contacts {
		if c.Role != fleet.RoleAgent {
			continue
		}
		for i, k := range r.Summary.Kinds {
			if c.KindMask&(1<<i) == 0 || k.Agents == 0 {
				continue
			}
			o := route.Report{Agent: c.Identity, Place: p, Kind: k.Kind, Limit: int(k.Capacity) / int(k.Agents)}
			e.router.Post(func(x *route.Router) { x.Observe(time.Now(), o) })
		}
	}
}

// address returns where a life takes requests.
func (e *Entry) address(v fleet.ProcessIncarnation) (netip.AddrPort, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if a, ok := e.addresses[v]; ok {
		return a, true
	}
	a, ok := e.remote[v]
	return a, ok
}
