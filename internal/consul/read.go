package consul

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/sesamestream/sesamestream/internal/store"
)

// Get returns the pair with the given key from a consistent read.
func (c *Client) Get(ctx context.Context, key string) (store.Pair, error) {
	return c.readKey(ctx, key, url.Values{"consistent": {""}})
}

// Watch returns the pair with the given key once its index exceeds index or wait has passed.
func (c *Client) Watch(ctx context.Context, key string, index uint64, wait time.Duration) (store.Pair, error) {
	return c.readKey(ctx, key, url.Values{
		"index": {strconv.FormatUint(index, 10)},
		"wait":  {wait.String()},
	})
}

// List returns the pairs whose keys start with prefix from a consistent read.
func (c *Client) List(ctx context.Context, prefix string) ([]store.Pair, error) {
	q := url.Values{"recurse": {""}, "consistent": {""}}
	a, err := c.do(ctx, request{method: http.MethodGet, path: keyPath(prefix), query: q})
	if err != nil || a.status == http.StatusNotFound {
		return nil, err
	}
	var es []Entry
	if err := decodeResponse(a, &es, false); err != nil {
		return nil, err
	}
	ps := make([]store.Pair, len(es))
	for i, e := range es {
		ps[i] = pairFromEntry(e)
	}
	return ps, nil
}

// Keys returns the keys that start with prefix from a consistent read.
func (c *Client) Keys(ctx context.Context, prefix string) ([]string, error) {
	q := url.Values{"keys": {""}, "consistent": {""}}
	a, err := c.do(ctx, request{method: http.MethodGet, path: keyPath(prefix), query: q})
	if err != nil || a.status == http.StatusNotFound {
		return nil, err
	}
	var ks []string
	return ks, decodeResponse(a, &ks, false)
}

// readKey reads one key.
func (c *Client) readKey(ctx context.Context, key string, q url.Values) (store.Pair, error) {
	a, err := c.do(ctx, request{method: http.MethodGet, path: keyPath(key), query: q})
	if err != nil {
		return store.Pair{}, err
	}
	missing := store.Pair{Key: key, Index: a.index}
	if a.status == http.StatusNotFound {
		return missing, store.ErrNotFound
	}
	var es []Entry
	if err := decodeResponse(a, &es, false); err != nil {
		return store.Pair{}, err
	}
	if len(es) == 0 {
		return missing, store.ErrNotFound
	}
	return pairFromEntry(es[0]), nil
}

// pairFromEntry converts e to a pair of the store.
func pairFromEntry(e Entry) store.Pair {
	return store.Pair{Key: e.Key, Value: e.Value, Index: e.ModifyIndex, Lease: store.LeaseID(e.Session)}
}
