// Package agent implements the process that runs beside the targets and the worker of one host.
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

// Intervals and delays of an agent.
const (
	// refreshInterval is how often the capacity, the offers and the shares are updated.
	refreshInterval = 500 * time.Millisecond
	// leaveDelay is how long a leaving agent waits before it closes admission, so that the entries
	// stop sending it requests.
	leaveDelay = 3 * time.Second
	// drainPollInterval is how often a draining agent checks whether it is idle.
	drainPollInterval = 50 * time.Millisecond
)

// An Agent admits requests and tasks to one host. Its exported fields are set before Run.
type Agent struct {
	// Base is the part that all kinds of processes share.
	Base *base.Base
	// HostAddress is the listen address for announcements of targets and workers.
	HostAddress netip.AddrPort
	// Lease is how long a worker runs a task without contact from its owner.
	Lease time.Duration
	// RideThrough is how long owners renew leases after their last contact with the store.
	RideThrough time.Duration
	// DrainTimeout bounds a graceful shutdown.
	DrainTimeout time.Duration

	gate           *admission.Gate
	tasks          *taskManager
	shards         *shardManager
	targets        target.Registry
	targetClient   *target.Client
	leaving        atomic.Bool
	activeRequests atomic.Int64
}

// Run serves until ctx ends.
func (a *Agent) Run(ctx context.Context) error {
	a.targetClient = target.NewClient()
	defer a.targetClient.Close()
	a.gate = &admission.Gate{System: a.Base.System, Admitter: admit.New()}
	a.gate.Start()
	defer a.gate.Stop()
	a.Base.OnTable = a.tableChanged
	a.Base.OnMember = a.memberChanged
	a.Base.OwnedShards = func() []int { return a.shards.ownedShards() }
	a.Base.Prepare()
	a.shards = &shardManager{base: a.Base, shardCount: a.Base.Shards, lease: a.Lease, rideThrough: a.RideThrough}
	a.tasks = &taskManager{
		system: a.Base.System, incarnation: a.Base.Self.ProcessIncarnation, started: time.Now(), lease: a.Lease, node: a.Base.Node,
		address: a.Base.Self.Address, findOwner: a.findOwner, log: a.Base.Log,
	}
	a.tasks.start()
	a.registerHandlers()
	shardsCtx, release := context.WithCancel(context.WithoutCancel(ctx))
	defer release()
	released := make(chan struct{})
	return a.Base.Run(ctx,
		func(ctx context.Context) {
			a.drain(ctx)
			release()
			<-released
			a.Base.AnnounceLeaving()
		},
		a.serveAnnouncements,
		a.tasks.Run,
		a.refresh,
		a.reportCapacity,
		func(ctx context.Context) error {
			defer close(released)
			defer context.AfterFunc(ctx, release)()
			return a.shards.Run(shardsCtx)
		},
	)
}

// registerHandlers registers the handlers of the operations that peers may call.
func (a *Agent) registerHandlers() {
	h := &a.Base.Handlers
	h.Register(message.OperationRequest, a.handleRequest)
	peer.Handle(h, message.OperationOrder, a.tasks.handleOrder)
	peer.Handle(h, message.OperationReport, a.shards.handleReport)
	peer.Handle(h, message.OperationOwner, a.shards.handleOwnerQuery)
	peer.Handle(h, message.OperationShare, a.shards.receiveShare)
	peer.Handle(h, message.OperationJob, a.shards.handleJobCall)
	peer.Handle(h, message.OperationClaim, a.shards.handleClaim)
	peer.Handle(h, message.OperationClaimEnd, a.shards.handleClaimEnd)
	peer.Handle(h, message.OperationHostCapacity, a.hostCapacity)
	peer.Handle(h, message.OperationDrain, a.drainWorker)
}

// findOwner returns the address of a shard's owner, without using the cache.
func (a *Agent) findOwner(ctx context.Context, s host.Shard) (netip.AddrPort, error) {
	a.Base.InvalidateOwner(int(s))
	return a.Base.OwnerAddress(ctx, int(s))
}

// tableChanged passes a new table to the admission gate and the local owners.
func (a *Agent) tableChanged(t *table.Table) {
	a.gate.SetTable(t)
	if a.shards != nil {
		go a.shards.setTable(t)
	}
}

// memberChanged notifies the local owners of hosts that are considered dead.
func (a *Agent) memberChanged(i member.Info, s member.State) {
	if s < member.Dead || a.shards == nil {
		return
	}
	for _, o := range a.shards.readyOwners() {
		o.MarkHostUnresponsive(i.ID)
	}
}

// refresh periodically updates the capacity, the offers and the shares until ctx ends.
func (a *Agent) refresh(ctx context.Context) error {
	t := time.NewTicker(refreshInterval)
	defer t.Stop()
	for {
		now := time.Now()
		a.targets.Expire(now)
		a.gate.SetCapacity(a.targets.Connections(now))
		a.gate.SetShareFactors(admit.ShareFactors(a.liveHosts(now), nil))
		a.Base.SetOffers(a.offers(now))
		select {
		case <-t.C:
		case <-ctx.Done():
			return nil
		}
	}
}

// offers returns the kinds that this host serves, or none while it is leaving.
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

// drain withdraws the host's offers, starts to drain its tasks, waits until the entries have seen it,
// and then waits for the requests in flight. DrainTimeout bounds both waits.
func (a *Agent) drain(ctx context.Context) {
	a.leaving.Store(true)
	a.Base.SetOffers(nil)
	a.tasks.runner.Send(host.Drain{Draining: true})
	drainCtx, cancel := context.WithTimeout(ctx, a.DrainTimeout)
	defer cancel()
	steady.Sleep(drainCtx, leaveDelay)
	a.gate.Drain()
	for a.activeRequests.Load() > 0 && drainCtx.Err() == nil {
		steady.Sleep(drainCtx, drainPollInterval)
	}
}
