package journal

// A Ticket names one append of a caller.
type Ticket uint64

// A Result is what is known of a write.
type Result int

// The results of a write.
const (
	// WriteDone means the segment is in the store.
	WriteDone Result = iota
	// WriteConflict means the position or the cover had changed.
	WriteConflict
	// WriteFailed means the write is proved to have had no effect.
	WriteFailed
	// WriteUnknown means the write may have taken effect, now or later.
	WriteUnknown
)

// A Reason says why an append was refused.
type Reason int

// The reasons of a refusal.
const (
	// OwnershipLost means another owner holds the journal and the records are not in it.
	OwnershipLost Reason = iota
	// TooLarge means the records exceed a segment, and are not in the journal.
	TooLarge
	// QueueFull means too much waits already, and the records are not in the journal.
	QueueFull
	// Cancelled means the caller gave up and the records are not in the journal.
	Cancelled
	// OutcomeUnknown means the records may be in the journal.
	OutcomeUnknown
)

// An Event is what a Machine learns.
type Event interface{ event() }

// Opened starts a takeover after the journal was read.
type Opened struct {
	// Last is the last position found, or the last one trimmed if that is later.
	Last Position
	// ManifestIndex is the store's index of the cover, 0 if there is none.
	ManifestIndex uint64
}

// Append asks for records to be committed together.
type Append struct {
	Ticket  Ticket
	Records [][]byte
}

// Cancel says that the caller of a ticket gave up.
type Cancel struct{ Ticket Ticket }

// PermitAcquired grants the write asked for by Pace.
type PermitAcquired struct{}

// WriteCompleted is the outcome of Write.
type WriteCompleted struct{ Result Result }

// SegmentRead is the outcome of ReadBack. Segment is nil where the position is empty.
type SegmentRead struct{ Segment *Segment }

// ManifestRead is the outcome of ReadCover.
type ManifestRead struct {
	// Trimmed is the last position that may have been deleted.
	Trimmed       Position
	ManifestIndex uint64
}

// ManifestUpdated says that this owner changed the cover.
type ManifestUpdated struct{ ManifestIndex uint64 }

// ReadFailed says that ReadBack or ReadCover got no answer.
type ReadFailed struct{}

// BackoffEnded ends a Wait.
type BackoffEnded struct{}

func (Opened) event()          {}
func (Append) event()          {}
func (Cancel) event()          {}
func (PermitAcquired) event()  {}
func (WriteCompleted) event()  {}
func (SegmentRead) event()     {}
func (ManifestRead) event()    {}
func (ManifestUpdated) event() {}
func (ReadFailed) event()      {}
func (BackoffEnded) event()    {}

// An Action is what a Machine asks for.
// At most one of Pace, Write, ReadBack, ReadCover and Wait is outstanding.
type Action interface{ action() }

// AcquirePermit asks for leave to write, answered by Paced.
type AcquirePermit struct{}

// Write asks to create the segment at the position while the cover has the index, answered by Wrote.
type Write struct {
	Position      Position
	Segment       Segment
	ManifestIndex uint64
}

// ReadSegment asks for the segment at the position, answered by Found or ReadFailed.
type ReadSegment struct{ Position Position }

// ReadManifest asks for the cover, answered by Covered or ReadFailed.
type ReadManifest struct{}

// Backoff asks for a pause after so many failures in a row, answered by Retried.
type Backoff struct{ Failures int }

// Ready says that the takeover is committed and appends may follow.
type Ready struct{ Epoch Epoch }

// Reopen says that another takeover came first: the journal has to be read again.
type Reopen struct{}

// Committed says that the records of the ticket are in the journal.
type Committed struct {
	Ticket Ticket
	// Mark stands behind the last of the records.
	Mark Mark
}

// Refused ends a ticket that was not committed, or may not have been.
type Refused struct {
	Ticket Ticket
	Reason Reason
}

// Fenced says that another owner took the journal over.
type Fenced struct{}

func (AcquirePermit) action() {}
func (Write) action()         {}
func (ReadSegment) action()   {}
func (ReadManifest) action()  {}
func (Backoff) action()       {}
func (Ready) action()         {}
func (Reopen) action()        {}
func (Committed) action()     {}
func (Refused) action()       {}
func (Fenced) action()        {}
