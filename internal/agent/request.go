package agent

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/sesamestream/sesamestream/internal/message"
	"github.com/sesamestream/sesamestream/internal/peer"
	"github.com/sesamestream/sesamestream/internal/target"
)

// request serves one request of an entry.
func (a *Agent) request(ctx context.Context, s *peer.Stream) error {
	q, err := peer.Receive[message.RequestHead](s)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, q.Remaining)
	defer cancel()
	t, err := a.targets.Take(time.Now(), q.Kind)
	if err != nil {
		return peer.Send(s, message.AnswerHead{Verdict: message.Refused, Reason: err.Error()})
	}
	defer a.targets.Give(t.ID)
	r, err := a.client.Do(ctx, target.Request{
		Target: t.Address,
		Method: q.Method,
		Path:   q.Path,
		Header: q.Header,
		Body:   s.Body(),
		Length: q.Length,
	})
	if err != nil {
		return peer.Send(s, failure(err))
	}
	defer r.Body.Close()
	return answer(s, r)
}

func failure(err error) message.AnswerHead {
	if errors.Is(err, target.ErrNotSent) {
		return message.AnswerHead{Verdict: message.Refused, Reason: err.Error()}
	}
	return message.AnswerHead{Verdict: message.Failed, Reason: err.Error()}
}

// answer streams a target's answer; without the end mark the entry knows it is cut.
func answer(s *peer.Stream, r *http.Response) error {
	h := message.AnswerHead{Verdict: message.Answered, Status: r.StatusCode, Header: r.Header}
	if err := peer.Send(s, h); err != nil {
		return err
	}
	if _, err := io.Copy(s, r.Body); err != nil {
		return errors.Wrap(err, "agent: answer cut")
	}
	return s.End()
}
