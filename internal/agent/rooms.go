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
		r, err := a.room(ctx, message.Empty{})
		for range a.roomOwners() {
			if err == nil {
				a.tellRoom(host.Shard(next%a.Base.Shards), r.Host)
			}
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
	for _, r := range fresh(time.Now(), a.Base.Remotes()) {
		hosts += int(r.Summary.Members)
	}
	return min(max(a.Base.Shards*roomHosts/hosts, 1), a.Base.Shards)
}

// room returns the host's room.
func (a *Agent) room(ctx context.Context, _ message.Empty) (message.HostCapacity, error) {
	var r host.Capacity
	if err := a.tasks.runner.Query(ctx, func() { r = a.tasks.machine.Capacity() }); err != nil {
		return message.HostCapacity{}, err
	}
	self := a.Base.Self
	return message.HostCapacity{
		Host: place.Host{
			ID: self.ID, Place: self.Place, Agent: self.Incarnation, Worker: r.Worker,
			Total: r.Total, Free: r.Free, Draining: r.Draining,
		},
		Attempts: r.Attempts,
	}, nil
}

func (a *Agent) tellRoom(s host.Shard, h place.Host) {
	if h.Worker == 0 {
		return
	}
	go a.tasks.tell(message.AgentReport{
		Shard:    s,
		Agent:    a.Base.Self.ProcessIncarnation,
		Worker:   h.Worker,
		Address:  a.Base.Self.Address,
		Capacity: &h,
	})
}

// drainWorker moves the tasks of the host away, or takes tasks again.
func (a *Agent) drainWorker(ctx context.Context, q message.Drain) (message.Empty, error) {
	a.tasks.runner.Send(host.Drain{Draining: q.Draining})
	r, err := a.room(ctx, message.Empty{})
	if err != nil {
		return message.Empty{}, err
	}
	for s := range a.Base.Shards {
		a.tellRoom(host.Shard(s), r.Host)
	}
	return message.Empty{}, nil
}
