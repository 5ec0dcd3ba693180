package hostagent

import (
	"time"

	"github.com/pkg/errors"

	"github.com/sesamestream/sesamestream/internal/eventlog"
	"github.com/sesamestream/sesamestream/internal/link"
	"github.com/sesamestream/sesamestream/pkg/batch"
)

// raise returns a fence above all that were used in the session; 0 without a
// session, or where its fences are used up.
func (a *Agent) raise() int64 {
	if a.fence == 0 {
		return 0
	}
	if a.highest+1 >= a.fence+fenceRoom {
		a.Log.Warning(eventlog.SchedulerLost).Str("why", "the session's fences are used up").Int64("fence", a.fence).Msg("")
		if a.RenewSession != nil {
			a.ended.Go(a.RenewSession)
		}
		return 0
	}
	a.highest++
	return a.highest
}

// drop forgets a life; false where that was done before.
func (a *Agent) drop(h *held, why string) bool {
	k := h.info.Key()
	if a.workers[k] != h {
		return false
	}
	delete(a.workers, k)
	a.gone = append(a.gone, k)
	if len(a.gone) > goneKept {
		a.gone = a.gone[1:]
	}
	h.cancel()
	a.Log.Warning(eventlog.WorkerGone).Str("worker", k.ID).Int64("born", k.Born).Str("why", why).Msg("")
	return true
}

// lose forgets a life on which nothing runs any more.
func (a *Agent) lose(h *held, why string) {
	if a.drop(h, why) {
		a.tellGone(h.info.Key(), why)
	}
}

func (a *Agent) tellGone(k batch.WorkerKey, why string) {
	delete(a.replaced, k)
	a.Send(link.Message{WorkerGone: &link.WorkerGone{Key: k, Reason: why}})
}

// replace forgets a life after which another one answers under the same ID. That
// one may have carried out a start that was meant for this life, so the
// scheduler is told what runs there first, or after the longest lease.
func (a *Agent) replace(h *held, why string) {
	if !h.unanswered() {
		a.lose(h, why)
		return
	}
	if !a.drop(h, why) {
		return
	}
	k, end := h.info.Key(), a.Steady()+a.MaxLease+lapseSlack
	a.replaced[k] = end
	a.ended.Go(func() {
		for a.ctx.Err() == nil {
			a.mu.Lock()
			_, waits := a.replaced[k]
			left := end - a.Steady()
			if waits && left <= 0 {
				a.tellGone(k, "the next life didn't report")
			}
			a.mu.Unlock()
			if !waits || left <= 0 {
				return
			}
			select {
			case <-a.ctx.Done():
			case <-time.After(left):
			}
		}
	})
}

// succeeds tells that the lives before h are over, once the scheduler was told what h runs.
func (a *Agent) succeeds(h *held) {
	for k := range a.replaced {
		if k.ID == h.info.ID {
			a.tellGone(k, "another life took its place")
		}
	}
}

// unanswered reports whether a start was sent that nobody knows the outcome of.
func (h *held) unanswered() bool {
	for _, p := range h.there {
		if p.since == notYet {
			return true
		}
	}
	return false
}

// otherLife takes in the error of a call, and reports whether another life answered it.
func (h *held) otherLife(err error) bool {
	switch {
	case errors.Is(err, ErrNextIncarnation):
		h.agent.replace(h, "another life answers")
	case errors.Is(err, ErrOtherIncarnation):
		h.agent.lose(h, "another worker answers")
	default:
		return false
	}
	return true
}
