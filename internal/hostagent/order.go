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

// lease returns the end of the lease to ask for, in the worker's time, or
// false where the session's lease is over. A worker that doesn't answer gets no
// longer lease, so that its end is known.
func (h *held) lease() (time.Duration, bool) {
	a := h.agent
	now := a.Steady()
	if !h.sampled || !h.acked || h.failing || now >= a.granted {
		return 0, false
	}
	end := min(a.granted, now+a.MaxLease)
	h.before = h.until
	h.leases++
	h.until = max(h.until, end)
	return h.clock + (end - h.clockAt), true
}

// sample takes in the worker's clock as an answer told it. The answer was
// written before it arrived, so that a lease counted from here ends early.
func (h *held) sample(w Answer, at time.Duration) {
	if w.Clock > 0 {
		h.clock, h.clockAt, h.sampled = w.Clock, at, true
	}
}

// current reports whether the session of fence goes on; the agent is locked.
func (h *held) current(fence int64) bool {
	return h.fence == fence && h.acked && h.ctx.Err() == nil
}

// start sends a start until it's answered, or takes it back.
func (h *held) start(s *link.Start, fence int64) {
	a := h.agent
	open := false
	refusal := link.RefusedNoAnswer
	for range startTries {
		a.mu.Lock()
		until, ok := h.lease()
		ok = ok && h.current(fence)
		a.mu.Unlock()
		if !ok {
			refusal = link.RefusedLeaseExpired
			break
		}
		c, cancel := context.WithTimeout(h.ctx, orderTimeout)
		answer, err := h.client.Start(c, StartOrder{
			Task: s.Task, Number: s.Number, Spec: s.Spec, Checkpoint: s.Checkpoint, Ticket: s.Ticket, LeaseEnd: until, Fence: fence,
		})
		cancel()
		a.mu.Lock()
		if err == nil {
			h.sample(answer, a.Steady())
			h.confirmed(s.Task, s.Number)
		}
		other := h.otherLife(err)
		a.mu.Unlock()
		if other {
			// What the next life runs is told by its own lists.
			return
		}
		if err == nil {
			a.Log.Event(eventlog.RunStarted).Str("job", string(s.Task.Job)).Str("task", s.Task.String()).Int("run", s.Number).
				Str("worker", s.Key.ID).Int64("fence", fence).Msg("")
			a.Send(link.Message{StartResult: &link.StartResult{Key: s.Key, Task: s.Task, Number: s.Number}})
			return
		}
		if errors.Is(err, ErrNoAnswer) {
			open = true
		} else if r, final := refusalOf(err); final {
			refusal = r
			break
		}
		steady.Pause(h.ctx, orderPause)
	}
	a.Log.Warning(eventlog.RunRefused).Str("job", string(s.Task.Job)).Str("task", s.Task.String()).Int("run", s.Number).
		Str("worker", s.Key.ID).Str("why", string(refusal)).Bool("unanswered", open).Int64("fence", fence).Msg("")
	if open {
		if !h.stop(s.Task, s.Number, fence) {
			// Only a new fence or the end of the lease tells what became of it.
			return
		}
		there, ok := h.find(s.Task, s.Number, fence)
		if !ok {
			return
		}
		if there {
			a.mu.Lock()
			h.confirmed(s.Task, s.Number)
			a.mu.Unlock()
			// An unanswered start was carried out; its end will be listed.
			a.Send(link.Message{StartResult: &link.StartResult{Key: s.Key, Task: s.Task, Number: s.Number}})
			return
		}
	}
	a.mu.Lock()
	h.absent(s.Task, s.Number)
	a.mu.Unlock()
	a.Send(link.Message{StartResult: &link.StartResult{Key: s.Key, Task: s.Task, Number: s.Number, Refusal: refusal}})
}

// find reports whether the worker lists a run, at work or over; false as the
// second value where it doesn't say under this fence.
func (h *held) find(t batch.Task, run int, fence int64) (there, ok bool) {
	a := h.agent
	for {
		a.mu.Lock()
		ok = h.current(fence)
		a.mu.Unlock()
		if !ok {
			return false, false
		}
		c, cancel := context.WithTimeout(h.ctx, orderTimeout)
		_, l, err := h.client.Hold(c, HoldOrder{Fence: fence})
		cancel()
		if err == nil {
			for _, r := range l.Running {
				there = there || r.Task == t && r.Number == run
			}
			for _, e := range l.Ended {
				there = there || e.Task == t && e.Number == run
			}
			return there, true
		}
		a.mu.Lock()
		other := h.otherLife(err)
		a.mu.Unlock()
		if other || errors.Is(err, ErrFenced) {
			return false, false
		}
		steady.Pause(h.ctx, orderPause)
	}
}

// refusalOf returns why a worker refused, and whether another try is of no use.
func refusalOf(err error) (link.Refusal, bool) {
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

// stop sends a stop until it's answered; a run that isn't there yet is then refused.
func (h *held) stop(t batch.Task, run int, fence int64) bool {
	a := h.agent
	for {
		a.mu.Lock()
		ok := h.current(fence)
		a.mu.Unlock()
		if !ok {
			return false
		}
		c, cancel := context.WithTimeout(h.ctx, orderTimeout)
		_, err := h.client.Stop(c, t, run, fence)
		cancel()
		a.mu.Lock()
		other := h.otherLife(err)
		a.mu.Unlock()
		switch {
		case err == nil:
			return true
		case other, errors.Is(err, ErrFenced):
			return false
		case errors.Is(err, ErrRejected), errors.Is(err, ErrOldRun):
			a.Log.Warning(eventlog.RunRefused).Str("task", t.String()).Int("run", run).Err(err).Msg("stop")
			return true
		}
		steady.Pause(h.ctx, orderPause)
	}
}
