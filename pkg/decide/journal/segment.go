package journal

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/sesamestream/sesamestream/pkg/fleet"
)

// ErrCorrupt is returned for a value that is no segment or cover.
var ErrCorrupt = errors.New("journal: corrupt value")

const (
	// segmentOverhead is at least what a segment takes besides its records, in bytes.
	segmentOverhead = 256
	// recordOverhead is at least what a record takes besides its content, in bytes.
	recordOverhead = 9
)

// A Position is the place of a segment in its journal, the first is 1.
type Position uint64

// An Epoch is the position of the segment by which an owner took the journal over.
type Epoch uint64

// A Segment is one value of a journal. Its writer and counter tell it from all others.
type Segment struct {
	Writer  fleet.ProcessIncarnation `cbor:"1,keyasint"`
	Counter uint64                   `cbor:"2,keyasint"`
	Epoch   Epoch                    `cbor:"3,keyasint"`
	// Records are empty in the segment of a takeover.
	Records [][]byte `cbor:"4,keyasint"`
}

// SameWrite reports whether s and o are the same write.
func (s Segment) SameWrite(o Segment) bool {
	return s.Writer == o.Writer && s.Counter == o.Counter
}

// A Mark stands behind a record of a journal. Records committed in order have rising marks.
type Mark struct {
	Position Position `cbor:"1,keyasint"`
	// Records counts the records of the position that stand before the mark.
	Records int `cbor:"2,keyasint"`
}

// Before reports whether m stands before o.
func (m Mark) Before(o Mark) bool {
	return m.Position < o.Position || m.Position == o.Position && m.Records < o.Records
}

// LastTrimmable returns the last position that a snapshot at m replaces whole.
func (m Mark) LastTrimmable() Position {
	return max(m.Position, 1) - 1
}

// A Manifest says which records a snapshot replaces, and where it is kept.
type Manifest struct {
	Writer fleet.ProcessIncarnation `cbor:"1,keyasint"`
	// Mark stands behind the last record in the snapshot.
	Mark Mark `cbor:"2,keyasint"`
	// Parts counts the values the snapshot is split into.
	Parts int `cbor:"3,keyasint"`
	// Name tells the parts of this snapshot from others.
	Name string `cbor:"4,keyasint"`
}

// Encode returns the value of a segment or cover.
func Encode[T Segment | Manifest](v T) ([]byte, error) {
	return cbor.Marshal(v)
}

// Decode reads a segment or cover, or returns ErrCorrupt.
func Decode[T Segment | Manifest](b []byte) (T, error) {
	var v T
	if err := cbor.Unmarshal(b, &v); err != nil {
		return v, errors.WithMessage(ErrCorrupt, err.Error())
	}
	return v, nil
}

// size returns a bound on what records take in a segment, in bytes.
func size(records [][]byte) fleet.Bytes {
	n := 0
	for _, r := range records {
		n += len(r) + recordOverhead
	}
	return fleet.Bytes(n)
}
