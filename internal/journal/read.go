package journal

import (
	"context"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"github.com/sesamestream/sesamestream/internal/steady"
	"github.com/sesamestream/sesamestream/internal/store"
	"github.com/sesamestream/sesamestream/pkg/decide/journal"
	"github.com/sesamestream/sesamestream/pkg/fleet"
)

// errConcurrentTrim means that the journal was trimmed while it was read.
var errConcurrentTrim = errors.New("journal: trimmed while it was read")

// A contents is the snapshot of a journal and the records after it.
type contents struct {
	snapshot       []byte
	records        [][]byte
	lastPosition   journal.Position
	lowestPosition journal.Position
	manifestIndex  uint64
	segmentBytes   fleet.Bytes
	previousOwner  PreviousOwner
}

// readJournal reads the snapshot and the segments after it. It starts again if
// another owner trims the journal meanwhile.
func (l *Log) readJournal(ctx context.Context) (contents, error) {
	b := store.NewBackOff()
	for {
		s, err := l.readOnce(ctx)
		if !errors.Is(err, errConcurrentTrim) || !steady.Sleep(ctx, b.NextBackOff()) {
			return s, err
		}
	}
}

// readOnce reads the manifest, then the parts of its snapshot, then the segments.
func (l *Log) readOnce(ctx context.Context) (contents, error) {
	c, index, err := l.readManifest(ctx)
	if err != nil {
		return contents{}, err
	}
	s := contents{manifestIndex: index, lastPosition: c.Mark.LastTrimmable()}
	s.previousOwner.Process = c.Writer
	for i := range c.Parts {
		p, err := l.Store.Get(ctx, l.partKey(c.Name, i))
		if errors.Is(err, store.ErrNotFound) {
			return contents{}, errConcurrentTrim
		}
		if err != nil {
			return contents{}, err
		}
		s.snapshot = append(s.snapshot, p.Value...)
	}
	pairs, err := l.Store.List(ctx, l.logPrefix())
	if err != nil {
		return contents{}, err
	}
	for _, p := range pairs {
		n, err := strconv.ParseUint(strings.TrimPrefix(p.Key, l.logPrefix()), 10, 64)
		if err != nil || l.segmentKey(journal.Position(n)) != p.Key {
			// No owner writes such a key.
			if l.OnInvalid != nil {
				l.OnInvalid(errors.WithMessage(journal.ErrCorrupt, p.Key))
			}
			continue
		}
		if err := s.addSegment(p, journal.Position(n), c.Mark); err != nil {
			return contents{}, err
		}
	}
	if s.lastPosition < c.Mark.Position {
		return contents{}, errConcurrentTrim
	}
	return s, nil
}

// addSegment adds the segment at a position without the records before mark, which are in the snapshot.
func (s *contents) addSegment(p store.Pair, at journal.Position, mark journal.Mark) error {
	if s.lowestPosition == 0 {
		s.lowestPosition = at
	}
	if at <= mark.LastTrimmable() {
		return nil
	}
	if at != s.lastPosition+1 {
		return errConcurrentTrim
	}
	segment, err := journal.Decode[journal.Segment](p.Value)
	if err != nil {
		return errors.WithMessage(err, p.Key)
	}
	s.lastPosition = at
	s.previousOwner = PreviousOwner{Process: segment.Writer, Epoch: segment.Epoch}
	s.segmentBytes += fleet.Bytes(len(p.Value))
	if at == mark.Position {
		segment.Records = segment.Records[min(mark.Records, len(segment.Records)):]
	}
	s.records = append(s.records, segment.Records...)
	return nil
}
