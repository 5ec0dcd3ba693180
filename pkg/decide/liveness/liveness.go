// Package liveness decides when an open connection has gone silent for good.
//
// A Machine watches one connection to one peer. Only traffic drives it: a
// connection that waits for nothing has no timer and sends no probe. Where it
// waits and hears nothing, it is probed; where the probe stays silent too, a
// second connection is opened beside it and probed. If that one works, the old
// connection is replaced and the peer keeps its standing; if both are silent,
// the peer is suspected. What was in flight on a replaced connection has no
// proof either way and is resolved by the attempt's rules.
package liveness

import (
	"time"

	"github.com/sesamestream/sesamestream/pkg/decide"
)

// The default times. A silent connection is found within the sum of the first
// two and the time of one new connection, a silent peer within the first three.
const (
	DefaultQuiet    = 300 * time.Millisecond
	DefaultProbe    = 400 * time.Millisecond
	DefaultParallel = 600 * time.Millisecond
	DefaultRetry    = time.Second
)

// A Machine watches one connection.
type Machine struct {
	// Quiet is how long the connection may hear nothing while it waits; 0 means DefaultQuiet.
	Quiet time.Duration
	// Probe is how long the answer to a probe may take; 0 means DefaultProbe.
	Probe time.Duration
	// Parallel is how long a second connection and its probe may take; 0 means DefaultParallel.
	Parallel time.Duration
	// Retry is how long a suspected peer is left alone; 0 means DefaultRetry.
	Retry time.Duration

	phase phase
	// waiting counts the requests in flight.
	waiting int
	// unheard says that something was sent since anything was received.
	unheard bool
	// suspected says that Suspect was not taken back.
	suspected bool
	due       time.Time
}

var (
	_ decide.Machine[Event, Action] = (*Machine)(nil)
	_ decide.Waker                  = (*Machine)(nil)
)

type phase int

const (
	// quiet waits for nothing.
	quiet phase = iota
	// listening waits for any bytes.
	listening
	// probing waits for the answer to a probe.
	probing
	// comparing waits for a second connection and its probe.
	comparing
	// suspecting leaves a silent peer alone.
	suspecting
	// replaced is over.
	replaced
)

// An Event is one thing that happened to the connection.
type Event int

// The events of a connection.
const (
	// Sent says that a request left on the connection.
	Sent Event = iota + 1
	// Ended says that a request that was sent is over, answered or given up.
	Ended
	// Received says that bytes came on the connection, a probe's answer among them.
	Received
	// ParallelAnswered says that the probe on the second connection was answered.
	ParallelAnswered
	// ParallelFailed says that the second connection could not be opened, or broke.
	ParallelFailed
	// Tick says that the time of Wake came.
	Tick
)

// An Action is one thing to do.
type Action int

// The actions.
const (
	// Probe sends a probe on the connection.
	Probe Action = iota + 1
	// OpenParallel opens a second connection to the peer and probes it.
	OpenParallel
	// CloseParallel closes the second connection.
	CloseParallel
	// Replace closes the connection and puts the second one in its place, with
	// a Machine of its own. The peer is not dead.
	Replace
	// Suspect says that neither connection hears the peer.
	Suspect
	// Clear takes Suspect back.
	Clear
)

// Step implements decide.Machine.
func (m *Machine) Step(now time.Time, e Event, out []Action) []Action {
	if m.phase == replaced {
		return out
	}
	switch e {
	case Sent:
		m.waiting++
		m.unheard = true
		return m.listen(now, out)
	case Ended:
		m.waiting = max(m.waiting-1, 0)
		return m.rest(out)
	case Received:
		return m.heard(now, out)
	case ParallelAnswered:
		return m.compared(out)
	case ParallelFailed:
		return m.parallelFailed(now, out)
	case Tick:
		return m.tick(now, out)
	default:
		return out
	}
}

// listen starts to watch a connection that waited for nothing. A suspected peer
// that was left alone for long enough is tried at once.
func (m *Machine) listen(now time.Time, out []Action) []Action {
	switch {
	case m.phase == quiet:
		m.enter(listening, now.Add(or(m.Quiet, DefaultQuiet)))
	case m.phase == suspecting && m.due.IsZero():
		return m.compare(now, out)
	}
	return out
}

// rest stops to watch a connection that waits for nothing any more.
func (m *Machine) rest(out []Action) []Action {
	if m.phase == listening && m.idle() {
		m.enter(quiet, time.Time{})
	}
	return out
}

// heard handles bytes on the connection: it works.
func (m *Machine) heard(now time.Time, out []Action) []Action {
	m.unheard = false
	if m.phase == comparing {
		out = append(out, CloseParallel)
	}
	out = m.clear(out)
	m.enter(quiet, time.Time{})
	if m.idle() {
		return out
	}
	return m.listen(now, out)
}

// compared handles a second connection that works while the first is silent.
func (m *Machine) compared(out []Action) []Action {
	if m.phase != comparing {
		return out
	}
	m.enter(replaced, time.Time{})
	out = m.clear(out)
	return append(out, Replace)
}

func (m *Machine) clear(out []Action) []Action {
	if !m.suspected {
		return out
	}
	m.suspected = false
	return append(out, Clear)
}

func (m *Machine) parallelFailed(now time.Time, out []Action) []Action {
	if m.phase != comparing {
		return out
	}
	return m.suspect(now, out)
}

func (m *Machine) suspect(now time.Time, out []Action) []Action {
	m.enter(suspecting, now.Add(or(m.Retry, DefaultRetry)))
	m.unheard = false
	out = append(out, CloseParallel)
	if m.suspected {
		return out
	}
	m.suspected = true
	return append(out, Suspect)
}

func (m *Machine) tick(now time.Time, out []Action) []Action {
	if m.due.IsZero() || now.Before(m.due) {
		return out
	}
	switch m.phase {
	case listening:
		m.enter(probing, now.Add(or(m.Probe, DefaultProbe)))
		return append(out, Probe)
	case probing:
		return m.compare(now, out)
	case comparing:
		return m.suspect(now, out)
	case suspecting:
		return m.retry(now, out)
	default:
		return out
	}
}

// retry tries a suspected peer again if anything waits for it.
func (m *Machine) retry(now time.Time, out []Action) []Action {
	if m.idle() {
		m.due = time.Time{}
		return out
	}
	return m.compare(now, out)
}

func (m *Machine) compare(now time.Time, out []Action) []Action {
	m.enter(comparing, now.Add(or(m.Parallel, DefaultParallel)))
	return append(out, OpenParallel)
}

func (m *Machine) enter(p phase, due time.Time) {
	m.phase = p
	m.due = due
}
