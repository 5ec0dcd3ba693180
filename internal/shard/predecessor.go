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

// predecessorPollInterval is how often a previous owner that may still grant leases
// is asked whether it has ended.
const predecessorPollInterval = 2 * time.Second

// predecessorState returns whether previous owners may still grant leases. It asks
// only the last one, and only if that one had recorded that all others have ended.
func (o *Owner) predecessorState(ctx context.Context, previous journal.PreviousOwner) task.PreviousOwner {
	if previous == (journal.PreviousOwner{}) {
		return task.PreviousOwnerGone
	}
	if previous.Epoch == 0 || o.committed.predecessorsEnded != task.Epoch(previous.Epoch) {
		return task.PreviousOwnerMayGrant
	}
	o.predecessor = previous.Process
	if o.HasEnded(ctx, previous.Process) {
		return task.PreviousOwnerGone
	}
	return task.PreviousOwnerMayGrant
}

// watchPredecessor waits until the previous owner has ended, or until all leases
// that previous owners can have granted have lapsed. It then records that the
// predecessors have ended.
func (o *Owner) watchPredecessor(ctx context.Context, takeover time.Time) {
	maxWait := time.Duration(float64(o.RideThrough+o.TaskLease) * (1 + maxClockDrift))
	t := time.NewTicker(predecessorPollInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
		case <-o.lost:
			return
		case <-ctx.Done():
			return
		}
		ended := o.predecessor != (fleet.ProcessIncarnation{}) && o.HasEnded(ctx, o.predecessor)
		if ended {
			o.MarkPredecessorEnded()
		}
		if ended || time.Since(takeover) > maxWait {
			o.recordPredecessorsEnded(ctx)
			return
		}
	}
}

// PredecessorsEnded reports whether it is recorded that no previous owner grants
// leases any more. It may be called only after Ready is closed.
func (o *Owner) PredecessorsEnded() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.committed.predecessorsEnded == o.epoch
}

// recordPredecessorsEnded writes to the journal that no previous owner grants leases
// any more. It retries while the journal is full.
func (o *Owner) recordPredecessorsEnded(ctx context.Context) {
	b, err := codec.Encode(o.epoch)
	if err != nil {
		return
	}
	record := append([]byte{byte(predecessorsEndedRecord)}, b...)
	o.Log.Submit(func(m decidejournal.Mark, err error) {
		switch {
		case err == nil:
			_ = o.applyCommitted(m, [][]byte{record})
		case errors.Is(err, journal.ErrFull):
			time.AfterFunc(predecessorPollInterval, func() {
				if ctx.Err() == nil {
					o.recordPredecessorsEnded(ctx)
				}
			})
		}
	}, record)
}
