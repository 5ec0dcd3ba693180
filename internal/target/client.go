package target

import (
	"context"
	"io"
	"maps"
	"net/http"
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
	maxInterim   = 8
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

// A Client sends requests to targets. Each is written once, to a connection on
// which nothing is left over from before: an answer that a target gives twice
// or late never meets the next request.
type Client struct {
	pool pool
}

// NewClient returns a client with its own connections.
func NewClient() *Client {
	return &Client{pool: pool{idle: make(map[netip.AddrPort][]*conn)}}
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.pool.close()
}

// Do sends q once and returns the target's answer, whose body the caller closes.
// Errors are ErrNotSent, which is proved, or ErrBroken.
func (c *Client) Do(ctx context.Context, q Request) (*http.Response, error) {
	r, err := http.NewRequest(q.Method, "http://"+q.Target.String()+q.Path, nil)
	if err != nil {
		return nil, errors.Wrap(ErrNotSent, err.Error())
	}
	r.Header = make(http.Header, len(q.Header))
	maps.Copy(r.Header, q.Header)
	if q.Length > 0 {
		r.Body = io.NopCloser(q.Body)
		r.ContentLength = q.Length
	}
	n, err := c.pool.take(ctx, q.Target)
	if err != nil {
		return nil, errors.Wrap(ErrNotSent, err.Error())
	}
	x := &exchange{conn: n, pool: &c.pool, wrote: make(chan error, 1)}
	x.stop = context.AfterFunc(ctx, func() { n.Close() })
	a, err := x.do(r)
	if err != nil {
		x.end(false)
		return nil, errors.Wrap(ErrBroken, err.Error())
	}
	return a, nil
}

// An exchange is one request on its connection.
type exchange struct {
	conn *conn
	pool *pool
	// wrote tells how the writing of the request ended.
	wrote chan error
	// stop ends the watch of the request's context.
	stop  func() bool
	close bool
	ended bool
}

func (x *exchange) do(r *http.Request) (*http.Response, error) {
	if r.ContentLength == 0 {
		x.wrote <- x.conn.write(r)
	} else {
		// A target may answer before it has read all.
		go func() { x.wrote <- x.conn.write(r) }()
	}
	a, err := x.conn.head(r)
	if err != nil {
		return nil, err
	}
	if err := check(a); err != nil {
		return nil, err
	}
	x.close = a.Close
	if a.Body == http.NoBody {
		x.end(true)
		return a, nil
	}
	a.Body = &body{Reader: a.Body, exchange: x}
	return a, nil
}

// writeWait is how long a connection whose answer is whole may take until its
// request is written, to be used again.
const writeWait = 50 * time.Millisecond

// end gives the connection back where it may be used again, else closes it.
func (x *exchange) end(whole bool) {
	if x.ended {
		return
	}
	x.ended = true
	if x.stop() && whole && !x.close && x.written() && x.conn.clean() {
		x.pool.put(x.conn)
		return
	}
	x.conn.Close()
}

func (x *exchange) written() bool {
	t := time.NewTimer(writeWait)
	defer t.Stop()
	select {
	case err := <-x.wrote:
		return err == nil
	case <-t.C:
		return false
	}
}

// A body is that of an answer; at its end the connection is given back.
type body struct {
	io.Reader
	exchange *exchange
}

// Read returns io.EOF only at the end of a whole body.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if err != nil {
		b.exchange.end(errors.Is(err, io.EOF))
	}
	return n, err
}

// Close closes the connection where the body was not read to its end.
func (b *body) Close() error {
	b.exchange.end(false)
	return nil
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

// check refuses an answer that cannot be passed on: one of which nobody could
// tell whether it is whole, since it ends with its connection, or no answer.
func check(a *http.Response) error {
	unended := a.ContentLength < 0 && len(a.TransferEncoding) == 0 && a.Body != http.NoBody
	if !unended && ValidStatus(a.StatusCode) {
		return nil
	}
	return errors.Errorf("status %d, no length: %t", a.StatusCode, unended)
}
