// Package liveness decides when an open connection or its peer is unresponsive.
//
// A Machine watches one connection to one peer. Only traffic drives it: a
// connection that waits for nothing has no timer and sends no probe. If it
// waits and receives nothing, it is probed; if the probe isn't answered either,
// a second connection is opened in parallel and probed. If that one works, the
// old connection is replaced and the peer isn't suspected; if both are
// unresponsive, the peer is suspected. The outcome of requests in flight on a
// replaced connection is unknown and is resolved by the rules of the attempt.
package liveness

import (
	"time"

	"github.com/sesamestream/sesamestream/pkg/decide"
)

// The default times. An unresponsive connection is detected within the sum of the
// first two and the time to connect once, an unresponsive peer within the sum of
// the first three.
const (
	DefaultReceiveTimeout  = 300 * time.Millisecond
	DefaultProbeTimeout    = 400 * time.Millisecond
	DefaultParallelTimeout = 600 * time.Millisecond
	DefaultRetryInterval   = time.Second
)

// A Machine watches one connection.
type Machine struct {
	// ReceiveTimeout is how long the connection may receive nothing while it waits;
	// 0 means DefaultReceiveTimeout.
	ReceiveTimeout time.Duration
	// ProbeTimeout is how long the answer to a probe may take; 0 means DefaultProbeTimeout.
	ProbeTimeout time.Duration
	// ParallelTimeout is how long a second connection and its probe may take;
	// 0 means DefaultParallelTimeout.
	ParallelTimeout time.Duration
	// RetryInterval is how long a suspected peer isn't probed; 0 means DefaultRetryInterval.
	RetryInterval time.Duration

	phase    phase
	inFlight int
	// sentSinceReceived is set once a request is sent, and reset when bytes are
	// received or the peer is suspected.
	sentSinceReceived bool
	// suspected is set from Suspect until ClearSuspicion.
	suspected bool
	// wakeAt is when the next Tick is due; zero if none is.
	wakeAt time.Time
}

var (
	_ decide.Machine[Event, Action] = (*Machine)(nil)
	_ decide.Waker                  = (*Machine)(nil)
)

type phase int

const (
	// phaseIdle: the connection waits for nothing.
	phaseIdle phase = iota
	// phaseReceiving: waiting for any bytes.
	phaseReceiving
	// phaseProbing: waiting for the answer to a probe.
	phaseProbing
	// phaseParallel: waiting for a second connection and its probe.
	phaseParallel
	// phaseSuspected: the peer is unresponsive and isn't probed until wakeAt.
	phaseSuspected
	// phaseReplaced: the connection has been replaced; the Machine is finished.
	phaseReplaced
)

// An Event is something that happened to the connection.
type Event int

// The events of a connection.
const (
	// Sent says that a request was sent on the connection.
	Sent Event = iota + 1
	// Ended says that a request that was sent has been answered or abandoned.
	Ended
	// Received says that bytes were received on the connection, such as a probe's answer.
	Received
	// ParallelAnswered says that the probe on the second connection was answered.
	ParallelAnswered
	// ParallelFailed says that the second connection could not be opened or failed.
	ParallelFailed
	// Tick says that the time returned by Wake has come.
	Tick
)

// An Action is something that the caller must do.
type Action int

// The actions.
const (
	// Probe sends a probe on the connection.
	Probe Action = iota + 1
	// OpenParallel opens a second connection to the peer and probes it.
	OpenParallel
	// CloseParallel closes the second connection.
	CloseParallel
	// Replace closes the connection and replaces it by the second one, with a new
	// Machine. The peer is alive.
	Replace
	// Suspect says that the peer is unresponsive on both connections.
	Suspect
	// ClearSuspicion revokes Suspect.
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

// startWatching sets the receive timeout of a connection that was idle. It probes
// a suspected peer at once if the retry interval is over.
func (m *Machine) startWatching(now time.Time, out []Action) []Action {
	switch {
	case m.phase == phaseIdle:
		m.enter(phaseReceiving, now.Add(orDefault(m.ReceiveTimeout, DefaultReceiveTimeout)))
	case m.phase == phaseSuspected && m.wakeAt.IsZero():
		return m.openParallel(now, out)
	}
	return out
}

// stopIfIdle cancels the receive timeout if the connection waits for nothing any more.
func (m *Machine) stopIfIdle(out []Action) []Action {
	if m.phase == phaseReceiving && m.idle() {
		m.enter(phaseIdle, time.Time{})
	}
	return out
}

// received handles bytes received, which show that the connection works.
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

// parallelAnswered handles a second connection that works while the first is unresponsive.
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

// retry probes a suspected peer again if the connection waits for anything.
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

func (m *Machine) enter(p phase, wakeAt time.Time) {
	m.phase = p
	m.wakeAt = wakeAt
}
