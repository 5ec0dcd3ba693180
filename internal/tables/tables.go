// Package tables stores the accepted versions of the operators' table in the
// platform's store.
//
// Each version is one key that is created and never changed: revision n+1 is
// accepted by creating its key, so only one of two edits of revision n can be
// accepted.
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

// versionPrefix is the key prefix of all versions.
const versionPrefix = "table/revision/"

// maxVersions is how many versions are kept in the store.
const maxVersions = 100

// trimInterval is how many versions are accepted between two trims.
const trimInterval = 10

// Errors of reads and edits.
var (
	// ErrConflict matches every Conflict.
	ErrConflict = errors.New("tables: another edit was accepted first")
	// ErrNoTable means that no version has been accepted, or none after the given revision.
	ErrNoTable = errors.New("tables: no table yet")
)

// A Version is an accepted version of the table.
type Version struct {
	Table table.Table `json:"table"`
	// ID distinguishes two edits that create the same revision.
	ID         string    `json:"id"`
	Author     string    `json:"by"`
	AcceptedAt time.Time `json:"at"`
}

// A Conflict is the error for an edit whose base is not the newest version. Theirs
// is the version that was accepted first.
type Conflict struct {
	Base   table.Revision `json:"base"`
	Mine   table.Table    `json:"mine"`
	Theirs Version        `json:"theirs"`
}

// Error returns a message that names the version accepted first.
func (c *Conflict) Error() string {
	return fmt.Sprintf("revision %d by %s was accepted first; the edit was made on revision %d", c.Theirs.Table.Revision, c.Theirs.Author, c.Base)
}

// Is reports whether target is ErrConflict.
func (c *Conflict) Is(target error) bool { return target == ErrConflict }

// Tables reads and edits the table in the store.
type Tables struct {
	Store store.Store
	// OnInvalid is called with each record in the list of versions that isn't one, if set.
	OnInvalid func(err error)
}

// versionKey returns the key of revision r. Keys sort in the order of revisions.
func versionKey(r table.Revision) string {
	return fmt.Sprintf("%s%020d", versionPrefix, r)
}

// Current returns the newest version, or ErrNoTable.
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

// History returns the versions in the store, oldest first. It passes over records of
// other writers, which aren't versions.
func (t *Tables) History(ctx context.Context) ([]Version, error) {
	pairs, err := t.Store.List(ctx, versionPrefix)
	if errors.Is(err, store.ErrNotFound) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	versions := make([]Version, 0, len(pairs))
	for _, p := range pairs {
		v, err := decodeVersion(p)
		if err != nil {
			if t.OnInvalid != nil {
				t.OnInvalid(err)
			}
			continue
		}
		versions = append(versions, v)
	}
	return versions, nil
}

// WaitNext waits for the version that follows r and returns it with the index to
// watch from next, or returns ErrNoTable if none is accepted within wait. It makes
// one call to the store.
func (t *Tables) WaitNext(ctx context.Context, r table.Revision, index uint64, wait time.Duration) (Version, uint64, error) {
	p, err := t.Store.Watch(ctx, versionKey(r+1), index, wait)
	if errors.Is(err, store.ErrNotFound) {
		return Version{}, p.Index, ErrNoTable
	}
	if err != nil {
		return Version{}, index, err
	}
	v, err := decodeVersion(p)
	return v, p.Index, err
}

// Accept stores mine as the version that follows base. It returns ErrConflict,
// table.ErrInvalid, store.ErrUnavailable if nothing was written, or
// store.ErrUnknown if the edit may have been accepted.
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
	_, won, err := t.Store.CAS(ctx, versionKey(mine.Revision), b, 0)
	if won {
		t.trim(ctx, mine.Revision)
		return v, nil
	}
	if err != nil && !errors.Is(err, store.ErrUnknown) {
		return Version{}, err
	}
	return t.resolveWrite(ctx, v, err)
}

// checkBase returns an error if base is not the newest version, so that a version
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

// resolveWrite reads the key of v back after a write that was lost to another edit
// or whose result is unknown, and returns which version was accepted.
func (t *Tables) resolveWrite(ctx context.Context, v Version, cause error) (Version, error) {
	p, err := t.Store.Get(ctx, versionKey(v.Table.Revision))
	if err != nil {
		if cause == nil {
			cause = err
		}
		return Version{}, errors.Wrap(store.ErrUnknown, cause.Error())
	}
	stored, err := decodeVersion(p)
	if err != nil {
		return Version{}, err
	}
	if stored.ID == v.ID {
		return v, nil
	}
	return Version{}, &Conflict{Base: v.Table.Revision - 1, Mine: v.Table, Theirs: stored}
}

// trim deletes the versions before the newest maxVersions. Versions that it fails
// to delete are deleted by a later trim.
func (t *Tables) trim(ctx context.Context, newest table.Revision) {
	if newest%trimInterval != 0 || newest <= maxVersions {
		return
	}
	pairs, err := t.Store.List(ctx, versionPrefix)
	if err != nil {
		return
	}
	for _, p := range slices.Backward(pairs) {
		if p.Key < versionKey(newest-maxVersions) {
			_, _ = t.Store.Delete(ctx, p.Key, p.Index)
		}
	}
}

func decodeVersion(p store.Pair) (Version, error) {
	var v Version
	if err := json.Unmarshal(p.Value, &v); err != nil {
		return v, errors.Wrapf(err, "tables: %s", p.Key)
	}
	if versionKey(v.Table.Revision) != p.Key {
		return v, errors.Errorf("tables: %s holds revision %d", p.Key, v.Table.Revision)
	}
	return v, nil
}
