package process

import (
	"context"
	"log/slog"
	"time"

	"github.com/asynkron/protoactor-go/actor"
	"github.com/rcrowley/go-metrics"

	"github.com/sesamestream/sesamestream/internal/agent"
	"github.com/sesamestream/sesamestream/internal/base"
	"github.com/sesamestream/sesamestream/internal/caller"
	"github.com/sesamestream/sesamestream/internal/consul"
	"github.com/sesamestream/sesamestream/internal/entry"
	"github.com/sesamestream/sesamestream/internal/gossip"
	"github.com/sesamestream/sesamestream/internal/operator"
	"github.com/sesamestream/sesamestream/internal/peer"
	"github.com/sesamestream/sesamestream/internal/store/door"
	"github.com/sesamestream/sesamestream/pkg/fleet"
)

// maxLeaseCallsPerSecond bounds the process's calls to the store about leases.
const maxLeaseCallsPerSecond = 10

// minBreakerOpenTime is the minimum time for which the circuit breaker of the store stays open.
const minBreakerOpenTime = time.Second

// build creates the part that entries and agents have in common.
func (p *Process) build() *base.Base {
	s := p.Settings
	m := metrics.NewRegistry()
	p.peerKeys = peer.NewKeyRing(p.Secrets.PeerKeys)
	p.gossipKeys = &gossip.KeyRing{}
	p.gossipKeys.Set(toGossipKeys(p.Secrets.GossipKeys))
	return &base.Base{
		Self: fleet.Member{
			ProcessIncarnation: fleet.ProcessIncarnation{ID: s.ID, Incarnation: fleet.Incarnation(time.Now().UnixNano())},
			Role:               s.Role,
			Place:              s.Place,
			Address:            s.Peer.Listen,
		},
		Seeds:      s.Seeds,
		Shards:     s.Tasks.Shards,
		Keys:       p.peerKeys,
		GossipKeys: p.gossipKeys,
		Store: &door.LimitedStore{
			Store:       &consul.Client{Address: s.Store.Address, Token: p.Secrets.StoreToken},
			Budget:      door.Budget{Writes: door.Rate(s.Store.Writes), Reads: door.Rate(s.Store.Reads), Leases: maxLeaseCallsPerSecond},
			Timeout:     s.Store.Timeout,
			MinOpenTime: minBreakerOpenTime,
			Metrics:     m,
		},
		Operator: &operator.Server{Listen: s.Operator.Listen, Token: p.Secrets.OperatorToken, Keys: p.peerKeys, Metrics: m, Log: p.Log},
		Metrics:  m,
		Log:      p.Log,
		System:   newActorSystem(),
	}
}

// newActorSystem creates an actor system without a log of its own.
func newActorSystem() *actor.ActorSystem {
	discard := slog.New(slog.DiscardHandler)
	return actor.NewActorSystem(actor.WithLoggerFactory(func(*actor.ActorSystem) *slog.Logger { return discard }))
}

func toGossipKeys(keys [][]byte) []gossip.Key {
	out := make([]gossip.Key, 0, len(keys))
	for _, b := range keys {
		out = append(out, gossip.Key(b))
	}
	return out
}

// Run serves until ctx ends, then drains and returns.
func (p *Process) Run(ctx context.Context) error {
	b := p.build()
	defer b.System.Shutdown()
	p.base.Store(b)
	if p.Reload != nil {
		go p.reloadOnSignal(ctx)
	}
	s := p.Settings
	if s.Role == fleet.RoleEntry {
		return (&entry.Entry{Base: b, Caller: &caller.Server{
			Listen: s.Caller.Listen, MaxBody: s.Caller.MaxBody, MaxHeader: s.Caller.MaxHeader,
			HeaderTimeout: s.Caller.HeaderTimeout, BodyTimeout: s.Caller.HeaderTimeout, ShutdownTimeout: s.Caller.Drain, Log: p.Log,
		}}).Run(ctx)
	}
	return (&agent.Agent{
		Base: b, HostAddress: s.Host.Listen, Lease: s.Tasks.Lease, RideThrough: s.Tasks.RideThrough, DrainTimeout: s.Caller.Drain,
	}).Run(ctx)
}

// Kill makes Run stop like a crashed process when its context ends: without draining or notifying others.
func (p *Process) Kill() {
	if b := p.base.Load(); b != nil {
		b.SimulateCrash()
	}
}

// reloadOnSignal replaces the peer and gossip keys for each signal on ReloadSignal.
// If Reload fails, the old keys stay in use.
func (p *Process) reloadOnSignal(ctx context.Context) {
	for {
		select {
		case <-p.ReloadSignal:
		case <-ctx.Done():
			return
		}
		x, err := p.Reload()
		if err != nil {
			p.Log.Error().Str("event", "reloadFailed").Err(err).Msg("")
			continue
		}
		p.peerKeys.Replace(x.PeerKeys)
		p.gossipKeys.Set(toGossipKeys(x.GossipKeys))
		p.Log.Info().Str("event", "keysReloaded").Msg("")
	}
}
