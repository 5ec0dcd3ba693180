// Package agent is the process beside the targets and the worker of one host.
// It alone admits work to the host, and it may own shards.
package agent

import (
	"context"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/sesamestream/sesamestream/internal/admission"
	"github.com/sesamestream/sesamestream/internal/base"
	"github.com/sesamestream/sesamestream/internal/message"
	"github.com/sesamestream/sesamestream/internal/peer"
	"github.com/sesamestream/sesamestream/internal/steady"
	"github.com/sesamestream/sesamestream/internal/target"
	"github.com/sesamestream/sesamestream/pkg/decide/admit"
	"github.com/sesamestream/sesamestream/pkg/decide/host"
	"github.com/sesamestream/sesamestream/pkg/decide/member"
	"github.com/sesamestream/sesamestream/pkg/table"
)

// The times of an agent.
const (
	// refreshEvery is how often announcements, offers and shares are brought up to date.
	refreshEvery = 500 * time.Millisecond
	// leaveTime is how long an agent that leaves waits until no entry sends it more.
	leaveTime = 3 * time.Second
	// drainPoll is how often a draining agent looks whether it is idle.
	drainPoll = 50 * time.Millisecond
)

// An Agent is one agent. Its exported fields are set before Run.
type Agent struct {
	// Base is the common part of the process.
	Base *base.Base
	// HostAddress is where targets and workers announce themselves.
	HostAddress netip.AddrPort
	// Lease and RideThrough are the bounds of the tasks' leases.
	Lease       time.Duration
	RideThrough time.Duration
	// DrainTimeout bounds a graceful shutdown.
	DrainTimeout time.Duration

	gate    *admission.Gate
	tasks   *tasks
	shards  *shards
	targets target.Registry
	client  *target.Client
	leaving atomic.Bool
	running atomic.Int64
}

// Run serves until ctx ends.
func (a *Agent) Run(ctx context.Context) error {
	a.client = target.NewClient()
	defer a.client.Close()
	a.gate = &admission.Gate{System: a.Base.System, Admitter: admit.New()}
	a.gate.Start()
	defer a.gate.Stop()
	a.Base.OnTable = a.tableChanged
	a.Base.OnMember = a.memberChanged
	a.Base.OwnedShards = func() []int { return a.shards.owned() }
	a.Base.Prepare()
	a.shards = &shards{base: a.Base, count: a.Base.Shards, lease: a.Lease, ride: a.RideThrough}
	a.tasks = &tasks{
		system: a.Base.System, life: a.Base.Self.ProcessIncarnation, started: time.Now(), lease: a.Lease, node: a.Base.Node,
		address: a.Base.Self.Address, owner: a.ownerOf, log: a.Base.Log,
	}
	a.tasks.start()
	a.register()
	shards, release := context.WithCancel(context.WithoutCancel(ctx))
	defer release()
	released := make(chan struct{})
	return a.Base.Run(ctx,
		func(ctx context.Context) {
			a.drain(ctx)
			release()
			<-released
			a.Base.AnnounceLeaving()
		},
		a.serveHost,
		a.tasks.Run,
		a.refresh,
		a.tellRooms,
		func(ctx context.Context) error {
			defer close(released)
			defer context.AfterFunc(ctx, release)()
			return a.shards.Run(shards)
		},
	)
}

// register adds the operations that peers may call.
func (a *Agent) register() {
	h := &a.Base.Handlers
	h.Register(message.OperationRequest, a.request)
	peer.Handle(h, message.OperationOrder, a.tasks.order)
	peer.Handle(h, message.OperationReport, a.shards.tell)
	peer.Handle(h, message.OperationOwner, a.shards.isOwner)
	peer.Handle(h, message.OperationShare, a.shards.hearShare)
	peer.Handle(h, message.OperationJob, a.shards.job)
	peer.Handle(h, message.OperationClaim, a.shards.claim)
	peer.Handle(h, message.OperationClaimEnd, a.shards.claimEnd)
	peer.Handle(h, message.OperationHostCapacity, a.room)
	peer.Handle(h, message.OperationDrain, a.drainWorker)
}

// ownerOf finds the owner of a shard for the tasks of this host.
func (a *Agent) ownerOf(ctx context.Context, s host.Shard) (netip.AddrPort, error) {
	a.Base.InvalidateOwner(int(s))
	return a.Base.OwnerAddress(ctx, int(s))
}

func (a *Agent) tableChanged(t *table.Table) {
	a.gate.SetTable(t)
	if a.shards != nil {
		go a.shards.setTable(t)
	}
}

// memberChanged tells the owners here about hosts that fell silent.
func (a *Agent) memberChanged(i member.Info, s member.State) {
	if s < member.Dead || a.shards == nil {
		return
	}
	for _, o := range a.shards.running() {
		o.MarkHostUnresponsive(i.ID)
	}
}

// refresh brings what the host announces up to date until ctx ends.
func (a *Agent) refresh(ctx context.Context) error {
	t := time.NewTicker(refreshEvery)
	defer t.Stop()
	for {
		now := time.Now()
		a.targets.Expire(now)
		a.gate.SetCapacity(a.targets.Connections(now))
		a.gate.SetShares(admit.ShareFactors(a.hosts(now), nil))
		a.Base.SetOffers(a.offers(now))
		select {
		case <-t.C:
		case <-ctx.Done():
			return nil
		}
	}
}

// offers are the kinds this host serves, none while it leaves.
func (a *Agent) offers(now time.Time) []member.Offer {
	if a.leaving.Load() {
		return nil
	}
	var out []member.Offer
	limit := uint32(a.targets.Connections(now))
	for _, k := range a.targets.Kinds(now) {
		out = append(out, member.Offer{Kind: k, Limit: limit})
	}
	return out
}

// drain lets entries learn that the host leaves, then finishes what runs.
func (a *Agent) drain(ctx context.Context) {
	a.leaving.Store(true)
	a.Base.SetOffers(nil)
	a.tasks.runner.Send(host.Drain{Draining: true})
	bound, cancel := context.WithTimeout(ctx, a.DrainTimeout)
	defer cancel()
	steady.Sleep(bound, leaveTime)
	a.gate.Drain()
	for a.running.Load() > 0 && bound.Err() == nil {
		steady.Sleep(bound, drainPoll)
	}
}
