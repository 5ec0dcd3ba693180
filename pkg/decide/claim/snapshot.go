package claim

import (
	"bytes"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/sesamestream/sesamestream/pkg/fleet"
)

// ErrBadSnapshot is returned for bytes that are no snapshot of a known version.
var ErrBadSnapshot = errors.New("claim: bad snapshot")

// A snapshot is all that a Machine holds.
type snapshot struct {
	Version uint8  `cbor:"1,keyasint"`
	Keys    []held `cbor:"2,keyasint"`
}

// A held is what a snapshot tells of one key.
type held struct {
	Key     Digest        `cbor:"1,keyasint"`
	Grant   uint64        `cbor:"2,keyasint"`
	Outcome fleet.Outcome `cbor:"3,keyasint"`
	Bucket  time.Duration `cbor:"4,keyasint"`
}

// snapshotDecoder reads snapshots, which are bounded by what their owner wrote.
var snapshotDecoder = func() cbor.DecMode {
	d, err := cbor.DecOptions{MaxArrayElements: maxSnapshotKeys}.DecMode()
	if err != nil {
		panic(err)
	}
	return d
}()

// maxSnapshotKeys bounds the keys of one snapshot.
const maxSnapshotKeys = 1 << 27

// Snapshot returns what Restore takes, the same bytes for the same claims.
func (m *Machine) Snapshot() ([]byte, error) {
	s := snapshot{Version: Version, Keys: make([]held, 0, len(m.keys))}
	for k, e := range m.keys {
		s.Keys = append(s.Keys, held{Key: k, Grant: e.grant, Outcome: e.outcome, Bucket: e.bucket})
	}
	slices.SortFunc(s.Keys, func(a, b held) int { return bytes.Compare(a.Key[:], b.Key[:]) })
	b, err := cbor.Marshal(s)
	return b, errors.WithStack(err)
}

// Restore puts a snapshot in the place of what m holds, or returns ErrBadSnapshot.
func (m *Machine) Restore(b []byte) error {
	var s snapshot
	if err := snapshotDecoder.Unmarshal(b, &s); err != nil {
		return errors.WithMessage(ErrBadSnapshot, err.Error())
	}
	if s.Version != Version {
		return errors.WithMessage(ErrBadSnapshot, "version")
	}
	m.keys = make(map[Digest]entry, len(s.Keys))
	m.buckets = map[time.Duration][]Digest{}
	m.oldest = 0
	for _, h := range s.Keys {
		m.keys[h.Key] = entry{grant: h.Grant, outcome: h.Outcome, bucket: h.Bucket}
		m.buckets[h.Bucket] = append(m.buckets[h.Bucket], h.Key)
		if m.oldest == 0 || h.Bucket < m.oldest {
			m.oldest = h.Bucket
		}
	}
	return nil
}
