// Package consul implements the store with the KV, transaction and session endpoints of Consul's HTTP
// API, version 1.
package consul

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"

	"github.com/pkg/errors"

	"github.com/sesamestream/sesamestream/internal/store"
)

const (
	// DefaultMaxValueBytes is the size of a value that fits into a transaction of 512 KiB after base64
	// encoding.
	DefaultMaxValueBytes = 380 << 10
	// maxResponseBytes bounds the part of a response body that is read.
	maxResponseBytes = 64 << 20
	// maxErrorTextBytes bounds the part of a response body that becomes an error text.
	maxErrorTextBytes = 256

	headerIndex = "X-Consul-Index"
	headerToken = "X-Consul-Token"
)

// A Client is a store.Store that uses Consul. Its fields are set before its first use.
type Client struct {
	// Address is the base URL, such as http://192.0.2.1:8500.
	Address string
	// Token, if not empty, is sent with every request.
	Token string
	// MaxValue is the maximum size of a value in bytes; 0 means DefaultMaxValueBytes.
	MaxValue int
	// HTTP sends the requests; nil means http.DefaultClient.
	HTTP *http.Client
}

var _ store.Store = (*Client)(nil)

// A request is one request to Consul.
type request struct {
	method string
	path   string
	query  url.Values
	body   []byte
	// isWrite marks a request that may change the store.
	isWrite bool
}

// A response is a response of Consul.
type response struct {
	status int
	index  uint64
	body   []byte
}

// do sends l and returns a response with status 200, 404 or 409, or an error.
func (c *Client) do(ctx context.Context, l request) (response, error) {
	u := c.Address + l.path
	if len(l.query) > 0 {
		u += "?" + l.query.Encode()
	}
	r, err := http.NewRequestWithContext(ctx, l.method, u, bytes.NewReader(l.body))
	if err != nil {
		return response{}, errors.WithMessage(store.ErrUnavailable, err.Error())
	}
	if c.Token != "" {
		r.Header.Set(headerToken, c.Token)
	}
	h := c.HTTP
	if h == nil {
		h = http.DefaultClient
	}
	p, err := h.Do(r)
	if err != nil {
		return response{}, transportError(err, l.isWrite)
	}
	defer p.Body.Close()
	b, err := io.ReadAll(io.LimitReader(p.Body, maxResponseBytes))
	if err != nil {
		return response{}, transportError(err, l.isWrite)
	}
	n, _ := strconv.ParseUint(p.Header.Get(headerIndex), 10, 64)
	return response{status: p.StatusCode, index: n, body: b}, statusError(p.StatusCode, b, l.isWrite)
}

// transportError returns the store error for a request without a complete and valid response. The
// outcome of a write is unknown unless the connection could not be established.
func transportError(err error, write bool) error {
	var o *net.OpError
	if write && (!errors.As(err, &o) || o.Op != "dial") {
		return errors.WithMessage(store.ErrUnknown, err.Error())
	}
	return errors.WithMessage(store.ErrUnavailable, err.Error())
}

// statusError returns the store error that an HTTP status stands for, or nil.
func statusError(status int, body []byte, write bool) error {
	reason := string(body[:min(len(body), maxErrorTextBytes)])
	switch status {
	case http.StatusOK, http.StatusNotFound, http.StatusConflict:
		return nil
	case http.StatusForbidden, http.StatusUnauthorized:
		return errors.WithMessage(store.ErrDenied, reason)
	case http.StatusRequestEntityTooLarge:
		return errors.WithMessage(store.ErrTooLarge, reason)
	case http.StatusTooManyRequests:
		return errors.WithMessage(store.ErrUnavailable, reason)
	}
	if write {
		return errors.WithMessagef(store.ErrUnknown, "status %d: %s", status, reason)
	}
	return errors.WithMessagef(store.ErrUnavailable, "status %d: %s", status, reason)
}

// decodeResponse decodes the JSON body of a response into v.
func decodeResponse(a response, v any, write bool) error {
	if err := json.Unmarshal(a.body, v); err != nil {
		return transportError(err, write)
	}
	return nil
}

// checkSize returns ErrTooLarge if value exceeds MaxValue.
func (c *Client) checkSize(value []byte) error {
	n := c.MaxValue
	if n == 0 {
		n = DefaultMaxValueBytes
	}
	if len(value) > n {
		return errors.WithMessagef(store.ErrTooLarge, "%d bytes, at most %d", len(value), n)
	}
	return nil
}

// keyPath returns the URL path of key.
func keyPath(key string) string {
	return "/v1/kv/" + (&url.URL{Path: key}).EscapedPath()
}
