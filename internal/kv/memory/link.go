package memory

import (
	"context"
	"time"

	"github.com/sesamestream/sesamestream/internal/kv"
)

// partBytes is the size of the parts in which a Link transfers values.
const partBytes = 4 << 10

// A Link is a store behind a link with a limited rate for the values of each call.
type Link struct {
	kv.Store
	BytesPerSecond int
}

// transfer waits while the values of items are transferred, in base64, and reports the progress.
func (l *Link) transfer(ctx context.Context, items ...kv.Item) error {
	rest := 0
	for _, i := range items {
		rest += (len(i.Value) + 2) / 3 * 4
	}
	for rest > 0 {
		n := min(rest, partBytes)
		select {
		case <-ctx.Done():
			return kv.ErrUnknown
		case <-time.After(time.Duration(n) * time.Second / time.Duration(l.BytesPerSecond)):
		}
		kv.Progress(ctx)
		rest -= n
	}
	return nil
}

// Get implements kv.Store.
func (l *Link) Get(ctx context.Context, key string) (kv.Item, error) {
	i, err := l.Store.Get(ctx, key)
	if err != nil {
		return i, err
	}
	return i, l.transfer(ctx, i)
}

// Range implements kv.Store.
func (l *Link) Range(ctx context.Context, prefix string) ([]kv.Item, kv.Revision, error) {
	is, at, err := l.Store.Range(ctx, prefix)
	if err != nil {
		return nil, 0, err
	}
	return is, at, l.transfer(ctx, is...)
}

// Watch implements kv.Store.
func (l *Link) Watch(ctx context.Context, prefix string, after kv.Revision, wait time.Duration) ([]kv.Item, kv.Revision, error) {
	is, at, err := l.Store.Watch(ctx, prefix, after, wait)
	if err != nil {
		return nil, 0, err
	}
	return is, at, l.transfer(ctx, is...)
}

// Apply implements kv.Store.
func (l *Link) Apply(ctx context.Context, c kv.Change) (kv.Revision, error) {
	items := make([]kv.Item, len(c.Puts))
	for n, p := range c.Puts {
		items[n].Value = p.Value
	}
	if err := l.transfer(ctx, items...); err != nil {
		return 0, err
	}
	return l.Store.Apply(ctx, c)
}
