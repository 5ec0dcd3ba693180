package journal

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/sesamestream/sesamestream/pkg/fleet"
)

// ErrCorrupt is returned for a value that does not encode a segment or manifest.
var ErrCorrupt = errors.New("journal: corrupt value")

const (
	// segmentOverhead is an upper bound on the encoded size of a segment without its records, in bytes.
	segmentOverhead = 256
	// recordOverhead is an upper bound on the bytes that the encoding adds to a record.
	recordOverhead = 9
)

// A Position is the index of a segment in its journal, starting at 1.
type Position uint64

// An Epoch is the position of the segment with which an owner took over the journal.
type Epoch uint64

// A Segment is one stored value of a journal. Writer and Counter identify it uniquely.
type Segment struct {
	Writer  fleet.ProcessIncarnation `cbor:"1,keyasint"`
	Counter uint64                   `cbor:"2,keyasint"`
	Epoch   Epoch                    `cbor:"3,keyasint"`
	// Records is empty in the segment of a takeover.
	Records [][]byte `cbor:"4,keyasint"`
}

// SameWrite reports whether s and o come from the same write.
func (s Segment) SameWrite(o Segment) bool {
	return s.Writer == o.Writer && s.Counter == o.Counter
}

// A Mark is the offset behind a record of a journal. Records have marks in the order of their commits.
type Mark struct {
	Position Position `cbor:"1,keyasint"`
	// Records counts the records at Position that lie before the mark.
	Records int `cbor:"2,keyasint"`
}

// Before reports whether m lies before o.
func (m Mark) Before(o Mark) bool {
	return m.Position < o.Position || m.Position == o.Position && m.Records < o.Records
}

// LastTrimmable returns the last position whose records are all in a snapshot at m.
func (m Mark) LastTrimmable() Position {
	return max(m.Position, 1) - 1
}

// A Manifest describes a snapshot: which records it replaces and where its parts are stored.
type Manifest struct {
	Writer fleet.ProcessIncarnation `cbor:"1,keyasint"`
	// Mark is the offset behind the last record in the snapshot.
	Mark Mark `cbor:"2,keyasint"`
	// Parts is the number of values into which the snapshot is split.
	Parts int `cbor:"3,keyasint"`
	// Name distinguishes the parts of this snapshot from those of others.
	Name string `cbor:"4,keyasint"`
}

// Encode returns the stored encoding of a segment or manifest.
func Encode[T Segment | Manifest](v T) ([]byte, error) {
	return cbor.Marshal(v)
}

// Decode decodes a segment or manifest, or returns ErrCorrupt.
func Decode[T Segment | Manifest](b []byte) (T, error) {
	var v T
	if err := cbor.Unmarshal(b, &v); err != nil {
		return v, errors.WithMessage(ErrCorrupt, err.Error())
	}
	return v, nil
}

// maxEncodedSize returns an upper bound on the encoded size of records in a segment.
func maxEncodedSize(records [][]byte) fleet.Bytes {
	n := 0
	for _, r := range records {
		n += len(r) + recordOverhead
	}
	return fleet.Bytes(n)
}
