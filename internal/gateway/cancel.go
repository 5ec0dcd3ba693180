package gateway

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/time/rate"

	"github.com/sesamestream/sesamestream/internal/dispatch"
	"github.com/sesamestream/sesamestream/internal/eventlog"
	"github.com/sesamestream/sesamestream/internal/kv"
	"github.com/sesamestream/sesamestream/internal/link"
	"github.com/sesamestream/sesamestream/internal/steady"
	"github.com/sesamestream/sesamestream/internal/telemetry"
	"github.com/sesamestream/sesamestream/pkg/batch"
)

const (
	// defaultFenceRate is the FenceRate of a gateway without one.
	defaultFenceRate = 2
	// fenceBurst is for how many seconds' worth of fences may be stored at once.
	fenceBurst = 16
)

// A CancelResult is the outcome of a job's cancellation.
type CancelResult struct {
	Outcome Outcome
	// RetryAfter is how long a refused caller should wait before it retries.
	RetryAfter time.Duration
}

// Cancel stores the cancellation of a job. After Found and NotFound no write of the job that began before has any effect
// any more. It refuses to store more cancellations of unknown jobs than FenceRate allows.
func (g *Gateway) Cancel(ctx context.Context, deadline time.Time, id batch.JobID) CancelResult {
	v := g.cancel(ctx, deadline, id)
	e := eventlog.CancelAccepted
	switch v.Outcome {
	case Unknown:
		e = eventlog.CancelOutcomeUnknown
	case Refused:
		e = eventlog.CancelRefused
		g.Log.Metrics.Increment(telemetry.Refusals, "reason", "fenceRate")
	}
	g.Log.Event(e).Str("job", string(id)).Bool("known", v.Outcome == Found).Dur("retryAfter", v.RetryAfter).Msg("")
	return v
}

func (g *Gateway) cancel(ctx context.Context, deadline time.Time, id batch.JobID) CancelResult {
	ctx, cancel := context.WithDeadline(ctx, deadline.Add(-responseMargin))
	defer cancel()
	for paid := false; ; {
		if g.StoreDown() && g.delegateWrite(ctx, id, nil) == link.Stored {
			return CancelResult{Outcome: Found}
		}
		j, err := g.get(ctx, dispatch.JobPrefix+string(id))
		switch {
		case err == nil:
			// A cancellation that is carried out after the job was removed must not stay behind.
			if g.putCancellation(ctx, id, kv.Condition{Key: j.Key, Revision: j.Revision}) == nil {
				g.Send(link.Message{JobCancelled: &link.JobCancelled{Job: id}})
				return CancelResult{Outcome: Found}
			}
		case errors.Is(err, kv.ErrNotFound):
			fenced, err := g.fenced(ctx, id)
			if err != nil {
				break
			}
			if !fenced && !paid {
				if wait := g.payFence(); wait > 0 {
					return CancelResult{Outcome: Refused, RetryAfter: wait}
				}
				paid = true
			}
			// A write of the job may still take effect, of whichever process, until it meets the cancellation.
			if fenced || g.putCancellation(ctx, id, dispatch.CreationConditions(id)...) == nil {
				return CancelResult{Outcome: NotFound}
			}
		}
		if ctx.Err() != nil {
			return CancelResult{Outcome: Unknown}
		}
		steady.Sleep(ctx, retryInterval)
	}
}

// putCancellation stores the cancellation of a job if the conditions hold.
func (g *Gateway) putCancellation(ctx context.Context, id batch.JobID, conditions ...kv.Condition) error {
	c, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	_, err := g.Store.Apply(c, kv.Change{
		Conditions: conditions, Puts: []kv.Put{{Key: dispatch.CancelPrefix + string(id), Value: []byte("cancelled")}},
	})
	if ctx.Err() == nil {
		g.recordStoreCall(err)
	}
	return err
}

// fenced reports whether the cancellation of a job is in the store.
func (g *Gateway) fenced(ctx context.Context, id batch.JobID) (bool, error) {
	_, err := g.get(ctx, dispatch.CancelPrefix+string(id))
	if errors.Is(err, kv.ErrNotFound) {
		return false, nil
	}
	return err == nil, err
}

// payFence takes the right to store the cancellation of an unknown job, or returns how long to wait for it.
func (g *Gateway) payFence() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.fences == nil {
		r := g.FenceRate
		if r <= 0 {
			r = defaultFenceRate
		}
		g.fences = rate.NewLimiter(r, max(int(r*fenceBurst), 1))
	}
	r := g.fences.Reserve()
	wait := r.Delay()
	if wait > 0 {
		r.Cancel()
	}
	return wait
}
