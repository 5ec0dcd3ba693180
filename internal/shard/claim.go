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

// claimPatience is how long a claim waits for its commit.
const claimPatience = 2 * time.Second

// claims decides who may use an idempotency key of the shard.
type claims struct {
	owner   *Owner
	machine *claim.Machine
	runner  *runner.Runner[claim.Event, claim.Action]

	// The fields below are touched by the actor alone.
	requests claim.Request
	waiting  map[claim.Request]chan claim.Reply
}

func newClaims(o *Owner, m *claim.Machine) *claims {
	c := &claims{owner: o, machine: m, waiting: make(map[claim.Request]chan claim.Reply)}
	c.runner = &runner.Runner[claim.Event, claim.Action]{System: o.System, Machine: m, Execute: c.carry}
	return c
}

// carry runs in the actor.
func (c *claims) carry(a claim.Action) {
	switch a := a.(type) {
	case claim.Commit:
		c.commit(a)
	case claim.Reply:
		if w := c.waiting[a.Request]; w != nil {
			delete(c.waiting, a.Request)
			w <- a
		}
	}
}

// commit appends records; the machine hears once they are in the journal.
func (c *claims) commit(a claim.Commit) {
	records := make([][]byte, 0, len(a.Records))
	for _, r := range a.Records {
		b, err := r.Encode()
		if err != nil {
			c.owner.lose()
			return
		}
		records = append(records, append([]byte{byte(sortClaim)}, b...))
	}
	c.owner.Log.Submit(func(m decidejournal.Mark, err error) {
		if err == nil {
			err = c.owner.apply(m, records)
		}
		if err != nil {
			c.runner.Send(claim.CommitLost{})
			c.owner.lose()
			return
		}
		c.runner.Send(claim.Committed{Token: a.Token})
	}, records...)
}

// Claim asks for a key and returns what became of it. A claim whose commit
// takes too long is given up; its record is released once it can be.
func (o *Owner) Claim(ctx context.Context, q message.Claim) message.ClaimAnswer {
	if !o.hasRoom(claimPart) {
		return message.ClaimAnswer{Result: message.ClaimNotCommitted}
	}
	c := o.claims
	reply := make(chan claim.Reply, 1)
	err := c.runner.Query(ctx, func() {
		c.requests++
		c.waiting[c.requests] = reply
		c.runner.Send(claim.Claim{Request: c.requests, Key: claim.Digest(q.Digest)})
	})
	if err != nil {
		return message.ClaimAnswer{Result: message.ClaimUnknown}
	}
	t := time.NewTimer(claimPatience)
	defer t.Stop()
	select {
	case r := <-reply:
		return o.claimAnswer(r)
	case <-t.C:
		c.runner.Send(claim.NotCommitted{})
	case <-o.lost:
	case <-ctx.Done():
	}
	return o.lateClaim(reply)
}

// lateClaim waits for the answer that giving up brings.
func (o *Owner) lateClaim(reply <-chan claim.Reply) message.ClaimAnswer {
	t := time.NewTimer(claimPatience)
	defer t.Stop()
	select {
	case r := <-reply:
		return o.claimAnswer(r)
	case <-t.C:
		return message.ClaimAnswer{Result: message.ClaimUnknown}
	}
}

// claimAnswer tells that nothing is committed under a key only while this
// owner holds the shard, so that no later owner can have granted the key.
func (o *Owner) claimAnswer(r claim.Reply) message.ClaimAnswer {
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

// RecordClaimOutcome notes how a granted request ended.
func (o *Owner) RecordClaimOutcome(q message.ClaimEnd) {
	o.claims.runner.Send(claim.Report{Key: claim.Digest(q.Digest), Grant: q.GrantID, Outcome: q.Outcome})
}
