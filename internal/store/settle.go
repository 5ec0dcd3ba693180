package store

import (
	"bytes"
	"context"

	"github.com/pkg/errors"

	"github.com/sesamestream/sesamestream/internal/steady"
)

// ErrSuperseded means another value stands, and ours may have stood before it.
var ErrSuperseded = errors.New("store: superseded")

// A Change is a compare-and-swap whose value no other write repeats,
// for instance as it carries the writer's life and a counter.
type Change struct {
	Key    string
	Value  []byte
	Index  uint64
	Guards []Guard
}

// CASWithReadBack carries c out and, where an answer is lost, reads back until the outcome is known or ctx ends.
// It returns true once the value stood, false if it never did and never will;
// ErrUnavailable if ctx ended and nothing was written, ErrUnknown if ctx ended in doubt.
func CASWithReadBack(ctx context.Context, s Store, c Change) (Pair, bool, error) {
	b := NewBackOff()
	doubt := false
	for {
		p, ok, err := s.CAS(ctx, c.Key, c.Value, c.Index, c.Guards...)
		switch {
		case err == nil && (ok || !doubt):
			return p, ok, nil
		case errors.Is(err, ErrUnknown):
			doubt = true
		case err != nil && !errors.Is(err, ErrUnavailable):
			return p, false, err
		}
		if doubt {
			p, v, e := inspect(ctx, s, c)
			refused := v == absent && err == nil
			if e != nil || v == stands || refused {
				return p, v == stands, e
			}
		}
		if !steady.Sleep(ctx, b.NextBackOff()) {
			if doubt {
				return Pair{}, false, ErrUnknown
			}
			return Pair{}, false, errors.WithMessage(ErrUnavailable, ctx.Err().Error())
		}
	}
}

// A verdict is what a read says of a change.
type verdict int

const (
	// unread means the key could not be read.
	unread verdict = iota
	// absent means the key is as before the change, which may still arrive.
	absent
	stands
	superseded
)

// inspect reads the key of c back.
func inspect(ctx context.Context, s Store, c Change) (Pair, verdict, error) {
	p, err := s.Get(ctx, c.Key)
	switch {
	case errors.Is(err, ErrNotFound):
		p = Pair{Key: c.Key}
	case err != nil:
		return p, unread, nil //nolint:nilerr // A failed read is tried again.
	}
	switch {
	case p.Index != 0 && bytes.Equal(p.Value, c.Value):
		return p, stands, nil
	case p.Index == c.Index:
		return p, absent, nil
	}
	return p, superseded, ErrSuperseded
}
