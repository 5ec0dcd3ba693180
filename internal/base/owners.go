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

// ErrNoOwner is returned where the owner of a shard is not found.
var ErrNoOwner = errors.New("base: the shard's owner is not known")

// The bounds of a search for an owner.
const (
	askTimeout = time.Second
	askPeers   = 3
)

// OwnerAddress returns where the owner of a shard was last known, looking in the
// store and then among peers where it is not known.
func (b *Base) OwnerAddress(ctx context.Context, shard int) (netip.AddrPort, error) {
	b.mu.RLock()
	o, ok := b.owners[shard]
	b.mu.RUnlock()
	if ok && !b.Superseded(o.Life) {
		return o.Address, nil
	}
	o, err := ownership.Locate(ctx, b.Store, shard)
	if err != nil || b.Superseded(o.Life) {
		o, err = b.askOwner(ctx, shard)
	}
	if err != nil {
		return netip.AddrPort{}, err
	}
	b.CacheOwner(shard, o)
	return o.Address, nil
}

// CacheOwner notes the owner of a shard.
func (b *Base) CacheOwner(shard int, o ownership.Owner) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.owners[shard] = o
}

// InvalidateOwner makes the next call look for the owner of a shard anew.
func (b *Base) InvalidateOwner(shard int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.owners, shard)
}

// askOwner asks a few agents which shards they own, the preferred ones first.
func (b *Base) askOwner(ctx context.Context, shard int) (ownership.Owner, error) {
	lives := slices.Clone(b.PreferredOwners(shard))
	if len(lives) > askPeers {
		rand.Shuffle(len(lives)-1, func(i, j int) { lives[i+1], lives[j+1] = lives[j+1], lives[i+1] }) //nolint:gosec // A choice needs no secret.
		lives = lives[:askPeers]
	}
	for _, v := range lives {
		if o, ok := b.askOne(ctx, shard, v); ok {
			return o, nil
		}
	}
	return ownership.Owner{}, ErrNoOwner
}

func (b *Base) askOne(ctx context.Context, shard int, v fleet.ProcessIncarnation) (ownership.Owner, bool) {
	to, ok := b.IncarnationAddress(v)
	if !ok {
		return ownership.Owner{}, false
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	a, err := peer.Call[message.OwnerQuery, message.OwnerAnswer](ctx, b.Node, to, message.OperationOwner, message.OwnerQuery{Shard: shard})
	if err != nil || !a.IsOwner {
		return ownership.Owner{}, false
	}
	return ownership.Owner{Life: a.Process, Address: to}, true
}
