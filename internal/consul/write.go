package consul

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"

	"github.com/pkg/errors"

	"github.com/sesamestream/sesamestream/internal/store"
)

// CAS sets key by a transaction, which unlike a plain write returns the new index.
func (c *Client) CAS(ctx context.Context, key string, value []byte, index uint64, guards ...store.Guard) (store.Pair, bool, error) {
	if err := c.tooLarge(value); err != nil {
		return store.Pair{}, false, err
	}
	a, err := c.txn(ctx, steps(key, value, index, guards))
	if err != nil {
		return store.Pair{}, false, err
	}
	if a.status == http.StatusConflict {
		return store.Pair{}, false, nil
	}
	var t TxnResponse
	if err := decode(a, &t, true); err != nil {
		return store.Pair{}, false, err
	}
	for _, r := range t.Results {
		if r.KV != nil && r.KV.Key == key {
			return store.Pair{Key: key, Value: value, Index: r.KV.ModifyIndex, Lease: store.LeaseID(r.KV.Session)}, true, nil
		}
	}
	return store.Pair{}, false, errors.WithMessage(store.ErrUnknown, "transaction without result")
}

// steps returns the transaction that sets key under guards.
func steps(key string, value []byte, index uint64, guards []store.Guard) []TxnOperation {
	ss := make([]TxnOperation, 0, len(guards)+1)
	for _, g := range guards {
		o := &KVOperation{Verb: VerbCheckIndex, Key: g.Key, Index: g.Index}
		if g.Index == 0 {
			o.Verb = VerbCheckNotExists
		}
		ss = append(ss, TxnOperation{KV: o})
	}
	return append(ss, TxnOperation{KV: &KVOperation{Verb: VerbCAS, Key: key, Value: value, Index: index}})
}

// txn carries out a transaction.
func (c *Client) txn(ctx context.Context, ss []TxnOperation) (answer, error) {
	b, err := json.Marshal(ss)
	if err != nil {
		return answer{}, errors.WithMessage(store.ErrUnavailable, err.Error())
	}
	return c.do(ctx, call{method: http.MethodPut, path: "/v1/txn", body: b, write: true})
}

// Purge removes keys in one transaction.
func (c *Client) Purge(ctx context.Context, keys ...string) error {
	ss := make([]TxnOperation, len(keys))
	for i, k := range keys {
		ss[i] = TxnOperation{KV: &KVOperation{Verb: VerbDelete, Key: k}}
	}
	a, err := c.txn(ctx, ss)
	if err == nil && a.status != http.StatusOK {
		return errors.WithMessagef(store.ErrUnavailable, "purge: status %d", a.status)
	}
	return err
}

// Delete removes key if its index is index.
func (c *Client) Delete(ctx context.Context, key string, index uint64) (bool, error) {
	q := url.Values{"cas": {strconv.FormatUint(index, 10)}}
	return c.truth(ctx, call{method: http.MethodDelete, path: kv(key), query: q, write: true})
}

// Acquire sets key and holds it by l.
func (c *Client) Acquire(ctx context.Context, key string, value []byte, l store.LeaseID) (bool, error) {
	return c.lock(ctx, "acquire", key, value, l)
}

// Release sets key and ends l's hold on it.
func (c *Client) Release(ctx context.Context, key string, value []byte, l store.LeaseID) (bool, error) {
	return c.lock(ctx, "release", key, value, l)
}

// lock puts value under key with the session l as verb's argument.
func (c *Client) lock(ctx context.Context, verb, key string, value []byte, l store.LeaseID) (bool, error) {
	if err := c.tooLarge(value); err != nil {
		return false, err
	}
	q := url.Values{verb: {string(l)}}
	return c.truth(ctx, call{method: http.MethodPut, path: kv(key), query: q, body: value, write: true})
}

// truth carries out l and returns the boolean of its answer.
func (c *Client) truth(ctx context.Context, l call) (bool, error) {
	a, err := c.do(ctx, l)
	if err != nil {
		return false, err
	}
	switch string(bytes.TrimSpace(a.body)) {
	case "true":
		return true, nil
	case "false":
		return false, nil
	}
	return false, errors.WithMessagef(store.ErrUnknown, "status %d without a verdict", a.status)
}
