package base

import (
	"context"
	"sync"
	"time"

	"github.com/sesamestream/sesamestream/internal/message"
	"github.com/sesamestream/sesamestream/internal/peer"
	"github.com/sesamestream/sesamestream/pkg/fleet"
)

// fleetStatusTimeout bounds the wait for the status of all processes, which are queried in parallel.
const fleetStatusTimeout = 2 * time.Second

// Status returns the status of this process.
func (b *Base) Status() message.Status {
	now := time.Now()
	s := message.Status{
		Member:       b.Self,
		Uptime:       now.Sub(time.Unix(0, int64(b.Self.Incarnation))),
		StoreAge:     -1,
		StoreBackoff: b.Store.BreakerOpen(now),
		Members:      1 + len(b.Members()),
		DataCentres:  len(b.Remotes()),
		Leaving:      b.leaving.Load(),
	}
	if t := b.TableInForce(); t != nil {
		s.Revision = t.Revision
	}
	if a := b.tableAge.Load(); a != nil {
		s.TableAge = a.Age
	}
	if c := b.Store.LastContact(); !c.IsZero() {
		s.StoreAge = now.Sub(c)
	}
	if b.OwnedShards != nil {
		s.Shards = b.OwnedShards()
	}
	return s
}

// FleetStatus returns the status of all processes known here. For a process that does not answer it
// holds the error.
func (b *Base) FleetStatus(ctx context.Context) []message.Status {
	ctx, cancel := context.WithTimeout(ctx, fleetStatusTimeout)
	defer cancel()
	all := b.gossip.KnownMembers()
	out := make([]message.Status, len(all))
	var w sync.WaitGroup
	for i, m := range all {
		w.Go(func() { out[i] = b.statusOf(ctx, m) })
	}
	w.Wait()
	return out
}

func (b *Base) statusOf(ctx context.Context, m fleet.Member) message.Status {
	if m.ID == b.Self.ID {
		return b.Status()
	}
	s, err := peer.Call[message.Empty, message.Status](ctx, b.Node, m.Address, message.OperationStatus, message.Empty{})
	if err != nil {
		return message.Status{Member: m, Error: err.Error()}
	}
	return s
}
