package agent

import (
	"context"
	"time"

	"github.com/sesamestream/sesamestream/internal/message"
	"github.com/sesamestream/sesamestream/pkg/decide/host"
	"github.com/sesamestream/sesamestream/pkg/decide/place"
)

// Interval and number of the capacity reports.
const (
	capacityReportInterval = 2 * time.Second
	// reportsPerOwner is the number of reports that an owner should get in one interval.
	reportsPerOwner = 64
)

// reportCapacity periodically reports the host's capacity to the shard owners until ctx ends. In a
// large fleet it reports to only some of the owners in each interval, so that the load of an owner
// does not grow with the fleet.
func (a *Agent) reportCapacity(ctx context.Context) error {
	t := time.NewTicker(capacityReportInterval)
	defer t.Stop()
	next := 0
	for {
		r, err := a.hostCapacity(ctx, message.Empty{})
		for range a.ownersPerInterval() {
			if err == nil {
				a.sendCapacity(host.Shard(next%a.Base.Shards), r.Host)
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

// ownersPerInterval returns the number of owners that this host reports to in one interval.
func (a *Agent) ownersPerInterval() int {
	hosts := 1 + len(a.Base.Members())
	for _, r := range freshRemotes(time.Now(), a.Base.Remotes()) {
		hosts += int(r.Summary.Members)
	}
	return min(max(a.Base.Shards*reportsPerOwner/hosts, 1), a.Base.Shards)
}

// hostCapacity returns the host's total and free capacity.
func (a *Agent) hostCapacity(ctx context.Context, _ message.Empty) (message.HostCapacity, error) {
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

// sendCapacity reports the capacity h to the owner of a shard, unless no worker is known.
func (a *Agent) sendCapacity(s host.Shard, h place.Host) {
	if h.Worker == 0 {
		return
	}
	go a.tasks.sendReport(message.AgentReport{
		Shard:    s,
		Agent:    a.Base.Self.ProcessIncarnation,
		Worker:   h.Worker,
		Address:  a.Base.Self.Address,
		Capacity: &h,
	})
}

// drainWorker starts or ends the draining of the host's tasks and reports it to all shard owners.
func (a *Agent) drainWorker(ctx context.Context, q message.Drain) (message.Empty, error) {
	a.tasks.runner.Send(host.Drain{Draining: q.Draining})
	r, err := a.hostCapacity(ctx, message.Empty{})
	if err != nil {
		return message.Empty{}, err
	}
	for s := range a.Base.Shards {
		a.sendCapacity(host.Shard(s), r.Host)
	}
	return message.Empty{}, nil
}
