// Package entry implements the entry process: it accepts callers' requests,
// chooses an agent for each and proxies the answer.
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

// remoteRefreshInterval is how often the router is updated from the summaries of
// other data centres.
const remoteRefreshInterval = time.Second

// leaveDelay is how long an entry that is leaving keeps accepting requests, so
// that the balancer and callers with open connections stop sending before it
// closes its listener.
const leaveDelay = 3 * time.Second

// An Entry proxies callers' requests to agents. Its exported fields are set
// before Run.
type Entry struct {
	// Base provides what all processes share, such as membership and the table.
	Base *base.Base
	// Caller is the HTTP server for callers; Run sets its handler.
	Caller *caller.Server

	router *runner.ValueActor[*route.Router]

	mu      sync.Mutex
	budgets map[fleet.Kind]*retryBudget
	// addresses are those of the agents in the entry's own data centre.
	addresses map[fleet.ProcessIncarnation]netip.AddrPort
	// remoteAddresses are those in other data centres, by their latest summaries.
	remoteAddresses map[fleet.ProcessIncarnation]netip.AddrPort
}

// A retryBudget limits the retries and hedges of one kind.
type retryBudget struct {
	mu     sync.Mutex
	budget *attempt.Budget
}

// hedgeDelay returns how long a repeatable request waits for an answer before a
// hedge is sent: the latency objective of its kind, which few requests exceed. It
// returns 0, no hedge, for an unrepeatable kind.
func (b *retryBudget) hedgeDelay(r table.Row) time.Duration {
	if r.Unrepeatable {
		return 0
	}
	return r.Objective
}

// Run serves callers until ctx ends.
func (e *Entry) Run(ctx context.Context) error {
	e.budgets = make(map[fleet.Kind]*retryBudget)
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
			steady.Sleep(ctx, leaveDelay)
			stop()
			<-served
			e.Base.AnnounceLeaving()
		},
		e.refreshRemotes,
		func(ctx context.Context) error {
			defer close(served)
			defer context.AfterFunc(ctx, stop)()
			return e.Caller.Run(callers)
		},
	)
}

// Serve implements caller.Handler: it checks the request against the table in
// force and proxies it to an agent.
func (e *Entry) Serve(ctx context.Context, r *caller.Request, w caller.Responder) {
	t := e.Base.TableInForce()
	if t == nil {
		e.refuseMalformed(w, http.StatusServiceUnavailable, "no table is in force yet")
		return
	}
	row, ok := t.Row(r.Kind)
	if !ok || row.Class != table.ClassRequest {
		e.refuseMalformed(w, http.StatusNotFound, "no such kind of request")
		return
	}
	if row.Unrepeatable && r.Key == "" {
		e.refuseMalformed(w, http.StatusBadRequest, "this kind needs an Idempotency-Key")
		return
	}
	f := &proxiedRequest{entry: e, request: r, row: row, revision: t.Revision, responder: w, budget: e.budgetOf(r.Kind)}
	f.run(ctx)
}

// refuseMalformed refuses a request that cannot be proxied and counts it as
// malformed.
func (e *Entry) refuseMalformed(w caller.Responder, status int, reason string) {
	metrics.GetOrRegisterCounter("requests.malformed", e.Base.Metrics).Inc(1)
	w.Refuse(status, reason, 0)
}

// budgetOf returns the retry budget of a kind, which all its requests share.
func (e *Entry) budgetOf(k fleet.Kind) *retryBudget {
	e.mu.Lock()
	defer e.mu.Unlock()
	b := e.budgets[k]
	if b == nil {
		b = &retryBudget{budget: attempt.NewBudget()}
		e.budgets[k] = b
	}
	return b
}

// recordOutcome records the outcome of a request that its caller receives.
func (e *Entry) recordOutcome(k fleet.Kind, o fleet.Outcome, latency time.Duration) {
	e.Base.RecordOutcome(k, o, latency)
	name := "requests." + string(k) + "."
	metrics.GetOrRegisterCounter(name+string(o), e.Base.Metrics).Inc(1)
	if o == fleet.Answered {
		metrics.GetOrRegisterTimer(name+"latency", e.Base.Metrics).Update(latency)
	}
}

// pickAgent asks the router to choose an agent.
func (e *Entry) pickAgent(ctx context.Context, q route.Query) (route.Choice, error) {
	var c route.Choice
	var err error
	if stopped := e.router.Do(ctx, func(r *route.Router) { c, err = r.Pick(time.Now(), q) }); stopped != nil {
		return c, stopped
	}
	return c, err
}

// reportRouteResult reports to the router how the request to a chosen agent ended.
func (e *Entry) reportRouteResult(c route.Choice, r route.Result) {
	if c.Agent.ID == "" {
		return
	}
	e.router.Post(func(x *route.Router) { x.Done(time.Now(), c, r) })
}

func (e *Entry) tableChanged(t *table.Table) {
	e.router.Post(func(x *route.Router) { x.SetTable(t.Rows) })
}

// memberChanged updates the router and the addresses for an agent in the entry's
// own data centre.
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

// refreshRemotes keeps the router up to date with the agents in the summaries of
// other data centres and with the number of entries.
func (e *Entry) refreshRemotes(ctx context.Context) error {
	t := time.NewTicker(remoteRefreshInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
		case <-ctx.Done():
			return nil
		}
		remotes := e.Base.Remotes()
		e.setRemoteAddresses(remotes)
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

// setRemoteAddresses replaces the addresses in other data centres.
func (e *Entry) setRemoteAddresses(remotes []member.RemoteDataCentre) {
	out := make(map[fleet.ProcessIncarnation]netip.AddrPort)
	for _, r := range remotes {
		for _, c := range r.Summary.Contacts {
			out[c.Identity] = c.Address
		}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.remoteAddresses = out
}

// observeRemote reports the agents of one other data centre to the router, each
// with an equal part of that data centre's capacity for the kind.
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

// address returns the address of an agent's incarnation.
func (e *Entry) address(v fleet.ProcessIncarnation) (netip.AddrPort, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if a, ok := e.addresses[v]; ok {
		return a, true
	}
	a, ok := e.remoteAddresses[v]
	return a, ok
}
