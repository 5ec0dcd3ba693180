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

// errHead is returned for a head of an answer that is too large.
var errHead = errors.New("target: head is too large")

// A conn is one connection to a target.
type conn struct {
	net.Conn
	to     netip.AddrPort
	reader *bufio.Reader
	writer *bufio.Writer
	since  time.Time
	// left is how many bytes a head may still take; negative means no bound.
	left int
}

func dial(ctx context.Context, to netip.AddrPort) (*conn, error) {
	d := net.Dialer{Timeout: dialTimeout}
	n, err := d.DialContext(ctx, "tcp", to.String())
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: n, to: to, left: -1}
	c.reader = bufio.NewReader(c)
	c.writer = bufio.NewWriter(n)
	return c, nil
}

// Read keeps a head within its bound.
func (c *conn) Read(p []byte) (int, error) {
	if c.left < 0 {
		return c.Conn.Read(p)
	}
	if c.left == 0 {
		return 0, errHead
	}
	n, err := c.Conn.Read(p[:min(len(p), c.left)])
	c.left -= n
	return n, err
}

func (c *conn) write(r *http.Request) error {
	if err := r.Write(c.writer); err != nil {
		return err
	}
	return c.writer.Flush()
}

// head reads the head of the answer to r and passes over interim ones.
func (c *conn) head(r *http.Request) (*http.Response, error) {
	c.left = maxHeadBytes
	defer func() { c.left = -1 }()
	for range maxInterim {
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

// clean reports whether the connection lives and nothing came on it that no
// request asked for.
func (c *conn) clean() bool {
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
	silent := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		silent = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && silent
}

// A pool keeps the connections that wait for a request.
type pool struct {
	mu    sync.Mutex
	idle  map[netip.AddrPort][]*conn
	swept time.Time
}

// take returns the connection used last that still works, or a new one.
func (p *pool) take(ctx context.Context, to netip.AddrPort) (*conn, error) {
	for {
		c := p.pop(to)
		if c == nil {
			return dial(ctx, to)
		}
		if time.Since(c.since) < idleTimeout && c.clean() {
			return c, nil
		}
		c.Close()
	}
}

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

func (p *pool) put(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.since = time.Now()
	if p.idle == nil || len(p.idle[c.to]) >= maxIdle {
		c.Close()
		return
	}
	p.idle[c.to] = append(p.idle[c.to], c)
	if c.since.Sub(p.swept) > idleTimeout {
		p.swept = c.since
		p.sweep(c.since)
	}
}

// sweep closes what has waited for too long.
func (p *pool) sweep(now time.Time) {
	for to, l := range p.idle {
		kept := l[:0]
		for _, c := range l {
			if now.Sub(c.since) < idleTimeout {
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
