package agent

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/sesamestream/sesamestream/internal/admission"
	"github.com/sesamestream/sesamestream/internal/message"
	"github.com/sesamestream/sesamestream/internal/peer"
	"github.com/sesamestream/sesamestream/internal/target"
	"github.com/sesamestream/sesamestream/pkg/fleet"
)

// busyRetryAfter is when a request that found no free target may come again.
const busyRetryAfter = 50 * time.Millisecond

// The bounds of an exchange with an entry.
const (
	headTimeout = 5 * time.Second
	// answerGrace lets what was decided at the deadline reach the entry.
	answerGrace = 500 * time.Millisecond
)

// The reasons that callers are told; addresses and details stay in the log.
const (
	reasonUnreachable = "targetUnreachable"
	reasonNoAnswer    = "noWholeAnswer"
)

// request serves one request of an entry: it waits at the gate, goes to one
// target, and its answer is streamed back.
func (a *Agent) request(ctx context.Context, s *peer.Stream) error {
	a.running.Add(1)
	defer a.running.Add(-1)
	_ = s.SetDeadline(time.Now().Add(headTimeout))
	q, err := peer.Receive[message.RequestHead](s)
	if err != nil {
		return err
	}
	deadline := time.Now().Add(q.Remaining)
	// An entry that died reads nothing and gives nothing up.
	_ = s.SetDeadline(deadline.Add(answerGrace))
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	x := a.Base.NewArrival(q.Kind)
	p, v := a.gate.Admit(ctx, q.Kind, deadline)
	if p == nil {
		x.RecordRefusal(ctx, a.gate.LoadOf)
		return a.refuse(s, q.Kind, v.Reason.String(), v.RetryAfter)
	}
	defer x.RecordStart(a.gate.LoadOf)()
	t, err := a.targets.Acquire(time.Now(), q.Kind)
	if err != nil {
		p.Cancel()
		return a.refuse(s, q.Kind, err.Error(), busyRetryAfter)
	}
	defer a.targets.Release(t.ID)
	return a.forward(ctx, s, q, t, p)
}

// refuse proves to the entry that no target received the request.
func (a *Agent) refuse(s *peer.Stream, k fleet.Kind, reason string, after time.Duration) error {
	return peer.Send(s, message.AnswerHead{
		Verdict:    message.Refused,
		Reason:     reason,
		RetryAfter: after,
		Load:       a.load(k),
	})
}

// forward sends the request to a target once and streams its answer back.
func (a *Agent) forward(ctx context.Context, s *peer.Stream, q message.RequestHead, t target.Announcement, p *admission.Permit) error {
	r, err := a.client.Do(ctx, target.Request{
		Target: t.Address,
		Method: q.Method,
		Path:   q.Path,
		Header: q.Header,
		Body:   s.Body(),
		Length: q.BodyLength,
	})
	if err != nil {
		return a.failed(ctx, s, q.Kind, p, err)
	}
	defer r.Body.Close()
	p.AnswerStarted()
	err = a.answer(s, q.Kind, r)
	if err == nil || errors.Is(err, errTargetCut) && ctx.Err() == nil {
		p.Done(err == nil)
		return err
	}
	// The entry or the deadline ended it, which says nothing of the target.
	p.Cancel()
	return err
}

// failed tells what is proved of a request that was not answered.
func (a *Agent) failed(ctx context.Context, s *peer.Stream, k fleet.Kind, p *admission.Permit, err error) error {
	if ctx.Err() != nil {
		p.Cancel()
	} else {
		p.Done(false)
	}
	a.Base.Log.Debug().Str("event", "targetFailed").Str("kind", string(k)).Err(err).Msg("")
	if errors.Is(err, target.ErrNotSent) {
		return a.refuse(s, k, reasonUnreachable, busyRetryAfter)
	}
	return peer.Send(s, message.AnswerHead{Verdict: message.Failed, Reason: reasonNoAnswer, Load: a.load(k)})
}

// answer streams a target's answer; without the end mark the entry knows it is cut.
func (a *Agent) answer(s *peer.Stream, k fleet.Kind, r *http.Response) error {
	h := message.AnswerHead{
		Verdict:    message.Answered,
		Status:     r.StatusCode,
		Header:     r.Header,
		Load:       a.load(k),
		BodyLength: fleet.Bytes(max(r.ContentLength, 0)),
	}
	if err := peer.Send(s, h); err != nil {
		return err
	}
	if _, err := io.Copy(s, targetBody{r.Body}); err != nil {
		return err
	}
	return s.EndBody()
}

// errTargetCut is returned where a target did not give its whole answer.
var errTargetCut = errors.New("agent: answer cut")

// A targetBody marks the errors of reading, which are the target's.
type targetBody struct{ io.Reader }

func (b targetBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if err != nil && !errors.Is(err, io.EOF) {
		return n, errors.Wrap(errTargetCut, err.Error())
	}
	return n, err
}

// load returns the host's load of one kind for the entry's router.
func (a *Agent) load(k fleet.Kind) message.Load {
	l := a.gate.LoadOf(k)
	return message.Load{
		InFlight:   l.InFlight,
		Limit:      l.Limit,
		Queued:     l.Queued,
		QueueDelay: l.Delay,
		Leaving:    a.leaving.Load(),
		SampledAt:  time.Now(),
	}
}
