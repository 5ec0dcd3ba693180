// Package store defines what sesamestream needs of the platform's key-value
// store: compare-and-swap, leases and watches.
package store

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// The errors of a store.
var (
	// ErrNotFound means the key does not exist.
	ErrNotFound = errors.New("store: key not found")
	// ErrUnavailable means the call is proved to have had no effect.
	ErrUnavailable = errors.New("store: unavailable")
	// ErrUnknown means the call may have taken effect, now or later.
	ErrUnknown = errors.New("store: outcome unknown")
	// ErrTooLarge means the value exceeds the bound of the store.
	ErrTooLarge = errors.New("store: value too large")
	// ErrLeaseLapsed means the lease does not exist any more.
	ErrLeaseLapsed = errors.New("store: lease lapsed")
	// ErrDenied means the store refused the token.
	ErrDenied = errors.New("store: permission denied")
)

// A LeaseID names a lease, empty for none.
type LeaseID string

// A Pair is a key with its value.
type Pair struct {
	Key   string
	Value []byte
	// Index orders the changes of the key.
	Index uint64
	// Lease is the lease that holds the key, if any.
	Lease LeaseID
}

// A Guard is a condition on another key, checked in one step with a write.
type Guard struct {
	Key string
	// Index is the index the key must have, 0 if it must not exist.
	Index uint64
}

// MaxPurgeKeys is how many keys one Purge removes at most.
const MaxPurgeKeys = 64

// A Reader reads the store.
// A failed read returns ErrUnavailable, or ErrNotFound where the key is missing.
type Reader interface {
	// Get returns the pair of key.
	Get(ctx context.Context, key string) (Pair, error)
	// List returns the pairs whose keys start with prefix, in the order of their keys.
	List(ctx context.Context, prefix string) ([]Pair, error)
	// Keys returns the keys that start with prefix, in their order.
	Keys(ctx context.Context, prefix string) ([]string, error)
	// Watch returns the pair of key once its index exceeds index or wait is over.
	// With ErrNotFound the pair carries the index for the next call.
	Watch(ctx context.Context, key string, index uint64, wait time.Duration) (Pair, error)
}

// A Writer changes the store.
// A failed write returns ErrUnavailable or ErrUnknown; false means another write came first.
type Writer interface {
	// CAS sets key if its index is index and all guards hold, and returns the new pair.
	// Index 0 creates the key.
	CAS(ctx context.Context, key string, value []byte, index uint64, guards ...Guard) (Pair, bool, error)
	// Delete removes key if its index is index.
	Delete(ctx context.Context, key string, index uint64) (bool, error)
	// Purge removes at most MaxPurge keys in one call, whatever their index.
	Purge(ctx context.Context, keys ...string) error
	// Acquire sets key and holds it by the lease, unless another lease holds it.
	Acquire(ctx context.Context, key string, value []byte, l LeaseID) (bool, error)
	// Release sets key and ends the lease's hold on it.
	Release(ctx context.Context, key string, value []byte, l LeaseID) (bool, error)
}

// A Leaser keeps leases. The store ends a lease no earlier than its time to live after the last renewal.
type Leaser interface {
	// Grant returns a new lease.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// Renew prolongs a lease, or returns ErrLeaseLapsed.
	Renew(ctx context.Context, l LeaseID) error
	// Revoke ends a lease and its holds.
	Revoke(ctx context.Context, l LeaseID) error
}

// A Store is the platform's key-value store.
type Store interface {
	Reader
	Writer
	Leaser
}
