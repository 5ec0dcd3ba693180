package entry

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"github.com/sesamestream/sesamestream/internal/caller"
	"github.com/sesamestream/sesamestream/internal/message"
	"github.com/sesamestream/sesamestream/internal/peer"
)

// requestTimeout bounds one request.
const requestTimeout = 10 * time.Second

// Serve sends one request to the agents in turn until one does not refuse it.
func (e *Entry) Serve(ctx context.Context, r *caller.Request, w caller.Responder) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	for _, to := range e.Seeds {
		s, h, err := e.attempt(ctx, to, r)
		switch {
		case errors.Is(err, peer.ErrNotSent):
			continue
		case err != nil || h.Verdict == message.Failed:
			w.Unknown("no answer")
			return
		case h.Verdict == message.Refused:
			continue
		}
		w.Answer(h.Status, h.Header, s.Body())
		return
	}
	w.Refuse(http.StatusServiceUnavailable, "no agent took the request", time.Second)
}

func (e *Entry) attempt(ctx context.Context, agent netip.AddrPort, r *caller.Request) (*peer.Stream, message.AnswerHead, error) {
	s, err := e.node.Open(ctx, agent, message.OperationRequest)
	if err != nil {
		return nil, message.AnswerHead{}, err
	}
	head := message.RequestHead{
		ID: r.ID, Kind: r.Kind, Method: r.Method, Path: r.Path, Header: r.Header,
		Length: int64(len(r.Body)), Remaining: requestTimeout,
	}
	if err := peer.Send(s, head); err != nil {
		return nil, message.AnswerHead{}, errors.Wrap(peer.ErrBroken, err.Error())
	}
	if _, err := s.Write(r.Body); err != nil {
		return nil, message.AnswerHead{}, errors.Wrap(peer.ErrBroken, err.Error())
	}
	if err := s.End(); err != nil {
		return nil, message.AnswerHead{}, errors.Wrap(peer.ErrBroken, err.Error())
	}
	_ = s.CloseWrite()
	h, err := peer.Receive[message.AnswerHead](s)
	return s, h, err
}
