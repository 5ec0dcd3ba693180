package base

import (
	"context"
	"sync"
	"time"

	"github.com/sesamestream/sesamestream/internal/message"
	"github.com/sesamestream/sesamestream/internal/peer"
	"github.com/sesamestream/sesamestream/pkg/fleet"
)

// statusTimeout bounds the wait for one process's status.
const statusTimeout = 2 * time.Second

// Status returns how this process is.
func (b *Base) Status() message.Status {
	now := time.Now()
	s := message.Status{
		Member:       b.Self,
		Uptime:       now.Sub(time.Unix(0, int64(b.Self.Incarnation))),
		StoreAge:     -1,
		StoreBackoff: b.Store.Resting(now),
		Members:      1 + len(b.Members()),
		DataCentres:  len(b.Remotes()),
		Leaving:      b.leaving.Load(),
	}
	if t := b.TableInForce(); t != nil {
		s.Revision = t.Revision
	}
	if a := b.age.Load(); a != nil {
		s.TableAge = a.Age
	}
	if c := b.Store.Contact(); !c.IsZero() {
		s.StoreAge = now.Sub(c)
	}
	if b.OwnedShards != nil {
		s.Shards = b.OwnedShards()
	}
	return s
}

// FleetStatus asks all processes known here how they are.
func (b *Base) FleetStatus(ctx context.Context) []message.Status {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
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
