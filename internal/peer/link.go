package peer

import (
	"context"
	"net"
	"net/netip"
	"sync"

	"github.com/pkg/errors"
	"github.com/quic-go/quic-go"
)

// A link is the connection to one peer, dialled when it is first needed.
type link struct {
	to netip.AddrPort
	// dial lets one caller at a time connect.
	dial chan struct{}

	mu    sync.Mutex
	conn  *quic.Conn
	watch *watch
}

func newLink(to netip.AddrPort) *link {
	l := &link{to: to, dial: make(chan struct{}, 1)}
	return l
}

// current returns the watch of the connection where it lives.
func (l *link) current() *watch {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn == nil || l.conn.Context().Err() != nil {
		return nil
	}
	return l.watch
}

func (l *link) set(w *watch) *quic.Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	old := l.conn
	l.watch = w
	l.conn = nil
	if w != nil {
		l.conn = w.conn
	}
	return old
}

// replace puts c, which may be nil, in the place of old.
func (l *link) replace(old, c *quic.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn != old {
		return
	}
	node := l.watch.node
	l.conn = c
	l.watch = nil
	if c != nil {
		l.watch = &watch{node: node, link: l, conn: c}
	}
}

func (l *link) close(code quic.ApplicationErrorCode) {
	if c := l.set(nil); c != nil {
		_ = c.CloseWithError(code, "")
	}
}

// connected returns a living connection, dialling where there is none.
func (n *Node) connected(ctx context.Context, to netip.AddrPort) (*watch, error) {
	l, err := n.link(to)
	if err != nil {
		return nil, err
	}
	if c := l.current(); c != nil {
		return c, nil
	}
	select {
	case l.dial <- struct{}{}:
		defer func() { <-l.dial }()
	case <-ctx.Done():
		return nil, errors.Wrap(ErrNotSent, ctx.Err().Error())
	}
	if c := l.current(); c != nil {
		return c, nil
	}
	c, err := n.connect(ctx, to)
	if err != nil {
		return nil, err
	}
	w := &watch{node: n, link: l, conn: c}
	l.set(w)
	return w, nil
}

func (n *Node) link(to netip.AddrPort) (*link, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.links == nil {
		return nil, errors.Wrap(ErrNotSent, ErrClosed.Error())
	}
	l := n.links[to]
	if l == nil {
		l = newLink(to)
		n.links[to] = l
	}
	return l, nil
}

// connect dials a new connection and answers streams the peer opens on it.
func (n *Node) connect(ctx context.Context, to netip.AddrPort) (*quic.Conn, error) {
	n.mu.Lock()
	t := n.transport
	n.mu.Unlock()
	if t == nil {
		return nil, errors.Wrap(ErrNotSent, ErrClosed.Error())
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	c, err := t.Dial(ctx, net.UDPAddrFromAddrPort(to), n.Keys.clientConfig(), quicConfig())
	if err != nil {
		return nil, errors.Wrapf(ErrNotSent, "dial %s: %v", to, err)
	}
	return c, nil
}

// Forget closes the connection to a peer that has gone.
func (n *Node) Forget(to netip.AddrPort) {
	n.mu.Lock()
	l := n.links[to]
	delete(n.links, to)
	n.mu.Unlock()
	if l != nil {
		l.close(codeDone)
	}
}
