// Package journal decides how one owner of a shard extends its journal:
// takeover, group commit, and what to do when an answer is lost.
//
// Positions are only ever created, each under the guard that the cover of the
// snapshot has not changed. Two owners thus never both extend one position,
// nor write again at one that was trimmed.
package journal

import (
	"time"

	"github.com/sesamestream/sesamestream/pkg/decide"
	"github.com/sesamestream/sesamestream/pkg/fleet"
)

// A stage is what a Machine waits for.
type stage int

const (
	closed stage = iota
	idle
	pacing
	writing
	reading
	covering
)

// An entry is an append that is not committed yet.
type entry struct {
	ticket  Ticket
	records [][]byte
	size    fleet.Bytes
	// end is where the records end in their segment.
	end int
}

// A Machine holds one owner's end of a journal.
type Machine struct {
	// Writer is the owner.
	Writer fleet.ProcessIncarnation
	// MaxSegmentBytes bounds an encoded segment.
	MaxSegmentBytes fleet.Bytes
	// MaxPendingBytes bounds the records that wait, counted with their overhead.
	MaxPendingBytes fleet.Bytes
	// Counter counts the segments written. It starts above all that Life has used.
	Counter uint64

	stage    stage
	waiting  bool
	failures int
	epoch    Epoch
	last     Position
	index    uint64
	queue    []entry
	pending  fleet.Bytes

	// flight holds the entries of segment, which stands at last+1.
	flight   []entry
	segment  Segment
	takeover bool
	doubted  bool
}

var _ decide.Machine[Event, Action] = (*Machine)(nil)

// Step applies e. It does not depend on the time.
func (m *Machine) Step(_ time.Time, e Event, out []Action) []Action {
	switch e := e.(type) {
	case Opened:
		return m.opened(e, out)
	case Append:
		return m.append(e, out)
	case Cancel:
		return m.cancel(e, out)
	case PermitAcquired:
		return m.paced(out)
	case WriteCompleted:
		return m.wrote(e, out)
	case SegmentRead:
		return m.found(e, out)
	case ManifestRead:
		return m.covered(e, out)
	case ManifestUpdated:
		m.index = e.ManifestIndex
	case ReadFailed:
		return m.wait(out)
	case BackoffEnded:
		m.waiting = false
		return m.resume(out)
	}
	return out
}

// PendingBytes returns the bytes of records that wait to be written.
func (m *Machine) PendingBytes() fleet.Bytes { return m.pending }

// opened starts a takeover behind the last position found.
func (m *Machine) opened(e Opened, out []Action) []Action {
	if m.stage != closed {
		return out
	}
	m.last, m.index = e.Last, e.ManifestIndex
	m.epoch = Epoch(e.Last + 1)
	m.takeover = true
	m.load(nil)
	m.stage = writing
	return m.resume(out)
}

// append queues records.
func (m *Machine) append(e Append, out []Action) []Action {
	n := size(e.Records)
	switch {
	case m.stage == closed:
		return append(out, Refused{Ticket: e.Ticket, Reason: OwnershipLost})
	case n+segmentOverhead > m.MaxSegmentBytes:
		return append(out, Refused{Ticket: e.Ticket, Reason: TooLarge})
	case m.pending+n > m.MaxPendingBytes:
		return append(out, Refused{Ticket: e.Ticket, Reason: QueueFull})
	}
	m.queue = append(m.queue, entry{ticket: e.Ticket, records: e.Records, size: n})
	m.pending += n
	return m.next(out)
}

// cancel drops an entry that still waits.
func (m *Machine) cancel(e Cancel, out []Action) []Action {
	for i, q := range m.queue {
		if q.ticket == e.Ticket {
			m.queue = append(m.queue[:i], m.queue[i+1:]...)
			m.pending -= q.size
			return append(out, Refused{Ticket: e.Ticket, Reason: Cancelled})
		}
	}
	for i, f := range m.flight {
		if f.ticket == e.Ticket {
			m.flight = append(m.flight[:i], m.flight[i+1:]...)
			return append(out, Refused{Ticket: e.Ticket, Reason: OutcomeUnknown})
		}
	}
	return out
}

// next asks for leave to write if something waits.
func (m *Machine) next(out []Action) []Action {
	if m.stage != idle || len(m.queue) == 0 {
		return out
	}
	m.stage = pacing
	return append(out, AcquirePermit{})
}

// paced writes what has gathered by now.
func (m *Machine) paced(out []Action) []Action {
	if m.stage != pacing {
		return out
	}
	if len(m.queue) == 0 {
		m.stage = idle
		return out
	}
	m.load(m.batch())
	m.stage = writing
	return m.resume(out)
}

// batch takes as many entries off the queue as fit one segment.
func (m *Machine) batch() []entry {
	n := fleet.Bytes(segmentOverhead)
	i := 0
	for i < len(m.queue) && n+m.queue[i].size <= m.MaxSegmentBytes {
		n += m.queue[i].size
		i++
	}
	b := append([]entry(nil), m.queue[:i]...)
	m.queue = m.queue[i:]
	m.pending -= n - segmentOverhead
	return b
}

// load makes entries the segment in flight.
func (m *Machine) load(entries []entry) {
	m.Counter++
	m.flight = entries
	m.doubted = false
	m.segment = Segment{Writer: m.Writer, Counter: m.Counter, Epoch: m.epoch}
	for i, e := range entries {
		m.segment.Records = append(m.segment.Records, e.records...)
		entries[i].end = len(m.segment.Records)
	}
}
