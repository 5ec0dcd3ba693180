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

// The bounds of the calls that claim a key and report its outcome.
const (
	claimTimeout = 5 * time.Second
	// maxClaimAttempts bounds the calls for one claim or for the report of its outcome.
	maxClaimAttempts = 3
	// claimRetryDelay is the wait before a claim is requested again.
	claimRetryDelay = 100 * time.Millisecond
)

// A claim is the request of an unrepeatable request's key from the shard that
// owns it.
type claim struct {
	request message.Claim
	// grant identifies the granted claim; 0 means that none is granted.
	grant atomic.Uint64
	// eventQueued is set after the answer is in the event channel, so a reader
	// that sees it set also finds the event there.
	eventQueued atomic.Bool
}

// shardOf returns the shard that owns the key with digest d.
func shardOf(d message.KeyDigest, shards int) int {
	return int(binary.BigEndian.Uint64(d[:8]) % uint64(shards))
}

// requestClaim requests the claim of f's key in the background; the answer
// arrives as an event of f.
func (e *Entry) requestClaim(f *proxiedRequest) *claim {
	d := message.KeyDigest(decideclaim.KeyDigest(f.request.Kind, f.request.Key))
	c := &claim{request: message.Claim{Shard: shardOf(d, e.Base.Shards), Digest: d, Kind: f.request.Kind}}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), claimTimeout)
		defer cancel()
		event := e.claimWithRetry(ctx, c)
		f.events <- event
		c.eventQueued.Store(true)
	}()
	return c
}

// claimWithRetry sends the claim to the shard's owner and retries only while no
// owner can have received it. A retry of a received claim could find its own
// grant and be denied, as if another request held the key.
func (e *Entry) claimWithRetry(ctx context.Context, c *claim) attempt.Event {
	for range maxClaimAttempts {
		a, err := callOwner[message.Claim, message.ClaimAnswer](ctx, e, c.request.Shard, message.OperationClaim, c.request)
		if err == nil {
			c.grant.Store(a.GrantID)
			return claimEvent(a)
		}
		if errors.Is(err, peer.ErrBroken) {
			break
		}
		select {
		case <-time.After(claimRetryDelay):
		case <-ctx.Done():
		}
	}
	return attempt.Event{Type: attempt.ClaimFailed, Commit: attempt.MayHaveCommitted}
}

// claimEvent converts the owner's answer to an event of the attempt machine.
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

// reportClaimOutcome reports the outcome of the claimed request to the owner in
// the background. If the report is lost, the key's outcome stays unknown, which
// is always correct.
func (e *Entry) reportClaimOutcome(c *claim, o fleet.Outcome) {
	if c == nil || c.grant.Load() == 0 {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), claimTimeout)
		defer cancel()
		q := message.ClaimEnd{Shard: c.request.Shard, Digest: c.request.Digest, GrantID: c.grant.Load(), Outcome: o}
		for range maxClaimAttempts {
			if _, err := callOwner[message.ClaimEnd, message.Empty](ctx, e, q.Shard, message.OperationClaimEnd, q); err == nil {
				return
			}
		}
	}()
}

// callOwner calls the owner of a shard. An error drops the cached owner, so the
// next call looks it up again.
func callOwner[Q, A any](ctx context.Context, e *Entry, shard int, o peer.Operation, q Q) (A, error) {
	var zero A
	to, err := e.Base.OwnerAddress(ctx, shard)
	if err != nil {
		return zero, err
	}
	a, err := peer.Call[Q, A](ctx, e.Base.Node, to, o, q)
	if err != nil {
		e.Base.InvalidateOwner(shard)
	}
	return a, errors.WithStack(err)
}
