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

// leaseCalls is how many lease calls a second a process may make.
const leaseCalls = 10

// breakerRest is how long the breaker of the store rests at least.
const breakerRest = time.Second

// build makes the common part of the process.
func (p *Process) build() *base.Base {
	s := p.Settings
	m := metrics.NewRegistry()
	p.ring = peer.NewKeyRing(p.Secrets.PeerKeys)
	p.gossip = &gossip.KeyRing{}
	p.gossip.Set(gossipKeys(p.Secrets.GossipKeys))
	return &base.Base{
		Self: fleet.Member{
			ProcessIncarnation: fleet.ProcessIncarnation{ID: s.ID, Incarnation: fleet.Incarnation(time.Now().UnixNano())},
			Role:               s.Role,
			Place:              s.Place,
			Address:            s.Peer.Listen,
		},
		Seeds:      s.Seeds,
		Shards:     s.Tasks.Shards,
		Keys:       p.ring,
		GossipKeys: p.gossip,
		Store: &door.Door{
			Store:   &consul.Client{Address: s.Store.Address, Token: p.Secrets.StoreToken},
			Budget:  door.Budget{Writes: door.Rate(s.Store.Writes), Reads: door.Rate(s.Store.Reads), Leases: leaseCalls},
			Timeout: s.Store.Timeout,
			Rest:    breakerRest,
			Metrics: m,
		},
		Operator: &operator.Server{Listen: s.Operator.Listen, Token: p.Secrets.OperatorToken, Keys: p.ring, Metrics: m, Log: p.Log},
		Metrics:  m,
		Log:      p.Log,
		System:   newSystem(),
	}
}

// newSystem makes an actor system that does not log by itself.
func newSystem() *actor.ActorSystem {
	quiet := slog.New(slog.DiscardHandler)
	return actor.NewActorSystem(actor.WithLoggerFactory(func(*actor.ActorSystem) *slog.Logger { return quiet }))
}

func gossipKeys(raw [][]byte) []gossip.Key {
	out := make([]gossip.Key, 0, len(raw))
	for _, b := range raw {
		out = append(out, gossip.Key(b))
	}
	return out
}

// Run serves until ctx ends, then drains and stops.
func (p *Process) Run(ctx context.Context) error {
	b := p.build()
	defer b.System.Shutdown()
	p.base.Store(b)
	if p.Reload != nil {
		go p.reload(ctx)
	}
	s := p.Settings
	if s.Role == fleet.RoleEntry {
		return (&entry.Entry{Base: b, Caller: &caller.Server{
			Listen: s.Caller.Listen, MaxBody: s.Caller.MaxBody, MaxHeader: s.Caller.MaxHeader,
			HeaderTimeout: s.Caller.HeaderTimeout, BodyTimeout: s.Caller.HeaderTimeout, Drain: s.Caller.Drain, Log: p.Log,
		}}).Run(ctx)
	}
	return (&agent.Agent{
		Base: b, Host: s.Host.Listen, Lease: s.Tasks.Lease, RideThrough: s.Tasks.RideThrough, Drain: s.Caller.Drain,
	}).Run(ctx)
}

// Kill makes the end of Run's context a crash.
func (p *Process) Kill() {
	if b := p.base.Load(); b != nil {
		b.Kill()
	}
}

// reload replaces the secrets each time Again fires; bad ones leave the old in use.
func (p *Process) reload(ctx context.Context) {
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
		p.ring.Replace(x.PeerKeys)
		p.gossip.Set(gossipKeys(x.GossipKeys))
		p.Log.Info().Str("event", "keysReloaded").Msg("")
	}
}
