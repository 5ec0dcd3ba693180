package hostagent

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/sesamestream/sesamestream/internal/eventlog"
	"github.com/sesamestream/sesamestream/internal/link"
	"github.com/sesamestream/sesamestream/internal/steady"
	"github.com/sesamestream/sesamestream/pkg/batch"
)

// requestLease returns the end of the lease to ask for, by the worker's clock,
// and records that it's asked for. It returns false if the session's lease has
// expired. The lease of an unresponsive worker isn't extended, so that its end stays known.
func (h *workerHandle) requestLease() (time.Duration, bool) {
	a := h.agent
	now := a.Steady()
	if !h.clockKnown || !h.snapshotAcked || h.unresponsive || now >= a.grantEnd {
		return 0, false
	}
	end := min(a.grantEnd, now+a.MaxLease)
	h.previousLeaseEnd = h.leaseEnd
	h.leaseRequests++
	h.leaseEnd = max(h.leaseEnd, end)
	return h.clock + (end - h.clockReadAt), true
}

// readClock records the worker's clock from an answer that arrived at a time.
// The clock was read earlier than that, so that a lease computed from it ends
// early rather than late.
func (h *workerHandle) readClock(answer Answer, at time.Duration) {
	if answer.Clock > 0 {
		h.clock, h.clockReadAt, h.clockKnown = answer.Clock, at, true
	}
}

// currentFence returns the fence of orders of a generation, and whether the generation goes on.
func (h *workerHandle) currentFence(generation int) (fence int64, ok bool) {
	h.agent.mu.Lock()
	defer h.agent.mu.Unlock()
	return h.fence, h.generationCurrent(generation)
}

// generationCurrent reports whether orders of a generation may still be sent. The agent must be locked.
func (h *workerHandle) generationCurrent(generation int) bool {
	return h.generation == generation && h.snapshotAcked && h.ctx.Err() == nil
}

// fencedOff reports whether err means that the worker has a fence of another process, and not
// only one to which this agent has moved it in the meantime.
func (h *workerHandle) fencedOff(err error, fence int64) bool {
	h.agent.mu.Lock()
	defer h.agent.mu.Unlock()
	return errors.Is(err, ErrFenced) && h.fence == fence
}

// sendStart sends a start until it's answered, at most maxStartAttempts times.
// If an attempt may have been carried out unanswered, it sends a stop and reports what the worker lists.
func (h *workerHandle) sendStart(s *link.Start, generation int) {
	a := h.agent
	unanswered := false
	refusal := link.RefusedNoAnswer
	var fence int64
	for range maxStartAttempts {
		var leaseEnd time.Duration
		a.mu.Lock()
		h.starts++
		ok := h.awaitAck()
		if ok {
			leaseEnd, ok = h.requestLease()
		}
		ok = ok && h.generationCurrent(generation)
		if !ok {
			h.starts--
		}
		fence = h.fence
		a.mu.Unlock()
		if !ok {
			refusal = link.RefusedLeaseExpired
			break
		}
		sentAt := a.Steady()
		c, cancel := context.WithTimeout(h.ctx, orderTimeout)
		answer, err := h.client.Start(c, StartOrder{
			Task: s.Task, Number: s.Number, Spec: s.Spec, Checkpoint: s.Checkpoint, Ticket: s.Ticket, LeaseEnd: leaseEnd, Fence: fence,
		})
		cancel()
		a.mu.Lock()
		h.starts--
		if errors.Is(err, ErrNoAnswer) {
			h.startUnanswered(sentAt, s.Task, s.Number)
		}
		if err == nil {
			h.readClock(answer, a.Steady())
			h.runConfirmed(s.Task, s.Number)
		}
		openLeft := h.openLeft(a.Steady(), s.Task, s.Number)
		other := h.handleOtherIncarnation(err)
		a.mu.Unlock()
		if other {
			// The next incarnation reports its runs in its own snapshot.
			return
		}
		if err == nil {
			a.Log.Event(eventlog.RunStarted).Str("job", string(s.Task.Job)).Str("task", s.Task.String()).Int("run", s.Number).
				Str("worker", s.Key.ID).Int64("fence", fence).Msg("")
			a.Send(link.Message{StartResult: &link.StartResult{Key: s.Key, Task: s.Task, Number: s.Number, OpenLeft: openLeft}})
			return
		}
		if errors.Is(err, ErrNoAnswer) {
			unanswered = true
		} else if r, final := refusalFor(err); final && (!errors.Is(err, ErrFenced) || h.fencedOff(err, fence)) {
			refusal = r
			break
		}
		steady.Sleep(h.ctx, orderRetryPause)
	}
	a.Log.Warning(eventlog.RunRefused).Str("job", string(s.Task.Job)).Str("task", s.Task.String()).Int("run", s.Number).
		Str("worker", s.Key.ID).Str("why", string(refusal)).Bool("unanswered", unanswered).Int64("fence", fence).Msg("")
	if unanswered {
		if !h.sendStop(s.Task, s.Number, generation) {
			// The outcome is known only under a new fence or after the end of the lease.
			return
		}
		listed, ok := h.findRun(s.Task, s.Number, generation)
		if !ok {
			return
		}
		if listed {
			a.mu.Lock()
			h.runConfirmed(s.Task, s.Number)
			a.mu.Unlock()
			// An unanswered start was carried out. The stop ends the run, and its end will be listed.
			a.Send(link.Message{StartResult: &link.StartResult{Key: s.Key, Task: s.Task, Number: s.Number}})
			return
		}
	}
	a.mu.Lock()
	h.runAbsent(s.Task, s.Number)
	a.mu.Unlock()
	a.Send(link.Message{StartResult: &link.StartResult{Key: s.Key, Task: s.Task, Number: s.Number, Refusal: refusal}})
}

// findRun polls until the worker answers, and reports whether it lists a run as
// running or ended. The second result is false if it can't answer in this generation.
func (h *workerHandle) findRun(t batch.Task, run, generation int) (listed, ok bool) {
	a := h.agent
	for {
		fence, ok := h.currentFence(generation)
		if !ok {
			return false, false
		}
		c, cancel := context.WithTimeout(h.ctx, orderTimeout)
		_, l, err := h.client.Hold(c, HoldOrder{Fence: fence})
		cancel()
		if err == nil {
			for _, r := range l.Running {
				listed = listed || r.Task == t && r.Number == run
			}
			for _, e := range l.Ended {
				listed = listed || e.Task == t && e.Number == run
			}
			return listed, true
		}
		a.mu.Lock()
		other := h.handleOtherIncarnation(err)
		a.mu.Unlock()
		if other || h.fencedOff(err, fence) {
			return false, false
		}
		steady.Sleep(h.ctx, orderRetryPause)
	}
}

// refusalFor returns the refusal for a worker's error, and whether it's final, so
// that a retry is of no use.
func refusalFor(err error) (link.Refusal, bool) {
	switch {
	case errors.Is(err, ErrNoCapacity):
		return link.RefusedNoCapacity, true
	case errors.Is(err, ErrOldRun):
		return link.RefusedOldRun, true
	case errors.Is(err, ErrLeaseExpired):
		return link.RefusedLeaseExpired, true
	case errors.Is(err, ErrNoTicket):
		return link.RefusedNoTicket, true
	case errors.Is(err, ErrUnhealthy):
		return link.RefusedUnhealthy, true
	case errors.Is(err, ErrFenced):
		return link.RefusedFenced, true
	case errors.Is(err, ErrRejected):
		return link.RefusedOther, true
	}
	return link.RefusedNoAnswer, false
}

// sendStop sends a stop until it's answered, and reports whether the worker
// handled it. After that the worker refuses a start of the run that arrives late.
func (h *workerHandle) sendStop(t batch.Task, run, generation int) bool {
	a := h.agent
	for {
		fence, ok := h.currentFence(generation)
		if !ok {
			return false
		}
		c, cancel := context.WithTimeout(h.ctx, orderTimeout)
		_, err := h.client.Stop(c, t, run, fence)
		cancel()
		a.mu.Lock()
		other := h.handleOtherIncarnation(err)
		a.mu.Unlock()
		switch {
		case err == nil:
			return true
		case other, h.fencedOff(err, fence):
			return false
		case errors.Is(err, ErrRejected), errors.Is(err, ErrOldRun):
			a.Log.Warning(eventlog.RunRefused).Str("task", t.String()).Int("run", run).Err(err).Msg("stop")
			return true
		}
		steady.Sleep(h.ctx, orderRetryPause)
	}
}
