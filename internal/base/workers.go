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

// workerQueryTimeout bounds the wait for the capacity of all hosts, which are queried in parallel.
const workerQueryTimeout = 2 * time.Second

// An agentContact is the ID and the address of an agent.
type agentContact struct {
	id      fleet.ID
	address netip.AddrPort
}

// agents returns the agents known here, including this process.
func (b *Base) agents() []agentContact {
	var out []agentContact
	for _, m := range b.gossip.KnownMembers() {
		if m.Role == fleet.RoleAgent {
			out = append(out, agentContact{id: m.ID, address: m.Address})
		}
	}
	return out
}

// ListWorkers returns the capacity of the hosts of all agents known here. For an agent that does not
// answer it holds the error.
func (b *Base) ListWorkers(ctx context.Context) []operator.WorkerState {
	ctx, cancel := context.WithTimeout(ctx, workerQueryTimeout)
	defer cancel()
	agents := b.agents()
	out := make([]operator.WorkerState, len(agents))
	var w sync.WaitGroup
	for i, c := range agents {
		w.Go(func() { out[i] = b.queryWorker(ctx, c) })
	}
	w.Wait()
	return out
}

func (b *Base) queryWorker(ctx context.Context, c agentContact) operator.WorkerState {
	r, err := peer.Call[message.Empty, message.HostCapacity](ctx, b.Node, c.address, message.OperationHostCapacity, message.Empty{})
	if err != nil {
		return operator.WorkerState{ID: c.id, Error: err.Error()}
	}
	h := r.Host
	return operator.WorkerState{ID: c.id, Place: h.Place, Total: h.Total, Free: h.Free, Tasks: r.Attempts, Draining: h.Draining}
}

// SetWorkerDraining orders a host's agent to move its tasks away, or to accept tasks again.
func (b *Base) SetWorkerDraining(ctx context.Context, id fleet.ID, draining bool) error {
	for _, c := range b.agents() {
		if c.id == id {
			_, err := peer.Call[message.Drain, message.Empty](ctx, b.Node, c.address, message.OperationDrain, message.Drain{Draining: draining})
			return err
		}
	}
	return operator.ErrNoWorker
}
