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

// perform carries one action out and returns the event that answers it, nil if ctx ended.
func (l *Log) perform(ctx context.Context, a journal.Action, pause func() time.Duration) journal.Event {
	switch a := a.(type) {
	case journal.Pace:
		if l.WriteLimiter != nil && l.WriteLimiter.Wait(ctx) != nil {
			return nil
		}
		return journal.Paced{}
	case journal.Wait:
		if !steady.Sleep(ctx, pause()) {
			return nil
		}
		return journal.Retried{}
	case journal.Write:
		return journal.Wrote{Result: l.write(ctx, a)}
	case journal.ReadBack:
		return l.readBack(ctx, a.Position)
	case journal.ReadCover:
		c, index, err := l.cover(ctx)
		if err != nil {
			return journal.ReadFailed{}
		}
		return journal.Covered{Trimmed: c.Mark.Trimmed(), CoverIndex: index}
	}
	return nil
}

// write creates a segment.
func (l *Log) write(ctx context.Context, a journal.Write) journal.Result {
	v, err := journal.Encode(a.Segment)
	if err != nil {
		return journal.Failed
	}
	g := store.Guard{Key: l.coverKey(), Index: a.CoverIndex}
	_, ok, err := l.Store.CAS(ctx, l.segmentKey(a.Position), v, 0, g)
	switch {
	case err == nil && ok:
		l.mu.Lock()
		l.grown += fleet.Bytes(len(v))
		l.mu.Unlock()
		return journal.Done
	case err == nil:
		return journal.Raced
	case errors.Is(err, store.ErrUnknown):
		return journal.Doubtful
	}
	return journal.Failed
}

// readBack reads the segment at p.
func (l *Log) readBack(ctx context.Context, p journal.Position) journal.Event {
	v, err := l.Store.Get(ctx, l.segmentKey(p))
	if errors.Is(err, store.ErrNotFound) {
		return journal.Found{}
	}
	if err != nil {
		return journal.ReadFailed{}
	}
	s, err := journal.Decode[journal.Segment](v.Value)
	if err != nil {
		return journal.ReadFailed{}
	}
	return journal.Found{Segment: &s}
}

// cover reads the cover and its index, zero where there is none.
func (l *Log) cover(ctx context.Context) (journal.Cover, uint64, error) {
	p, err := l.Store.Get(ctx, l.coverKey())
	if errors.Is(err, store.ErrNotFound) {
		return journal.Cover{}, 0, nil
	}
	if err != nil {
		return journal.Cover{}, 0, err
	}
	c, err := journal.Decode[journal.Cover](p.Value)
	return c, p.Index, err
}

// coverKey returns the key of the cover.
func (l *Log) coverKey() string {
	return fmt.Sprintf("shard/%d/snap", l.Shard)
}

// logPrefix returns what the keys of all segments start with.
func (l *Log) logPrefix() string {
	return fmt.Sprintf("shard/%d/log/", l.Shard)
}

// segmentKey returns the key of the segment at p. Keys sort as positions do.
func (l *Log) segmentKey(p journal.Position) string {
	return fmt.Sprintf("%s%020d", l.logPrefix(), p)
}

// partPrefix returns what the keys of all parts of snapshots start with.
func (l *Log) partPrefix() string {
	return fmt.Sprintf("shard/%d/part/", l.Shard)
}

// partKey returns the key of one part of a snapshot.
func (l *Log) partKey(name string, part int) string {
	return fmt.Sprintf("%s%s/%06d", l.partPrefix(), name, part)
}
