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

// ErrSnapshotAhead means a snapshot's mark stands behind records that are not committed.
var ErrSnapshotAhead = errors.New("journal: snapshot ahead of the journal")

// Snapshot keeps state, which holds the effect of all records before m and of none behind,
// and deletes the segments it replaces. The steps are ordered so that a crash
// between any two leaves either the old snapshot or the new one whole.
func (l *Log) Snapshot(ctx context.Context, state []byte, m journal.Mark) error {
	l.snapshots.Lock()
	defer l.snapshots.Unlock()
	old, index, err := l.cover(ctx)
	if err != nil {
		return err
	}
	l.mu.Lock()
	open, last, before := l.machine != nil && l.machine.Open(), l.last(), l.grown
	l.mu.Unlock()
	switch {
	case !open || last < old.Mark.Position:
		return ErrLost
	case last < m.Position:
		return ErrSnapshotAhead
	case !old.Mark.Before(m):
		return nil
	}
	c := journal.Cover{Writer: l.Process, Mark: m, Name: l.partName(m)}
	for p := range slices.Chunk(state, int(l.MaxSegment)) {
		if err := l.settle(ctx, store.Change{Key: l.partKey(c.Name, c.Parts), Value: p}); err != nil {
			return err
		}
		c.Parts++
	}
	v, err := journal.Encode(c)
	if err != nil {
		return err
	}
	if err := l.settle(ctx, store.Change{Key: l.coverKey(), Value: v, Index: index}); err != nil {
		return err
	}
	return l.trim(ctx, c, before)
}

// last returns the last position known to be committed.
func (l *Log) last() journal.Position {
	if l.machine == nil {
		return 0
	}
	return l.machine.Last()
}

// partName returns a name for a snapshot at m. Names sort as marks do.
func (l *Log) partName(m journal.Mark) string {
	return fmt.Sprintf("%s-%d", markName(m), openings.Add(1))
}

// markName returns the start of the names of all snapshots at m.
func markName(m journal.Mark) string {
	return fmt.Sprintf("%020d-%010d", m.Position, m.Records)
}

// settle writes one value of a snapshot.
func (l *Log) settle(ctx context.Context, c store.Change) error {
	p, ok, err := store.Settle(ctx, l.Store, c)
	switch {
	case errors.Is(err, store.ErrSuperseded) || err == nil && !ok:
		return ErrLost
	case err == nil && c.Key == l.coverKey():
		l.step(journal.Snapshotted{CoverIndex: p.Index})
	}
	return err
}

// trim deletes what the snapshot c replaces, the oldest first.
// A failure leaves more for the next snapshot to delete.
func (l *Log) trim(ctx context.Context, c journal.Cover, before fleet.Bytes) error {
	l.mu.Lock()
	l.grown -= before
	p := max(l.lowest, 1)
	l.mu.Unlock()
	var ks []string
	for ; p <= c.Mark.Trimmed(); p++ {
		ks = append(ks, l.segmentKey(p))
	}
	parts, err := l.Store.Keys(ctx, l.partPrefix())
	if err != nil {
		return nil //nolint:nilerr // The snapshot is kept; the next one trims.
	}
	for _, k := range parts {
		if strings.TrimPrefix(k, l.partPrefix()) < markName(c.Mark) {
			ks = append(ks, k)
		}
	}
	for some := range slices.Chunk(ks, store.MaxPurge) {
		if l.Store.Purge(ctx, some...) != nil {
			return nil
		}
	}
	l.mu.Lock()
	l.lowest = p
	l.mu.Unlock()
	return nil
}
