package base

import (
	"context"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/sesamestream/sesamestream/internal/message"
	"github.com/sesamestream/sesamestream/internal/peer"
	"github.com/sesamestream/sesamestream/internal/steady"
	"github.com/sesamestream/sesamestream/internal/store"
	"github.com/sesamestream/sesamestream/pkg/decide/task"
)

// maxShardCallAttempts bounds how often a call to the owner of a shard is tried.
const maxShardCallAttempts = 4

// ShardOf returns the shard of a job.
func ShardOf(id task.JobID, shards int) int {
	return int(xxhash.Sum64String(string(id)) % uint64(shards))
}

// SubmitJob asks the owner of a job's shard to accept it.
func (b *Base) SubmitJob(ctx context.Context, id task.JobID, s task.Spec) (task.Phase, error) {
	if err := s.Check(); err != nil {
		return 0, err
	}
	a, err := b.callJobOwner(ctx, message.JobCall{Verb: message.JobSubmit, JobID: id, Spec: &s})
	return a.Phase, err
}

// CancelJob asks the owner of a job's shard to stop it.
func (b *Base) CancelJob(ctx context.Context, id task.JobID) (task.Phase, error) {
	a, err := b.callJobOwner(ctx, message.JobCall{Verb: message.JobCancel, JobID: id})
	return a.Phase, err
}

// GetJob returns a job from the owner of its shard.
func (b *Base) GetJob(ctx context.Context, id task.JobID) (task.Job, error) {
	a, err := b.callJobOwner(ctx, message.JobCall{Verb: message.JobGet, JobID: id})
	if err != nil || a.Job == nil {
		return task.Job{}, err
	}
	return *a.Job, nil
}

// ListJobs returns the ids of the jobs of all shards that answer, and whether one did not.
func (b *Base) ListJobs(ctx context.Context) ([]task.JobID, bool, error) {
	var ids []task.JobID
	partial := false
	for s := range b.Shards {
		a, err := b.callShardOwner(ctx, message.JobCall{Shard: s, Verb: message.JobList})
		if err != nil {
			partial = true
			continue
		}
		ids = append(ids, a.JobIDs...)
	}
	slices.Sort(ids)
	return ids, partial, nil
}

func (b *Base) callJobOwner(ctx context.Context, q message.JobCall) (message.JobAnswer, error) {
	q.Shard = ShardOf(q.JobID, b.Shards)
	return b.callShardOwner(ctx, q)
}

// callShardOwner calls the owner of a shard. All these calls are idempotent, so a call that may have
// been received is repeated at the new owner. After the last attempt the error is store.ErrUnknown if
// a call may have been received, and store.ErrUnavailable otherwise.
func (b *Base) callShardOwner(ctx context.Context, q message.JobCall) (message.JobAnswer, error) {
	err := error(nil)
	sent := false
	for range maxShardCallAttempts {
		var a message.JobAnswer
		a, err = b.callShardOwnerOnce(ctx, q)
		if err == nil || isFinalError(err) {
			return a, err
		}
		sent = sent || errors.Is(err, peer.ErrBroken) || errors.Is(err, store.ErrUnknown)
		b.InvalidateOwner(q.Shard)
		if !steady.Sleep(ctx, shardCallRetryDelay) {
			break
		}
	}
	if !sent {
		return message.JobAnswer{}, errors.Wrap(store.ErrUnavailable, err.Error())
	}
	return message.JobAnswer{}, errors.Wrap(store.ErrUnknown, err.Error())
}

func (b *Base) callShardOwnerOnce(ctx context.Context, q message.JobCall) (message.JobAnswer, error) {
	to, err := b.OwnerAddress(ctx, q.Shard)
	if err != nil {
		return message.JobAnswer{}, err
	}
	return peer.Call[message.JobCall, message.JobAnswer](ctx, b.Node, to, message.OperationJob, q)
}

// isFinalError reports whether err is an owner's final answer, which a retry would not change.
func isFinalError(err error) bool {
	for _, e := range []error{task.ErrConflict, task.ErrBadSpec, task.ErrUnknownJob} {
		if errors.Is(err, e) {
			return true
		}
	}
	return false
}
