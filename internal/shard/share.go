package shard

import (
	"context"
	"time"

	"github.com/sesamestream/sesamestream/internal/message"
	"github.com/sesamestream/sesamestream/pkg/decide/place"
	"github.com/sesamestream/sesamestream/pkg/decide/task"
	"github.com/sesamestream/sesamestream/pkg/fleet"
)

// StartShareRound begins a round of the shares and returns what to tell the other
// shards' owners; false where there is only one shard.
func (o *Owner) StartShareRound(ctx context.Context) (place.ShareReport, bool) {
	var r place.ShareReport
	if o.Shards < 2 {
		return r, false
	}
	err := o.runner.Query(ctx, func() {
		now := time.Now()
		r = o.shares.Round(now, o.placer.Uses())
		r.Calls, r.Kept = o.placer.Calls(now)
	})
	return r, err == nil
}

// HandleShareReport takes what another shard's owner tells. The answer holds once it counts.
func (o *Owner) HandleShareReport(ctx context.Context, r place.ShareReport) (message.ShareAnswer, error) {
	a := message.ShareAnswer{Epoch: uint64(o.epoch)}
	if o.Shards < 2 {
		return a, ErrNotOwner
	}
	var cleared []fleet.ID
	err := o.runner.Query(ctx, func() { cleared = o.hear(r) })
	if err == nil {
		a.EvictingHosts = cleared
	}
	return a, err
}

// hear runs in the actor and returns the hosts that it clears for another shard.
func (o *Owner) hear(r place.ShareReport) []fleet.ID {
	now := time.Now()
	o.shares.Hear(now, r)
	for _, h := range r.Kept {
		o.placer.Close(now, h)
	}
	var cleared []fleet.ID
	for _, c := range r.Calls {
		if c.Shard != o.Shard {
			continue
		}
		victims, on := o.placer.Lend(now, c)
		for _, v := range victims {
			o.runner.Send(task.EvictTask{Task: v})
		}
		if on != "" {
			cleared = append(cleared, on)
		}
	}
	return cleared
}

// HandleShareAnswer notes that another shard's owner took the report of a round.
func (o *Owner) HandleShareAnswer(ctx context.Context, shard int, a message.ShareAnswer, round uint64) error {
	return o.runner.Query(ctx, func() {
		o.shares.Taken(time.Now(), shard, a.Epoch, round)
		for _, h := range a.EvictingHosts {
			o.placer.Cleared(h)
		}
	})
}
