package journal

// A Ticket identifies one append, so that its outcome can be matched to it.
type Ticket uint64

// A Result is the result of a write.
type Result int

// The results of a write.
const (
	// WriteDone means the segment is in the store.
	WriteDone Result = iota
	// WriteConflict means the position already exists or the manifest has changed.
	WriteConflict
	// WriteFailed means the write provably had no effect.
	WriteFailed
	// WriteUnknown means the write may have taken effect or may still do so.
	WriteUnknown
)

// A Reason is the reason why an append was refused.
type Reason int

// The reasons of a refusal.
const (
	// OwnershipLost means another owner holds the journal. The records are not in it.
	OwnershipLost Reason = iota
	// TooLarge means the records do not fit into a segment. They are not in the journal.
	TooLarge
	// QueueFull means the queue would exceed MaxPendingBytes. The records are not in the journal.
	QueueFull
	// Cancelled means the caller cancelled the append. The records are not in the journal.
	Cancelled
	// OutcomeUnknown means the records may be in the journal.
	OutcomeUnknown
)

// An Event is an input of a Machine.
type Event interface{ event() }

// Opened starts a takeover after the journal was read.
type Opened struct {
	// Last is the last position found, or the last trimmed position if that is higher.
	Last Position
	// ManifestIndex is the store's index of the manifest, 0 if there is none.
	ManifestIndex uint64
}

// Append requests that records be committed together.
type Append struct {
	Ticket  Ticket
	Records [][]byte
}

// Cancel reports that the caller of a ticket has given up.
type Cancel struct{ Ticket Ticket }

// PermitAcquired is the answer to AcquirePermit.
type PermitAcquired struct{}

// WriteCompleted is the answer to Write.
type WriteCompleted struct{ Result Result }

// SegmentRead is the answer to ReadSegment. Segment is nil if the position is empty.
type SegmentRead struct{ Segment *Segment }

// ManifestRead is the answer to ReadManifest.
type ManifestRead struct {
	// Trimmed is the last position that may have been deleted.
	Trimmed       Position
	ManifestIndex uint64
}

// ManifestUpdated reports that this owner has written a new manifest.
type ManifestUpdated struct{ ManifestIndex uint64 }

// ReadFailed reports that ReadSegment or ReadManifest failed.
type ReadFailed struct{}

// BackoffEnded reports that the delay of a Backoff is over.
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

// An Action is an output of a Machine, to be carried out by its caller. At most
// one AcquirePermit, Write, ReadSegment, ReadManifest or Backoff is outstanding.
type Action interface{ action() }

// AcquirePermit requests a permit of the write rate limit. The answer is PermitAcquired.
type AcquirePermit struct{}

// Write requests that Segment be created at Position if the manifest still has
// ManifestIndex. The answer is WriteCompleted.
type Write struct {
	Position      Position
	Segment       Segment
	ManifestIndex uint64
}

// ReadSegment requests the segment at Position. The answer is SegmentRead or ReadFailed.
type ReadSegment struct{ Position Position }

// ReadManifest requests the manifest. The answer is ManifestRead or ReadFailed.
type ReadManifest struct{}

// Backoff requests a delay after Failures consecutive failures. The answer is BackoffEnded.
type Backoff struct{ Failures int }

// Ready reports that the takeover is committed, so that appends can follow.
type Ready struct{ Epoch Epoch }

// Reopen reports that another takeover was committed first, so that the journal has to be read again.
type Reopen struct{}

// Committed reports that the records of the ticket are in the journal.
type Committed struct {
	Ticket Ticket
	// Mark is the offset behind the last of the records.
	Mark Mark
}

// Refused ends a ticket whose records were not committed, or whose outcome is unknown.
type Refused struct {
	Ticket Ticket
	Reason Reason
}

// Fenced reports that another owner has taken over the journal.
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
