package shard

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/sesamestream/sesamestream/internal/message"
	"github.com/sesamestream/sesamestream/internal/runner"
	decidejournal "github.com/sesamestream/sesamestream/pkg/decide/journal"

	"github.com/sesamestream/sesamestream/pkg/decide/claim"
)

// claimReplyTimeout is how long a claim waits for its commit, and then for the
// answer once it is abandoned.
const claimReplyTimeout = 2 * time.Second

// claims grants the idempotency keys of the shard.
type claims struct {
	owner   *Owner
	machine *claim.Machine
	runner  *runner.Runner[claim.Event, claim.Action]

	// The actor alone uses lastRequest and pendingReplies.
	lastRequest    claim.RequestID
	pendingReplies map[claim.RequestID]chan claim.Reply
}

func newClaims(o *Owner, m *claim.Machine) *claims {
	c := &claims{owner: o, machine: m, pendingReplies: make(map[claim.RequestID]chan claim.Reply)}
	c.runner = &runner.Runner[claim.Event, claim.Action]{System: o.System, Machine: m, Execute: c.execute}
	return c
}

// execute executes an action of the claim machine. It runs in the actor.
func (c *claims) execute(a claim.Action) {
	switch a := a.(type) {
	case claim.Commit:
		c.commit(a)
	case claim.Reply:
		if w := c.pendingReplies[a.Request]; w != nil {
			delete(c.pendingReplies, a.Request)
			w <- a
		}
	}
}

// commit appends records to the journal and notifies the claim machine once they
// are committed.
func (c *claims) commit(a claim.Commit) {
	records := make([][]byte, 0, len(a.Records))
	for _, r := range a.Records {
		b, err := r.Encode()
		if err != nil {
			c.owner.endOwnership()
			return
		}
		records = append(records, append([]byte{byte(claimRecord)}, b...))
	}
	c.owner.Log.Submit(func(m decidejournal.Mark, err error) {
		if err == nil {
			err = c.owner.applyCommitted(m, records)
		}
		if err != nil {
			c.runner.Send(claim.OwnershipLost{})
			c.owner.endOwnership()
			return
		}
		c.runner.Send(claim.Committed{Token: a.Token})
	}, records...)
}

// Claim claims an idempotency key and returns the result. A claim is abandoned if
// its commit takes longer than claimReplyTimeout; a record of it that is committed
// later is released once that is possible.
func (o *Owner) Claim(ctx context.Context, q message.Claim) message.ClaimAnswer {
	if !o.hasJournalCapacity(claimPendingDivisor) {
		return message.ClaimAnswer{Result: message.ClaimNotCommitted}
	}
	c := o.claims
	reply := make(chan claim.Reply, 1)
	err := c.runner.Query(ctx, func() {
		c.lastRequest++
		c.pendingReplies[c.lastRequest] = reply
		c.runner.Send(claim.Claim{Request: c.lastRequest, Key: claim.Digest(q.Digest)})
	})
	if err != nil {
		return message.ClaimAnswer{Result: message.ClaimUnknown}
	}
	t := time.NewTimer(claimReplyTimeout)
	defer t.Stop()
	select {
	case r := <-reply:
		return o.newClaimAnswer(r)
	case <-t.C:
		c.runner.Send(claim.StoreUnavailable{})
	case <-o.lost:
	case <-ctx.Done():
	}
	return o.awaitAbandonedClaim(reply)
}

// awaitAbandonedClaim waits for the reply to a claim that has been abandoned.
func (o *Owner) awaitAbandonedClaim(reply <-chan claim.Reply) message.ClaimAnswer {
	t := time.NewTimer(claimReplyTimeout)
	defer t.Stop()
	select {
	case r := <-reply:
		return o.newClaimAnswer(r)
	case <-t.C:
		return message.ClaimAnswer{Result: message.ClaimUnknown}
	}
}

// newClaimAnswer converts a reply to an answer. It answers ClaimNotCommitted only
// while this process holds the lease on the shard, so that no later owner can have
// granted the key.
func (o *Owner) newClaimAnswer(r claim.Reply) message.ClaimAnswer {
	switch {
	case r.Err == nil:
		return message.ClaimAnswer{Result: message.ClaimGranted, GrantID: r.Grant}
	case errors.Is(r.Err, claim.ErrAlreadyGranted):
		return message.ClaimAnswer{Result: message.ClaimDenied, EarlierOutcome: r.Outcome}
	case r.Outcome == "" && o.HoldsLease(time.Now()):
		return message.ClaimAnswer{Result: message.ClaimNotCommitted}
	default:
		return message.ClaimAnswer{Result: message.ClaimUnknown}
	}
}

// RecordClaimOutcome records the outcome of a granted request.
func (o *Owner) RecordClaimOutcome(q message.ClaimEnd) {
	o.claims.runner.Send(claim.Report{Key: claim.Digest(q.Digest), Grant: q.GrantID, Outcome: q.Outcome})
}
