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

// CAS sets key in a transaction, because a plain write does not return the new index.
func (c *Client) CAS(ctx context.Context, key string, value []byte, index uint64, guards ...store.Guard) (store.Pair, bool, error) {
	if err := c.checkSize(value); err != nil {
		return store.Pair{}, false, err
	}
	a, err := c.runTransaction(ctx, casOperations(key, value, index, guards))
	if err != nil {
		return store.Pair{}, false, err
	}
	if a.status == http.StatusConflict {
		return store.Pair{}, false, nil
	}
	var t TxnResponse
	if err := decodeResponse(a, &t, true); err != nil {
		return store.Pair{}, false, err
	}
	for _, r := range t.Results {
		if r.KV != nil && r.KV.Key == key {
			return store.Pair{Key: key, Value: value, Index: r.KV.ModifyIndex, Lease: store.LeaseID(r.KV.Session)}, true, nil
		}
	}
	return store.Pair{}, false, errors.WithMessage(store.ErrUnknown, "transaction response without result of the write")
}

// casOperations returns the operations of a transaction that sets key if all guards hold.
func casOperations(key string, value []byte, index uint64, guards []store.Guard) []TxnOperation {
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

// runTransaction executes a transaction.
func (c *Client) runTransaction(ctx context.Context, ss []TxnOperation) (response, error) {
	b, err := json.Marshal(ss)
	if err != nil {
		return response{}, errors.WithMessage(store.ErrUnavailable, err.Error())
	}
	return c.do(ctx, request{method: http.MethodPut, path: "/v1/txn", body: b, isWrite: true})
}

// Purge removes keys in one transaction.
func (c *Client) Purge(ctx context.Context, keys ...string) error {
	ss := make([]TxnOperation, len(keys))
	for i, k := range keys {
		ss[i] = TxnOperation{KV: &KVOperation{Verb: VerbDelete, Key: k}}
	}
	a, err := c.runTransaction(ctx, ss)
	if err == nil && a.status != http.StatusOK {
		return errors.WithMessagef(store.ErrUnavailable, "purge: status %d", a.status)
	}
	return err
}

// Delete removes key if its index is index.
func (c *Client) Delete(ctx context.Context, key string, index uint64) (bool, error) {
	q := url.Values{"cas": {strconv.FormatUint(index, 10)}}
	return c.doBool(ctx, request{method: http.MethodDelete, path: keyPath(key), query: q, isWrite: true})
}

// Acquire sets key and locks it with the session l.
func (c *Client) Acquire(ctx context.Context, key string, value []byte, l store.LeaseID) (bool, error) {
	return c.putWithSession(ctx, "acquire", key, value, l)
}

// Release sets key and unlocks it.
func (c *Client) Release(ctx context.Context, key string, value []byte, l store.LeaseID) (bool, error) {
	return c.putWithSession(ctx, "release", key, value, l)
}

// putWithSession sets key and acquires or releases its lock, as verb says, for the session l.
func (c *Client) putWithSession(ctx context.Context, verb, key string, value []byte, l store.LeaseID) (bool, error) {
	if err := c.checkSize(value); err != nil {
		return false, err
	}
	q := url.Values{verb: {string(l)}}
	return c.doBool(ctx, request{method: http.MethodPut, path: keyPath(key), query: q, body: value, isWrite: true})
}

// doBool sends l and returns the boolean in its response.
func (c *Client) doBool(ctx context.Context, l request) (bool, error) {
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
	return false, errors.WithMessagef(store.ErrUnknown, "status %d without true or false", a.status)
}
