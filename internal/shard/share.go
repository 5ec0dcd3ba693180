package shard

import (
	"context"
	"time"

	"github.com/sesamestream/sesamestream/internal/message"
	"github.com/sesamestream/sesamestream/pkg/decide/place"
	"github.com/sesamestream/sesamestream/pkg/decide/task"
	"github.com/sesamestream/sesamestream/pkg/fleet"
)

// StartShareRound starts a round of the exchange of shares between shards. It returns
// the report for the owners of the other shards, or false if there are none or the
// actor does not answer.
func (o *Owner) StartShareRound(ctx context.Context) (place.ShareReport, bool) {
	var r place.ShareReport
	if o.Shards < 2 {
		return r, false
	}
	err := o.runner.Query(ctx, func() {
		now := time.Now()
		r = o.shares.BeginRound(now, o.placer.Usages())
		r.EvictionRequests, r.ReservedHosts = o.placer.EvictionRequests(now)
	})
	return r, err == nil
}

// HandleShareReport applies the report of another shard's owner and returns the
// answer once the report is in effect.
func (o *Owner) HandleShareReport(ctx context.Context, r place.ShareReport) (message.ShareAnswer, error) {
	a := message.ShareAnswer{Epoch: uint64(o.epoch)}
	if o.Shards < 2 {
		return a, ErrNotOwner
	}
	var evictingHosts []fleet.ID
	err := o.runner.Query(ctx, func() { evictingHosts = o.applyShareReport(r) })
	if err == nil {
		a.EvictingHosts = evictingHosts
	}
	return a, err
}

// applyShareReport applies a report and returns the hosts from which it evicts tasks
// for another shard. It runs in the actor.
func (o *Owner) applyShareReport(r place.ShareReport) []fleet.ID {
	now := time.Now()
	o.shares.HandleReport(now, r)
	for _, h := range r.ReservedHosts {
		o.placer.RestrictToUrgent(now, h)
	}
	var evictingHosts []fleet.ID
	for _, c := range r.EvictionRequests {
		if c.Shard != o.Shard {
			continue
		}
		victims, hostID := o.placer.VictimsForRequest(now, c)
		for _, v := range victims {
			o.runner.Send(task.EvictTask{Task: v})
		}
		if hostID != "" {
			evictingHosts = append(evictingHosts, hostID)
		}
	}
	return evictingHosts
}

// HandleShareAnswer records the answer of another shard's owner to the report of a round.
func (o *Owner) HandleShareAnswer(ctx context.Context, shard int, a message.ShareAnswer, round uint64) error {
	return o.runner.Query(ctx, func() {
		o.shares.Acknowledge(time.Now(), shard, a.Epoch, round)
		for _, h := range a.EvictingHosts {
			o.placer.ReserveClearedHost(h)
		}
	})
}
