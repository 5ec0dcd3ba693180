package base

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/sesamestream/sesamestream/internal/message"
	"github.com/sesamestream/sesamestream/internal/operator"
	"github.com/sesamestream/sesamestream/internal/peer"
	"github.com/sesamestream/sesamestream/pkg/fleet"
)

// roomTimeout bounds the wait for one host's room.
const roomTimeout = 2 * time.Second

// A contact is where an agent is reached.
type contact struct {
	id fleet.ID
	at netip.AddrPort
}

// agents returns the agents known here, this process included.
func (b *Base) agents() []contact {
	var out []contact
	for _, m := range b.gossip.KnownMembers() {
		if m.Role == fleet.RoleAgent {
			out = append(out, contact{id: m.ID, at: m.Address})
		}
	}
	return out
}

// ListWorkers asks the agents known here for the rooms of their hosts.
func (b *Base) ListWorkers(ctx context.Context) []operator.WorkerState {
	ctx, cancel := context.WithTimeout(ctx, roomTimeout)
	defer cancel()
	agents := b.agents()
	out := make([]operator.WorkerState, len(agents))
	var w sync.WaitGroup
	for i, c := range agents {
		w.Go(func() { out[i] = b.worker(ctx, c) })
	}
	w.Wait()
	return out
}

func (b *Base) worker(ctx context.Context, c contact) operator.WorkerState {
	r, err := peer.Call[message.Empty, message.HostCapacity](ctx, b.Node, c.at, message.OperationHostCapacity, message.Empty{})
	if err != nil {
		return operator.WorkerState{ID: c.id, Error: err.Error()}
	}
	h := r.Host
	return operator.WorkerState{ID: c.id, Place: h.Place, Total: h.Total, Free: h.Free, Tasks: r.Attempts, Draining: h.Draining}
}

// SetWorkerDraining tells a host's agent to move its tasks away, or to take tasks again.
func (b *Base) SetWorkerDraining(ctx context.Context, id fleet.ID, draining bool) error {
	for _, c := range b.agents() {
		if c.id == id {
			_, err := peer.Call[message.Drain, message.Empty](ctx, b.Node, c.at, message.OperationDrain, message.Drain{Draining: draining})
			return err
		}
	}
	return operator.ErrNoWorker
}
