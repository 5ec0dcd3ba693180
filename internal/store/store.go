// Package store defines the interface that sesamestream requires of the platform's key-value store:
// compare-and-swap, leases and watches.
package store

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// Errors that a store returns.
var (
	// ErrNotFound means that the key does not exist.
	ErrNotFound = errors.New("store: key not found")
	// ErrUnavailable means that the call failed and certainly had no effect.
	ErrUnavailable = errors.New("store: unavailable")
	// ErrUnknown means that the call may have taken effect or may still do so.
	ErrUnknown = errors.New("store: outcome unknown")
	// ErrTooLarge means that the value exceeds the size limit of the store.
	ErrTooLarge = errors.New("store: value too large")
	// ErrLeaseLapsed means that the lease no longer exists.
	ErrLeaseLapsed = errors.New("store: lease lapsed")
	// ErrDenied means that the store rejected the token.
	ErrDenied = errors.New("store: permission denied")
)

// A LeaseID identifies a lease; it is empty for none.
type LeaseID string

// A Pair is a key with its value and version.
type Pair struct {
	Key   string
	Value []byte
	// Index is the version of the key; each change of the key increases it.
	Index uint64
	// Lease is the lease that locks the key, if any.
	Lease LeaseID
}

// A Guard is a condition on another key that is checked atomically with a write.
type Guard struct {
	Key string
	// Index is the index that the key must have, or 0 if it must not exist.
	Index uint64
}

// MaxPurgeKeys is the maximum number of keys that one Purge removes.
const MaxPurgeKeys = 64

// A Reader reads the store.
// A failed read returns ErrUnavailable, or ErrNotFound if the key does not exist.
type Reader interface {
	// Get returns the pair with the given key.
	Get(ctx context.Context, key string) (Pair, error)
	// List returns the pairs whose keys start with prefix, sorted by key.
	List(ctx context.Context, prefix string) ([]Pair, error)
	// Keys returns the keys that start with prefix, sorted.
	Keys(ctx context.Context, prefix string) ([]string, error)
	// Watch returns the pair with the given key once its index exceeds index or wait has passed.
	// With ErrNotFound, the pair contains the index for the next call.
	Watch(ctx context.Context, key string, index uint64, wait time.Duration) (Pair, error)
}

// A Writer changes the store.
// A failed write returns ErrUnavailable or ErrUnknown. False means that the condition of the write was
// not met.
type Writer interface {
	// CAS sets key if its index is index and all guards hold, and returns the new pair.
	// Index 0 creates the key.
	CAS(ctx context.Context, key string, value []byte, index uint64, guards ...Guard) (Pair, bool, error)
	// Delete removes key if its index is index.
	Delete(ctx context.Context, key string, index uint64) (bool, error)
	// Purge removes at most MaxPurgeKeys keys in one call, regardless of their index.
	Purge(ctx context.Context, keys ...string) error
	// Acquire sets key and locks it with the lease, unless another lease locks it.
	Acquire(ctx context.Context, key string, value []byte, l LeaseID) (bool, error)
	// Release sets key and unlocks it, if the lease locks it.
	Release(ctx context.Context, key string, value []byte, l LeaseID) (bool, error)
}

// A Leaser manages leases. The store does not end a lease before its time to live has passed since the
// last renewal.
type Leaser interface {
	// Grant returns a new lease.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// Renew renews a lease, or returns ErrLeaseLapsed.
	Renew(ctx context.Context, l LeaseID) error
	// Revoke ends a lease and unlocks its keys.
	Revoke(ctx context.Context, l LeaseID) error
}

// A Store is the platform's key-value store.
type Store interface {
	Reader
	Writer
	Leaser
}
