package worker

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/pkg/errors"
)

// The bounds of commands.
const (
	dialTimeout    = 500 * time.Millisecond
	commandTimeout = 5 * time.Second
	// maxAnswer is in bytes.
	maxAnswer = 1 << 20
)

// A Client commands the worker of a host.
type Client struct {
	http *http.Client
}

// NewClient returns a client with its own connections.
func NewClient() *Client {
	d := &net.Dialer{Timeout: dialTimeout}
	return &Client{http: &http.Client{Timeout: commandTimeout, Transport: &http.Transport{DialContext: d.DialContext}}}
}

// Start asks for an attempt. A worker that runs it already answers the same.
func (c *Client) Start(ctx context.Context, to netip.AddrPort, s Start) error {
	return c.post(ctx, to, PathTasks, s, nil)
}

// Stop ends an attempt; it is proved not to run, and to start no more, once
// the call returns without an error.
func (c *Client) Stop(ctx context.Context, to netip.AddrPort, a Attempt) (StopResult, error) {
	var r StopResult
	err := c.post(ctx, to, PathStop, a, &r)
	return r, err
}

// SetThrottle sets the share of its processors that an attempt may use.
func (c *Client) SetThrottle(ctx context.Context, to netip.AddrPort, t Throttle) error {
	return c.post(ctx, to, PathThrottle, t, nil)
}

// Checkpoint saves an attempt's progress and returns its reference.
func (c *Client) Checkpoint(ctx context.Context, to netip.AddrPort, a Attempt) (string, error) {
	var r CheckpointResult
	err := c.post(ctx, to, PathCheckpoint, a, &r)
	return r.Checkpoint, err
}

func (c *Client) post(ctx context.Context, to netip.AddrPort, path string, q, a any) error {
	b, err := json.Marshal(q)
	if err != nil {
		return errors.Wrap(ErrNotSent, err.Error())
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+to.String()+path, bytes.NewReader(b))
	if err != nil {
		return errors.Wrap(ErrNotSent, err.Error())
	}
	w, err := c.http.Do(r)
	if err != nil {
		return failure(err)
	}
	defer w.Body.Close()
	return read(w, a)
}

func failure(err error) error {
	var o *net.OpError
	if errors.As(err, &o) && o.Op == "dial" {
		return errors.Wrap(ErrNotSent, err.Error())
	}
	return errors.Wrap(ErrNoAnswer, err.Error())
}

func read(w *http.Response, a any) error {
	b, err := io.ReadAll(io.LimitReader(w.Body, maxAnswer))
	if err != nil {
		return errors.Wrap(ErrNoAnswer, err.Error())
	}
	if w.StatusCode != http.StatusOK {
		return errors.Wrap(ErrRefused, string(bytes.TrimSpace(b)))
	}
	if a == nil {
		return nil
	}
	if err := json.Unmarshal(b, a); err != nil {
		return errors.Wrap(ErrNoAnswer, err.Error())
	}
	return nil
}
