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

// The bounds of a command.
const (
	dialTimeout    = 500 * time.Millisecond
	commandTimeout = 5 * time.Second
	// maxResponseBytes bounds a response body.
	maxResponseBytes = 1 << 20
)

// A Client sends commands to the worker of a host.
type Client struct {
	http *http.Client
}

// NewClient returns a client with its own connections.
func NewClient() *Client {
	d := &net.Dialer{Timeout: dialTimeout}
	return &Client{http: &http.Client{Timeout: commandTimeout, Transport: &http.Transport{DialContext: d.DialContext}}}
}

// Start starts an attempt. It is idempotent: a worker that already runs the attempt
// gives the same answer.
func (c *Client) Start(ctx context.Context, to netip.AddrPort, s Start) error {
	return c.post(ctx, to, PathTasks, s, nil)
}

// Stop ends an attempt. Once it returns without an error, the attempt does not run
// and cannot start any more.
func (c *Client) Stop(ctx context.Context, to netip.AddrPort, a Attempt) (StopResult, error) {
	var r StopResult
	err := c.post(ctx, to, PathStop, a, &r)
	return r, err
}

// SetThrottle sets the share of its processors that an attempt may use.
func (c *Client) SetThrottle(ctx context.Context, to netip.AddrPort, t Throttle) error {
	return c.post(ctx, to, PathThrottle, t, nil)
}

// Checkpoint saves the progress of an attempt and returns a reference to the checkpoint.
func (c *Client) Checkpoint(ctx context.Context, to netip.AddrPort, a Attempt) (string, error) {
	var r CheckpointResult
	err := c.post(ctx, to, PathCheckpoint, a, &r)
	return r.Checkpoint, err
}

func (c *Client) post(ctx context.Context, to netip.AddrPort, path string, command, result any) error {
	b, err := json.Marshal(command)
	if err != nil {
		return errors.Wrap(ErrNotSent, err.Error())
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+to.String()+path, bytes.NewReader(b))
	if err != nil {
		return errors.Wrap(ErrNotSent, err.Error())
	}
	resp, err := c.http.Do(r)
	if err != nil {
		return transportError(err)
	}
	defer resp.Body.Close()
	return readResponse(resp, result)
}

// transportError returns ErrNotSent for a failed dial, otherwise ErrNoAnswer.
func transportError(err error) error {
	var opErr *net.OpError
	if errors.As(err, &opErr) && opErr.Op == "dial" {
		return errors.Wrap(ErrNotSent, err.Error())
	}
	return errors.Wrap(ErrNoAnswer, err.Error())
}

func readResponse(r *http.Response, result any) error {
	b, err := io.ReadAll(io.LimitReader(r.Body, maxResponseBytes))
	if err != nil {
		return errors.Wrap(ErrNoAnswer, err.Error())
	}
	if r.StatusCode != http.StatusOK {
		return errors.Wrap(ErrRefused, string(bytes.TrimSpace(b)))
	}
	if result == nil {
		return nil
	}
	if err := json.Unmarshal(b, result); err != nil {
		return errors.Wrap(ErrNoAnswer, err.Error())
	}
	return nil
}
