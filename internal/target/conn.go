package target

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// errHeadTooLarge is returned if the head of an answer exceeds maxHeadBytes.
var errHeadTooLarge = errors.New("target: head is too large")

// A conn is one connection to a target.
type conn struct {
	net.Conn
	address   netip.AddrPort
	reader    *bufio.Reader
	writer    *bufio.Writer
	idleSince time.Time
	// headBytesLeft is how many bytes of a head may still be read; negative means
	// no limit.
	headBytesLeft int
}

// dial opens a connection to a target.
func dial(ctx context.Context, to netip.AddrPort) (*conn, error) {
	d := net.Dialer{Timeout: dialTimeout}
	n, err := d.DialContext(ctx, "tcp", to.String())
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: n, address: to, headBytesLeft: -1}
	c.reader = bufio.NewReader(c)
	c.writer = bufio.NewWriter(n)
	return c, nil
}

// Read enforces the limit of headBytesLeft.
func (c *conn) Read(p []byte) (int, error) {
	if c.headBytesLeft < 0 {
		return c.Conn.Read(p)
	}
	if c.headBytesLeft == 0 {
		return 0, errHeadTooLarge
	}
	n, err := c.Conn.Read(p[:min(len(p), c.headBytesLeft)])
	c.headBytesLeft -= n
	return n, err
}

// writeRequest writes the whole request.
func (c *conn) writeRequest(r *http.Request) error {
	if err := r.Write(c.writer); err != nil {
		return err
	}
	return c.writer.Flush()
}

// readHead reads the head of the answer to r and skips interim answers.
func (c *conn) readHead(r *http.Request) (*http.Response, error) {
	c.headBytesLeft = maxHeadBytes
	defer func() { c.headBytesLeft = -1 }()
	for range maxInterimResponses {
		a, err := http.ReadResponse(c.reader, r)
		if err != nil {
			return nil, err
		}
		if a.StatusCode < http.StatusContinue || a.StatusCode >= http.StatusOK || a.StatusCode == http.StatusSwitchingProtocols {
			return a, nil
		}
	}
	return nil, errors.New("target: too many interim answers")
}

// reusable reports whether the connection is open and no bytes are left on it. Such
// bytes would be read as the answer to the next request.
func (c *conn) reusable() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	s, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	empty := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		empty = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && empty
}

// A pool holds the idle connections to targets.
type pool struct {
	mu        sync.Mutex
	idle      map[netip.AddrPort][]*conn
	lastSweep time.Time
}

// get returns the most recently used connection that can be reused, or a new one.
func (p *pool) get(ctx context.Context, to netip.AddrPort) (*conn, error) {
	for {
		c := p.pop(to)
		if c == nil {
			return dial(ctx, to)
		}
		if time.Since(c.idleSince) < idleTimeout && c.reusable() {
			return c, nil
		}
		c.Close()
	}
}

// pop removes and returns the most recently used idle connection, nil if there is
// none.
func (p *pool) pop(to netip.AddrPort) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.idle[to]
	if len(l) == 0 {
		return nil
	}
	c := l[len(l)-1]
	p.idle[to] = l[:len(l)-1]
	return c
}

// put adds an idle connection, or closes it if the pool is full or closed.
func (p *pool) put(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.idleSince = time.Now()
	if p.idle == nil || len(p.idle[c.address]) >= maxIdlePerTarget {
		c.Close()
		return
	}
	p.idle[c.address] = append(p.idle[c.address], c)
	if c.idleSince.Sub(p.lastSweep) > idleTimeout {
		p.lastSweep = c.idleSince
		p.sweep(c.idleSince)
	}
}

// sweep closes the connections that have been idle for idleTimeout.
func (p *pool) sweep(now time.Time) {
	for to, l := range p.idle {
		kept := l[:0]
		for _, c := range l {
			if now.Sub(c.idleSince) < idleTimeout {
				kept = append(kept, c)
				continue
			}
			c.Close()
		}
		clear(l[len(kept):])
		p.idle[to] = kept
		if len(kept) == 0 {
			delete(p.idle, to)
		}
	}
}

// close closes the idle connections; later ones are closed by put.
func (p *pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, l := range p.idle {
		for _, c := range l {
			c.Close()
		}
	}
	p.idle = nil
}
