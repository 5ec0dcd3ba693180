// Package runner runs a state machine in an actor: it applies events one at a time
// and executes the resulting actions in order.
package runner

import (
	"context"
	"time"

	"github.com/asynkron/protoactor-go/actor"
	"github.com/pkg/errors"

	"github.com/sesamestream/sesamestream/pkg/decide"
)

// ErrStopped is returned if the context of a query ends before the actor answers.
// Its text may be the reason in a refusal to a caller.
var ErrStopped = errors.New("runner: stopped")

// A Runner runs one state machine. Its exported fields are set before Start.
type Runner[E, A any] struct {
	// System is the actor system of the actor.
	System *actor.ActorSystem
	// Machine is the state machine that the events go to.
	Machine decide.Machine[E, A]
	// Execute executes one action; it must not block.
	Execute func(A)
	// Wake returns the time of the machine's next tick event; nil for a machine that
	// needs none.
	Wake func() (time.Time, bool)
	// Tick is the event that the machine gets at its wake time.
	Tick E

	pid           *actor.PID
	timer         *time.Timer
	scheduledWake time.Time
	actions       []A
}

// An eventMessage wraps an event, to distinguish it from the actor's system messages.
type eventMessage[E any] struct{ event E }

// A tickMessage is sent by the timer at the machine's wake time.
type tickMessage struct{}

// A query is the message to run fn in the actor; done is closed after it.
type query struct {
	fn   func()
	done chan struct{}
}

// Start starts the actor.
func (r *Runner[E, A]) Start() {
	r.pid = r.System.Root.Spawn(actor.PropsFromFunc(r.receive))
}

// Stop stops the actor after the messages that it has received.
func (r *Runner[E, A]) Stop() {
	_ = r.System.Root.PoisonFuture(r.pid).Wait()
}

// Send sends an event to the machine and does not wait.
func (r *Runner[E, A]) Send(e E) {
	r.System.Root.Send(r.pid, eventMessage[E]{event: e})
}

// Query runs f in the actor, between two events, and waits for it. f must not
// block. After an error, f may still run.
func (r *Runner[E, A]) Query(ctx context.Context, f func()) error {
	q := query{fn: f, done: make(chan struct{})}
	r.System.Root.Send(r.pid, q)
	select {
	case <-q.done:
		return nil
	case <-ctx.Done():
		return errors.Wrap(ErrStopped, ctx.Err().Error())
	}
}

// receive handles one message of the actor.
func (r *Runner[E, A]) receive(c actor.Context) {
	switch m := c.Message().(type) {
	case eventMessage[E]:
		r.step(m.event)
	case tickMessage:
		r.scheduledWake = time.Time{}
		r.step(r.Tick)
	case query:
		m.fn()
		close(m.done)
		r.scheduleWake()
	case *actor.Stopping:
		if r.timer != nil {
			r.timer.Stop()
		}
	}
}

// step applies one event and executes the resulting actions.
func (r *Runner[E, A]) step(e E) {
	r.actions = r.Machine.Step(time.Now(), e, r.actions[:0])
	for _, a := range r.actions {
		r.Execute(a)
	}
	clear(r.actions)
	r.scheduleWake()
}

// scheduleWake sets the timer to the machine's wake time.
func (r *Runner[E, A]) scheduleWake() {
	if r.Wake == nil {
		return
	}
	at, ok := r.Wake()
	if !ok || at.Equal(r.scheduledWake) {
		return
	}
	r.scheduledWake = at
	d := max(time.Until(at), 0)
	if r.timer == nil {
		r.timer = time.AfterFunc(d, func() { r.System.Root.Send(r.pid, tickMessage{}) })
		return
	}
	r.timer.Reset(d)
}
