package kv

import "time"

// cursorLag is how long a Cursor waits before it continues from the revision of an empty reply:
// several watches then show a change that one of them has skipped. It's less than the history
// that the store keeps; where history is gone, the watch fails and the keys are read.
const cursorLag = 3 * watchWait

// A Cursor is the position from which a watch continues. An empty reply doesn't prove that there
// was no change up to its revision, so that a Cursor follows it later than a reply with events.
type Cursor struct {
	from Revision
	// empty is the revision of an empty reply that arrived at emptyAt; 0 if there was none since
	// the Cursor moved.
	empty   Revision
	emptyAt time.Time
}

// NewCursor returns a Cursor after a revision up to which all changes are known.
func NewCursor(from Revision) Cursor { return Cursor{from: from} }

// From returns the revision after which the next watch continues.
func (c *Cursor) From() Revision { return c.from }

// Advance moves the Cursor after a reply of a watch with the given number of events.
func (c *Cursor) Advance(now time.Time, events int, upto Revision) {
	switch {
	case events > 0:
		*c = Cursor{from: max(c.from, upto)}
	case c.empty == 0:
		c.empty, c.emptyAt = upto, now
	case now.Sub(c.emptyAt) >= cursorLag:
		c.from = max(c.from, c.empty)
		c.empty, c.emptyAt = upto, now
	}
}
