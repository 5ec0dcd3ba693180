package hostagent

import (
	"time"

	"github.com/pkg/errors"

	"github.com/sesamestream/sesamestream/internal/eventlog"
	"github.com/sesamestream/sesamestream/internal/link"
	"github.com/sesamestream/sesamestream/pkg/batch"
)

// nextFence returns a fence above all those used since the last session began. It returns 0
// before the first session, or if the fences of the last one are used up.
func (a *Agent) nextFence() int64 {
	if a.fence == 0 {
		return 0
	}
	if a.highestFence+1 >= a.fence+fencesPerSession {
		a.Log.Warning(eventlog.SchedulerLost).Str("why", "the session's fences are used up").Int64("fence", a.fence).Msg("")
		if a.RenewSession != nil {
			a.background.Go(a.RenewSession)
		}
		return 0
	}
	a.highestFence++
	return a.highestFence
}

// removeWorker removes a worker incarnation; it returns false if that was done before.
func (a *Agent) removeWorker(h *workerHandle, reason string) bool {
	k := h.info.Key()
	if a.workers[k] != h {
		return false
	}
	delete(a.workers, k)
	a.endedWorkers = append(a.endedWorkers, k)
	if len(a.endedWorkers) > maxEndedWorkers {
		a.endedWorkers = a.endedWorkers[1:]
	}
	h.cancel()
	a.Log.Warning(eventlog.WorkerRemoved).Str("worker", k.ID).Int64("born", k.StartTime).Str("why", reason).Msg("")
	return true
}

// endWorker removes a worker incarnation on which nothing runs any more, and reports it as gone.
func (a *Agent) endWorker(h *workerHandle, reason string) {
	if a.removeWorker(h, reason) {
		a.reportGone(h.info.Key(), reason, nil)
	}
}

// reportGone reports to the scheduler that nothing runs on an incarnation any more, and which starts
// the next one may still carry out.
func (a *Agent) reportGone(k batch.WorkerKey, reason string, open []link.OpenStart) {
	delete(a.replaced, k)
	a.Send(link.Message{WorkerGone: &link.WorkerGone{Key: k, Reason: reason, OpenStarts: open}})
}

// replaceWorker removes an incarnation that another one under the same ID has
// replaced. The other one may have carried out a start that was sent to this
// one, so this one is reported as gone only after the snapshot of the other
// one, or after the longest lease.
func (a *Agent) replaceWorker(h *workerHandle, reason string) {
	if !h.hasUnansweredStart() {
		a.endWorker(h, reason)
		return
	}
	if !a.removeWorker(h, reason) {
		return
	}
	// All starts there are refused until it's reported as gone.
	h.reportSilence(true)
	k, end := h.info.Key(), a.Steady()+a.longestLease()+leaseClockSlack
	a.replaced[k] = end
	a.background.Go(func() {
		for a.ctx.Err() == nil {
			a.mu.Lock()
			_, pending := a.replaced[k]
			left := end - a.Steady()
			if pending && left <= 0 {
				a.reportGone(k, "the next life didn't report", h.openStarts(a.Steady()))
			}
			a.mu.Unlock()
			if !pending || left <= 0 {
				return
			}
			select {
			case <-a.ctx.Done():
			case <-time.After(left):
			}
		}
	})
}

// reportReplaced reports the incarnations before h as gone. It's called once h's snapshot was sent.
func (a *Agent) reportReplaced(h *workerHandle) {
	for k := range a.replaced {
		if k.ID == h.info.ID {
			a.reportGone(k, "another life took its place", nil)
		}
	}
}

// hasUnansweredStart reports whether a start may still be carried out, or its outcome is unknown.
func (h *workerHandle) hasUnansweredStart() bool {
	if h.mayStart(h.agent.Steady(), h.ackedSeq) {
		return true
	}
	for _, p := range h.knownRuns {
		if p.listedFrom == unconfirmed {
			return true
		}
	}
	return false
}

// handleOtherIncarnation reports whether err means that another incarnation
// answered a call, and if so removes h.
func (h *workerHandle) handleOtherIncarnation(err error) bool {
	switch {
	case errors.Is(err, ErrNextIncarnation):
		h.agent.replaceWorker(h, "another life answers")
	case errors.Is(err, ErrOtherIncarnation):
		h.agent.endWorker(h, "another worker answers")
	default:
		return false
	}
	return true
}
