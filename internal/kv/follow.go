package kv

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/sesamestream/sesamestream/internal/steady"
)

const (
	// watchWait is how long the store holds a watch open; with watchReplyMargin it bounds
	// the time until an unresponsive connection is detected.
	watchWait = time.Second
	// watchReplyMargin is how long after watchWait the reply of a watch may begin, and how long it may pause.
	watchReplyMargin = 700 * time.Millisecond
	// readTimeout is how long a read of a followed key may make no progress.
	readTimeout = 900 * time.Millisecond
	// retryDelay is the delay before a store call is retried; it limits one process to ten calls a second.
	retryDelay = 100 * time.Millisecond
)

// WaitRetry waits before a store call is retried; false if ctx ended.
func WaitRetry(ctx context.Context) bool { return steady.Sleep(ctx, retryDelay) }

// WatchOnce makes one call of Watch, with a timeout that detects an unresponsive connection.
func WatchOnce(ctx context.Context, s Store, prefix string, after Revision) ([]Item, Revision, error) {
	c, cancel := WithStallTimeout(ctx, watchWait+watchReplyMargin, watchReplyMargin)
	defer cancel()
	return s.Watch(c, prefix, after, watchWait)
}

// Follow calls f with each new value of a key until ctx ends. It starts after the
// revision from or, if that is 0, with the current value. After a failed watch it
// reads the key again. It calls observe with the result of each store call.
func Follow(ctx context.Context, s Store, key string, from Revision, f func(Item), observe func(error)) {
	known, cursor, reload := from, NewCursor(from), from == 0
	apply := func(items []Item) {
		for _, i := range items {
			if i.Key == key && !i.Removed && i.Revision > known {
				known = i.Revision
				f(i)
			}
		}
	}
	for ctx.Err() == nil {
		if reload {
			items, upto, err := readPrefix(ctx, s, key)
			observe(err)
			if err != nil {
				WaitRetry(ctx)
				continue
			}
			cursor, reload = NewCursor(upto), false
			apply(items)
		}
		items, upto, err := WatchOnce(ctx, s, key, cursor.From())
		observe(err)
		if err != nil {
			// A read returns what the watch missed, and a revision of which the store has the history.
			reload = true
			WaitRetry(ctx)
			continue
		}
		cursor.Advance(time.Now(), len(items), upto)
		apply(items)
	}
}

func readPrefix(ctx context.Context, s Store, prefix string) ([]Item, Revision, error) {
	c, cancel := WithStallTimeout(ctx, readTimeout, readTimeout)
	defer cancel()
	return s.Range(c, prefix)
}

// FollowKeys calls f with all keys below prefix, sorted, after each change of them until ctx ends.
// It starts with the given keys, as they were at the revision from. Beside the watch it reads the
// keys every keyReadInterval, as a watch may be silent. A change is known at most that interval
// and the duration of a read after it, whatever the watch shows, while the store answers reads
// within keyReadTimeout.
func FollowKeys(ctx context.Context, s Store, prefix string, keys []string, from Revision, f func([]string)) {
	t := &trackedKeys{known: map[string]bool{}, upto: from, changed: f}
	for _, k := range keys {
		t.known[k] = true
	}
	var calls sync.WaitGroup
	defer calls.Wait()
	calls.Go(func() { t.watch(ctx, s, prefix) })
	tick := time.NewTicker(keyReadInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		// A read without an answer mustn't delay the next one. A failed one is repeated by the next.
		calls.Go(func() { _ = t.read(ctx, s, prefix, keyReadTimeout) })
	}
}

const (
	// keyReadInterval is the time between two reads of followed keys beside their watch. It adds
	// one call a second of one process to the load of the store.
	keyReadInterval = time.Second
	// keyReadTimeout bounds such a read. With keyReadInterval it leaves 2 s of the 5 s within which
	// an evacuation has to be in force, for a start that was ordered just before.
	keyReadTimeout = 2 * time.Second
)

// trackedKeys are the keys below a prefix as several concurrent calls show them.
type trackedKeys struct {
	mu    sync.Mutex
	known map[string]bool
	// upto is the revision up to which the keys are known. Answers that show an earlier state are ignored.
	upto    Revision
	changed func([]string)
}

// watch applies the changes that the store reports until ctx ends. After a failed watch it reads
// the keys, as the history that the watch asks for may be gone.
func (t *trackedKeys) watch(ctx context.Context, s Store, prefix string) {
	for reload := false; ctx.Err() == nil; {
		if reload {
			if err := t.read(ctx, s, prefix, readTimeout); err != nil {
				WaitRetry(ctx)
				continue
			}
		}
		items, upto, err := WatchOnce(ctx, s, prefix, t.revision())
		if reload = err != nil; reload {
			WaitRetry(ctx)
			continue
		}
		t.apply(items, upto)
	}
}

// read replaces the keys by those in the store.
func (t *trackedKeys) read(ctx context.Context, s Store, prefix string, timeout time.Duration) error {
	c, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	items, upto, err := s.Range(c, prefix)
	if err != nil {
		return err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if upto < t.upto {
		return nil
	}
	t.upto = upto
	read := make(map[string]bool, len(items))
	for _, i := range items {
		read[i.Key] = true
	}
	if !maps.Equal(read, t.known) {
		t.known = read
		t.notify()
	}
	return nil
}

// apply applies the changes that a watch has reported.
func (t *trackedKeys) apply(items []Item, upto Revision) {
	t.mu.Lock()
	defer t.mu.Unlock()
	before := maps.Clone(t.known)
	for _, i := range items {
		switch {
		case i.Revision <= t.upto:
			// A later read has shown the state after this change.
		case i.Removed:
			delete(t.known, i.Key)
		default:
			t.known[i.Key] = true
		}
	}
	t.upto = max(t.upto, upto)
	if !maps.Equal(before, t.known) {
		t.notify()
	}
}

// revision returns the revision up to which the keys are known.
func (t *trackedKeys) revision() Revision {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.upto
}

// notify passes on the keys. The caller holds t.mu, so that they are passed on in their order.
func (t *trackedKeys) notify() { t.changed(slices.Sorted(maps.Keys(t.known))) }
