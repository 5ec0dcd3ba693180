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

// The parts of the journal's room that new work may fill; the rest is left to
// records that end and resume what was accepted.
const (
	submitPart fleet.Bytes = 2
	claimPart  fleet.Bytes = 4
)

// forgetTimeout bounds the removal of a call whose caller has gone.
const forgetTimeout = time.Second

// Submit asks for a job; it is accepted once it is durable. Errors are those
// of package task, and store.ErrUnknown where it may have been accepted.
func (o *Owner) Submit(ctx context.Context, id task.JobID, s task.Spec) (task.Phase, error) {
	if !o.hasRoom(submitPart) {
		// Only a job that is not here yet is refused.
		if _, err := o.Get(ctx, id); errors.Is(err, task.ErrUnknownJob) {
			return 0, task.ErrNotReady
		}
	}
	return o.ask(ctx, func(r task.RequestID) task.Event { return task.Submit{Request: r, ID: id, Spec: s} })
}

// Cancel asks that a job stops; it returns once no task of it runs.
func (o *Owner) Cancel(ctx context.Context, id task.JobID) (task.Phase, error) {
	return o.ask(ctx, func(r task.RequestID) task.Event { return task.Cancel{Request: r, ID: id} })
}

// ask tells an event that gets a reply and waits for it. It returns
// store.ErrUnavailable where the event has not been told and never will be.
func (o *Owner) ask(ctx context.Context, event func(task.RequestID) task.Event) (task.Phase, error) {
	c := make(chan task.Reply, 1)
	var decided atomic.Bool
	err := o.runner.Query(ctx, func() {
		if !decided.CompareAndSwap(false, true) {
			return
		}
		o.requests++
		o.waiting[o.requests] = c
		o.runner.Send(event(o.requests))
	})
	if err != nil && decided.CompareAndSwap(false, true) {
		return 0, errors.Wrap(store.ErrUnavailable, err.Error())
	}
	select {
	case r := <-c:
		return r.Phase, r.Err
	case <-o.lost:
		return 0, errors.Wrap(store.ErrUnknown, "the shard's owner changes")
	case <-ctx.Done():
		go o.forget(c)
		return 0, errors.Wrap(store.ErrUnknown, ctx.Err().Error())
	}
}

// forget drops the call that waits at c.
func (o *Owner) forget(c chan task.Reply) {
	ctx, cancel := context.WithTimeout(context.Background(), forgetTimeout)
	defer cancel()
	_ = o.runner.Query(ctx, func() {
		maps.DeleteFunc(o.waiting, func(_ task.RequestID, w chan task.Reply) bool { return w == c })
	})
}

// hasRoom reports whether less waits for the journal than a part of what may;
// records that end and resume tasks are taken beyond it.
func (o *Owner) hasRoom(part fleet.Bytes) bool {
	return o.Log.Pending() < journal.DefaultMaxPending/part
}

// HandleAgentReport takes what an agent tells.
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

// RecordStoreContact notes that the store confirmed the owner's lease with a call sent at t.
func (o *Owner) RecordStoreContact(t time.Time) {
	o.runner.Send(task.OwnershipConfirmed{SentAt: t})
}

// MarkPredecessorEnded notes that the owner before is dead or has ceded.
func (o *Owner) MarkPredecessorEnded() {
	o.runner.Send(task.PreviousOwnerEnded{})
}

// MarkHostUnresponsive notes that a host no longer answers.
func (o *Owner) MarkHostUnresponsive(h fleet.ID) {
	o.runner.Send(task.HostUnresponsive{Host: h})
}

// SetTable puts a table in force unless a later revision is.
func (o *Owner) SetTable(ctx context.Context, t *table.Table) error {
	return o.runner.Query(ctx, func() {
		if in := o.placer.Table; in == nil || in.Revision <= t.Revision {
			o.placer.Rules(t)
		}
	})
}
