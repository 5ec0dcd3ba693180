package agent

import (
	"context"
	"time"

	"github.com/sesamestream/sesamestream/internal/message"
	"github.com/sesamestream/sesamestream/internal/peer"
	"github.com/sesamestream/sesamestream/internal/shard"
	"github.com/sesamestream/sesamestream/pkg/decide/place"
)

// The times of the shares' rounds.
const (
	shareEvery   = time.Second
	shareTimeout = 900 * time.Millisecond
	// An owner that has just begun learns of hosts and other owners step by step.
	shareFirst  = 250 * time.Millisecond
	firstRounds = 40
)

// share lets an owner exchange its shares with the other owners until ctx ends.
func (s *shards) share(ctx context.Context, o *shard.Owner) {
	select {
	case <-o.Ready():
	case <-ctx.Done():
		return
	}
	// A table that came while the journal was read was told to no owner here.
	if f := s.base.TableInForce(); f != nil {
		s.setTable(f)
	}
	t := time.NewTicker(shareFirst)
	defer t.Stop()
	for n := 0; ; n++ {
		s.shareRound(ctx, o)
		if n == firstRounds {
			t.Reset(shareEvery)
		}
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
	}
}

// shareRound tells every other owner once.
func (s *shards) shareRound(ctx context.Context, o *shard.Owner) {
	q, cancel := context.WithTimeout(ctx, shareTimeout)
	defer cancel()
	r, ok := o.StartShareRound(q)
	if !ok {
		return
	}
	for n := range s.count {
		if n != o.Shard {
			go s.tellShare(ctx, o, n, r)
		}
	}
}

func (s *shards) tellShare(ctx context.Context, o *shard.Owner, to int, r place.ShareReport) {
	q, cancel := context.WithTimeout(ctx, shareTimeout)
	defer cancel()
	a, err := s.callShare(q, message.ShareMessage{ToShard: to, Report: r})
	if err != nil {
		s.base.Log.Debug().Str("event", "shareFailed").Int("shard", to).Err(err).Msg("")
		return
	}
	if err := o.HandleShareAnswer(q, to, a, r.Round); err == nil && len(a.EvictingHosts) > 0 {
		// The other owners hear at once which hosts are kept.
		s.shareRound(ctx, o)
	}
}

// callShare tells the owner of a shard, here or at another agent.
func (s *shards) callShare(ctx context.Context, t message.ShareMessage) (message.ShareAnswer, error) {
	if a, err := s.hearShare(ctx, t); err == nil {
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

// hearShare takes what the owner of another shard tells.
func (s *shards) hearShare(ctx context.Context, t message.ShareMessage) (message.ShareAnswer, error) {
	o, err := s.get(t.ToShard)
	if err != nil {
		return message.ShareAnswer{}, err
	}
	return o.HandleShareReport(ctx, t.Report)
}
