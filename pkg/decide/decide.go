// Package decide defines how the decisions of sesamestream are driven.
//
// A decision is a state machine without I/O, goroutines or a clock of its own:
// events and the time go in, actions come out. The packages below this one
// hold one machine each; any harness can drive them through Machine.
package decide

import "time"

// A Machine is a deterministic state machine that takes events of type E and
// answers with actions of type A.
type Machine[E, A any] interface {
	// Step applies e at now, appends the actions that follow to out and
	// returns it. Time never runs backwards between two calls.
	Step(now time.Time, e E, out []A) []A
}

// Waker is implemented by a machine that acts without an event.
type Waker interface {
	// Wake returns when the machine wants its next tick event,
	// and false where it waits for nothing.
	Wake() (time.Time, bool)
}
