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

// maxPendingEvents is the capacity of a request's event channel. Each attempt sends
// at most three events: for its dispatch, for the head of the answer and for the
// end.
const maxPendingEvents = 8 * attempt.MaxAttempts

// defaultRetryAfter is the Retry-After of a refused request where no agent gave one.
const defaultRetryAfter = time.Second

// A proxiedRequest is one caller's request while the entry handles it: the state
// machine that decides on it and its attempts at agents. One goroutine drives it.
type proxiedRequest struct {
	entry     *Entry
	request   *caller.Request
	row       table.Row
	revision  table.Revision
	responder caller.Responder
	deadline  time.Time

	machine    *attempt.Machine
	budget     *retryBudget
	events     chan attempt.Event
	choices    []route.Choice
	exchanges  [attempt.MaxAttempts + 1]*exchange
	retryAfter time.Duration
	claim      *claim
	aborted    bool
	// callerGone is set once the CallerGone event is sent.
	callerGone bool
}

// run handles the request until the caller has its response.
func (f *proxiedRequest) run(ctx context.Context) {
	f.deadline = f.request.Arrived.Add(f.row.Deadline)
	f.events = make(chan attempt.Event, maxPendingEvents)
	f.machine = &attempt.Machine{Budget: f.budget.budget, HedgeDelay: f.budget.hedgeDelay(f.row)}
	f.step(ctx, attempt.Event{Type: attempt.Begin, Unrepeatable: f.row.Unrepeatable, Deadline: f.deadline})
	for !f.machine.Finished() {
		f.step(ctx, f.nextEvent(ctx))
	}
	f.drainEvents()
	if f.aborted {
		panic(http.ErrAbortHandler)
	}
}

// nextEvent waits for the next event: of an attempt or claim, of the timer, or that
// the caller's connection is gone.
func (f *proxiedRequest) nextEvent(ctx context.Context) attempt.Event {
	at, ok := f.machine.Wake()
	if !ok {
		at = f.deadline
	}
	t := time.NewTimer(time.Until(at))
	defer t.Stop()
	callerDone := ctx.Done()
	if f.callerGone {
		callerDone = nil
	}
	select {
	case e := <-f.events:
		return e
	case <-t.C:
		return f.machine.WakeEvent()
	case <-callerDone:
		f.callerGone = true
		return attempt.Event{Type: attempt.CallerGone}
	}
}

// step applies an event to the state machine and executes the resulting actions.
func (f *proxiedRequest) step(ctx context.Context, e attempt.Event) {
	if e.Type == attempt.Refused {
		f.updateRetryAfter(f.exchanges[e.Attempt].head.RetryAfter)
	}
	f.budget.mu.Lock()
	actions := f.machine.Step(time.Now(), e, nil)
	f.budget.mu.Unlock()
	for _, a := range actions {
		f.execute(ctx, a)
	}
}

// updateRetryAfter keeps the shortest delay after which an agent would accept the
// request.
func (f *proxiedRequest) updateRetryAfter(after time.Duration) {
	if after > 0 && (f.retryAfter == 0 || after < f.retryAfter) {
		f.retryAfter = after
	}
}

// drainEvents cancels the attempts that are still open and handles the events that
// are queued, so that a late grant of the claim or choice of an agent is released.
func (f *proxiedRequest) drainEvents() {
	for _, x := range f.exchanges {
		if x != nil {
			x.cancel()
		}
	}
	// The loop below may miss the event of a claim that is answered after this load.
	claimHandled := f.claim == nil || f.claim.eventQueued.Load()
	for {
		select {
		case e := <-f.events:
			f.step(context.Background(), e)
			continue
		default:
		}
		break
	}
	if !claimHandled {
		go f.awaitClaimEvent()
	}
}

// awaitClaimEvent handles the answer to a claim that arrives after the response to
// the caller.
func (f *proxiedRequest) awaitClaimEvent() {
	t := time.NewTimer(claimTimeout)
	defer t.Stop()
	select {
	case e := <-f.events:
		f.step(context.Background(), e)
	case <-t.C:
	}
}

// execute carries out one action of the state machine.
func (f *proxiedRequest) execute(ctx context.Context, a attempt.Action) {
	switch a.Type {
	case attempt.RequestClaim:
		f.claim = f.entry.requestClaim(f)
	case attempt.ReportClaimOutcome:
		f.entry.reportClaimOutcome(f.claim, a.Outcome)
	case attempt.RequestRoute:
		f.route(ctx)
	case attempt.ReleaseRoute:
		f.entry.reportRouteResult(f.choice(a.Agent), route.Result{Status: route.StatusCancelled})
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
		if !f.callerGone {
			f.entry.recordOutcome(f.request.Kind, fleet.Unknown, time.Since(f.request.Arrived))
		}
	}
}

// route asks the router for an agent and sends its answer as an event.
func (f *proxiedRequest) route(ctx context.Context) {
	q := route.Query{
		Kind:     f.request.Kind,
		Size:     fleet.Bytes(len(f.request.Body)),
		Deadline: f.deadline,
		Exclude:  f.machine.TriedAgents(nil),
	}
	c, err := f.entry.pickAgent(ctx, q)
	if err != nil {
		f.events <- attempt.Event{Type: attempt.RouteFailed, Reason: attempt.Reason(errors.Cause(err).Error())}
		return
	}
	f.choices = append(f.choices, c)
	f.events <- attempt.Event{Type: attempt.RouteChosen, Agent: c.Agent.ID}
}

// choice returns the router's choice of an agent, or an empty one if there is none.
func (f *proxiedRequest) choice(id fleet.ID) route.Choice {
	for _, c := range f.choices {
		if c.Agent.ID == id {
			return c
		}
	}
	return route.Choice{}
}

// dispatch starts an attempt at the chosen agent.
func (f *proxiedRequest) dispatch(a attempt.Action) {
	x := newExchange(f, a.Attempt, f.choice(a.Agent))
	f.exchanges[a.Attempt] = x
	go x.run()
}

// passBody streams the answer to the caller. The answer to an unrepeatable request
// is read to its end even if the caller is gone, so that the claim records the
// outcome.
func (f *proxiedRequest) passBody(ctx context.Context, x *exchange) {
	if !f.row.Unrepeatable {
		stop := context.AfterFunc(ctx, x.cancel)
		defer stop()
	}
	body := x.stream.Body()
	err := f.responder.Answer(f.deadline, x.head.Status, x.head.Header, body)
	if errors.Is(err, caller.ErrGone) {
		f.callerGone = true
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

// respond sends the outcome to the caller, unless the answer's body was passed.
func (f *proxiedRequest) respond(a attempt.Action) {
	f.entry.recordOutcome(f.request.Kind, a.Outcome, time.Since(f.request.Arrived))
	switch a.Outcome {
	case fleet.Answered:
	case fleet.NotRun:
		f.responder.Refuse(http.StatusServiceUnavailable, string(a.Reason), f.callerRetryAfter())
	default:
		f.responder.ReportUnknown(unknownStatus(a.Reason), string(a.Reason))
	}
}

// callerRetryAfter returns the delay that a refused caller receives.
func (f *proxiedRequest) callerRetryAfter() time.Duration {
	if f.retryAfter > 0 {
		return f.retryAfter
	}
	return defaultRetryAfter
}

// unknownStatus returns the status of an unknown outcome: a conflict for a repeated
// request, a gateway timeout for a lost answer.
func unknownStatus(r attempt.Reason) int {
	if r == attempt.ReasonRepeated || r == attempt.ReasonRepeatedAnswer {
		return http.StatusConflict
	}
	return http.StatusGatewayTimeout
}
