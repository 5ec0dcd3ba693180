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

// errMoved means the journal was trimmed while it was read.
var errMoved = errors.New("journal: changed while it was read")

// A state is what a journal holds.
type state struct {
	snapshot []byte
	records  [][]byte
	last     journal.Position
	lowest   journal.Position
	index    uint64
	grown    fleet.Bytes
	before   PreviousOwner
}

// read reads the snapshot and the segments behind it, again where an owner trimmed in between.
func (l *Log) read(ctx context.Context) (state, error) {
	b := store.NewBackOff()
	for {
		s, err := l.readOnce(ctx)
		if !errors.Is(err, errMoved) || !steady.Sleep(ctx, b.NextBackOff()) {
			return s, err
		}
	}
}

// readOnce reads the cover, then its parts, then the segments.
func (l *Log) readOnce(ctx context.Context) (state, error) {
	c, index, err := l.cover(ctx)
	if err != nil {
		return state{}, err
	}
	s := state{index: index, last: c.Mark.Trimmed()}
	s.before.Process = c.Writer
	for i := range c.Parts {
		p, err := l.Store.Get(ctx, l.partKey(c.Name, i))
		if errors.Is(err, store.ErrNotFound) {
			return state{}, errMoved
		}
		if err != nil {
			return state{}, err
		}
		s.snapshot = append(s.snapshot, p.Value...)
	}
	ps, err := l.Store.List(ctx, l.logPrefix())
	if err != nil {
		return state{}, err
	}
	for _, p := range ps {
		if err := s.add(p, l.logPrefix(), c.Mark); err != nil {
			return state{}, err
		}
	}
	if s.last < c.Mark.Position {
		return state{}, errMoved
	}
	return s, nil
}

// add takes one segment, of which the records before mark are in the snapshot.
func (s *state) add(p store.Pair, prefix string, mark journal.Mark) error {
	n, err := strconv.ParseUint(strings.TrimPrefix(p.Key, prefix), 10, 64)
	if err != nil {
		return errors.WithMessage(journal.ErrCorrupt, p.Key)
	}
	at := journal.Position(n)
	if s.lowest == 0 {
		s.lowest = at
	}
	if at <= mark.Trimmed() {
		return nil
	}
	if at != s.last+1 {
		return errMoved
	}
	g, err := journal.Decode[journal.Segment](p.Value)
	if err != nil {
		return errors.WithMessage(err, p.Key)
	}
	s.last = at
	s.before = PreviousOwner{Process: g.Writer, Epoch: g.Epoch}
	s.grown += fleet.Bytes(len(p.Value))
	if at == mark.Position {
		g.Records = g.Records[min(mark.Records, len(g.Records)):]
	}
	s.records = append(s.records, g.Records...)
	return nil
}
