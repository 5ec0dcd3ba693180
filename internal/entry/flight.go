package entry

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/sesamestream/sesamestream/internal/caller"
	"github.com/sesamestream/sesamestream/pkg/decide/attempt"
	"github.com/sesamestream/sesamestream/pkg/decide/route"
	"github.com/sesamestream/sesamestream/pkg/fleet"
	"github.com/sesamestream/sesamestream/pkg/table"
)

// events bounds the events of one request that wait: each attempt sends at
// most its dispatch, its head and its end.
const events = 8 * attempt.MaxAttempts

// defaultRetryAfter is what a refused caller is told where no agent said more.
const defaultRetryAfter = time.Second

// A flight is one request on its way: the machine that decides for it and the
// attempts that it has open. One goroutine drives it.
type flight struct {
	entry    *Entry
	request  *caller.Request
	row      table.Row
	revision table.Revision
	w        caller.Responder
	deadline time.Time

	machine    *attempt.Machine
	budget     *budget
	events     chan attempt.Event
	choices    []route.Choice
	exchanges  [attempt.MaxAttempts + 1]*exchange
	retryAfter time.Duration
	claim      *claim
	aborted    bool
	// gone is set once the machine was told that the caller has gone.
	gone bool
}

// run drives the request to its end.
func (f *flight) run(ctx context.Context) {
	f.deadline = f.request.Arrived.Add(f.row.Deadline)
	f.events = make(chan attempt.Event, events)
	f.machine = &attempt.Machine{Budget: f.budget.budget, HedgeDelay: f.budget.hedgeAfter(f.row)}
	f.step(ctx, attempt.Event{Type: attempt.Begin, Unrepeatable: f.row.Unrepeatable, Deadline: f.deadline})
	for !f.machine.Finished() {
		f.step(ctx, f.next(ctx))
	}
	f.drain()
	if f.aborted {
		panic(http.ErrAbortHandler)
	}
}

// next waits for what happens next.
func (f *flight) next(ctx context.Context) attempt.Event {
	at, ok := f.machine.Wake()
	if !ok {
		at = f.deadline
	}
	t := time.NewTimer(time.Until(at))
	defer t.Stop()
	left := ctx.Done()
	if f.gone {
		left = nil
	}
	select {
	case e := <-f.events:
		return e
	case <-t.C:
		return f.machine.WakeEvent()
	case <-left:
		f.gone = true
		return attempt.Event{Type: attempt.CallerGone}
	}
}

func (f *flight) step(ctx context.Context, e attempt.Event) {
	if e.Type == attempt.Refused {
		f.refused(f.exchanges[e.Attempt].head.RetryAfter)
	}
	f.budget.mu.Lock()
	actions := f.machine.Step(time.Now(), e, nil)
	f.budget.mu.Unlock()
	for _, a := range actions {
		f.carry(ctx, a)
	}
}

// refused keeps the shortest time after which an agent would take the request.
func (f *flight) refused(after time.Duration) {
	if after > 0 && (f.retryAfter == 0 || after < f.retryAfter) {
		f.retryAfter = after
	}
}

// drain gives back what a late grant or choice would leave behind and ends
// the attempts that are still open.
func (f *flight) drain() {
	for _, x := range f.exchanges {
		if x != nil {
			x.cancel()
		}
	}
	// A claim that settles after this look may have its event missed below.
	settled := f.claim == nil || f.claim.settled.Load()
	for {
		select {
		case e := <-f.events:
			f.step(context.Background(), e)
			continue
		default:
		}
		break
	}
	if !settled {
		go f.settle()
	}
}

// settle takes the answer to a claim that came after the caller was told.
func (f *flight) settle() {
	t := time.NewTimer(claimTimeout)
	defer t.Stop()
	select {
	case e := <-f.events:
		f.step(context.Background(), e)
	case <-t.C:
	}
}

func (f *flight) carry(ctx context.Context, a attempt.Action) {
	switch a.Type {
	case attempt.RequestClaim:
		f.claim = f.entry.askClaim(f)
	case attempt.ReportClaimOutcome:
		f.entry.reportClaim(f.claim, a.Outcome)
	case attempt.RequestRoute:
		f.route(ctx)
	case attempt.ReleaseRoute:
		f.entry.routed(f.choice(a.Agent), route.Result{Status: route.StatusCancelled})
	case attempt.Dispatch:
		f.dispatch(a)
	case attempt.CancelAttempt:
		f.exchanges[a.Attempt].cancel()
	case attempt.ForwardAnswer:
		f.passBody(ctx, f.exchanges[a.Attempt])
	case attempt.Respond:
		f.respond(a)
	case attempt.AbortConnection:
		f.aborted = true
		if !f.gone {
			f.entry.outcome(f.request.Kind, fleet.Unknown, time.Since(f.request.Arrived))
		}
	}
}

// route asks the router for an agent; its answer is the next event.
func (f *flight) route(ctx context.Context) {
	q := route.Query{
		Kind:     f.request.Kind,
		Size:     fleet.Bytes(len(f.request.Body)),
		Deadline: f.deadline,
		Exclude:  f.machine.TriedAgents(nil),
	}
	c, err := f.entry.pick(ctx, q)
	if err != nil {
		f.events <- attempt.Event{Type: attempt.RouteFailed, Reason: attempt.Reason(errors.Cause(err).Error())}
		return
	}
	f.choices = append(f.choices, c)
	f.events <- attempt.Event{Type: attempt.RouteChosen, Agent: c.Agent.ID}
}

func (f *flight) choice(id fleet.ID) route.Choice {
	for _, c := range f.choices {
		if c.Agent.ID == id {
			return c
		}
	}
	return route.Choice{}
}

func (f *flight) dispatch(a attempt.Action) {
	x := newExchange(f, a.Attempt, f.choice(a.Agent))
	f.exchanges[a.Attempt] = x
	go x.run()
}

// passBody streams the answer to the caller. The answer to an unrepeatable
// request is read to its end also for a caller that has gone, so that its
// claim learns the outcome.
func (f *flight) passBody(ctx context.Context, x *exchange) {
	if !f.row.Unrepeatable {
		stop := context.AfterFunc(ctx, x.cancel)
		defer stop()
	}
	body := x.stream.Body()
	err := f.w.Answer(f.deadline, x.head.Status, x.head.Header, body)
	if errors.Is(err, caller.ErrGone) {
		f.gone = true
		f.events <- attempt.Event{Type: attempt.CallerGone}
		if !f.row.Unrepeatable {
			return
		}
		_, err = io.Copy(io.Discard, body)
	}
	e := attempt.Event{Type: attempt.AnswerComplete, Attempt: x.number}
	if err != nil {
		e.Type = attempt.AnswerTruncated
	}
	f.events <- e
}

// respond tells the caller the outcome, where no body was passed.
func (f *flight) respond(a attempt.Action) {
	f.entry.outcome(f.request.Kind, a.Outcome, time.Since(f.request.Arrived))
	switch a.Outcome {
	case fleet.Answered:
	case fleet.NotRun:
		f.w.Refuse(http.StatusServiceUnavailable, string(a.Reason), f.retry())
	default:
		f.w.ReportUnknown(unknownStatus(a.Reason), string(a.Reason))
	}
}

func (f *flight) retry() time.Duration {
	if f.retryAfter > 0 {
		return f.retryAfter
	}
	return defaultRetryAfter
}

// unknownStatus tells a repeated request from one whose answer was lost.
func unknownStatus(r attempt.Reason) int {
	if r == attempt.ReasonRepeated || r == attempt.ReasonRepeatedAnswer {
		return http.StatusConflict
	}
	return http.StatusGatewayTimeout
}
