package kv

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/sesamestream/sesamestream/internal/steady"
)

const (
	// watchWait is how long the store holds a watch open; with watchReplyMargin it bounds
	// the time until an unresponsive connection is detected.
	watchWait = time.Second
	// watchReplyMargin is how long after watchWait the reply of a watch may arrive.
	watchReplyMargin = 700 * time.Millisecond
	// readTimeout bounds each read of a followed key.
	readTimeout = 900 * time.Millisecond
	// retryDelay is the delay before a store call is retried; it limits one process to ten calls a second.
	retryDelay = 100 * time.Millisecond
)

// WaitRetry waits before a store call is retried; false if ctx ended.
func WaitRetry(ctx context.Context) bool { return steady.Sleep(ctx, retryDelay) }

// WatchOnce makes one call of Watch, with a timeout that detects an unresponsive connection.
func WatchOnce(ctx context.Context, s Store, prefix string, after Revision) ([]Item, Revision, error) {
	c, cancel := context.WithTimeout(ctx, watchWait+watchReplyMargin)
	defer cancel()
	return s.Watch(c, prefix, after, watchWait)
}

// Follow calls f with each new value of a key until ctx ends. It starts after the
// revision from or, if that is 0, with the current value. After a failed watch it
// reads the key again. It calls observe with the result of each store call, where
// a missing key isn't an error.
func Follow(ctx context.Context, s Store, key string, from Revision, f func(Item), observe func(error)) {
	reload := from == 0
	for ctx.Err() == nil {
		if reload {
			c, cancel := context.WithTimeout(ctx, readTimeout)
			i, err := s.Get(c, key)
			cancel()
			if errors.Is(err, ErrNotFound) {
				observe(nil)
				WaitRetry(ctx)
				continue
			}
			observe(err)
			if err != nil {
				WaitRetry(ctx)
				continue
			}
			from, reload = i.Revision, false
			f(i)
		}
		items, upto, err := WatchOnce(ctx, s, key, from)
		observe(err)
		if err != nil {
			// A read of the key returns what the watch missed.
			reload = true
			WaitRetry(ctx)
			continue
		}
		from = max(from, upto)
		for _, i := range items {
			if i.Key == key && !i.Removed {
				f(i)
			}
		}
	}
}

// FollowKeys calls f with all keys below prefix after each change of them until ctx ends.
// It starts with the given keys, as they were at the revision from. After a failed watch
// it reads the keys again, as the watch may have missed changes and history may be gone.
func FollowKeys(ctx context.Context, s Store, prefix string, keys []string, from Revision, f func([]string)) {
	known := map[string]bool{}
	for _, k := range keys {
		known[k] = true
	}
	reload := false
	for ctx.Err() == nil {
		if reload {
			c, cancel := context.WithTimeout(ctx, readTimeout)
			items, upto, err := s.Range(c, prefix)
			cancel()
			if err != nil {
				WaitRetry(ctx)
				continue
			}
			clear(known)
			for _, i := range items {
				known[i.Key] = true
			}
			from, reload = upto, false
			f(slices.Sorted(maps.Keys(known)))
		}
		items, upto, err := WatchOnce(ctx, s, prefix, from)
		if err != nil {
			reload = true
			WaitRetry(ctx)
			continue
		}
		from = max(from, upto)
		for _, i := range items {
			if i.Removed {
				delete(known, i.Key)
			} else {
				known[i.Key] = true
			}
		}
		if len(items) > 0 {
			f(slices.Sorted(maps.Keys(known)))
		}
	}
}
