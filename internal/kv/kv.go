// Package kv is what the system needs of the platform's store: linearizable
// keys with revisions, conditional changes, leases and watches.
package kv

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// The errors of the store.
var (
	// ErrConflict is returned where a condition of a change doesn't hold.
	ErrConflict = errors.New("kv: condition doesn't hold")
	// ErrNotFound is returned for a key that doesn't exist.
	ErrNotFound = errors.New("kv: no such key")
	// ErrNoLease is returned for a lease that has ended.
	ErrNoLease = errors.New("kv: no such lease")
	// ErrCompacted is returned for a history that the store no longer has.
	ErrCompacted = errors.New("kv: history is gone")
	// ErrRefused is returned where the store did nothing and said so.
	ErrRefused = errors.New("kv: refused")
	// ErrUnknown is returned where a change may or may not take effect, also later.
	ErrUnknown = errors.New("kv: outcome unknown")
)

// A Conflict is the ErrConflict of a change: it tells how the keys of its conditions stand.
type Conflict struct {
	// Items has a revision of 0 for a key that doesn't exist.
	Items []Item
}

// Error implements error.
func (c *Conflict) Error() string { return ErrConflict.Error() }

// Revision returns how a key of a condition stands, where the store told it.
func (c *Conflict) Revision(key string) (Revision, bool) {
	for _, i := range c.Items {
		if i.Key == key {
			return i.Revision, true
		}
	}
	return 0, false
}

// Is makes a Conflict an ErrConflict.
func (c *Conflict) Is(err error) bool { return err == ErrConflict }

// A Revision counts the changes of the store.
type Revision int64

// A LeaseID names a lease; 0 is none.
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

// A Condition holds while the key's last change is Revision; 0 means that it doesn't exist.
type Condition struct {
	Key      string
	Revision Revision
}

// A Put sets a key.
type Put struct {
	Key   string
	Value []byte
	Lease LeaseID
}

// A Change is applied whole or not at all.
type Change struct {
	Conditions []Condition
	Puts       []Put
	Removes    []string
}

// MaxChangeEntries is how many conditions, puts and removes a change may hold together; a bound of the platform's store.
const MaxChangeEntries = 32

// A Store is the platform's store.
type Store interface {
	// Get returns the item, or ErrNotFound.
	Get(ctx context.Context, key string) (Item, error)
	// Range returns all items below prefix and the revision from which a watch may go on.
	Range(ctx context.Context, prefix string) ([]Item, Revision, error)
	// Watch waits for changes below prefix that are newer than after, at most wait.
	Watch(ctx context.Context, prefix string, after Revision, wait time.Duration) ([]Item, Revision, error)
	// Apply makes a change. ErrConflict and ErrRefused mean that nothing
	// was done; after ErrUnknown it may be done later.
	Apply(ctx context.Context, c Change) (Revision, error)
	// Grant opens a lease.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// Renew renews a lease, or returns ErrNoLease.
	Renew(ctx context.Context, id LeaseID) error
	// Revoke ends a lease.
	Revoke(ctx context.Context, id LeaseID) error
}
