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

// run looks at the worker again and again while there is a session.
func (h *held) run() {
	for h.ctx.Err() == nil {
		if !h.once() {
			select {
			case <-h.ctx.Done():
			case <-h.changed:
			case <-time.After(lookPause):
			}
		}
	}
}

// once makes one look; false asks for a pause.
func (h *held) once() bool {
	a := h.agent
	a.mu.Lock()
	if h.fence == 0 {
		a.mu.Unlock()
		return false
	}
	fence := h.fence
	o := HoldOrder{Fence: fence, AckedSeq: h.noted}
	switch {
	case h.joined != fence:
	case !h.acked:
		o.Wait = ackWait
	default:
		o.Wait = holdWait
		if until, ok := h.lease(); ok {
			o.LeaseEnd = until
		}
	}
	before, leases, asked := h.before, h.leases, a.Steady()
	limit := o.Wait + holdSlack
	if h.failing {
		// A worker that leaves some calls unanswered is asked often, so that
		// it's heard long before its lease would be taken for over.
		o.Wait, limit = 0, orderTimeout
		// It may have begun another life, which would forget ends of its own.
		o.AckedSeq = 0
	}
	c, cancel := context.WithTimeout(h.ctx, limit)
	h.look = cancel
	a.mu.Unlock()
	answer, lists, err := h.client.Hold(c, o)
	cancel()
	a.mu.Lock()
	defer a.mu.Unlock()
	if h.ctx.Err() != nil || h.fence != fence {
		return true
	}
	if err != nil {
		if errors.Is(err, ErrNotSent) && o.LeaseEnd != 0 && h.leases == leases {
			// The worker can't have got this lease, and none was asked for since.
			h.until = before
		}
		h.missed(err)
		return false
	}
	if h.failing {
		h.failing = false
		a.Log.Event(eventlog.WorkerJoined).Str("worker", h.info.ID).Str("why", "answers again").Msg("")
	}
	h.sample(answer, a.Steady())
	if h.lapsed {
		// It counts as gone; what runs there now needs a fence that no order of before has.
		h.lapsed = false
		h.fence = a.raise()
		h.joined, h.acked = 0, false
		return true
	}
	if lists.Malformed > 0 {
		a.Log.Warning(eventlog.ReportRejected).Str("worker", h.info.ID).Int("rows", lists.Malformed).Msg("")
	}
	if h.joined != fence {
		h.joined = fence
		for _, e := range lists.Ended {
			h.reported = max(h.reported, e.Seq)
		}
		h.adopt(lists.Running)
		a.Send(link.Message{Snapshot: &link.Snapshot{Fence: a.fence, Worker: h.info, Running: lists.Running, Ended: lists.Ended}})
		a.succeeds(h)
		return true
	}
	h.reconcile(asked, lists)
	h.tell(lists)
	h.pace(lists.Running)
	// A worker answers at once while it lists ends that it may not forget yet.
	return len(lists.Ended) == 0
}

// missed takes in that a look failed.
func (h *held) missed(err error) {
	a := h.agent
	if h.otherLife(err) {
		return
	}
	if !h.failing {
		h.failing = true
		a.Log.Warning(eventlog.WorkerUnreachable).Str("worker", h.info.ID).Err(err).Msg("")
	}
	if h.acked && !h.lapsed && a.Steady() > h.until+lapseSlack {
		h.lapsed, h.acked = true, false
		a.Log.Warning(eventlog.WorkerGone).Str("worker", h.info.ID).Str("why", "lease lapsed unanswered").Msg("")
		a.Send(link.Message{WorkerGone: &link.WorkerGone{Key: h.info.Key(), Reason: "lease lapsed unanswered"}})
	}
}

// tell passes new ends on at once, and how the runs get on now and then.
func (h *held) tell(l RunLists) {
	a := h.agent
	k := h.info.Key()
	var ends []batch.End
	for _, e := range l.Ended {
		if e.Seq > h.reported {
			ends = append(ends, e)
			delete(h.facts, e.Task)
			delete(h.found, e.Task)
			delete(h.saved, e.Task)
		}
	}
	if len(ends) > 0 && h.acked {
		for _, e := range ends {
			h.reported = max(h.reported, e.Seq)
		}
		a.Send(link.Message{Ends: &link.Ends{Key: k, Ends: ends}})
	}
	now := time.Now()
	if now.Sub(h.told) < tellEvery || !h.acked || len(l.Running) == 0 {
		return
	}
	h.told = now
	p := link.Progress{Key: k, Throttling: h.pacing.Squeezed()}
	for _, r := range l.Running {
		if r.Saved == h.saved[r.Task] {
			r.Saved = ""
		} else {
			h.saved[r.Task] = r.Saved
		}
		if h.facts[r.Task].BestEffort {
			r.Pace = h.pacing.Pace(r.Task, r.Number)
		}
		p.Runs = append(p.Runs, r)
	}
	a.Send(link.Message{Progress: &p})
}

// pace lets filling tasks give way to serving ones.
func (h *held) pace(running []batch.Run) {
	rows := make([]pacing.Row, 0, len(running))
	for _, r := range running {
		f := h.facts[r.Task]
		row := pacing.Row{Task: r.Task, Number: r.Number, Target: f.LatencyTarget, Fills: f.BestEffort, Image: f.Image, Need: f.MilliCPU, Found: h.found[r.Task]}
		if f.LatencyTarget > 0 {
			row.Tail = time.Duration(r.Load) * time.Millisecond
		} else {
			row.MilliCPU = r.Load
		}
		rows = append(rows, row)
	}
	fence := h.fence
	now := time.Now()
	h.pacing.Pressure = func(victim, disturber string) (float64, bool) {
		w, ok := h.agent.pressure[interfere.Pair{Victim: fleet.Kind(victim), Disturber: fleet.Kind(disturber)}]
		return w, ok
	}
	h.pacing.Idle = func(victim string) time.Duration { return h.agent.idle[fleet.Kind(victim)] }
	for _, c := range h.pacing.Step(now, rows, nil) {
		h.agent.Log.Event(eventlog.RunPaced).Str("job", string(c.Task.Job)).Str("task", c.Task.String()).Int("run", c.Number).
			Int("percent", c.Percent).Float64("worstShare", c.Worst).Msg("")
		h.paces[paced{c.Task, c.Number}] = c.Percent
	}
	if len(h.paces) > 0 && !h.pacingNow {
		h.pacingNow = true
		h.agent.ended.Go(func() { h.sendPaces(fence) })
	}
}

// paced is a run whose pace is set.
type paced struct {
	task   batch.Task
	number int
}

// sendPaces sets the paces one after the other, so that none overtakes a newer
// one of the same run; one that isn't answered is sent again.
func (h *held) sendPaces(fence int64) {
	a := h.agent
	for {
		a.mu.Lock()
		var next paced
		percent, found := 0, false
		for k, p := range h.paces {
			next, percent, found = k, p, true
			break
		}
		if !found || !h.current(fence) {
			h.pacingNow = false
			clear(h.paces)
			a.mu.Unlock()
			return
		}
		a.mu.Unlock()
		c, cancel := context.WithTimeout(h.ctx, orderTimeout)
		_, err := h.client.Pace(c, next.task, next.number, percent, fence)
		cancel()
		unanswered := errors.Is(err, ErrNoAnswer) || errors.Is(err, ErrNotSent) || errors.Is(err, ErrUnhealthy)
		a.mu.Lock()
		if !unanswered && h.paces[next] == percent {
			delete(h.paces, next)
		}
		a.mu.Unlock()
		if err != nil {
			a.Log.Warning(eventlog.RunPaced).Str("task", next.task.String()).Int("run", next.number).Int("percent", percent).Err(err).Msg("")
		}
		if unanswered {
			steady.Pause(h.ctx, orderPause)
		}
	}
}
