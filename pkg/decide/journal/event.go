package journal

// A Ticket names one append of a caller.
type Ticket uint64

// A Result is what is known of a write.
type Result int

// The results of a write.
const (
	// Done means the segment is in the store.
	Done Result = iota
	// Raced means the position or the cover had changed.
	Raced
	// Failed means the write is proved to have had no effect.
	Failed
	// Doubtful means the write may have taken effect, now or later.
	Doubtful
)

// A Reason says why an append was refused.
type Reason int

// The reasons of a refusal.
const (
	// Lost means another owner holds the journal and the records are not in it.
	Lost Reason = iota
	// TooLarge means the records exceed a segment, and are not in the journal.
	TooLarge
	// Full means too much waits already, and the records are not in the journal.
	Full
	// Cancelled means the caller gave up and the records are not in the journal.
	Cancelled
	// Unsettled means the records may be in the journal.
	Unsettled
)

// An Event is what a Machine learns.
type Event interface{ event() }

// Opened starts a takeover after the journal was read.
type Opened struct {
	// Last is the last position found, or the last one trimmed if that is later.
	Last Position
	// CoverIndex is the store's index of the cover, 0 if there is none.
	CoverIndex uint64
}

// Append asks for records to be committed together.
type Append struct {
	Ticket  Ticket
	Records [][]byte
}

// Cancel says that the caller of a ticket gave up.
type Cancel struct{ Ticket Ticket }

// Paced grants the write asked for by Pace.
type Paced struct{}

// Wrote is the outcome of Write.
type Wrote struct{ Result Result }

// Found is the outcome of ReadBack. Segment is nil where the position is empty.
type Found struct{ Segment *Segment }

// Covered is the outcome of ReadCover.
type Covered struct {
	// Trimmed is the last position that may have been deleted.
	Trimmed    Position
	CoverIndex uint64
}

// Snapshotted says that this owner changed the cover.
type Snapshotted struct{ CoverIndex uint64 }

// ReadFailed says that ReadBack or ReadCover got no answer.
type ReadFailed struct{}

// Retried ends a Wait.
type Retried struct{}

func (Opened) event()      {}
func (Append) event()      {}
func (Cancel) event()      {}
func (Paced) event()       {}
func (Wrote) event()       {}
func (Found) event()       {}
func (Covered) event()     {}
func (Snapshotted) event() {}
func (ReadFailed) event()  {}
func (Retried) event()     {}

// An Action is what a Machine asks for.
// At most one of Pace, Write, ReadBack, ReadCover and Wait is outstanding.
type Action interface{ action() }

// Pace asks for leave to write, answered by Paced.
type Pace struct{}

// Write asks to create the segment at the position while the cover has the index, answered by Wrote.
type Write struct {
	Position   Position
	Segment    Segment
	CoverIndex uint64
}

// ReadBack asks for the segment at the position, answered by Found or ReadFailed.
type ReadBack struct{ Position Position }

// ReadCover asks for the cover, answered by Covered or ReadFailed.
type ReadCover struct{}

// Wait asks for a pause after so many failures in a row, answered by Retried.
type Wait struct{ Failures int }

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

func (Pace) action()      {}
func (Write) action()     {}
func (ReadBack) action()  {}
func (ReadCover) action() {}
func (Wait) action()      {}
func (Ready) action()     {}
func (Reopen) action()    {}
func (Committed) action() {}
func (Refused) action()   {}
func (Fenced) action()    {}
