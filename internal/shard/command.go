package shard

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/sesamestream/sesamestream/internal/message"
	"github.com/sesamestream/sesamestream/internal/store"
	"github.com/sesamestream/sesamestream/pkg/decide/task"
	"github.com/sesamestream/sesamestream/pkg/fleet"
	"github.com/sesamestream/sesamestream/pkg/table"
)

// Submit asks for a job; it is accepted once it is durable. Errors are those
// of package task, and store.ErrUnknown where it may have been accepted.
func (o *Owner) Submit(ctx context.Context, id task.JobID, s task.Spec) (task.Phase, error) {
	return o.ask(ctx, func(r task.Request) task.Event { return task.Submit{Request: r, ID: id, Spec: s} })
}

// Cancel asks that a job stops; it returns once no task of it runs.
func (o *Owner) Cancel(ctx context.Context, id task.JobID) (task.Phase, error) {
	return o.ask(ctx, func(r task.Request) task.Event { return task.Cancel{Request: r, ID: id} })
}

// ask tells an event that gets a reply and waits for it.
func (o *Owner) ask(ctx context.Context, event func(task.Request) task.Event) (task.Phase, error) {
	c := make(chan task.Reply, 1)
	err := o.runner.Query(ctx, func() {
		o.requests++
		o.waiting[o.requests] = c
		o.runner.Tell(event(o.requests))
	})
	if err != nil {
		return 0, errors.Wrap(store.ErrUnknown, err.Error())
	}
	select {
	case r := <-c:
		return r.Phase, r.Err
	case <-o.lost:
		return 0, errors.Wrap(store.ErrUnknown, "the shard's owner changes")
	case <-ctx.Done():
		return 0, errors.Wrap(store.ErrUnknown, ctx.Err().Error())
	}
}

// Tell takes what an agent tells.
func (o *Owner) Tell(t message.Tell) {
	e, ok := t.Event()
	if !ok {
		return
	}
	o.runner.Tell(e)
	if t.Room != nil && t.Room.Draining {
		o.runner.Tell(task.Drain{Host: t.Room.ID})
	}
}

// Contact notes that the store confirmed the owner's lease with a call sent at t.
func (o *Owner) Contact(t time.Time) {
	o.runner.Tell(task.Contact{Sent: t})
}

// OldEnded notes that the owner before is dead or has ceded.
func (o *Owner) OldEnded() {
	o.runner.Tell(task.OldEnded{})
}

// Silent notes that a host no longer answers.
func (o *Owner) Silent(h fleet.ID) {
	o.runner.Tell(task.Silent{Host: h})
}

// SetTable puts a table in force.
func (o *Owner) SetTable(ctx context.Context, t *table.Table) error {
	return o.runner.Query(ctx, func() { o.placer.Rules(t) })
}
