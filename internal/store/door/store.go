package door

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/sesamestream/sesamestream/internal/steady"
	"github.com/sesamestream/sesamestream/internal/store"
)

// readWithRetry calls f and retries it with backoff while the store is unavailable, unless the breaker
// is open.
func (d *LimitedStore) readWithRetry(ctx context.Context, f func(context.Context) error) error {
	b := store.NewBackOff()
	for i := 0; ; i++ {
		err := d.call(ctx, CallRead, 0, f)
		if i == maxReadRetries || !errors.Is(err, store.ErrUnavailable) || d.BreakerOpen(time.Now()) {
			return err
		}
		if !steady.Sleep(ctx, b.NextBackOff()) {
			return err
		}
	}
}

// Get returns the pair with the given key.
func (d *LimitedStore) Get(ctx context.Context, key string) (p store.Pair, err error) {
	err = d.readWithRetry(ctx, func(c context.Context) (err error) {
		p, err = d.Store.Get(c, key)
		return err
	})
	return p, err
}

// List returns the pairs whose keys start with prefix.
func (d *LimitedStore) List(ctx context.Context, prefix string) (ps []store.Pair, err error) {
	err = d.readWithRetry(ctx, func(c context.Context) (err error) {
		ps, err = d.Store.List(c, prefix)
		return err
	})
	return ps, err
}

// Keys returns the keys that start with prefix.
func (d *LimitedStore) Keys(ctx context.Context, prefix string) (ks []string, err error) {
	err = d.readWithRetry(ctx, func(c context.Context) (err error) {
		ks, err = d.Store.Keys(c, prefix)
		return err
	})
	return ks, err
}

// Watch returns the pair with the given key once its index exceeds index or wait has passed.
func (d *LimitedStore) Watch(ctx context.Context, key string, index uint64, wait time.Duration) (p store.Pair, err error) {
	err = d.call(ctx, CallWatch, wait, func(c context.Context) (err error) {
		p, err = d.Store.Watch(c, key, index, wait)
		return err
	})
	return p, err
}

// CAS sets key if its index is index and all guards hold.
func (d *LimitedStore) CAS(ctx context.Context, key string, value []byte, index uint64, guards ...store.Guard) (p store.Pair, ok bool, err error) {
	err = d.call(ctx, CallWrite, 0, func(c context.Context) (err error) {
		p, ok, err = d.Store.CAS(c, key, value, index, guards...)
		return err
	})
	return p, ok, err
}

// Delete removes key if its index is index.
func (d *LimitedStore) Delete(ctx context.Context, key string, index uint64) (ok bool, err error) {
	err = d.call(ctx, CallWrite, 0, func(c context.Context) (err error) {
		ok, err = d.Store.Delete(c, key, index)
		return err
	})
	return ok, err
}

// Purge removes keys.
func (d *LimitedStore) Purge(ctx context.Context, keys ...string) error {
	return d.call(ctx, CallWrite, 0, func(c context.Context) error { return d.Store.Purge(c, keys...) })
}

// Acquire sets key and locks it with the lease l.
func (d *LimitedStore) Acquire(ctx context.Context, key string, value []byte, l store.LeaseID) (ok bool, err error) {
	err = d.call(ctx, CallLease, 0, func(c context.Context) (err error) {
		ok, err = d.Store.Acquire(c, key, value, l)
		return err
	})
	return ok, err
}

// Release sets key and unlocks it.
func (d *LimitedStore) Release(ctx context.Context, key string, value []byte, l store.LeaseID) (ok bool, err error) {
	err = d.call(ctx, CallLease, 0, func(c context.Context) (err error) {
		ok, err = d.Store.Release(c, key, value, l)
		return err
	})
	return ok, err
}

// Grant returns a new lease.
func (d *LimitedStore) Grant(ctx context.Context, ttl time.Duration) (l store.LeaseID, err error) {
	err = d.call(ctx, CallLease, 0, func(c context.Context) (err error) {
		l, err = d.Store.Grant(c, ttl)
		return err
	})
	return l, err
}

// Renew renews a lease.
func (d *LimitedStore) Renew(ctx context.Context, l store.LeaseID) error {
	return d.call(ctx, CallLease, 0, func(c context.Context) error { return d.Store.Renew(c, l) })
}

// Revoke ends a lease.
func (d *LimitedStore) Revoke(ctx context.Context, l store.LeaseID) error {
	return d.call(ctx, CallLease, 0, func(c context.Context) error { return d.Store.Revoke(c, l) })
}
