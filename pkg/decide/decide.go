// Package decide defines the interfaces of the state machines that make the
// decisions of sesamestream.
//
// These state machines have no I/O, goroutines or clock of their own: they take
// events and the current time, and return actions. Each package below this one
// holds one of them, and any harness can drive it through Machine.
package decide

import "time"

// A Machine is a deterministic state machine that takes events of type E and
// returns actions of type A.
type Machine[E, A any] interface {
	// Step applies e at now, appends the resulting actions to out and returns
	// it. Callers never pass an earlier time than in the previous call.
	Step(now time.Time, e E, out []A) []A
}

// A Waker is a machine that also acts as time passes, without another event.
type Waker interface {
	// Wake returns the time at which the machine needs its next tick event,
	// and false if it needs none.
	Wake() (time.Time, bool)
}
