package base

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/sesamestream/sesamestream/internal/message"
	"github.com/sesamestream/sesamestream/internal/ownership"
	"github.com/sesamestream/sesamestream/internal/peer"
	"github.com/sesamestream/sesamestream/pkg/fleet"
)

// ErrNoOwner is returned if the owner of a shard is not found.
var ErrNoOwner = errors.New("base: the shard's owner is not known")

// Limits of the search for an owner among the agents.
const (
	// ownerQueryTimeout bounds the wait for one agent.
	ownerQueryTimeout = time.Second
	// maxOwnerQueries bounds how many agents are queried.
	maxOwnerQueries = 3
)

// OwnerAddress returns the last known address of the owner of a shard. If the owner is not known or
// is superseded, it is looked up in the store and then among the agents.
func (b *Base) OwnerAddress(ctx context.Context, shard int) (netip.AddrPort, error) {
	b.mu.RLock()
	o, ok := b.shardOwners[shard]
	b.mu.RUnlock()
	if ok && !b.Superseded(o.Process) {
		return o.Address, nil
	}
	o, err := ownership.Locate(ctx, b.Store, shard)
	if err != nil || b.Superseded(o.Process) {
		o, err = b.queryAgents(ctx, shard)
	}
	if err != nil {
		return netip.AddrPort{}, err
	}
	b.CacheOwner(shard, o)
	return o.Address, nil
}

// CacheOwner stores the owner of a shard for OwnerAddress.
func (b *Base) CacheOwner(shard int, o ownership.Owner) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.shardOwners[shard] = o
}

// InvalidateOwner removes the cached owner of a shard, so that the next call looks it up again.
func (b *Base) InvalidateOwner(shard int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.shardOwners, shard)
}

// queryAgents asks the most preferred agent and a few random others whether they own the shard.
func (b *Base) queryAgents(ctx context.Context, shard int) (ownership.Owner, error) {
	agents := slices.Clone(b.PreferredOwners(shard))
	if len(agents) > maxOwnerQueries {
		rand.Shuffle(len(agents)-1, func(i, j int) { agents[i+1], agents[j+1] = agents[j+1], agents[i+1] }) //nolint:gosec // The sample needs no cryptographic randomness.
		agents = agents[:maxOwnerQueries]
	}
	for _, v := range agents {
		if o, ok := b.queryAgent(ctx, shard, v); ok {
			return o, nil
		}
	}
	return ownership.Owner{}, ErrNoOwner
}

func (b *Base) queryAgent(ctx context.Context, shard int, v fleet.ProcessIncarnation) (ownership.Owner, bool) {
	to, ok := b.IncarnationAddress(v)
	if !ok {
		return ownership.Owner{}, false
	}
	ctx, cancel := context.WithTimeout(ctx, ownerQueryTimeout)
	defer cancel()
	a, err := peer.Call[message.OwnerQuery, message.OwnerAnswer](ctx, b.Node, to, message.OperationOwner, message.OwnerQuery{Shard: shard})
	if err != nil || !a.IsOwner {
		return ownership.Owner{}, false
	}
	return ownership.Owner{Process: a.Process, Address: to}, true
}
