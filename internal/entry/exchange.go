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

// An exchange is one attempt to have one agent serve the request.
type exchange struct {
	proxied *proxiedRequest
	number  attempt.Number
	choice  route.Choice
	ctx     context.Context
	cancel  context.CancelFunc

	// stream and head are set before the event for the answer's head is sent.
	stream *peer.Stream
	head   message.AnswerHead
}

func newExchange(f *proxiedRequest, n attempt.Number, c route.Choice) *exchange {
	x := &exchange{proxied: f, number: n, choice: c}
	x.ctx, x.cancel = context.WithDeadline(context.Background(), f.deadline)
	return x
}

// run sends the request, waits for the head of the answer and reports the result.
func (x *exchange) run() {
	start := time.Now()
	err := x.open()
	if err == nil {
		// An agent may answer before it has read the whole request.
		go x.send()
		err = x.receiveHead()
	}
	x.reportResult(start, err)
}

// open opens a stream to the agent.
func (x *exchange) open() error {
	to, ok := x.proxied.entry.address(x.choice.Agent)
	if !ok {
		return errors.Wrap(peer.ErrNotSent, "the agent has gone")
	}
	s, err := x.proxied.entry.Base.Node.OpenStream(x.ctx, to, message.OperationRequest)
	if err != nil {
		return err
	}
	x.stream = s
	context.AfterFunc(x.ctx, s.Abort)
	x.proxied.events <- attempt.Event{Type: attempt.Dispatched, Attempt: x.number}
	return nil
}

// send writes the whole request. If that fails, it aborts the exchange, unless the
// agent stopped reading: it still sends an answer.
func (x *exchange) send() {
	if err := x.write(); err != nil && !peer.IsReadCancelled(err) {
		x.stream.Abort()
	}
}

func (x *exchange) write() error {
	if err := peer.Send(x.stream, x.requestHead()); err != nil {
		return err
	}
	if _, err := x.stream.Write(x.proxied.request.Body); err != nil {
		return err
	}
	if err := x.stream.EndBody(); err != nil {
		return err
	}
	return x.stream.CloseWrite()
}

func (x *exchange) requestHead() message.RequestHead {
	r := x.proxied.request
	return message.RequestHead{
		ID:           r.ID,
		Kind:         r.Kind,
		Method:       r.Method,
		Path:         r.Path,
		Header:       r.Header,
		BodyLength:   int64(len(r.Body)),
		Remaining:    time.Until(x.proxied.deadline),
		Unrepeatable: x.proxied.row.Unrepeatable,
		Revision:     x.proxied.revision,
	}
}

// receiveHead reads the head of the agent's answer.
func (x *exchange) receiveHead() error {
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

// reportResult reports the result to the router and as an event of the request.
func (x *exchange) reportResult(start time.Time, err error) {
	e := attempt.Event{Attempt: x.number}
	r := route.Result{Latency: time.Since(start)}
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
		r.LinkBytes = fleet.Bytes(len(x.proxied.request.Body)) + x.head.BodyLength
	default:
		e.Type = attempt.Broken
		r.Status = route.StatusFailed
	}
	if errors.Is(x.ctx.Err(), context.Canceled) && e.Type == attempt.Broken {
		r.Status = route.StatusCancelled
	}
	if err == nil {
		r.Load = x.loadReport()
		r.HasLoad = true
	}
	x.proxied.entry.reportRouteResult(x.choice, r)
	x.proxied.events <- e
}

// loadReport returns the agent's load as reported with the answer.
func (x *exchange) loadReport() route.Report {
	l := x.head.Load
	return route.Report{
		Agent: x.choice.Agent, Place: x.choice.Place, Kind: x.choice.Kind,
		InFlight: l.InFlight, Limit: l.Limit, Queued: l.Queued, QueueDelay: l.QueueDelay,
		At: l.SampledAt, Leaving: l.Leaving,
	}
}
