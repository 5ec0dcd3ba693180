package shard

import (
	"context"
	"maps"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/sesamestream/sesamestream/internal/journal"
	"github.com/sesamestream/sesamestream/internal/message"
	"github.com/sesamestream/sesamestream/internal/store"
	"github.com/sesamestream/sesamestream/pkg/decide/task"
	"github.com/sesamestream/sesamestream/pkg/fleet"
	"github.com/sesamestream/sesamestream/pkg/table"
)

// A submission or claim is accepted only while the pending bytes of the journal are
// below their limit divided by this number. The rest is reserved for records that
// end and resume accepted work.
const (
	submitPendingDivisor fleet.Bytes = 2
	claimPendingDivisor  fleet.Bytes = 4
)

// dropReplyTimeout limits the removal of a pending reply whose caller has gone.
const dropReplyTimeout = time.Second

// Submit submits a job and returns once the job is durable. Errors are those of
// package task, store.ErrUnavailable if the job has not been accepted, and
// store.ErrUnknown if it may have been.
func (o *Owner) Submit(ctx context.Context, id task.JobID, s task.Spec) (task.Phase, error) {
	if !o.hasJournalCapacity(submitPendingDivisor) {
		// Only an unknown job is refused; a repeated submission is still answered.
		if _, err := o.Get(ctx, id); errors.Is(err, task.ErrUnknownJob) {
			return 0, task.ErrNotReady
		}
	}
	return o.request(ctx, func(r task.RequestID) task.Event { return task.Submit{Request: r, ID: id, Spec: s} })
}

// Cancel cancels a job and returns once none of its tasks runs.
func (o *Owner) Cancel(ctx context.Context, id task.JobID) (task.Phase, error) {
	return o.request(ctx, func(r task.RequestID) task.Event { return task.Cancel{Request: r, ID: id} })
}

// request sends an event to the task machine and waits for the reply. It returns
// store.ErrUnavailable if the event has not been sent and never will be.
func (o *Owner) request(ctx context.Context, event func(task.RequestID) task.Event) (task.Phase, error) {
	c := make(chan task.Reply, 1)
	var decided atomic.Bool
	err := o.runner.Query(ctx, func() {
		if !decided.CompareAndSwap(false, true) {
			return
		}
		o.lastRequest++
		o.pendingReplies[o.lastRequest] = c
		o.runner.Send(event(o.lastRequest))
	})
	if err != nil && decided.CompareAndSwap(false, true) {
		return 0, errors.Wrap(store.ErrUnavailable, err.Error())
	}
	select {
	case r := <-c:
		return r.Phase, r.Err
	case <-o.lost:
		return 0, errors.Wrap(store.ErrUnknown, "the owner of the shard has changed")
	case <-ctx.Done():
		go o.dropPendingReply(c)
		return 0, errors.Wrap(store.ErrUnknown, ctx.Err().Error())
	}
}

// dropPendingReply removes the pending reply to c.
func (o *Owner) dropPendingReply(c chan task.Reply) {
	ctx, cancel := context.WithTimeout(context.Background(), dropReplyTimeout)
	defer cancel()
	_ = o.runner.Query(ctx, func() {
		maps.DeleteFunc(o.pendingReplies, func(_ task.RequestID, w chan task.Reply) bool { return w == c })
	})
}

// hasJournalCapacity reports whether the pending bytes of the journal are below
// their limit divided by divisor. Records that end and resume tasks are not
// subject to this check.
func (o *Owner) hasJournalCapacity(divisor fleet.Bytes) bool {
	return o.Log.Pending() < journal.DefaultMaxPending/divisor
}

// HandleAgentReport passes the report of an agent to the task machine.
func (o *Owner) HandleAgentReport(t message.AgentReport) {
	e, ok := t.Event()
	if !ok {
		return
	}
	o.runner.Send(e)
	if t.Capacity != nil && t.Capacity.Draining {
		o.runner.Send(task.Drain{Host: t.Capacity.ID})
	}
}

// RecordStoreContact records that the store confirmed the owner's lease in answer
// to a call sent at t.
func (o *Owner) RecordStoreContact(t time.Time) {
	o.runner.Send(task.OwnershipConfirmed{SentAt: t})
}

// MarkPredecessorEnded records that the previous owner has died or no longer owns the shard.
func (o *Owner) MarkPredecessorEnded() {
	o.runner.Send(task.PreviousOwnerEnded{})
}

// MarkHostUnresponsive records that a host no longer answers.
func (o *Owner) MarkHostUnresponsive(h fleet.ID) {
	o.runner.Send(task.HostUnresponsive{Host: h})
}

// SetTable puts a table in force unless a later revision is in force.
func (o *Owner) SetTable(ctx context.Context, t *table.Table) error {
	return o.runner.Query(ctx, func() {
		if current := o.placer.Table; current == nil || current.Revision <= t.Revision {
			o.placer.SetTable(t)
		}
	})
}
