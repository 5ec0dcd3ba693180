// Package entry is the thin process between callers and agents.
package entry

import (
	"context"
	"net/netip"

	"github.com/phuslu/log"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/sync/errgroup"

	"github.com/sesamestream/sesamestream/internal/caller"
	"github.com/sesamestream/sesamestream/internal/operator"
	"github.com/sesamestream/sesamestream/internal/peer"
	"github.com/sesamestream/sesamestream/pkg/fleet"
)

// An Entry is one entry. Its exported fields are set before Run.
type Entry struct {
	// Self is the entry as its peers see it.
	Self fleet.Member
	// Seeds are peers to join by.
	Seeds []netip.AddrPort
	// Caller serves callers; the entry sets its handler.
	Caller *caller.Server
	// Operator serves operators.
	Operator *operator.Server
	// Keys are the entry's keys.
	Keys *peer.KeyRing
	// Metrics takes the entry's counts.
	Metrics metrics.Registry
	// Log takes the entry's events.
	Log *log.Logger

	node *peer.Node
}

// Run serves until ctx ends.
func (e *Entry) Run(ctx context.Context) error {
	e.node = &peer.Node{Listen: e.Self.Address, Keys: e.Keys, Handlers: &peer.Handlers{}, Log: e.Log}
	e.Caller.Handler = e
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return e.node.Run(ctx) })
	g.Go(func() error { return e.Caller.Run(ctx) })
	g.Go(func() error { return e.Operator.Run(ctx) })
	e.Log.Info().Str("event", "started").Str("id", string(e.Self.ID)).Msg("")
	return g.Wait()
}
