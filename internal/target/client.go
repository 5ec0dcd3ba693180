package target

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"time"

	"github.com/pkg/errors"
)

// ErrNotSent is returned where it is proved that the target received nothing.
var ErrNotSent = errors.New("target: not sent")

// ErrBroken is returned where the target may have received the request.
var ErrBroken = errors.New("target: no whole answer")

// The bounds of connections to targets.
const (
	dialTimeout  = 500 * time.Millisecond
	idleTimeout  = 30 * time.Second
	maxIdle      = 64
	maxHeadBytes = 64 << 10
)

// A Request is one request to a target.
type Request struct {
	Target netip.AddrPort
	Method string
	Path   string
	Header http.Header
	Body   io.Reader
	// Length is the length of the body in bytes.
	Length int64
}

// A Client sends requests to targets.
type Client struct {
	transport *http.Transport
}

// NewClient returns a client with its own connections.
func NewClient() *Client {
	d := &net.Dialer{Timeout: dialTimeout}
	return &Client{transport: &http.Transport{
		DialContext:            d.DialContext,
		MaxIdleConnsPerHost:    maxIdle,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxHeadBytes,
		DisableCompression:     true,
	}}
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.transport.CloseIdleConnections()
}

// Do sends q once and returns the target's answer, whose body the caller closes.
// Errors are ErrNotSent, which is proved, or ErrBroken.
func (c *Client) Do(ctx context.Context, q Request) (*http.Response, error) {
	connected := false
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected = true },
	})
	r, err := http.NewRequestWithContext(ctx, q.Method, "http://"+q.Target.String()+q.Path, nil)
	if err != nil {
		return nil, errors.Wrap(ErrNotSent, err.Error())
	}
	r.Header = q.Header.Clone()
	r.Body = once{q.Body}
	r.ContentLength = q.Length
	a, err := c.transport.RoundTrip(r)
	if err == nil && ValidStatus(a.StatusCode) {
		return a, nil
	}
	if err == nil {
		a.Body.Close()
		err = errors.Errorf("status %d is no answer", a.StatusCode)
	}
	if !connected {
		return nil, errors.Wrap(ErrNotSent, err.Error())
	}
	return nil, errors.Wrap(ErrBroken, err.Error())
}

// The bounds of the statuses that end a request (RFC 9110, section 15).
const (
	lowestStatus  = 200
	highestStatus = 599
)

// ValidStatus reports whether a target may answer a request with status. An
// interim status, such as a switch of protocols that nobody asked for, is none.
func ValidStatus(status int) bool {
	return status >= lowestStatus && status <= highestStatus
}

// once is a body that cannot be rewound. net/http sends a request a second
// time by itself where its body is empty or can be rewound and an
// Idempotency-Key is set; with this body it never does.
type once struct {
	io.Reader
}

// Close does nothing: the body belongs to the stream it comes from.
func (once) Close() error {
	return nil
}
