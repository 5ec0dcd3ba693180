package entry

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/sesamestream/sesamestream/internal/message"
	"github.com/sesamestream/sesamestream/internal/peer"
	"github.com/sesamestream/sesamestream/internal/target"
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
	err := x.open()
	if err == nil {
		// An agent may answer before it has read all, or without reading it.
		go x.send()
		err = x.receive()
	}
	x.tell(began, err)
}

// open opens a stream to the agent.
func (x *exchange) open() error {
	to, ok := x.flight.entry.address(x.choice.Agent)
	if !ok {
		return errors.Wrap(peer.ErrNotSent, "the agent has gone")
	}
	s, err := x.flight.entry.Base.Node.OpenStream(x.ctx, to, message.OperationRequest)
	if err != nil {
		return err
	}
	x.stream = s
	context.AfterFunc(x.ctx, s.Abort)
	x.flight.events <- attempt.Event{Type: attempt.Dispatched, Attempt: x.number}
	return nil
}

// send writes the whole request. Where that fails, no answer is waited for,
// unless the agent reads no more: its answer comes all the same.
func (x *exchange) send() {
	if err := x.write(); err != nil && !peer.IsReadCancelled(err) {
		x.stream.Abort()
	}
}

func (x *exchange) write() error {
	if err := peer.Send(x.stream, x.requestHead()); err != nil {
		return err
	}
	if _, err := x.stream.Write(x.flight.request.Body); err != nil {
		return err
	}
	if err := x.stream.EndBody(); err != nil {
		return err
	}
	return x.stream.CloseWrite()
}

func (x *exchange) requestHead() message.RequestHead {
	r := x.flight.request
	return message.RequestHead{
		ID:           r.ID,
		Kind:         r.Kind,
		Method:       r.Method,
		Path:         r.Path,
		Header:       r.Header,
		BodyLength:   int64(len(r.Body)),
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
	if h.Verdict == message.Answered && !target.ValidStatus(h.Status) {
		return errors.Wrap(peer.ErrBroken, "impossible status")
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
	case err == nil && x.head.Verdict == message.Refused:
		e.Type = attempt.Refused
		e.Reason = attempt.Reason(x.head.Reason)
		r.Status = route.StatusRefused
		r.RetryAfter = x.head.RetryAfter
	case err == nil && x.head.Verdict == message.Answered:
		e.Type = attempt.AnswerHead
		r.Status = route.StatusAnswered
		r.LinkBytes = fleet.Bytes(len(x.flight.request.Body)) + x.head.BodyLength
	default:
		e.Type = attempt.Broken
		r.Status = route.StatusFailed
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
		Agent: x.choice.Agent, Place: x.choice.Place, Kind: x.choice.Kind,
		InFlight: l.InFlight, Limit: l.Limit, Queued: l.Queued, QueueDelay: l.QueueDelay,
		At: l.SampledAt, Leaving: l.Leaving,
	}
}
