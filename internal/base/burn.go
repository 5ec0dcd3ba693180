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

// Limits of the collection of a burn report.
const (
	// burnReportTimeout bounds the wait for the answers of all processes.
	burnReportTimeout = 8 * time.Second
	// burnProcessTimeout bounds the wait for the answer of one process.
	burnProcessTimeout = 2 * time.Second
	// maxConcurrentBurnCalls bounds how many processes are queried at the same time.
	maxConcurrentBurnCalls = 64
)

// prepareBurn starts the recorder and registers the handlers that serve its counts.
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

// RecordOutcome counts the outcome that a caller was sent, measured against the objective in the
// table in force.
func (b *Base) RecordOutcome(k fleet.Kind, o fleet.Outcome, latency time.Duration) {
	b.BurnRecorder.RecordOutcome(time.Now(), k, o, latency, b.tableRow(k).Objective)
}

// An Arrival is a request that reached the agent of this process and is not yet admitted or refused.
type Arrival struct {
	base             *Base
	kind             fleet.Kind
	arrivedAt        time.Time
	runningAtArrival int
}

// NewArrival returns the arrival of a request that is about to be admitted or refused.
func (b *Base) NewArrival(k fleet.Kind) Arrival {
	return Arrival{base: b, kind: k, arrivedAt: time.Now(), runningAtArrival: b.BurnRecorder.Running(k)}
}

// RecordRefusal counts the refusal, unless ctx shows that the request was cancelled. The argument load
// returns the agent's current load of a kind.
func (a Arrival) RecordRefusal(ctx context.Context, load func(fleet.Kind) admit.Load) {
	if errors.Is(ctx.Err(), context.Canceled) {
		return
	}
	limit := load(a.kind).Limit
	a.recordDecision(max(a.runningAtArrival, a.base.BurnRecorder.Running(a.kind)), limit, false)
}

// RecordStart counts the start of the request and returns the function to call when the request
// has ended.
func (a Arrival) RecordStart(load func(fleet.Kind) admit.Load) (ended func()) {
	others := a.base.BurnRecorder.Begin(a.kind)
	a.recordDecision(max(a.runningAtArrival, others), load(a.kind).Limit, true)
	return func() { a.base.BurnRecorder.End(a.kind) }
}

// recordDecision counts the decision. The caller passes as running the higher number of running
// requests at the arrival and at the decision, so a request counts as under the floor only if its kind
// was below the floor at both times.
func (a Arrival) recordDecision(running, limit int, started bool) {
	now := time.Now()
	r := a.base.tableRow(a.kind)
	x := burn.Admission{Running: running, Floor: burn.LocalFloor(r, limit), Queued: now.Sub(a.arrivedAt), Started: started}
	a.base.BurnRecorder.RecordAdmission(now, a.kind, x, r.Objective)
}

func (b *Base) tableRow(k fleet.Kind) table.Row {
	t := b.TableInForce()
	if t == nil {
		return table.Row{}
	}
	r, _ := t.Row(k)
	return r
}

// BurnReport collects the report from all processes known here. Its error is burn.ErrInvalid.
func (b *Base) BurnReport(ctx context.Context, alerts []burn.Alert, span time.Duration) (burn.Report, error) {
	q, err := burn.NewQuery(alerts, span)
	if err != nil {
		return burn.Report{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, burnReportTimeout)
	defer cancel()
	c := burnCollection{query: q, fetch: b.fetchBurnSnapshot}
	c.run(ctx, b.gossip.KnownMembers())
	r := burn.Assemble(time.Now(), alerts, q, b.TableInForce(), c.merged)
	r.Processes = c.processes
	r.ProcessesWithoutAddress = countUnseen(b.Remotes())
	r.Partial = c.incomplete || r.ProcessesWithoutAddress > 0
	return r, nil
}

func (b *Base) fetchBurnSnapshot(ctx context.Context, m fleet.Member, q burn.Query) (burn.Snapshot, error) {
	if m.ID == b.Self.ID {
		return b.BurnRecorder.Snapshot(time.Now(), q), nil
	}
	return peer.Call[burn.Query, burn.Snapshot](ctx, b.Node, m.Address, message.OperationBurn, q)
}

// countUnseen returns the number of processes of other data centres whose address is not known here.
// A data centre whose summary has not arrived yet counts as one process.
func countUnseen(remotes []member.RemoteDataCentre) int {
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

// A burnCollection collects and merges the burn snapshots of processes.
type burnCollection struct {
	query burn.Query
	fetch func(context.Context, fleet.Member, burn.Query) (burn.Snapshot, error)

	merged    burn.Snapshot
	processes []burn.Process
	// incomplete is set if a process did not answer, or its answer does not match the query.
	incomplete bool
}

// run queries all members and merges the answers that arrive before ctx ends.
func (c *burnCollection) run(ctx context.Context, all []fleet.Member) {
	answers := make([]burn.Snapshot, len(all))
	c.processes = make([]burn.Process, len(all))
	var g errgroup.Group
	g.SetLimit(maxConcurrentBurnCalls)
	for i, m := range all {
		g.Go(func() error {
			answers[i], c.processes[i] = c.fetchOne(ctx, m)
			return nil
		})
	}
	_ = g.Wait()
	for i, p := range c.processes {
		if p.Error != "" {
			c.incomplete = true
			continue
		}
		c.merged.Merge(answers[i])
	}
}

func (c *burnCollection) fetchOne(ctx context.Context, m fleet.Member) (burn.Snapshot, burn.Process) {
	p := burn.Process{ID: m.ID, Role: m.Role, DataCentre: m.Place.DataCentre}
	ctx, cancel := context.WithTimeout(ctx, burnProcessTimeout)
	defer cancel()
	s, err := c.fetch(ctx, m, c.query)
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
