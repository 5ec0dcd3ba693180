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
	DefaultReceiveTimeout  = 300 * time.Millisecond
	DefaultProbeTimeout    = 400 * time.Millisecond
	DefaultParallelTimeout = 600 * time.Millisecond
	DefaultRetryInterval   = time.Second
)

// A Machine watches one connection.
type Machine struct {
	// ReceiveTimeout is how long the connection may hear nothing while it waits; 0 means DefaultQuiet.
	ReceiveTimeout time.Duration
	// ProbeTimeout is how long the answer to a probe may take; 0 means DefaultProbe.
	ProbeTimeout time.Duration
	// ParallelTimeout is how long a second connection and its probe may take; 0 means DefaultParallel.
	ParallelTimeout time.Duration
	// RetryInterval is how long a suspected peer is left alone; 0 means DefaultRetry.
	RetryInterval time.Duration

	phase phase
	// inFlight counts the requests in flight.
	inFlight int
	// sentSinceReceived says that something was sent since anything was received.
	sentSinceReceived bool
	// suspected says that Suspect was not taken back.
	suspected bool
	wakeAt    time.Time
}

var (
	_ decide.Machine[Event, Action] = (*Machine)(nil)
	_ decide.Waker                  = (*Machine)(nil)
)

type phase int

const (
	// phaseIdle waits for nothing.
	phaseIdle phase = iota
	// phaseReceiving waits for any bytes.
	phaseReceiving
	// phaseProbing waits for the answer to a probe.
	phaseProbing
	// phaseParallel waits for a second connection and its probe.
	phaseParallel
	// phaseSuspected leaves a silent peer alone.
	phaseSuspected
	// phaseReplaced is over.
	phaseReplaced
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
	// ClearSuspicion takes Suspect back.
	ClearSuspicion
)

// Step implements decide.Machine.
func (m *Machine) Step(now time.Time, e Event, out []Action) []Action {
	if m.phase == phaseReplaced {
		return out
	}
	switch e {
	case Sent:
		m.inFlight++
		m.sentSinceReceived = true
		return m.startWatching(now, out)
	case Ended:
		m.inFlight = max(m.inFlight-1, 0)
		return m.stopIfIdle(out)
	case Received:
		return m.received(now, out)
	case ParallelAnswered:
		return m.parallelAnswered(out)
	case ParallelFailed:
		return m.parallelFailed(now, out)
	case Tick:
		return m.tick(now, out)
	default:
		return out
	}
}

// startWatching starts to watch a connection that waited for nothing. A suspected peer
// that was left alone for long enough is tried at once.
func (m *Machine) startWatching(now time.Time, out []Action) []Action {
	switch {
	case m.phase == phaseIdle:
		m.enter(phaseReceiving, now.Add(orDefault(m.ReceiveTimeout, DefaultReceiveTimeout)))
	case m.phase == phaseSuspected && m.wakeAt.IsZero():
		return m.openParallel(now, out)
	}
	return out
}

// stopIfIdle stops to watch a connection that waits for nothing any more.
func (m *Machine) stopIfIdle(out []Action) []Action {
	if m.phase == phaseReceiving && m.idle() {
		m.enter(phaseIdle, time.Time{})
	}
	return out
}

// received handles bytes on the connection: it works.
func (m *Machine) received(now time.Time, out []Action) []Action {
	m.sentSinceReceived = false
	if m.phase == phaseParallel {
		out = append(out, CloseParallel)
	}
	out = m.clearSuspicion(out)
	m.enter(phaseIdle, time.Time{})
	if m.idle() {
		return out
	}
	return m.startWatching(now, out)
}

// parallelAnswered handles a second connection that works while the first is silent.
func (m *Machine) parallelAnswered(out []Action) []Action {
	if m.phase != phaseParallel {
		return out
	}
	m.enter(phaseReplaced, time.Time{})
	out = m.clearSuspicion(out)
	return append(out, Replace)
}

func (m *Machine) clearSuspicion(out []Action) []Action {
	if !m.suspected {
		return out
	}
	m.suspected = false
	return append(out, ClearSuspicion)
}

func (m *Machine) parallelFailed(now time.Time, out []Action) []Action {
	if m.phase != phaseParallel {
		return out
	}
	return m.suspect(now, out)
}

func (m *Machine) suspect(now time.Time, out []Action) []Action {
	m.enter(phaseSuspected, now.Add(orDefault(m.RetryInterval, DefaultRetryInterval)))
	m.sentSinceReceived = false
	out = append(out, CloseParallel)
	if m.suspected {
		return out
	}
	m.suspected = true
	return append(out, Suspect)
}

func (m *Machine) tick(now time.Time, out []Action) []Action {
	if m.wakeAt.IsZero() || now.Before(m.wakeAt) {
		return out
	}
	switch m.phase {
	case phaseReceiving:
		m.enter(phaseProbing, now.Add(orDefault(m.ProbeTimeout, DefaultProbeTimeout)))
		return append(out, Probe)
	case phaseProbing:
		return m.openParallel(now, out)
	case phaseParallel:
		return m.suspect(now, out)
	case phaseSuspected:
		return m.retry(now, out)
	default:
		return out
	}
}

// retry tries a suspected peer again if anything waits for it.
func (m *Machine) retry(now time.Time, out []Action) []Action {
	if m.idle() {
		m.wakeAt = time.Time{}
		return out
	}
	return m.openParallel(now, out)
}

func (m *Machine) openParallel(now time.Time, out []Action) []Action {
	m.enter(phaseParallel, now.Add(orDefault(m.ParallelTimeout, DefaultParallelTimeout)))
	return append(out, OpenParallel)
}

func (m *Machine) enter(p phase, due time.Time) {
	m.phase = p
	m.wakeAt = due
}
