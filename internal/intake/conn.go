package intake

import (
	"bytes"
	"container/list"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

const (
	// minIncompleteAge is the age from which an incomplete request is closed before an idle
	// connection; an ordinary request arrives within a few round trips.
	minIncompleteAge = time.Second
	// defaultWriteTimeout bounds one write to a client that does not read its responses. Responses are
	// small, and callers wait up to 3 s for one.
	defaultWriteTimeout = 5 * time.Second
	// freeHeaderBytes is how much of a header is not counted; ordinary headers are shorter.
	freeHeaderBytes = 1 << 10
	// maxPipelined is how many requests of a connection may have arrived whole before the response to
	// the one before. A client that waits for its responses has none, and a connection's buffers
	// hold a thousand, which take a small machine's processor from other callers.
	maxPipelined = 16
	// headerFactor is the memory of a decoded header by its bytes: a line of four bytes takes an
	// entry of a map, a key and a slice.
	headerFactor = 24
)

// headerEnd ends a header.
var headerEnd = []byte("\r\n\r\n")

// A Listener bounds the connections that are open at once. When a further one arrives, the
// connection with the oldest incomplete request is closed if that has taken longer than
// minIncompleteAge; or else the one that has been idle for the longest, the one with the oldest
// incomplete request, or the new one.
type Listener struct {
	net.Listener
	// WriteTimeout bounds each write to a client; 0 leaves the deadlines to the handler. It's set
	// before Accept.
	WriteTimeout time.Duration
	intake       *Intake
	maxConns     func() int

	mu sync.Mutex
	// open is the number of open connections.
	open int
	// incomplete and idle hold the connections in these phases, the oldest first.
	incomplete, idle list.List
}

// A conn is an accepted connection.
type conn struct {
	net.Conn
	listener *Listener
	// arrived counts the bytes that were read since the start of the request's header or body.
	arrived atomic.Int64
	// inHeader is set while a header arrives.
	inHeader atomic.Bool

	// The fields below are guarded by the listener's mutex.
	// since is when the phase began.
	phase  *list.List
	place  *list.Element
	since  time.Time
	closed bool

	// pipelined counts requests that had arrived whole before the response to the one before, and
	// closing is set once the next response ends the connection; the goroutine of the connection uses them.
	pipelined int
	closing   bool
	// header is the reservation for the header; it is used by the goroutine of the connection.
	header     *Reservation
	headerSize int64
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		n, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &conn{Conn: n, listener: l}
		c.inHeader.Store(true)
		victim := l.add(c)
		if victim != nil {
			l.intake.report(ReasonConnections)
			_ = victim.Close()
		}
		if victim != c {
			return c, nil
		}
	}
}

// add admits c and returns the connection that must be closed for it, which may be c; nil if
// none.
func (l *Listener) add(c *conn) *conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open++
	if l.open <= l.maxConns() {
		l.move(c, &l.incomplete)
		return nil
	}
	e := l.incomplete.Front()
	if idle := l.idle.Front(); idle != nil && (e == nil || time.Since(e.Value.(*conn).since) < minIncompleteAge) {
		e = idle
	}
	if e == nil {
		return c
	}
	l.move(c, &l.incomplete)
	return e.Value.(*conn)
}

// move changes the phase of a connection; nil is a request that is complete and in work.
func (l *Listener) move(c *conn, to *list.List) {
	if c.phase != nil {
		c.phase.Remove(c.place)
	}
	c.phase, c.place, c.since = to, nil, time.Now()
	if to != nil && !c.closed {
		c.place = to.PushBack(c)
	} else {
		c.phase = nil
	}
}

func (c *conn) setPhase(to *list.List) {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	if to != c.phase {
		c.listener.move(c, to)
	}
}

// Close implements net.Conn.
func (c *conn) Close() error {
	l := c.listener
	l.mu.Lock()
	if !c.closed {
		c.closed = true
		l.open--
		l.move(c, nil)
	}
	l.mu.Unlock()
	return c.Conn.Close()
}

// CloseWrite lets the HTTP server end its side before it closes the connection.
func (c *conn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}

// Read implements net.Conn. It counts what arrives and reserves memory for long headers.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	arrived := c.arrived.Add(int64(n))
	// The HTTP server reads a single byte in another goroutine as a request begins to be in work.
	if n == 0 || len(b) == 1 || !c.inHeader.Load() || arrived <= freeHeaderBytes {
		return n, err
	}
	counted := n
	if end := bytes.Index(b[:n], headerEnd); end >= 0 {
		// The rest belongs to the body.
		counted = end + len(headerEnd)
	}
	if arrived-int64(n-counted) <= freeHeaderBytes {
		return n, err
	}
	if c.header == nil {
		c.header = c.listener.intake.budget.Open(func() { _ = c.Close() })
	}
	size := int64(counted) * headerFactor
	if err := c.header.Reserve(size); err != nil {
		c.listener.intake.report(ReasonHeaderBytes)
		_ = c.Close()
		c.releaseHeader()
		return 0, err
	}
	c.headerSize += size
	return n, err
}

// Write implements net.Conn.
func (c *conn) Write(b []byte) (int, error) {
	if t := c.listener.WriteTimeout; t > 0 {
		// An error shows up in the write.
		_ = c.SetWriteDeadline(time.Now().Add(t))
	}
	n, err := c.Conn.Write(b)
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		c.listener.intake.report(ReasonSlowReader)
	}
	return n, err
}

// countPipelined counts a request of which nothing arrived since the connection was idle. It
// reports whether the connection has to end.
func (c *conn) countPipelined() bool {
	if c.arrived.Load() == 0 {
		c.pipelined++
	}
	c.closing = c.pipelined > maxPipelined
	return c.closing
}

// headerDone corrects the reservation to the lines that the header has, and starts to count the
// bytes of the body.
func (c *conn) headerDone(lines int) {
	c.inHeader.Store(false)
	c.arrived.Store(0)
	if c.header == nil {
		return
	}
	// The request is not evicted for its header any more. If it has been, its connection is closed.
	_ = c.header.Complete()
	const lineBytes, freeLines = 200, 50
	keep := int64(0)
	if lines > freeLines {
		keep = int64(lines) * lineBytes
	}
	if c.headerSize > keep {
		c.header.Shrink(c.headerSize - keep)
		c.headerSize = keep
	}
}

func (c *conn) releaseHeader() {
	if c.header != nil {
		c.header.Release()
		c.header, c.headerSize = nil, 0
	}
}
