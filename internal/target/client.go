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

// ErrNotSent is returned if the target has certainly received nothing.
var ErrNotSent = errors.New("target: not sent")

// ErrBroken is returned if the target may have received the request but gave no
// complete answer.
var ErrBroken = errors.New("target: no complete answer")

// The bounds of connections to targets.
const (
	dialTimeout         = 500 * time.Millisecond
	idleTimeout         = 30 * time.Second
	maxIdlePerTarget    = 64
	maxHeadBytes        = 64 << 10
	maxInterimResponses = 8
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

// A Client sends requests to targets. Each request is written once, to a connection
// without bytes left from an earlier answer, so that a duplicate or late answer is
// never taken for the answer to the next request.
type Client struct {
	pool pool
}

// NewClient returns a client with its own connection pool.
func NewClient() *Client {
	return &Client{pool: pool{idle: make(map[netip.AddrPort][]*conn)}}
}

// Close closes the idle connections and keeps none from then on.
func (c *Client) Close() {
	c.pool.close()
}

// Do sends q once and returns the target's answer, whose body the caller must
// close. The error is ErrNotSent or ErrBroken.
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
	n, err := c.pool.get(ctx, q.Target)
	if err != nil {
		return nil, errors.Wrap(ErrNotSent, err.Error())
	}
	x := &exchange{conn: n, pool: &c.pool, writeResult: make(chan error, 1)}
	x.stopContextWatch = context.AfterFunc(ctx, func() { n.Close() })
	a, err := x.do(r)
	if err != nil {
		x.finish(false)
		return nil, errors.Wrap(ErrBroken, err.Error())
	}
	return a, nil
}

// An exchange is one request on its connection.
type exchange struct {
	conn *conn
	pool *pool
	// writeResult receives the result of writing the request.
	writeResult chan error
	// stopContextWatch stops closing the connection when the request's context ends.
	// It returns false if the context has ended already.
	stopContextWatch func() bool
	closeAfter       bool
	ended            bool
}

// do sends the request and reads the head of its answer.
func (x *exchange) do(r *http.Request) (*http.Response, error) {
	if r.ContentLength == 0 {
		x.writeResult <- x.conn.writeRequest(r)
	} else {
		// A target may answer before it has read the whole request.
		go func() { x.writeResult <- x.conn.writeRequest(r) }()
	}
	a, err := x.conn.readHead(r)
	if err != nil {
		return nil, err
	}
	if err := checkAnswer(a); err != nil {
		return nil, err
	}
	x.closeAfter = a.Close
	if a.Body == http.NoBody {
		x.finish(true)
		return a, nil
	}
	a.Body = &answerBody{Reader: a.Body, exchange: x}
	return a, nil
}

// requestWriteTimeout is how long to wait, after the whole answer is read, until the
// request is written. A connection that takes longer is closed, not reused.
const requestWriteTimeout = 50 * time.Millisecond

// finish returns the connection to the pool if it can be reused, else closes it.
func (x *exchange) finish(complete bool) {
	if x.ended {
		return
	}
	x.ended = true
	if x.stopContextWatch() && complete && !x.closeAfter && x.requestWritten() && x.conn.reusable() {
		x.pool.put(x.conn)
		return
	}
	x.conn.Close()
}

// requestWritten reports whether the request is written, and waits for it up to
// requestWriteTimeout.
func (x *exchange) requestWritten() bool {
	t := time.NewTimer(requestWriteTimeout)
	defer t.Stop()
	select {
	case err := <-x.writeResult:
		return err == nil
	case <-t.C:
		return false
	}
}

// An answerBody is the body of an answer. At its end the connection is returned to
// the pool.
type answerBody struct {
	io.Reader
	exchange *exchange
}

// Read returns io.EOF only at the end of a complete body.
func (b *answerBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if err != nil {
		b.exchange.finish(errors.Is(err, io.EOF))
	}
	return n, err
}

// Close closes the connection unless the body was read to its end.
func (b *answerBody) Close() error {
	b.exchange.finish(false)
	return nil
}

// The bounds of final statuses (RFC 9110, section 15).
const (
	minFinalStatus = 200
	maxFinalStatus = 599
)

// ValidStatus reports whether status is a final status. An interim status, such as
// an unsolicited switch of protocols, is invalid as the answer to a request.
func ValidStatus(status int) bool {
	return status >= minFinalStatus && status <= maxFinalStatus
}

// checkAnswer returns an error for an answer that cannot be forwarded: one with an
// invalid status, or one that ends where its connection is closed, since a
// truncated answer of that kind looks complete.
func checkAnswer(a *http.Response) error {
	noLength := a.ContentLength < 0 && len(a.TransferEncoding) == 0 && a.Body != http.NoBody
	if !noLength && ValidStatus(a.StatusCode) {
		return nil
	}
	return errors.Errorf("status %d, no length: %t", a.StatusCode, noLength)
}
