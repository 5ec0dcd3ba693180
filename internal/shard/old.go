package shard

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/sesamestream/sesamestream/internal/codec"
	"github.com/sesamestream/sesamestream/internal/journal"
	decidejournal "github.com/sesamestream/sesamestream/pkg/decide/journal"
	"github.com/sesamestream/sesamestream/pkg/decide/task"
	"github.com/sesamestream/sesamestream/pkg/fleet"
)

// askOldEvery is how often an owner before that may still grant leases is asked.
const askOldEvery = 2 * time.Second

// old returns what is known of the owners before. Only the last one is asked,
// and only where it had settled that those before it were over.
func (o *Owner) old(ctx context.Context, b journal.PreviousOwner) task.PreviousOwner {
	if b == (journal.PreviousOwner{}) {
		return task.PreviousOwnerGone
	}
	if b.Epoch == 0 || o.committed.settled != task.Epoch(b.Epoch) {
		return task.PreviousOwnerMayGrant
	}
	o.before = b.Process
	if o.HasEnded(ctx, b.Process) {
		return task.PreviousOwnerGone
	}
	return task.PreviousOwnerMayGrant
}

// watchOld waits until the owner before is known to grant leases no more, or
// the time is over in which it could.
func (o *Owner) watchOld(ctx context.Context, taken time.Time) {
	span := time.Duration(float64(o.RideThrough+o.TaskLease) * (1 + drift))
	t := time.NewTicker(askOldEvery)
	defer t.Stop()
	for {
		select {
		case <-t.C:
		case <-o.lost:
			return
		case <-ctx.Done():
			return
		}
		ended := o.before != (fleet.ProcessIncarnation{}) && o.HasEnded(ctx, o.before)
		if ended {
			o.MarkPredecessorEnded()
		}
		if ended || time.Since(taken) > span {
			o.settle(ctx)
			return
		}
	}
}

// PredecessorsEnded reports whether it's recorded that no owner before this one grants
// leases; the owner is ready.
func (o *Owner) PredecessorsEnded() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.committed.settled == o.epoch
}

// settle records that no owner before this one grants leases.
func (o *Owner) settle(ctx context.Context) {
	b, err := codec.Encode(o.epoch)
	if err != nil {
		return
	}
	record := append([]byte{byte(sortSettled)}, b...)
	o.Log.Submit(func(m decidejournal.Mark, err error) {
		switch {
		case err == nil:
			_ = o.apply(m, [][]byte{record})
		case errors.Is(err, journal.ErrFull):
			time.AfterFunc(askOldEvery, func() {
				if ctx.Err() == nil {
					o.settle(ctx)
				}
			})
		}
	}, record)
}
