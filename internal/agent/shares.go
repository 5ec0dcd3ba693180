package agent

import (
	"context"
	"time"

	"github.com/sesamestream/sesamestream/internal/message"
	"github.com/sesamestream/sesamestream/internal/peer"
	"github.com/sesamestream/sesamestream/internal/shard"
	"github.com/sesamestream/sesamestream/pkg/decide/place"
)

// Intervals and timeout of the share reports between shard owners.
const (
	shareInterval = time.Second
	shareTimeout  = 900 * time.Millisecond
	// initialShareInterval applies to the first initialShareRounds rounds, because a new owner
	// learns of hosts and other owners only gradually.
	initialShareInterval = 250 * time.Millisecond
	initialShareRounds   = 40
)

// exchangeShares exchanges an owner's shares of the fleet-wide ceilings, floors and quotas with the
// other owners until ctx ends.
func (s *shardManager) exchangeShares(ctx context.Context, o *shard.Owner) {
	select {
	case <-o.Ready():
	case <-ctx.Done():
		return
	}
	// setTable skips owners that are not ready, so this owner missed any table that arrived while it
	// read its journal.
	if f := s.base.TableInForce(); f != nil {
		s.setTable(f)
	}
	t := time.NewTicker(initialShareInterval)
	defer t.Stop()
	for n := 0; ; n++ {
		s.sendShareRound(ctx, o)
		if n == initialShareRounds {
			t.Reset(shareInterval)
		}
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
	}
}

// sendShareRound starts a round and sends its report to the owner of every other shard.
func (s *shardManager) sendShareRound(ctx context.Context, o *shard.Owner) {
	q, cancel := context.WithTimeout(ctx, shareTimeout)
	defer cancel()
	r, ok := o.StartShareRound(q)
	if !ok {
		return
	}
	for n := range s.shardCount {
		if n != o.Shard {
			go s.sendShare(ctx, o, n, r)
		}
	}
}

// sendShare sends the report of one round to the owner of shard to and passes the answer to o.
func (s *shardManager) sendShare(ctx context.Context, o *shard.Owner, to int, r place.ShareReport) {
	q, cancel := context.WithTimeout(ctx, shareTimeout)
	defer cancel()
	a, err := s.deliverShare(q, message.ShareMessage{ToShard: to, Report: r})
	if err != nil {
		s.base.Log.Debug().Str("event", "shareFailed").Int("shard", to).Err(err).Msg("")
		return
	}
	if err := o.HandleShareAnswer(q, to, a, r.Round); err == nil && len(a.EvictingHosts) > 0 {
		// Report at once to the other owners which hosts are reserved.
		s.sendShareRound(ctx, o)
	}
}

// deliverShare delivers a report to the owner of a shard, in this process or at another agent.
func (s *shardManager) deliverShare(ctx context.Context, t message.ShareMessage) (message.ShareAnswer, error) {
	if a, err := s.receiveShare(ctx, t); err == nil {
		return a, nil
	}
	at, err := s.base.OwnerAddress(ctx, t.ToShard)
	if err != nil {
		return message.ShareAnswer{}, err
	}
	a, err := peer.Call[message.ShareMessage, message.ShareAnswer](ctx, s.base.Node, at, message.OperationShare, t)
	if err != nil {
		s.base.InvalidateOwner(t.ToShard)
	}
	return a, err
}

// receiveShare passes a report from the owner of another shard to the local owner.
func (s *shardManager) receiveShare(ctx context.Context, t message.ShareMessage) (message.ShareAnswer, error) {
	o, err := s.readyOwner(t.ToShard)
	if err != nil {
		return message.ShareAnswer{}, err
	}
	return o.HandleShareReport(ctx, t.Report)
}
