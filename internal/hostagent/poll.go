package hostagent

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/sesamestream/sesamestream/internal/eventlog"
	"github.com/sesamestream/sesamestream/internal/link"
	"github.com/sesamestream/sesamestream/internal/steady"
	"github.com/sesamestream/sesamestream/pkg/batch"
	"github.com/sesamestream/sesamestream/pkg/decide/interfere"
	"github.com/sesamestream/sesamestream/pkg/decide/pacing"
	"github.com/sesamestream/sesamestream/pkg/fleet"
)

// pollLoop polls the worker until the handle is cancelled.
func (h *workerHandle) pollLoop() {
	for h.ctx.Err() == nil {
		if pause := h.poll(); pause > 0 {
			select {
			case <-h.ctx.Done():
			case <-h.wakeups:
			case <-time.After(pause):
			}
		}
	}
}

// nextPoll returns the next poll and its timeout. A poll that changes the worker's state, by renewing its lease or
// acknowledging ends, doesn't wait, so that hardly any is under way when the worker ends; one that waits for ends
// changes nothing.
func (h *workerHandle) nextPoll(now time.Duration) (o HoldOrder, timeout time.Duration) {
	o.Fence = h.fence
	isNew := h.ackedSeq > h.forgottenSeq
	switch {
	case !h.snapshotTaken:
	case !h.snapshotAcked:
		o.Wait = unackedPollWait
	case h.unresponsive:
	case now-h.renewedAt >= pollWait || isNew && h.mayAcknowledge(now, h.ackedSeq, isNew):
		h.renewedAt = now
		if end, ok := h.requestLease(); ok {
			o.LeaseEnd = end
		}
		if h.mayAcknowledge(now, h.ackedSeq, isNew) {
			o.AckedSeq = h.ackedSeq
		}
	default:
		o.Wait = pollWait
	}
	if h.unresponsive {
		// Short polls give a worker that answers only some calls many chances to answer before its lease counts as
		// expired. It may have restarted, so that they acknowledge no ends either.
		o.Wait = 0
	}
	if h.unresponsive || h.snapshotAcked && o.Wait == 0 {
		return o, orderTimeout
	}
	return o, o.Wait + pollTimeoutSlack
}

// poll polls the worker once. It returns how long the next poll should wait if there is no wakeup.
func (h *workerHandle) poll() (pause time.Duration) {
	a := h.agent
	a.mu.Lock()
	if h.fence == 0 {
		a.mu.Unlock()
		return pollPause
	}
	polledAt, generation := a.Steady(), h.generation
	o, timeout := h.nextPoll(polledAt)
	previousEnd, requests := h.previousLeaseEnd, h.leaseRequests
	if o.AckedSeq > 0 {
		h.beginAck(o.Fence)
	}
	c, cancel := context.WithTimeout(h.ctx, timeout)
	h.cancelPoll = cancel
	a.mu.Unlock()
	answer, lists, err := h.client.Hold(c, o)
	cancel()
	a.mu.Lock()
	defer a.mu.Unlock()
	if o.AckedSeq > 0 {
		h.endAck()
	}
	if h.ctx.Err() != nil || h.generation != generation || errors.Is(err, ErrFenced) && h.fence != o.Fence {
		return 0
	}
	if err != nil {
		if errors.Is(err, ErrNotSent) && o.LeaseEnd != 0 && h.leaseRequests == requests {
			// The worker can't have received this lease, and none was requested since.
			h.leaseEnd = previousEnd
		}
		if errors.Is(err, ErrNoAnswer) && o.AckedSeq > 0 && h.fence == o.Fence {
			h.advanceFence()
		}
		h.pollFailed(err)
		return pollPause
	}
	h.forgottenSeq = max(h.forgottenSeq, o.AckedSeq)
	h.endsListed(lists.Ended)
	if h.unresponsive {
		h.unresponsive = false
		a.Log.Event(eventlog.WorkerJoined).Str("worker", h.info.ID).Str("why", "answers again").Msg("")
		h.reportSilence(false)
	}
	h.readClock(answer, a.Steady())
	if polledAt > h.leaveNoticedAt+leaveTimeout {
		h.leaveNoticed = false
	}
	if h.leaseLapsed {
		// The worker was reported as gone. It rejoins under a new fence, so that
		// orders sent before can't take effect.
		h.fence = a.nextFence()
		h.beginGeneration()
		return 0
	}
	if lists.Malformed > 0 {
		a.Log.Warning(eventlog.ReportRejected).Str("worker", h.info.ID).Int("rows", lists.Malformed).Msg("")
	}
	if !h.answered {
		// A call to an earlier incarnation, or of an earlier process, may have left any lease until now.
		h.answered, h.leaseEnd = true, a.Steady()+a.longestLease()
	}
	if !h.snapshotTaken {
		h.snapshotTaken = true
		for _, e := range lists.Ended {
			h.reportedSeq = max(h.reportedSeq, e.Seq)
		}
		h.setKnownRuns(lists.Running)
		if a.inSession {
			a.Send(link.Message{Snapshot: &link.Snapshot{Fence: a.fence, Worker: h.info, Running: lists.Running, Ended: lists.Ended, LeaseLeft: max(h.leaseEnd-a.Steady(), 0)}})
			a.reportReplaced(h)
		}
		return 0
	}
	h.reconcile(polledAt, lists)
	h.reportRuns(lists)
	h.updatePaces(lists.Running)
	switch {
	case len(lists.Ended) == 0:
		return 0
	case h.ackDueAt != 0:
		return delayedAckPollPause
	}
	// A worker answers without waiting while it has unacknowledged ends.
	return pollPause
}

// pollFailed handles the error of a poll. It marks and reports the worker as unresponsive,
// and reports it as gone once its last lease has expired.
func (h *workerHandle) pollFailed(err error) {
	a := h.agent
	if h.handleOtherIncarnation(err) {
		return
	}
	if h.leaveNoticed && errors.Is(err, ErrRefused) {
		a.replaceWorker(h, "left")
		return
	}
	if !h.unresponsive {
		h.unresponsive = true
		a.Log.Warning(eventlog.WorkerUnreachable).Str("worker", h.info.ID).Err(err).Msg("")
		h.reportSilence(true)
	}
	if now := a.Steady(); h.snapshotAcked && !h.leaseLapsed && now > h.leaseEnd+leaseClockSlack {
		h.leaseLapsed, h.snapshotAcked = true, false
		open := h.openStarts(now)
		h.openReported = len(open) > 0
		a.Log.Warning(eventlog.WorkerRemoved).Str("worker", h.info.ID).Str("why", "lease lapsed unanswered").Int("openStarts", len(open)).Msg("")
		a.reportGone(h.info.Key(), "lease lapsed unanswered", open)
	}
}

// reportSilence reports that the worker has stopped to answer, or answers again. Without a
// snapshot in the session there is nothing to report: the scheduler gives the worker no
// tasks before it, and a worker answers before its snapshot is sent.
func (h *workerHandle) reportSilence(silent bool) {
	if !h.snapshotTaken || h.leaseLapsed {
		return
	}
	h.agent.Send(link.Message{WorkerSilent: &link.WorkerSilent{Key: h.info.Key(), Silent: silent}})
}

// reportRuns sends new ends to the scheduler immediately, and the progress of
// running runs once per progressInterval.
func (h *workerHandle) reportRuns(l RunLists) {
	a := h.agent
	k := h.info.Key()
	var ends []batch.End
	for _, e := range l.Ended {
		if e.Seq > h.reportedSeq {
			ends = append(ends, e)
			delete(h.runInfo, e.Task)
			delete(h.preexisting, e.Task)
			delete(h.reportedCheckpoints, e.Task)
		}
	}
	if len(ends) > 0 && h.snapshotAcked {
		for _, e := range ends {
			h.reportedSeq = max(h.reportedSeq, e.Seq)
		}
		a.Send(link.Message{Ends: &link.Ends{Key: k, Ends: ends}})
	}
	now := time.Now()
	if now.Sub(h.progressSentAt) < progressInterval || !h.snapshotAcked || len(l.Running) == 0 {
		return
	}
	h.progressSentAt = now
	p := link.Progress{Key: k, Throttling: h.pacing.Throttling()}
	for _, r := range l.Running {
		if r.Checkpoint == h.reportedCheckpoints[r.Task] {
			r.Checkpoint = ""
		} else {
			h.reportedCheckpoints[r.Task] = r.Checkpoint
		}
		if h.runInfo[r.Task].BestEffort {
			r.Pace = h.pacing.Pace(r.Task, r.Number)
		}
		p.Runs = append(p.Runs, r)
	}
	a.Send(link.Message{Progress: &p})
}

// updatePaces throttles best-effort runs that interfere with latency-critical
// ones, and sends the changed paces to the worker.
func (h *workerHandle) updatePaces(running []batch.Run) {
	rows := make([]pacing.RunSample, 0, len(running))
	for _, r := range running {
		f := h.runInfo[r.Task]
		row := pacing.RunSample{Task: r.Task, Number: r.Number, LatencyTarget: f.LatencyTarget, BestEffort: f.BestEffort, Image: f.Image, RequestedMilliCPU: f.MilliCPU, Adopted: h.preexisting[r.Task]}
		if f.LatencyTarget > 0 {
			row.TailLatency = time.Duration(r.Load) * time.Millisecond
		} else {
			row.UsedMilliCPU = r.Load
		}
		rows = append(rows, row)
	}
	generation := h.generation
	now := time.Now()
	h.pacing.CapacityMilliCPU = h.info.Capacity.MilliCPU
	h.pacing.InterferenceWeight = func(victim, aggressor string) (float64, bool) {
		w, ok := h.agent.interference[interfere.Pair{Victim: fleet.Kind(victim), Aggressor: fleet.Kind(aggressor)}]
		return w, ok
	}
	h.pacing.IdleTail = func(victim string) time.Duration { return h.agent.idleTails[fleet.Kind(victim)] }
	for _, c := range h.pacing.Step(now, rows, nil) {
		h.agent.Log.Event(eventlog.RunPaced).Str("job", string(c.Task.Job)).Str("task", c.Task.String()).Int("run", c.Number).
			Int("percent", c.Percent).Float64("worstShare", c.WorstTailShare).Msg("")
		h.pendingPaces[runKey{c.Task, c.Number}] = c.Percent
	}
	if len(h.pendingPaces) > 0 && !h.sendingPaces {
		h.sendingPaces = true
		h.agent.background.Go(func() { h.sendPaces(generation) })
	}
}

// runKey identifies a run.
type runKey struct {
	task   batch.Task
	number int
}

// sendPaces sends the pending paces one at a time, so that an old pace can't
// overtake a newer one of the same run. Unanswered paces are retried.
func (h *workerHandle) sendPaces(generation int) {
	a := h.agent
	for {
		a.mu.Lock()
		var next runKey
		percent, found := 0, false
		for k, p := range h.pendingPaces {
			next, percent, found = k, p, true
			break
		}
		if !found || !h.generationCurrent(generation) {
			h.sendingPaces = false
			clear(h.pendingPaces)
			a.mu.Unlock()
			return
		}
		fence := h.fence
		a.mu.Unlock()
		c, cancel := context.WithTimeout(h.ctx, orderTimeout)
		_, err := h.client.Pace(c, next.task, next.number, percent, fence)
		cancel()
		unanswered := errors.Is(err, ErrNoAnswer) || errors.Is(err, ErrNotSent) || errors.Is(err, ErrUnhealthy) ||
			errors.Is(err, ErrFenced) && !h.fencedOff(err, fence)
		a.mu.Lock()
		if !unanswered && h.pendingPaces[next] == percent {
			delete(h.pendingPaces, next)
		}
		a.mu.Unlock()
		if err != nil {
			a.Log.Warning(eventlog.RunPaced).Str("task", next.task.String()).Int("run", next.number).Int("percent", percent).Err(err).Msg("")
		}
		if unanswered {
			steady.Sleep(h.ctx, orderRetryPause)
		}
	}
}
