package journal

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"github.com/sesamestream/sesamestream/internal/steady"
	"github.com/sesamestream/sesamestream/internal/store"
	"github.com/sesamestream/sesamestream/pkg/decide/journal"
	"github.com/sesamestream/sesamestream/pkg/fleet"
)

// perform executes one I/O action and returns the event that answers it, or nil if ctx has ended.
func (l *Log) perform(ctx context.Context, a journal.Action, nextDelay func() time.Duration) journal.Event {
	switch a := a.(type) {
	case journal.AcquirePermit:
		if l.WriteLimiter != nil && l.WriteLimiter.Wait(ctx) != nil {
			return nil
		}
		return journal.PermitAcquired{}
	case journal.Backoff:
		if !steady.Sleep(ctx, nextDelay()) {
			return nil
		}
		return journal.BackoffEnded{}
	case journal.Write:
		return journal.WriteCompleted{Result: l.writeSegment(ctx, a)}
	case journal.ReadSegment:
		return l.readBack(ctx, a.Position)
	case journal.ReadManifest:
		c, index, err := l.readManifest(ctx)
		if err != nil {
			return journal.ReadFailed{}
		}
		return journal.ManifestRead{Trimmed: c.Mark.LastTrimmable(), ManifestIndex: index}
	}
	return nil
}

// writeSegment creates a segment, provided that the manifest is unchanged.
func (l *Log) writeSegment(ctx context.Context, a journal.Write) journal.Result {
	v, err := journal.Encode(a.Segment)
	if err != nil {
		return journal.WriteFailed
	}
	g := store.Guard{Key: l.manifestKey(), Index: a.ManifestIndex}
	_, ok, err := l.Store.CAS(ctx, l.segmentKey(a.Position), v, 0, g)
	switch {
	case err == nil && ok:
		l.mu.Lock()
		l.bytesSinceSnapshot += fleet.Bytes(len(v))
		l.mu.Unlock()
		return journal.WriteDone
	case err == nil:
		return journal.WriteConflict
	case errors.Is(err, store.ErrUnknown):
		return journal.WriteUnknown
	}
	return journal.WriteFailed
}

// readBack reads the segment at p.
func (l *Log) readBack(ctx context.Context, p journal.Position) journal.Event {
	v, err := l.Store.Get(ctx, l.segmentKey(p))
	if errors.Is(err, store.ErrNotFound) {
		return journal.SegmentRead{}
	}
	if err != nil {
		return journal.ReadFailed{}
	}
	s, err := journal.Decode[journal.Segment](v.Value)
	if err != nil {
		return journal.ReadFailed{}
	}
	return journal.SegmentRead{Segment: &s}
}

// readManifest returns the manifest and its index in the store, or zero values if there is none.
func (l *Log) readManifest(ctx context.Context) (journal.Manifest, uint64, error) {
	p, err := l.Store.Get(ctx, l.manifestKey())
	if errors.Is(err, store.ErrNotFound) {
		return journal.Manifest{}, 0, nil
	}
	if err != nil {
		return journal.Manifest{}, 0, err
	}
	c, err := journal.Decode[journal.Manifest](p.Value)
	return c, p.Index, err
}

// manifestKey returns the key of the manifest, which describes the current snapshot.
func (l *Log) manifestKey() string {
	return fmt.Sprintf("shard/%d/snap", l.Shard)
}

// logPrefix returns the key prefix of all segments.
func (l *Log) logPrefix() string {
	return fmt.Sprintf("shard/%d/log/", l.Shard)
}

// segmentKey returns the key of the segment at p. Keys sort in the order of positions.
func (l *Log) segmentKey(p journal.Position) string {
	return fmt.Sprintf("%s%020d", l.logPrefix(), p)
}

// partPrefix returns the key prefix of all snapshot parts.
func (l *Log) partPrefix() string {
	return fmt.Sprintf("shard/%d/part/", l.Shard)
}

// partKey returns the key of one part of the named snapshot.
func (l *Log) partKey(name string, part int) string {
	return fmt.Sprintf("%s%s/%06d", l.partPrefix(), name, part)
}
