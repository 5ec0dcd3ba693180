package runner

import (
	"context"

	"github.com/asynkron/protoactor-go/actor"
	"github.com/pkg/errors"
)

// A ValueActor is an actor that owns a value which is not safe for concurrent use.
// Its exported fields are set before Start.
type ValueActor[T any] struct {
	// System is where the actor lives.
	System *actor.ActorSystem
	// Value is touched by the actor alone once it runs.
	Value T

	pid *actor.PID
}

// use asks for one turn with the value.
type use[T any] struct {
	f    func(T)
	done chan struct{}
}

// Start spawns the actor.
func (h *ValueActor[T]) Start() {
	h.pid = h.System.Root.Spawn(actor.PropsFromFunc(func(c actor.Context) {
		u, ok := c.Message().(use[T])
		if !ok {
			return
		}
		u.f(h.Value)
		if u.done != nil {
			close(u.done)
		}
	}))
}

// Stop ends the actor after the turns that were asked for.
func (h *ValueActor[T]) Stop() {
	_ = h.System.Root.PoisonFuture(h.pid).Wait()
}

// Post lets f use the value and does not wait; f must not block.
func (h *ValueActor[T]) Post(f func(T)) {
	h.System.Root.Send(h.pid, use[T]{f: f})
}

// Do lets f use the value and waits for it; f must not block.
func (h *ValueActor[T]) Do(ctx context.Context, f func(T)) error {
	u := use[T]{f: f, done: make(chan struct{})}
	h.System.Root.Send(h.pid, u)
	select {
	case <-u.done:
		return nil
	case <-ctx.Done():
		return errors.Wrap(ErrStopped, ctx.Err().Error())
	}
}
