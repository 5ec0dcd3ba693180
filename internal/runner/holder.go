package runner

import (
	"context"

	"github.com/asynkron/protoactor-go/actor"
	"github.com/pkg/errors"
)

// A ValueActor is an actor that serializes the access to a value which is not safe
// for concurrent use. Its exported fields are set before Start.
type ValueActor[T any] struct {
	// System is the actor system of the actor.
	System *actor.ActorSystem
	// Value is accessed only by the actor once it is started.
	Value T

	pid *actor.PID
}

// A call is the message to run fn with the value; done, if set, is closed after it.
type call[T any] struct {
	fn   func(T)
	done chan struct{}
}

// Start starts the actor.
func (h *ValueActor[T]) Start() {
	h.pid = h.System.Root.Spawn(actor.PropsFromFunc(func(c actor.Context) {
		u, ok := c.Message().(call[T])
		if !ok {
			return
		}
		u.fn(h.Value)
		if u.done != nil {
			close(u.done)
		}
	}))
}

// Stop stops the actor after the calls that it has received.
func (h *ValueActor[T]) Stop() {
	_ = h.System.Root.PoisonFuture(h.pid).Wait()
}

// Post runs f with the value in the actor and does not wait for it. f must not
// block.
func (h *ValueActor[T]) Post(f func(T)) {
	h.System.Root.Send(h.pid, call[T]{fn: f})
}

// Do runs f with the value in the actor and waits for it. f must not block. After
// an error, f may still run.
func (h *ValueActor[T]) Do(ctx context.Context, f func(T)) error {
	u := call[T]{fn: f, done: make(chan struct{})}
	h.System.Root.Send(h.pid, u)
	select {
	case <-u.done:
		return nil
	case <-ctx.Done():
		return errors.Wrap(ErrStopped, ctx.Err().Error())
	}
}
