package agent

import (
	"context"

	"github.com/sesamestream/sesamestream/internal/store"
)

// A crashableStore rejects Release and Revoke once the process has simulated a crash, so that its
// leases lapse as after a real crash.
type crashableStore struct {
	store.Store
	crashed func() bool
}

// Release unlocks a key that the lease holds, unless the process has crashed.
func (c crashableStore) Release(ctx context.Context, key string, value []byte, l store.LeaseID) (bool, error) {
	if c.crashed() {
		return false, store.ErrUnavailable
	}
	return c.Store.Release(ctx, key, value, l)
}

// Revoke ends a lease, unless the process has crashed.
func (c crashableStore) Revoke(ctx context.Context, l store.LeaseID) error {
	if c.crashed() {
		return store.ErrUnavailable
	}
	return c.Store.Revoke(ctx, l)
}
