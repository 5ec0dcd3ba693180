package shard

import (
	"context"
	"time"

	"github.com/sesamestream/sesamestream/pkg/decide/place"
)

// ShareRound begins a round of the shares and returns what to tell the other
// shards' owners; false where there is only one shard.
func (o *Owner) ShareRound(ctx context.Context) (place.ShareReport, bool) {
	var r place.ShareReport
	if o.Shards < 2 {
		return r, false
	}
	err := o.runner.Query(ctx, func() { r = o.shares.Round(time.Now(), o.placer.Uses()) })
	return r, err == nil
}

// HearShare takes what another shard's owner tells, and returns this owner's
// epoch once it counts.
func (o *Owner) HearShare(ctx context.Context, r place.ShareReport) (uint64, error) {
	if o.Shards < 2 {
		return 0, ErrNotOwner
	}
	err := o.runner.Query(ctx, func() { o.shares.Hear(time.Now(), r) })
	return uint64(o.epoch), err
}

// ShareTaken notes that another shard's owner took the report of a round.
func (o *Owner) ShareTaken(ctx context.Context, shard int, epoch, round uint64) error {
	return o.runner.Query(ctx, func() { o.shares.Taken(time.Now(), shard, epoch, round) })
}
