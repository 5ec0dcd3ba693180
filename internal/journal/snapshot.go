package journal

import (
	"context"
	"fmt"
	"slices"
	"strings"

	"github.com/pkg/errors"

	"github.com/sesamestream/sesamestream/internal/store"
	"github.com/sesamestream/sesamestream/pkg/decide/journal"
	"github.com/sesamestream/sesamestream/pkg/fleet"
)

// ErrSnapshotAhead means that a snapshot's mark is after records that are not committed.
var ErrSnapshotAhead = errors.New("journal: snapshot includes records that are not committed")

// Snapshot stores state, which includes all records before m and none after it,
// and deletes the segments that it replaces. The steps are ordered so that a
// crash between any two leaves the old or the new snapshot complete.
func (l *Log) Snapshot(ctx context.Context, state []byte, m journal.Mark) error {
	l.snapshotMu.Lock()
	defer l.snapshotMu.Unlock()
	old, index, err := l.readManifest(ctx)
	if err != nil {
		return err
	}
	l.mu.Lock()
	open, last, grown := l.machine != nil && l.machine.IsOwner(), l.lastCommitted(), l.bytesSinceSnapshot
	l.mu.Unlock()
	switch {
	case !open || last < old.Mark.Position:
		return ErrLost
	case last < m.Position:
		return ErrSnapshotAhead
	case !old.Mark.Before(m):
		return nil
	}
	c := journal.Manifest{Writer: l.Process, Mark: m, Name: l.snapshotName(m)}
	for p := range slices.Chunk(state, int(l.MaxSegment)) {
		if err := l.writeSnapshotKey(ctx, store.Change{Key: l.partKey(c.Name, c.Parts), Value: p}); err != nil {
			return err
		}
		c.Parts++
	}
	v, err := journal.Encode(c)
	if err != nil {
		return err
	}
	if err := l.writeSnapshotKey(ctx, store.Change{Key: l.manifestKey(), Value: v, Index: index}); err != nil {
		return err
	}
	return l.trim(ctx, c, grown)
}

// lastCommitted returns the last position known to be committed. The caller holds mu.
func (l *Log) lastCommitted() journal.Position {
	if l.machine == nil {
		return 0
	}
	return l.machine.LastPosition()
}

// snapshotName returns a new name for a snapshot at m. Names sort in the order of marks.
func (l *Log) snapshotName(m journal.Mark) string {
	return fmt.Sprintf("%s-%d", snapshotNamePrefix(m), sequence.Add(1))
}

// snapshotNamePrefix returns the prefix of the names of all snapshots at m.
func snapshotNamePrefix(m journal.Mark) string {
	return fmt.Sprintf("%020d-%010d", m.Position, m.Records)
}

// writeSnapshotKey writes one part or the manifest of a snapshot.
func (l *Log) writeSnapshotKey(ctx context.Context, c store.Change) error {
	p, ok, err := store.CASWithReadBack(ctx, l.Store, c)
	switch {
	case errors.Is(err, store.ErrSuperseded) || err == nil && !ok:
		return ErrLost
	case err == nil && c.Key == l.manifestKey():
		l.step(journal.ManifestUpdated{ManifestIndex: p.Index})
	}
	return err
}

// trim deletes the segments and parts that snapshot c replaces, oldest first.
// replaced is the size of the segments. What a failure leaves is deleted after
// the next snapshot.
func (l *Log) trim(ctx context.Context, c journal.Manifest, replaced fleet.Bytes) error {
	l.mu.Lock()
	l.bytesSinceSnapshot -= replaced
	p := max(l.lowestPosition, 1)
	l.mu.Unlock()
	var keys []string
	for ; p <= c.Mark.LastTrimmable(); p++ {
		keys = append(keys, l.segmentKey(p))
	}
	parts, err := l.Store.Keys(ctx, l.partPrefix())
	if err != nil {
		return nil //nolint:nilerr // The snapshot is stored; the next one trims.
	}
	for _, k := range parts {
		if strings.TrimPrefix(k, l.partPrefix()) < snapshotNamePrefix(c.Mark) {
			keys = append(keys, k)
		}
	}
	for batch := range slices.Chunk(keys, store.MaxPurgeKeys) {
		if l.Store.Purge(ctx, batch...) != nil {
			return nil
		}
	}
	l.mu.Lock()
	l.lowestPosition = p
	l.mu.Unlock()
	return nil
}
