// Package consul adapts the published KV, transaction and session interfaces
// of Consul (HTTP API v1) to the store.
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
	// DefaultMaxValueBytes is what fits a transaction of 512 KiB once encoded in base64, in bytes.
	DefaultMaxValueBytes = 380 << 10
	// maxAnswer bounds what is read of one answer, in bytes.
	maxAnswer = 64 << 20
	// maxReason bounds what is kept of an error's text, in bytes.
	maxReason = 256

	headerIndex = "X-Consul-Index"
	headerToken = "X-Consul-Token"
)

// A Client is a store.Store that speaks to Consul. Its fields are set before its first use.
type Client struct {
	// Address is the base address, such as http://192.0.2.1:8500.
	Address string
	// Token is sent with every call where it is not empty.
	Token string
	// MaxValue bounds a value in bytes, DefaultMaxValue where it is 0.
	MaxValue int
	// HTTP makes the calls, http.DefaultClient where it is nil.
	HTTP *http.Client
}

var _ store.Store = (*Client)(nil)

// A call is one request to the store.
type call struct {
	method string
	path   string
	query  url.Values
	body   []byte
	// write marks a call that may change the store.
	write bool
}

// An answer is what the store answered.
type answer struct {
	status int
	index  uint64
	body   []byte
}

// do carries out c and returns an answer with status 200, 404 or 409.
func (c *Client) do(ctx context.Context, l call) (answer, error) {
	u := c.Address + l.path
	if len(l.query) > 0 {
		u += "?" + l.query.Encode()
	}
	r, err := http.NewRequestWithContext(ctx, l.method, u, bytes.NewReader(l.body))
	if err != nil {
		return answer{}, errors.WithMessage(store.ErrUnavailable, err.Error())
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
		return answer{}, failure(err, l.write)
	}
	defer p.Body.Close()
	b, err := io.ReadAll(io.LimitReader(p.Body, maxAnswer))
	if err != nil {
		return answer{}, failure(err, l.write)
	}
	n, _ := strconv.ParseUint(p.Header.Get(headerIndex), 10, 64)
	return answer{status: p.StatusCode, index: n, body: b}, refusal(p.StatusCode, b, l.write)
}

// failure returns what is known after a call that got no whole answer.
func failure(err error, write bool) error {
	var o *net.OpError
	if write && (!errors.As(err, &o) || o.Op != "dial") {
		return errors.WithMessage(store.ErrUnknown, err.Error())
	}
	return errors.WithMessage(store.ErrUnavailable, err.Error())
}

// refusal returns the error that a status stands for.
func refusal(status int, body []byte, write bool) error {
	reason := string(body[:min(len(body), maxReason)])
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

// decode reads the JSON of an answer into v.
func decode(a answer, v any, write bool) error {
	if err := json.Unmarshal(a.body, v); err != nil {
		return failure(err, write)
	}
	return nil
}

// tooLarge returns ErrTooLarge if value exceeds the bound.
func (c *Client) tooLarge(value []byte) error {
	n := c.MaxValue
	if n == 0 {
		n = DefaultMaxValueBytes
	}
	if len(value) > n {
		return errors.WithMessagef(store.ErrTooLarge, "%d bytes, at most %d", len(value), n)
	}
	return nil
}

// kv returns the path of key.
func kv(key string) string {
	return "/v1/kv/" + (&url.URL{Path: key}).EscapedPath()
}
