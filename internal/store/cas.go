package store

import (
	"bytes"
	"context"

	"github.com/pkg/errors"

	"github.com/sesamestream/sesamestream/internal/steady"
)

// ErrSuperseded means that another write has replaced the key's value; the change may have taken effect
// before it.
var ErrSuperseded = errors.New("store: superseded")

// A Change is a compare-and-swap with a value that no other write repeats, for instance because it
// contains the writer's incarnation and a counter.
type Change struct {
	Key    string
	Value  []byte
	Index  uint64
	Guards []Guard
}

// CASWithReadBack applies c and, if the answer is lost, reads the key back until the outcome is known or
// ctx ends. It returns true if the value was written and false if it was not and never will be;
// ErrUnavailable if ctx ended and nothing was written, ErrUnknown if ctx ended before the outcome was
// known.
func CASWithReadBack(ctx context.Context, s Store, c Change) (Pair, bool, error) {
	b := NewBackOff()
	uncertain := false
	for {
		p, ok, err := s.CAS(ctx, c.Key, c.Value, c.Index, c.Guards...)
		switch {
		case err == nil && (ok || !uncertain):
			return p, ok, nil
		case errors.Is(err, ErrUnknown):
			uncertain = true
		case err != nil && !errors.Is(err, ErrUnavailable):
			return p, false, err
		}
		if uncertain {
			p, v, e := readBack(ctx, s, c)
			refused := v == stateUnchanged && err == nil
			if e != nil || v == stateApplied || refused {
				return p, v == stateApplied, e
			}
		}
		if !steady.Sleep(ctx, b.NextBackOff()) {
			if uncertain {
				return Pair{}, false, ErrUnknown
			}
			return Pair{}, false, errors.WithMessage(ErrUnavailable, ctx.Err().Error())
		}
	}
}

// A changeState is what a read of the key shows about a change.
type changeState int

const (
	// stateUnread means that the key could not be read.
	stateUnread changeState = iota
	// stateUnchanged means that the key is as before the change, which may still take effect.
	stateUnchanged
	// stateApplied means that the key has the value of the change.
	stateApplied
	// stateSuperseded means that another write has changed the key.
	stateSuperseded
)

// readBack reads the key of c and compares it with the change.
func readBack(ctx context.Context, s Store, c Change) (Pair, changeState, error) {
	p, err := s.Get(ctx, c.Key)
	switch {
	case errors.Is(err, ErrNotFound):
		p = Pair{Key: c.Key}
	case err != nil:
		return p, stateUnread, nil //nolint:nilerr // A failed read is tried again.
	}
	switch {
	case p.Index != 0 && bytes.Equal(p.Value, c.Value):
		return p, stateApplied, nil
	case p.Index == c.Index:
		return p, stateUnchanged, nil
	}
	return p, stateSuperseded, ErrSuperseded
}
