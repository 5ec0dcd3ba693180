package agent

import (
	"context"
	"time"

	"github.com/sesamestream/sesamestream/internal/message"
	"github.com/sesamestream/sesamestream/pkg/decide/host"
	"github.com/sesamestream/sesamestream/pkg/decide/place"
)

// The times and numbers of room reports.
const (
	roomEvery = 2 * time.Second
	// roomHosts is how many reports an owner should get in one period.
	roomHosts = 64
)

// tellRooms tells shard owners what room the host has. In a large fleet each
// period goes to some of the owners, so that an owner's load does not grow.
func (a *Agent) tellRooms(ctx context.Context) error {
	t := time.NewTicker(roomEvery)
	defer t.Stop()
	next := 0
	for {
		n := a.roomOwners()
		for range n {
			a.tellRoom(ctx, host.Shard(next%a.Base.Shards))
			next++
		}
		select {
		case <-t.C:
		case <-ctx.Done():
			return nil
		}
	}
}

// roomOwners is how many owners hear from this host in one period.
func (a *Agent) roomOwners() int {
	hosts := 1 + len(a.Base.Members())
	for _, r := range a.Base.Remotes() {
		hosts += int(r.Summary.Members)
	}
	return min(max(a.Base.Shards*roomHosts/hosts, 1), a.Base.Shards)
}

func (a *Agent) tellRoom(ctx context.Context, s host.Shard) {
	var r host.Room
	if err := a.tasks.runner.Query(ctx, func() { r = a.tasks.machine.Room() }); err != nil || r.Worker == 0 {
		return
	}
	self := a.Base.Self
	go a.tasks.tell(message.Tell{
		Shard:   s,
		Agent:   self.Life,
		Worker:  r.Worker,
		Address: self.Address,
		Room: &place.Host{
			ID: self.ID, Place: self.Place, Agent: self.Incarnation, Worker: r.Worker,
			Total: r.Total, Free: r.Free, Draining: r.Draining,
		},
	})
}
