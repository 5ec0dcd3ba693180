package hostagent

import (
	"time"

	"github.com/sesamestream/sesamestream/internal/eventlog"
	"github.com/sesamestream/sesamestream/internal/link"
	"github.com/sesamestream/sesamestream/pkg/batch"
)

// A call without an answer may be carried out seconds later, also by the worker's next incarnation, which has
// met no fence. An incarnation that carries out a start and then a poll that acknowledges ends of the one before
// forgets the end of the run before anybody has seen it. No such pair may be under way: starts have a higher fence
// than an unanswered acknowledgement, and acknowledgements wait for starts that may still be carried out.

const (
	// maxCallDelay is how late the platform may carry out a call that gets no answer.
	maxCallDelay = 12 * time.Second
	// maxAckDelay bounds the time for which unanswered starts delay an acknowledgement. It's below the time
	// within which the ends of a worker have to be acknowledged.
	maxAckDelay = 4 * time.Second
	// maxAckWait is how long a start waits for the answer to an acknowledgement before it uses a new fence.
	maxAckWait = 60 * time.Millisecond
)

// inFlight are the starts and acknowledgements to one incarnation that may still be carried out. Times are by Steady.
type inFlight struct {
	// starts is the number of starts that are being sent or wait to be.
	starts int
	// unanswered are the starts of which a call got no answer.
	unanswered map[runKey]unansweredStart
	// earlierStartsEnd is until when starts of an earlier process of the agent count as open: as those that were
	// never answered, for the longest lease.
	earlierStartsEnd time.Duration
	// ackAnswered is closed at the end of the poll in progress, if that acknowledges ends; ackFence is its fence.
	ackAnswered chan struct{}
	ackFence    int64
	// ackDueAt is when the acknowledgement that is delayed now was due; 0 if none is.
	ackDueAt time.Duration
}

// unansweredStart is a start of which a call got no answer.
type unansweredStart struct {
	// sentAt is when the last such call was sent, until the time until which it may be carried out.
	sentAt, until time.Duration
	// endSeq is the sequence number of the end of the run, 0 if it isn't listed.
	endSeq int64
}

// startUnanswered records that a call to start a run, sent at a time, got no answer.
func (f *inFlight) startUnanswered(sentAt time.Duration, t batch.Task, run int) {
	if f.unanswered == nil {
		f.unanswered = map[runKey]unansweredStart{}
	}
	f.unanswered[runKey{t, run}] = unansweredStart{sentAt: sentAt, until: sentAt + maxCallDelay}
}

// openLeft returns how much longer a call to start a run may be carried out that got no answer, or 0.
func (f *inFlight) openLeft(now time.Duration, t batch.Task, run int) time.Duration {
	return max(0, f.unanswered[runKey{t, run}].until-now)
}

// endsListed records the listed ends of runs.
func (f *inFlight) endsListed(ends []batch.End) {
	if len(f.unanswered) == 0 {
		return
	}
	for _, e := range ends {
		k := runKey{e.Task, e.Number}
		if s, ok := f.unanswered[k]; ok {
			s.endSeq = e.Seq
			f.unanswered[k] = s
		}
	}
}

// mayStart reports whether the worker's next incarnation may carry out a start whose run hasn't ended, as far
// as the scheduler has acknowledged ends.
func (f *inFlight) mayStart(now time.Duration, ackedSeq int64) bool {
	open := f.starts > 0
	for k, s := range f.unanswered {
		switch {
		case now >= s.until, s.endSeq != 0 && s.endSeq <= ackedSeq:
			delete(f.unanswered, k)
		default:
			open = true
		}
	}
	return open
}

// openStarts returns the starts that the worker's next incarnation may still carry out. A start that was repeated with
// success counts for as long as a call may be late. One that was never answered, as any that is sent when a worker
// falls silent, counts for the longest lease only, so that no task waits much longer than for the worker's lease.
func (h *workerHandle) openStarts(now time.Duration) []link.OpenStart {
	var open []link.OpenStart
	if !h.mayStart(now, h.ackedSeq) {
		return nil
	}
	for t, p := range h.knownRuns {
		s, unanswered := h.unanswered[runKey{t, p.number}]
		left := s.until - now
		if p.listedFrom == unconfirmed {
			if !unanswered {
				s.sentAt = now
			}
			left = s.sentAt + h.agent.longestLease() - now
		}
		if left > 0 {
			open = append(open, link.OpenStart{Task: t, Number: p.number, Left: left})
		}
	}
	return open
}

// mayAcknowledge reports whether a poll may acknowledge ends up to ackedSeq. An acknowledgement that the worker hasn't
// answered before is delayed for maxAckDelay at most.
func (f *inFlight) mayAcknowledge(now time.Duration, ackedSeq int64, isNew bool) bool {
	switch {
	case now >= f.earlierStartsEnd && !f.mayStart(now, ackedSeq):
		f.ackDueAt = 0
		return true
	case !isNew:
		return false
	case f.ackDueAt == 0:
		f.ackDueAt = now
	}
	return now-f.ackDueAt >= maxAckDelay
}

// beginAck records that a poll that acknowledges ends is sent.
func (f *inFlight) beginAck(fence int64) { f.ackAnswered, f.ackFence = make(chan struct{}), fence }

// endAck records the end of that poll.
func (f *inFlight) endAck() {
	close(f.ackAnswered)
	f.ackAnswered, f.ackDueAt = nil, 0
}

// awaitAck waits for the poll in progress if it acknowledges ends, for maxAckWait at most. If that isn't answered by
// then, the worker moves to a new fence. It reports whether a start may be sent. The agent must be locked.
func (h *workerHandle) awaitAck() bool {
	a := h.agent
	for deadline := a.Steady() + maxAckWait; h.ackAnswered != nil && h.ackFence == h.fence && h.ctx.Err() == nil; {
		left := deadline - a.Steady()
		if left <= 0 {
			return h.advanceFence()
		}
		answered := h.ackAnswered
		a.mu.Unlock()
		select {
		case <-answered:
		case <-h.ctx.Done():
		case <-time.After(left):
		}
		a.mu.Lock()
	}
	return true
}

// advanceFence moves the worker to a new fence within its generation. Without one it gets no orders until the next session.
func (h *workerHandle) advanceFence() bool {
	f := h.agent.nextFence()
	if f == 0 {
		h.snapshotAcked = false
		return false
	}
	h.fence = f
	h.agent.Log.Event(eventlog.WorkerChanged).Str("worker", h.info.ID).Int64("fence", f).Msg("")
	return true
}
