// Package runner holds a state machine in an actor: events go in as messages,
// one at a time, and the actions that come out are carried out in order.
package runner

import (
	"context"
	"time"

	"github.com/asynkron/protoactor-go/actor"
	"github.com/pkg/errors"

	"github.com/sesamestream/sesamestream/pkg/decide"
)

// ErrStopped is returned by a query to a runner that does not run.
var ErrStopped = errors.New("runner: stopped")

// A Runner drives one machine. Its exported fields are set before Start.
type Runner[E, A any] struct {
	// System is where the actor lives.
	System *actor.ActorSystem
	// Machine takes the events.
	Machine decide.Machine[E, A]
	// Execute carries out one action; it must not block.
	Execute func(A)
	// Wake returns when Tick is due; nil for a machine without time of its own.
	Wake func() (time.Time, bool)
	// Tick is the event of a passed wake time.
	Tick E

	pid   *actor.PID
	timer *time.Timer
	due   time.Time
	out   []A
}

// event wraps E so that the mailbox tells it from system messages.
type event[E any] struct{ e E }

// tick asks for the machine's tick.
type tick struct{}

// query runs inside the actor.
type query struct {
	f    func()
	done chan struct{}
}

// Start spawns the actor.
func (r *Runner[E, A]) Start() {
	r.pid = r.System.Root.Spawn(actor.PropsFromFunc(r.receive))
}

// Stop ends the actor after the messages that it holds.
func (r *Runner[E, A]) Stop() {
	_ = r.System.Root.PoisonFuture(r.pid).Wait()
}

// Send hands an event over.
func (r *Runner[E, A]) Send(e E) {
	r.System.Root.Send(r.pid, event[E]{e: e})
}

// Query runs f between two events and waits for it; f must not block.
func (r *Runner[E, A]) Query(ctx context.Context, f func()) error {
	q := query{f: f, done: make(chan struct{})}
	r.System.Root.Send(r.pid, q)
	select {
	case <-q.done:
		return nil
	case <-ctx.Done():
		return errors.Wrap(ErrStopped, ctx.Err().Error())
	}
}

func (r *Runner[E, A]) receive(c actor.Context) {
	switch m := c.Message().(type) {
	case event[E]:
		r.step(m.e)
	case tick:
		r.due = time.Time{}
		r.step(r.Tick)
	case query:
		m.f()
		close(m.done)
		r.schedule()
	case *actor.Stopping:
		if r.timer != nil {
			r.timer.Stop()
		}
	}
}

func (r *Runner[E, A]) step(e E) {
	r.out = r.Machine.Step(time.Now(), e, r.out[:0])
	for _, a := range r.out {
		r.Execute(a)
	}
	clear(r.out)
	r.schedule()
}

// schedule sets the timer for the machine's wake time.
func (r *Runner[E, A]) schedule() {
	if r.Wake == nil {
		return
	}
	at, ok := r.Wake()
	if !ok || at.Equal(r.due) {
		return
	}
	r.due = at
	d := max(time.Until(at), 0)
	if r.timer == nil {
		r.timer = time.AfterFunc(d, func() { r.System.Root.Send(r.pid, tick{}) })
		return
	}
	r.timer.Reset(d)
}
