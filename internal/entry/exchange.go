package entry

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/sesamestream/sesamestream/internal/message"
	"github.com/sesamestream/sesamestream/internal/peer"
	"github.com/sesamestream/sesamestream/pkg/decide/attempt"
	"github.com/sesamestream/sesamestream/pkg/decide/route"
	"github.com/sesamestream/sesamestream/pkg/fleet"
)

// An exchange is one attempt at one agent.
type exchange struct {
	flight *flight
	number attempt.Number
	choice route.Choice
	ctx    context.Context
	cancel context.CancelFunc

	// stream and head are set before the event of the answer's head.
	stream *peer.Stream
	head   message.AnswerHead
}

func newExchange(f *flight, n attempt.Number, c route.Choice) *exchange {
	x := &exchange{flight: f, number: n, choice: c}
	x.ctx, x.cancel = context.WithDeadline(context.Background(), f.deadline)
	return x
}

// run sends the request and tells the flight what became of it.
func (x *exchange) run() {
	began := time.Now()
	err := x.send()
	if err == nil {
		err = x.receive()
	}
	x.tell(began, err)
}

// send opens a stream and writes the whole request.
func (x *exchange) send() error {
	to, ok := x.flight.entry.address(x.choice.Life)
	if !ok {
		return errors.Wrap(peer.ErrNotSent, "the agent has gone")
	}
	s, err := x.flight.entry.Base.Node.Open(x.ctx, to, message.OperationRequest)
	if err != nil {
		return err
	}
	x.stream = s
	context.AfterFunc(x.ctx, s.Abort)
	x.flight.events <- attempt.Event{Type: attempt.Dispatched, Attempt: x.number}
	if err := peer.Send(s, x.requestHead()); err != nil {
		return errors.Wrap(peer.ErrBroken, err.Error())
	}
	if _, err := s.Write(x.flight.request.Body); err != nil {
		return errors.Wrap(peer.ErrBroken, err.Error())
	}
	if err := s.End(); err != nil {
		return errors.Wrap(peer.ErrBroken, err.Error())
	}
	return errors.Wrap(s.CloseWrite(), peer.ErrBroken.Error())
}

func (x *exchange) requestHead() message.RequestHead {
	r := x.flight.request
	return message.RequestHead{
		ID:           r.ID,
		Kind:         r.Kind,
		Method:       r.Method,
		Path:         r.Path,
		Header:       r.Header,
		Length:       int64(len(r.Body)),
		Remaining:    time.Until(x.flight.deadline),
		Unrepeatable: x.flight.row.Unrepeatable,
		Revision:     x.flight.revision,
	}
}

func (x *exchange) receive() error {
	h, err := peer.Receive[message.AnswerHead](x.stream)
	if err != nil {
		return errors.Wrap(peer.ErrBroken, err.Error())
	}
	x.head = h
	return nil
}

// tell turns the end of the exchange into an event and the router's lesson.
func (x *exchange) tell(began time.Time, err error) {
	e := attempt.Event{Attempt: x.number}
	r := route.Result{Latency: time.Since(began)}
	switch {
	case errors.Is(err, peer.ErrNotSent):
		e.Type = attempt.ConnectFailed
		r.Status = route.StatusFailed
	case err != nil || x.head.Verdict == message.Failed:
		e.Type = attempt.Broken
		r.Status = route.StatusFailed
	case x.head.Verdict == message.Refused:
		e.Type = attempt.Refused
		e.Reason = attempt.Reason(x.head.Reason)
		r.Status = route.StatusRefused
		r.RetryAfter = x.head.RetryAfter
	default:
		e.Type = attempt.AnswerHead
		r.Status = route.StatusAnswered
		r.LinkBytes = fleet.Bytes(len(x.flight.request.Body)) + x.head.Length
	}
	if errors.Is(x.ctx.Err(), context.Canceled) && e.Type == attempt.Broken {
		r.Status = route.StatusCancelled
	}
	if err == nil {
		r.Load = x.report()
		r.HasLoad = true
	}
	x.flight.entry.routed(x.choice, r)
	x.flight.events <- e
}

// report is the load that came with the answer.
func (x *exchange) report() route.Report {
	l := x.head.Load
	return route.Report{
		Life: x.choice.Life, Place: x.choice.Place, Kind: x.choice.Kind,
		InFlight: l.InFlight, Limit: l.Limit, Queued: l.Queued, QueueDelay: l.QueueDelay,
		At: l.At, Leaving: l.Leaving,
	}
}
