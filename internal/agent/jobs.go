package agent

import (
	"context"

	"github.com/sesamestream/sesamestream/internal/message"
	"github.com/sesamestream/sesamestream/internal/shard"
)

// handleJobCall executes a submitter's call at the local owner of the job's shard.
func (s *shardManager) handleJobCall(ctx context.Context, q message.JobCall) (message.JobAnswer, error) {
	o, err := s.readyOwner(q.Shard)
	if err != nil {
		return message.JobAnswer{}, err
	}
	switch q.Verb {
	case message.JobSubmit:
		return submitJob(ctx, o, q)
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

// submitJob submits the job of a call to the owner.
func submitJob(ctx context.Context, o *shard.Owner, q message.JobCall) (message.JobAnswer, error) {
	if q.Spec == nil {
		return message.JobAnswer{}, shard.ErrNotOwner
	}
	p, err := o.Submit(ctx, q.JobID, *q.Spec)
	return message.JobAnswer{Phase: p}, err
}

// handleClaim requests a claim from the local owner of the key's shard.
func (s *shardManager) handleClaim(ctx context.Context, q message.Claim) (message.ClaimAnswer, error) {
	o, err := s.readyOwner(q.Shard)
	if err != nil {
		return message.ClaimAnswer{}, err
	}
	return o.Claim(ctx, q), nil
}

// handleClaimEnd reports to the local owner how a claimed request ended.
func (s *shardManager) handleClaimEnd(_ context.Context, q message.ClaimEnd) (message.Empty, error) {
	o, err := s.readyOwner(q.Shard)
	if err != nil {
		return message.Empty{}, err
	}
	o.RecordClaimOutcome(q)
	return message.Empty{}, nil
}
