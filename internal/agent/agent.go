// Package agent is the process beside the targets and the worker of one host.
// It alone admits work to the host.
package agent

import (
	"context"
	"net/netip"
	"time"

	"github.com/phuslu/log"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/sync/errgroup"

	"github.com/sesamestream/sesamestream/internal/message"
	"github.com/sesamestream/sesamestream/internal/operator"
	"github.com/sesamestream/sesamestream/internal/peer"
	"github.com/sesamestream/sesamestream/internal/target"
	"github.com/sesamestream/sesamestream/pkg/fleet"
)

// expireInterval is how often old announcements are dropped.
const expireInterval = time.Second

// An Agent is one agent. Its exported fields are set before Run.
type Agent struct {
	// Self is the agent as its peers see it.
	Self fleet.Member
	// Host is where targets and workers announce themselves.
	Host netip.AddrPort
	// Operator serves operators.
	Operator *operator.Server
	// Keys are the agent's keys.
	Keys *peer.KeyRing
	// Metrics takes the agent's counts.
	Metrics metrics.Registry
	// Log takes the agent's events.
	Log *log.Logger

	node    *peer.Node
	targets target.Registry
	client  *target.Client
}

// Run serves until ctx ends.
func (a *Agent) Run(ctx context.Context) error {
	a.client = target.NewClient()
	defer a.client.Close()
	h := &peer.Handlers{}
	h.Register(message.OperationRequest, a.request)
	a.node = &peer.Node{Listen: a.Self.Address, Keys: a.Keys, Handlers: h, Log: a.Log}
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return a.node.Run(ctx) })
	g.Go(func() error { return a.serveHost(ctx) })
	g.Go(func() error { return a.Operator.Run(ctx) })
	g.Go(func() error { return a.expire(ctx) })
	a.Log.Info().Str("event", "started").Str("id", string(a.Self.ID)).Msg("")
	return g.Wait()
}

func (a *Agent) expire(ctx context.Context) error {
	t := time.NewTicker(expireInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			a.targets.Expire(time.Now())
		case <-ctx.Done():
			return nil
		}
	}
}
