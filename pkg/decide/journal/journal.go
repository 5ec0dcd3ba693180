// Package journal decides how one owner of a shard extends its journal:
// takeover, group commit, and recovery when the outcome of a write is unknown.
//
// A position is only ever created, and only if the snapshot's manifest has not
// changed. So two owners never both write the same position, and no owner
// writes again at a position that was trimmed.
package journal

import (
	"time"

	"github.com/sesamestream/sesamestream/pkg/decide"
	"github.com/sesamestream/sesamestream/pkg/fleet"
)

// A stage is the state of a Machine: idle, closed, or the action it waits for.
type stage int

const (
	stageClosed stage = iota
	stageIdle
	stageAwaitingPermit
	stageWriting
	stageReadingSegment
	stageReadingManifest
)

// A queuedAppend is an append that is not committed yet.
type queuedAppend struct {
	ticket      Ticket
	records     [][]byte
	encodedSize fleet.Bytes
	// endRecord counts the records of the segment up to the last one of this append.
	endRecord int
}

// A Machine is the state of one owner that appends to a journal.
type Machine struct {
	// Writer is the process that owns the journal.
	Writer fleet.ProcessIncarnation
	// MaxSegmentBytes is the maximum size of an encoded segment.
	MaxSegmentBytes fleet.Bytes
	// MaxPendingBytes is the maximum size of the queued records, including their overhead.
	MaxPendingBytes fleet.Bytes
	// Counter numbers the segments written. It starts above every number that Writer has used.
	Counter uint64

	stage         stage
	backingOff    bool
	failures      int
	epoch         Epoch
	lastPosition  Position
	manifestIndex uint64
	queue         []queuedAppend
	pendingBytes  fleet.Bytes

	// inFlight holds the appends in segment, which is written at lastPosition+1.
	inFlight       []queuedAppend
	segment        Segment
	takeover       bool
	outcomeUnknown bool
}

var _ decide.Machine[Event, Action] = (*Machine)(nil)

// Step applies e, appends the resulting actions to out and returns it. It ignores the time.
func (m *Machine) Step(_ time.Time, e Event, out []Action) []Action {
	switch e := e.(type) {
	case Opened:
		return m.startTakeover(e, out)
	case Append:
		return m.enqueue(e, out)
	case Cancel:
		return m.cancel(e, out)
	case PermitAcquired:
		return m.writeQueued(out)
	case WriteCompleted:
		return m.handleWriteResult(e, out)
	case SegmentRead:
		return m.handleSegment(e, out)
	case ManifestRead:
		return m.handleManifest(e, out)
	case ManifestUpdated:
		m.manifestIndex = e.ManifestIndex
	case ReadFailed:
		return m.backOff(out)
	case BackoffEnded:
		m.backingOff = false
		return m.requestIO(out)
	}
	return out
}

// PendingBytes returns the size of the queued records, including their overhead.
func (m *Machine) PendingBytes() fleet.Bytes { return m.pendingBytes }

// startTakeover starts a takeover at the position after the last one found.
func (m *Machine) startTakeover(e Opened, out []Action) []Action {
	if m.stage != stageClosed {
		return out
	}
	m.lastPosition, m.manifestIndex = e.Last, e.ManifestIndex
	m.epoch = Epoch(e.Last + 1)
	m.takeover = true
	m.loadSegment(nil)
	m.stage = stageWriting
	return m.requestIO(out)
}

// enqueue queues the records of an append, or refuses them.
func (m *Machine) enqueue(e Append, out []Action) []Action {
	n := maxEncodedSize(e.Records)
	switch {
	case m.stage == stageClosed:
		return append(out, Refused{Ticket: e.Ticket, Reason: OwnershipLost})
	case n+segmentOverhead > m.MaxSegmentBytes:
		return append(out, Refused{Ticket: e.Ticket, Reason: TooLarge})
	case m.pendingBytes+n > m.MaxPendingBytes:
		return append(out, Refused{Ticket: e.Ticket, Reason: QueueFull})
	}
	m.queue = append(m.queue, queuedAppend{ticket: e.Ticket, records: e.Records, encodedSize: n})
	m.pendingBytes += n
	return m.requestPermit(out)
}

// cancel ends the ticket of a queued append. An append in flight ends with an unknown outcome.
func (m *Machine) cancel(e Cancel, out []Action) []Action {
	for i, q := range m.queue {
		if q.ticket == e.Ticket {
			m.queue = append(m.queue[:i], m.queue[i+1:]...)
			m.pendingBytes -= q.encodedSize
			return append(out, Refused{Ticket: e.Ticket, Reason: Cancelled})
		}
	}
	for i, f := range m.inFlight {
		if f.ticket == e.Ticket {
			m.inFlight = append(m.inFlight[:i], m.inFlight[i+1:]...)
			return append(out, Refused{Ticket: e.Ticket, Reason: OutcomeUnknown})
		}
	}
	return out
}

// requestPermit requests a write permit if the machine is idle and the queue is not empty.
func (m *Machine) requestPermit(out []Action) []Action {
	if m.stage != stageIdle || len(m.queue) == 0 {
		return out
	}
	m.stage = stageAwaitingPermit
	return append(out, AcquirePermit{})
}

// writeQueued writes a batch of the queued appends as one segment.
func (m *Machine) writeQueued(out []Action) []Action {
	if m.stage != stageAwaitingPermit {
		return out
	}
	if len(m.queue) == 0 {
		m.stage = stageIdle
		return out
	}
	m.loadSegment(m.takeBatch())
	m.stage = stageWriting
	return m.requestIO(out)
}

// takeBatch removes from the queue as many appends as fit into one segment.
func (m *Machine) takeBatch() []queuedAppend {
	n := fleet.Bytes(segmentOverhead)
	i := 0
	for i < len(m.queue) && n+m.queue[i].encodedSize <= m.MaxSegmentBytes {
		n += m.queue[i].encodedSize
		i++
	}
	b := append([]queuedAppend(nil), m.queue[:i]...)
	m.queue = m.queue[i:]
	m.pendingBytes -= n - segmentOverhead
	return b
}

// loadSegment makes the records of entries the segment in flight.
func (m *Machine) loadSegment(entries []queuedAppend) {
	m.Counter++
	m.inFlight = entries
	m.outcomeUnknown = false
	m.segment = Segment{Writer: m.Writer, Counter: m.Counter, Epoch: m.epoch}
	for i, e := range entries {
		m.segment.Records = append(m.segment.Records, e.records...)
		entries[i].endRecord = len(m.segment.Records)
	}
}
