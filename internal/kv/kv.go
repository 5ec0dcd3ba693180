// Package kv defines the interface to the platform's store: a linearizable
// key-value store with revisions, conditional changes, leases and watches.
package kv

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// Errors of the store.
var (
	// ErrConflict is returned if a condition of a change doesn't hold.
	ErrConflict = errors.New("kv: condition doesn't hold")
	// ErrNotFound is returned for a key that doesn't exist.
	ErrNotFound = errors.New("kv: key not found")
	// ErrNoLease is returned for a lease that has ended.
	ErrNoLease = errors.New("kv: lease not found")
	// ErrCompacted is returned for a watch of history that the store has discarded.
	ErrCompacted = errors.New("kv: history was compacted")
	// ErrReplyTooLarge is returned for a watch of more changes than a reply can hold.
	ErrReplyTooLarge = errors.New("kv: reply too large")
	// ErrRefused is returned if the store reported that it did nothing.
	ErrRefused = errors.New("kv: request refused")
	// ErrUnknown is returned if a change may or may not be made, also later.
	ErrUnknown = errors.New("kv: outcome unknown")
)

// A Conflict is the ErrConflict of a change, with the current state of the keys in its conditions.
type Conflict struct {
	// Items has a revision of 0 for a key that doesn't exist.
	Items []Item
}

// Error implements error.
func (c *Conflict) Error() string { return ErrConflict.Error() }

// Revision returns the current revision of a key in a condition, 0 if the key
// doesn't exist; false if the store didn't return it.
func (c *Conflict) Revision(key string) (Revision, bool) {
	for _, i := range c.Items {
		if i.Key == key {
			return i.Revision, true
		}
	}
	return 0, false
}

// Is reports whether err is ErrConflict.
func (c *Conflict) Is(err error) bool { return err == ErrConflict }

// A Revision is the number of a change in the order of all changes of the store.
type Revision int64

// A LeaseID identifies a lease; 0 means no lease.
type LeaseID int64

// An Item is a key with its value; a removed one has no value.
type Item struct {
	Key      string
	Value    []byte
	Revision Revision
	Created  Revision
	Lease    LeaseID
	Removed  bool
}

// A Condition holds if Revision is the revision of the key's last change; 0 requires that the key doesn't exist.
type Condition struct {
	Key      string
	Revision Revision
}

// A Put sets a key and attaches it to Lease, if that isn't 0.
type Put struct {
	Key   string
	Value []byte
	Lease LeaseID
}

// A Change is applied atomically, and only if all its conditions hold.
type Change struct {
	Conditions []Condition
	Puts       []Put
	Removes    []string
}

// MaxChangeEntries bounds the conditions, puts and removes of one change together;
// it's a limit of the platform's store.
const MaxChangeEntries = 32

// A Store is the platform's store. Its calls report Progress.
type Store interface {
	// Get returns the item, or ErrNotFound.
	Get(ctx context.Context, key string) (Item, error)
	// Range returns all items below prefix and the revision after which a watch can continue.
	Range(ctx context.Context, prefix string) ([]Item, Revision, error)
	// Watch waits at most wait for changes below prefix that are newer than after. It returns
	// them and the revision after which the next watch continues.
	Watch(ctx context.Context, prefix string, after Revision, wait time.Duration) ([]Item, Revision, error)
	// Apply applies a change and returns its revision. After ErrConflict and ErrRefused
	// the change isn't made; after ErrUnknown it may be made, also later.
	Apply(ctx context.Context, c Change) (Revision, error)
	// Grant creates a lease.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// Renew renews a lease, or returns ErrNoLease.
	Renew(ctx context.Context, id LeaseID) error
	// Revoke ends a lease, which removes its keys.
	Revoke(ctx context.Context, id LeaseID) error
}
