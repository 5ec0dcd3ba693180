package entry

import (
	"context"
	"encoding/binary"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/sesamestream/sesamestream/internal/message"
	"github.com/sesamestream/sesamestream/internal/peer"
	"github.com/sesamestream/sesamestream/pkg/decide/attempt"
	decideclaim "github.com/sesamestream/sesamestream/pkg/decide/claim"
	"github.com/sesamestream/sesamestream/pkg/fleet"
)

// The times of claims.
const (
	claimTimeout = 5 * time.Second
	// claimTries is how many owners are tried where nothing was sent.
	claimTries = 3
	claimPause = 100 * time.Millisecond
)

// A claim is one request's claim of its key.
type claim struct {
	ask message.Claim
	// grant names the claim once it is granted.
	grant atomic.Uint64
	// settled is set after its answer became an event: whoever finds it set
	// finds the event too.
	settled atomic.Bool
}

// shardOf returns the shard of a digest.
func shardOf(d message.KeyDigest, shards int) int {
	return int(binary.BigEndian.Uint64(d[:8]) % uint64(shards))
}

// askClaim asks for the key of f; the answer comes as an event.
func (e *Entry) askClaim(f *flight) *claim {
	d := message.KeyDigest(decideclaim.Key(f.request.Kind, f.request.Key))
	c := &claim{ask: message.Claim{Shard: shardOf(d, e.Base.Shards), Digest: d, Kind: f.request.Kind}}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), claimTimeout)
		defer cancel()
		v := e.claimed(ctx, c)
		f.events <- v
		c.settled.Store(true)
	}()
	return c
}

// claimed asks the owner, again where it is proved that no owner received the
// ask: repeated after that, it would find its own grant and take it for another's.
func (e *Entry) claimed(ctx context.Context, c *claim) attempt.Event {
	for range claimTries {
		a, err := callOwner[message.Claim, message.ClaimAnswer](ctx, e, c.ask.Shard, message.OperationClaim, c.ask)
		if err == nil {
			c.grant.Store(a.GrantID)
			return claimEvent(a)
		}
		if errors.Is(err, peer.ErrBroken) {
			break
		}
		select {
		case <-time.After(claimPause):
		case <-ctx.Done():
		}
	}
	return attempt.Event{Type: attempt.ClaimFailed, Commit: attempt.MayHaveCommitted}
}

func claimEvent(a message.ClaimAnswer) attempt.Event {
	switch a.Result {
	case message.ClaimGranted:
		return attempt.Event{Type: attempt.ClaimGranted}
	case message.ClaimDenied:
		return attempt.Event{Type: attempt.ClaimDenied, EarlierOutcome: a.EarlierOutcome}
	case message.ClaimNotCommitted:
		return attempt.Event{Type: attempt.ClaimFailed, Commit: attempt.NotCommitted}
	default:
		return attempt.Event{Type: attempt.ClaimFailed, Commit: attempt.MayHaveCommitted}
	}
}

// reportClaim tells the owner how the claimed request ended. What gets lost
// leaves the key's outcome unknown, which is never untrue.
func (e *Entry) reportClaim(c *claim, o fleet.Outcome) {
	if c == nil || c.grant.Load() == 0 {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), claimTimeout)
		defer cancel()
		q := message.ClaimEnd{Shard: c.ask.Shard, Digest: c.ask.Digest, GrantID: c.grant.Load(), Outcome: o}
		for range claimTries {
			if _, err := callOwner[message.ClaimEnd, message.Empty](ctx, e, q.Shard, message.OperationClaimEnd, q); err == nil {
				return
			}
		}
	}()
}

// callOwner calls the owner of a shard; after an error the next call looks for it anew.
func callOwner[Q, A any](ctx context.Context, e *Entry, shard int, o peer.Operation, q Q) (A, error) {
	var zero A
	to, err := e.Base.OwnerOf(ctx, shard)
	if err != nil {
		return zero, err
	}
	a, err := peer.Call[Q, A](ctx, e.Base.Node, to, o, q)
	if err != nil {
		e.Base.ForgetOwner(shard)
	}
	return a, errors.WithStack(err)
}
