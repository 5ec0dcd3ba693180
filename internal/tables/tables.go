// Package tables keeps the accepted versions of the operators' table in the
// platform's store.
//
// Each version is one key that is only ever created: revision n+1 is accepted
// by creating its key, so two editors cannot both follow n and no version
// changes afterwards.
package tables

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/sesamestream/sesamestream/internal/store"
	"github.com/sesamestream/sesamestream/pkg/table"
)

// prefix starts the keys of all versions.
const prefix = "table/revision/"

// keep is how many versions stay in the store.
const keep = 100

// trimEvery is how many versions pass between two trims.
const trimEvery = 10

// The errors of edits.
var (
	// ErrConflict is the cause of every Conflict.
	ErrConflict = errors.New("tables: another edit was accepted first")
	// ErrNoTable means that no version was ever accepted.
	ErrNoTable = errors.New("tables: no table yet")
)

// A Version is one accepted version.
type Version struct {
	Table table.Table `json:"table"`
	// ID tells two edits of one revision apart.
	ID         string    `json:"id"`
	Author     string    `json:"by"`
	AcceptedAt time.Time `json:"at"`
}

// A Conflict tells an editor that lost a race what the other editor did.
type Conflict struct {
	Base   table.Revision `json:"base"`
	Mine   table.Table    `json:"mine"`
	Theirs Version        `json:"theirs"`
}

// Error names the revision that came first.
func (c *Conflict) Error() string {
	return fmt.Sprintf("revision %d by %s was accepted first; the edit was made on revision %d", c.Theirs.Table.Revision, c.Theirs.Author, c.Base)
}

// Is reports whether target is ErrConflict.
func (c *Conflict) Is(target error) bool { return target == ErrConflict }

// Tables reads and edits the table in the store.
type Tables struct {
	Store store.Store
}

// key orders versions as text.
func key(r table.Revision) string {
	return fmt.Sprintf("%s%020d", prefix, r)
}

// Current returns the newest version, or ErrNone.
func (t *Tables) Current(ctx context.Context) (Version, error) {
	h, err := t.History(ctx)
	if err != nil {
		return Version{}, err
	}
	if len(h) == 0 {
		return Version{}, ErrNoTable
	}
	return h[len(h)-1], nil
}

// History returns the versions that the store keeps, oldest first.
func (t *Tables) History(ctx context.Context) ([]Version, error) {
	pairs, err := t.Store.List(ctx, prefix)
	if errors.Is(err, store.ErrNotFound) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	versions := make([]Version, 0, len(pairs))
	for _, p := range pairs {
		v, err := decode(p)
		if err != nil {
			return nil, err
		}
		versions = append(versions, v)
	}
	return versions, nil
}

// WaitNext waits for the version that follows r and returns it, or ErrNone where
// none came within wait. It costs one call.
func (t *Tables) WaitNext(ctx context.Context, r table.Revision, index uint64, wait time.Duration) (Version, uint64, error) {
	p, err := t.Store.Watch(ctx, key(r+1), index, wait)
	if errors.Is(err, store.ErrNotFound) {
		return Version{}, p.Index, ErrNoTable
	}
	if err != nil {
		return Version{}, index, err
	}
	v, err := decode(p)
	return v, p.Index, err
}

// Accept makes mine the version that follows base. Errors are ErrConflict,
// table.ErrInvalid, store.ErrUnavailable (nothing happened) and
// store.ErrUnknown (it may have been accepted).
func (t *Tables) Accept(ctx context.Context, base table.Revision, mine table.Table, by string) (Version, error) {
	if err := mine.Check(); err != nil {
		return Version{}, err
	}
	if err := t.checkBase(ctx, base, mine); err != nil {
		return Version{}, err
	}
	mine.Revision = base + 1
	v := Version{Table: mine, ID: uuid.NewString(), Author: by, AcceptedAt: time.Now().UTC()}
	b, err := json.Marshal(v)
	if err != nil {
		return Version{}, errors.Wrap(err, "tables: encode")
	}
	_, won, err := t.Store.CAS(ctx, key(mine.Revision), b, 0)
	if won {
		t.trim(ctx, mine.Revision)
		return v, nil
	}
	if err != nil && !errors.Is(err, store.ErrUnknown) {
		return Version{}, err
	}
	return t.settle(ctx, v, err)
}

// checkBase refuses a base that is not the newest version, so that a version
// whose key was trimmed is never created again.
func (t *Tables) checkBase(ctx context.Context, base table.Revision, mine table.Table) error {
	c, err := t.Current(ctx)
	if errors.Is(err, ErrNoTable) {
		if base == 0 {
			return nil
		}
		return errors.Wrapf(table.ErrInvalid, "the edit is based on revision %d, but there is none", base)
	}
	if err != nil {
		return err
	}
	if c.Table.Revision != base {
		return &Conflict{Base: base, Mine: mine, Theirs: c}
	}
	return nil
}

// settle reads the key back: after a lost answer, and to show who won a race.
func (t *Tables) settle(ctx context.Context, v Version, cause error) (Version, error) {
	p, err := t.Store.Get(ctx, key(v.Table.Revision))
	if err != nil {
		if cause == nil {
			cause = err
		}
		return Version{}, errors.Wrap(store.ErrUnknown, cause.Error())
	}
	got, err := decode(p)
	if err != nil {
		return Version{}, err
	}
	if got.ID == v.ID {
		return v, nil
	}
	return Version{}, &Conflict{Base: v.Table.Revision - 1, Mine: v.Table, Theirs: got}
}

// trim deletes versions beyond those kept; what it leaves, the next one finds.
func (t *Tables) trim(ctx context.Context, newest table.Revision) {
	if newest%trimEvery != 0 || newest <= keep {
		return
	}
	pairs, err := t.Store.List(ctx, prefix)
	if err != nil {
		return
	}
	for _, p := range slices.Backward(pairs) {
		if p.Key < key(newest-keep) {
			_, _ = t.Store.Delete(ctx, p.Key, p.Index)
		}
	}
}

func decode(p store.Pair) (Version, error) {
	var v Version
	if err := json.Unmarshal(p.Value, &v); err != nil {
		return v, errors.Wrapf(err, "tables: %s", p.Key)
	}
	if key(v.Table.Revision) != p.Key {
		return v, errors.Errorf("tables: %s holds revision %d", p.Key, v.Table.Revision)
	}
	return v, nil
}
