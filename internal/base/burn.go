package base

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/sesamestream/sesamestream/internal/message"
	"github.com/sesamestream/sesamestream/internal/peer"
	"github.com/sesamestream/sesamestream/pkg/burn"
	"github.com/sesamestream/sesamestream/pkg/decide/admit"
	"github.com/sesamestream/sesamestream/pkg/decide/member"
	"github.com/sesamestream/sesamestream/pkg/fleet"
	"github.com/sesamestream/sesamestream/pkg/table"
)

// The bounds of the collection of a report.
const (
	// burnTimeout bounds the wait for all answers.
	burnTimeout = 8 * time.Second
	// burnCallTimeout bounds the wait for one process.
	burnCallTimeout = 2 * time.Second
	// burnCalls is how many processes are asked at once.
	burnCalls = 64
)

// prepareBurn begins to count and answers those who ask for the counts.
func (b *Base) prepareBurn() {
	b.BurnRecorder.Since = time.Now()
	b.Operator.HandleBurn(b)
	peer.Handle(&b.Handlers, message.OperationBurn, func(_ context.Context, q burn.Query) (burn.Snapshot, error) {
		if err := q.Check(); err != nil {
			return burn.Snapshot{}, err
		}
		return b.BurnRecorder.Snapshot(time.Now(), q), nil
	})
}

// RecordOutcome counts what a caller was told, by the objective of the table in force.
func (b *Base) RecordOutcome(k fleet.Kind, o fleet.Outcome, latency time.Duration) {
	b.BurnRecorder.Told(time.Now(), k, o, latency, b.row(k).Objective)
}

// An Arrival is a request that came to the agent here.
type Arrival struct {
	base    *Base
	kind    fleet.Kind
	at      time.Time
	running int
}

// NewArrival notes a request that is to be admitted or refused.
func (b *Base) NewArrival(k fleet.Kind) Arrival {
	return Arrival{base: b, kind: k, at: time.Now(), running: b.BurnRecorder.Running(k)}
}

// RecordRefusal counts the refusal, but not where ctx tells that the request was
// taken back. load is what the agent has of a kind.
func (a Arrival) RecordRefusal(ctx context.Context, load func(fleet.Kind) admit.Load) {
	if errors.Is(ctx.Err(), context.Canceled) {
		return
	}
	limit := load(a.kind).Limit
	a.decided(max(a.running, a.base.BurnRecorder.Running(a.kind)), limit, false)
}

// RecordStart counts the start and returns what is called once the request has ended.
func (a Arrival) RecordStart(load func(fleet.Kind) admit.Load) (ended func()) {
	others := a.base.BurnRecorder.Begin(a.kind)
	a.decided(max(a.running, others), load(a.kind).Limit, true)
	return func() { a.base.BurnRecorder.End(a.kind) }
}

func (a Arrival) decided(running, limit int, started bool) {
	now := time.Now()
	r := a.base.row(a.kind)
	x := burn.Admission{Running: running, Floor: burn.LocalFloor(r, limit), Queued: now.Sub(a.at), Started: started}
	a.base.BurnRecorder.Admitted(now, a.kind, x, r.Objective)
}

func (b *Base) row(k fleet.Kind) table.Row {
	t := b.TableInForce()
	if t == nil {
		return table.Row{}
	}
	r, _ := t.Row(k)
	return r
}

// BurnReport asks all processes known here. Its error is burn.ErrInvalid.
func (b *Base) BurnReport(ctx context.Context, alerts []burn.Alert, span time.Duration) (burn.Report, error) {
	q, err := burn.NewQuery(alerts, span)
	if err != nil {
		return burn.Report{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, burnTimeout)
	defer cancel()
	c := collection{query: q, ask: b.askBurn}
	c.run(ctx, b.gossip.KnownMembers())
	r := burn.Assemble(time.Now(), alerts, q, b.TableInForce(), c.sum)
	r.Processes = c.processes
	r.Unseen = unseen(b.Remotes())
	r.Partial = c.silent || r.Unseen > 0
	return r, nil
}

func (b *Base) askBurn(ctx context.Context, m fleet.Member, q burn.Query) (burn.Snapshot, error) {
	if m.ID == b.Self.ID {
		return b.BurnRecorder.Snapshot(time.Now(), q), nil
	}
	return peer.Call[burn.Query, burn.Snapshot](ctx, b.Node, m.Address, message.OperationBurn, q)
}

// unseen returns how many processes of other data centres have no address that
// is known here, at least one for each whose summary has not come yet.
func unseen(remotes []member.RemoteDataCentre) int {
	n := 0
	for _, r := range remotes {
		if r.ReceivedAt.IsZero() {
			n++
			continue
		}
		n += max(0, int(r.Summary.Members)-len(r.Summary.Contacts))
	}
	return n
}

// A collection gathers the snapshots of processes.
type collection struct {
	query burn.Query
	ask   func(context.Context, fleet.Member, burn.Query) (burn.Snapshot, error)

	sum       burn.Snapshot
	processes []burn.Process
	// silent tells that some process did not answer, or not as asked.
	silent bool
}

// run asks all members and sums up the answers that came before ctx ends.
func (c *collection) run(ctx context.Context, all []fleet.Member) {
	answers := make([]burn.Snapshot, len(all))
	c.processes = make([]burn.Process, len(all))
	var g errgroup.Group
	g.SetLimit(burnCalls)
	for i, m := range all {
		g.Go(func() error {
			answers[i], c.processes[i] = c.one(ctx, m)
			return nil
		})
	}
	_ = g.Wait()
	for i, p := range c.processes {
		if p.Error != "" {
			c.silent = true
			continue
		}
		c.sum.Merge(answers[i])
	}
}

func (c *collection) one(ctx context.Context, m fleet.Member) (burn.Snapshot, burn.Process) {
	p := burn.Process{ID: m.ID, Role: m.Role, DataCentre: m.Place.DataCentre}
	ctx, cancel := context.WithTimeout(ctx, burnCallTimeout)
	defer cancel()
	s, err := c.ask(ctx, m, c.query)
	if err == nil {
		err = s.Check(c.query)
	}
	if err != nil {
		p.Error = err.Error()
		return burn.Snapshot{}, p
	}
	p.Age = s.Age
	return s, p
}
