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

// busyRetryAfter is the retry delay sent with the refusal of a request that reached no target.
const busyRetryAfter = 50 * time.Millisecond

// Timeouts of an exchange with an entry.
const (
	requestHeadTimeout = 5 * time.Second
	// answerGrace is the time after a request's deadline for sending the outcome to the entry.
	answerGrace = 500 * time.Millisecond
)

// Reasons that are sent to callers. Addresses and details are only logged.
const (
	reasonUnreachable = "targetUnreachable"
	reasonNoAnswer    = "noWholeAnswer"
)

// handleRequest serves one request from an entry: it waits for admission, forwards the request to one
// target and streams the answer back.
func (a *Agent) handleRequest(ctx context.Context, s *peer.Stream) error {
	a.activeRequests.Add(1)
	defer a.activeRequests.Add(-1)
	_ = s.SetDeadline(time.Now().Add(requestHeadTimeout))
	q, err := peer.Receive[message.RequestHead](s)
	if err != nil {
		return err
	}
	deadline := time.Now().Add(q.Remaining)
	// An entry that has died neither reads nor aborts the stream, so a deadline must end it.
	_ = s.SetDeadline(deadline.Add(answerGrace))
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	x := a.Base.NewArrival(q.Kind)
	p, v := a.gate.Admit(ctx, q.Kind, deadline)
	if p == nil {
		x.RecordRefusal(ctx, a.gate.LoadOf)
		return a.sendRefusal(s, q.Kind, v.Reason.String(), v.RetryAfter)
	}
	defer x.RecordStart(a.gate.LoadOf)()
	t, err := a.targets.Acquire(time.Now(), q.Kind)
	if err != nil {
		p.Cancel()
		return a.sendRefusal(s, q.Kind, err.Error(), busyRetryAfter)
	}
	defer a.targets.Release(t.ID)
	return a.forward(ctx, s, q, t, p)
}

// sendRefusal reports to the entry that no target received the request.
func (a *Agent) sendRefusal(s *peer.Stream, k fleet.Kind, reason string, after time.Duration) error {
	return peer.Send(s, message.AnswerHead{
		Verdict:    message.Refused,
		Reason:     reason,
		RetryAfter: after,
		Load:       a.load(k),
	})
}

// forward sends the request to a target once and streams its answer back.
func (a *Agent) forward(ctx context.Context, s *peer.Stream, q message.RequestHead, t target.Announcement, p *admission.Permit) error {
	r, err := a.targetClient.Do(ctx, target.Request{
		Target: t.Address,
		Method: q.Method,
		Path:   q.Path,
		Header: q.Header,
		Body:   s.Body(),
		Length: q.BodyLength,
	})
	if err != nil {
		return a.sendFailure(ctx, s, q.Kind, p, err)
	}
	defer r.Body.Close()
	p.AnswerStarted()
	err = a.streamAnswer(s, q.Kind, r)
	if err == nil || errors.Is(err, errAnswerTruncated) && ctx.Err() == nil {
		p.Done(err == nil)
		return err
	}
	// The entry or the deadline ended the exchange, which is no evidence about the target.
	p.Cancel()
	return err
}

// sendFailure reports a request without an answer: as refused if it is certain that the target did
// not receive it, and as failed otherwise.
func (a *Agent) sendFailure(ctx context.Context, s *peer.Stream, k fleet.Kind, p *admission.Permit, err error) error {
	if ctx.Err() != nil {
		p.Cancel()
	} else {
		p.Done(false)
	}
	a.Base.Log.Debug().Str("event", "targetFailed").Str("kind", string(k)).Err(err).Msg("")
	if errors.Is(err, target.ErrNotSent) {
		return a.sendRefusal(s, k, reasonUnreachable, busyRetryAfter)
	}
	return peer.Send(s, message.AnswerHead{Verdict: message.Failed, Reason: reasonNoAnswer, Load: a.load(k)})
}

// streamAnswer streams a target's answer to the entry. Without the end mark, the entry treats the
// answer as truncated.
func (a *Agent) streamAnswer(s *peer.Stream, k fleet.Kind, r *http.Response) error {
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

// errAnswerTruncated is returned if a target did not send its whole answer.
var errAnswerTruncated = errors.New("agent: truncated answer from target")

// A targetBody wraps read errors in errAnswerTruncated, to distinguish them from errors of the stream
// to the entry.
type targetBody struct{ io.Reader }

func (b targetBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if err != nil && !errors.Is(err, io.EOF) {
		return n, errors.Wrap(errAnswerTruncated, err.Error())
	}
	return n, err
}

// load returns the host's load of one kind, which the entry uses for routing.
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
