package kv

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/sesamestream/sesamestream/internal/steady"
)

const (
	// watchWait is how long a watch waits; a connection that went silent is found in this time and a little more.
	watchWait = time.Second
	// watchSlack is how much later than asked for a watch may return.
	watchSlack = 700 * time.Millisecond
	// readTime bounds the read of a key that is followed.
	readTime = 900 * time.Millisecond
	// pause is the time before the store is asked again: ten calls a second for one process.
	pause = 100 * time.Millisecond
)

// WaitRetry waits before the store is asked again; false where ctx ended.
func WaitRetry(ctx context.Context) bool { return steady.Pause(ctx, pause) }

// WatchOnce waits for changes below prefix for a time in which a connection that went silent is found.
func WatchOnce(ctx context.Context, s Store, prefix string, after Revision) ([]Item, Revision, error) {
	c, cancel := context.WithTimeout(ctx, watchWait+watchSlack)
	defer cancel()
	return s.Watch(c, prefix, after, watchWait)
}

// Follow calls f with each new value of a key until ctx ends, from a revision
// or, if that is 0, from what the key holds. After a loss of history it reads
// the key. Reached is told of each call's outcome.
func Follow(ctx context.Context, s Store, key string, from Revision, f func(Item), reached func(error)) {
	read := from == 0
	for ctx.Err() == nil {
		if read {
			c, cancel := context.WithTimeout(ctx, readTime)
			i, err := s.Get(c, key)
			cancel()
			if errors.Is(err, ErrNotFound) {
				reached(nil)
				WaitRetry(ctx)
				continue
			}
			reached(err)
			if err != nil {
				WaitRetry(ctx)
				continue
			}
			from, read = i.Revision, false
			f(i)
		}
		items, upto, err := WatchOnce(ctx, s, key, from)
		reached(err)
		if err != nil {
			// What was missed meanwhile is in the key itself.
			read = true
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
