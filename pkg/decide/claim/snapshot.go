package claim

import (
	"bytes"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/sesamestream/sesamestream/pkg/fleet"
)

// ErrBadSnapshot is returned for bytes that do not encode a snapshot of a known version.
var ErrBadSnapshot = errors.New("claim: bad snapshot")

// A snapshot is the encoded state of a Machine.
type snapshot struct {
	Version uint8           `cbor:"1,keyasint"`
	Keys    []snapshotEntry `cbor:"2,keyasint"`
}

// A snapshotEntry is the state of one key in a snapshot.
type snapshotEntry struct {
	Key     Digest        `cbor:"1,keyasint"`
	Grant   uint64        `cbor:"2,keyasint"`
	Outcome fleet.Outcome `cbor:"3,keyasint"`
	Bucket  time.Duration `cbor:"4,keyasint"`
}

// snapshotDecoder decodes snapshots. Their size is bounded by what their owner wrote.
var snapshotDecoder = func() cbor.DecMode {
	d, err := cbor.DecOptions{MaxArrayElements: maxSnapshotKeys}.DecMode()
	if err != nil {
		panic(err)
	}
	return d
}()

// maxSnapshotKeys is the maximum number of keys in one snapshot.
const maxSnapshotKeys = 1 << 27

// Snapshot returns the encoded state for Restore. Equal claims give equal bytes.
func (m *Machine) Snapshot() ([]byte, error) {
	s := snapshot{Version: Version, Keys: make([]snapshotEntry, 0, len(m.keys))}
	for k, e := range m.keys {
		s.Keys = append(s.Keys, snapshotEntry{Key: k, Grant: e.grant, Outcome: e.outcome, Bucket: e.expiryBucket})
	}
	slices.SortFunc(s.Keys, func(a, b snapshotEntry) int { return bytes.Compare(a.Key[:], b.Key[:]) })
	b, err := cbor.Marshal(s)
	return b, errors.WithStack(err)
}

// Restore replaces the state of m with a snapshot, or returns ErrBadSnapshot.
func (m *Machine) Restore(b []byte) error {
	var s snapshot
	if err := snapshotDecoder.Unmarshal(b, &s); err != nil {
		return errors.WithMessage(ErrBadSnapshot, err.Error())
	}
	if s.Version != Version {
		return errors.WithMessage(ErrBadSnapshot, "version")
	}
	m.keys = make(map[Digest]keyState, len(s.Keys))
	m.buckets = map[time.Duration][]Digest{}
	m.oldestBucket = 0
	for _, h := range s.Keys {
		m.keys[h.Key] = keyState{grant: h.Grant, outcome: h.Outcome, expiryBucket: h.Bucket}
		m.buckets[h.Bucket] = append(m.buckets[h.Bucket], h.Key)
		if m.oldestBucket == 0 || h.Bucket < m.oldestBucket {
			m.oldestBucket = h.Bucket
		}
	}
	return nil
}
