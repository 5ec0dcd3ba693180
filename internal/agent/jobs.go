package agent

import (
	"context"

	"github.com/sesamestream/sesamestream/internal/message"
	"github.com/sesamestream/sesamestream/internal/shard"
)

// job carries out a submitter's call at the owner of its shard.
func (s *shards) job(ctx context.Context, q message.JobCall) (message.JobAnswer, error) {
	o, err := s.get(q.Shard)
	if err != nil {
		return message.JobAnswer{}, err
	}
	switch q.Verb {
	case message.JobSubmit:
		return submit(ctx, o, q)
	case message.JobCancel:
		p, err := o.Cancel(ctx, q.JobID)
		return message.JobAnswer{Phase: p}, err
	case message.JobGet:
		j, err := o.Get(ctx, q.JobID)
		return message.JobAnswer{Phase: j.Phase, Job: &j}, err
	case message.JobList:
		ids, err := o.List(ctx)
		return message.JobAnswer{JobIDs: ids}, err
	}
	return message.JobAnswer{}, shard.ErrNotOwner
}

func submit(ctx context.Context, o *shard.Owner, q message.JobCall) (message.JobAnswer, error) {
	if q.Spec == nil {
		return message.JobAnswer{}, shard.ErrNotOwner
	}
	p, err := o.Submit(ctx, q.JobID, *q.Spec)
	return message.JobAnswer{Phase: p}, err
}

// claim asks the owner of a key's shard for a claim.
func (s *shards) claim(ctx context.Context, q message.Claim) (message.ClaimAnswer, error) {
	o, err := s.get(q.Shard)
	if err != nil {
		return message.ClaimAnswer{}, err
	}
	return o.Claim(ctx, q), nil
}

// claimEnd tells the owner how a claimed request ended.
func (s *shards) claimEnd(_ context.Context, q message.ClaimEnd) (message.Empty, error) {
	o, err := s.get(q.Shard)
	if err != nil {
		return message.Empty{}, err
	}
	o.RecordClaimOutcome(q)
	return message.Empty{}, nil
}
