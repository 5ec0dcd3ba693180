package agent

import (
	"context"

	"github.com/sesamestream/sesamestream/internal/store"
)

// A crashable store takes no farewell of a process that was killed, so that
// its leases lapse as after a crash.
type crashable struct {
	store.Store
	killed func() bool
}

// Release ends the lease's hold on a key, unless the process was killed.
func (c crashable) Release(ctx context.Context, key string, value []byte, l store.LeaseID) (bool, error) {
	if c.killed() {
		return false, store.ErrUnavailable
	}
	return c.Store.Release(ctx, key, value, l)
}

// Revoke ends a lease, unless the process was killed.
func (c crashable) Revoke(ctx context.Context, l store.LeaseID) error {
	if c.killed() {
		return store.ErrUnavailable
	}
	return c.Store.Revoke(ctx, l)
}
