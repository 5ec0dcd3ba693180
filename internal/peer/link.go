package peer

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/quic-go/quic-go"
)

// redialPause is how long an address that did not answer is left alone: what
// is opened meanwhile fails at once, so that it can go elsewhere.
const redialPause = 100 * time.Millisecond

// sweepEvery is after how many new links a node looks for dead ones.
const sweepEvery = 64

// A link is the connection to one peer, dialled when it is first needed.
type link struct {
	to netip.AddrPort

	mu    sync.Mutex
	conn  *quic.Conn
	watch *watch
	// dial is the last one, which may still run.
	dial *dial
	// gone is set once the node no longer knows the link.
	gone bool
}

// A dial is one try to connect; all that need the connection wait for it together.
type dial struct {
	done chan struct{}

	// The fields below are set before done is closed.
	watch *watch
	err   error
	until time.Time
}

// over reports whether the dial's result is of no more use.
func (d *dial) over(now time.Time) bool {
	return d.ended() && !now.Before(d.until)
}

func (d *dial) ended() bool {
	select {
	case <-d.done:
		return true
	default:
		return false
	}
}

func (l *link) alive() bool {
	return l.conn != nil && l.conn.Context().Err() == nil
}

// begin returns the watch of the connection where it lives, else the dial to
// wait for, else nothing where the link is gone.
func (l *link) begin(n *Node) (*watch, *dial) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case l.gone:
		return nil, nil
	case l.alive():
		return l.watch, nil
	case l.dial == nil || l.dial.over(time.Now()):
		l.dial = &dial{done: make(chan struct{})}
		go n.dial(l, l.dial)
	}
	return nil, l.dial
}

// dial connects for all who wait, whichever of them gives up meanwhile.
func (n *Node) dial(l *link, d *dial) {
	defer close(d.done)
	c, err := n.connect(context.Background(), l.to)
	if err != nil {
		d.err = err
		d.until = time.Now().Add(redialPause)
		return
	}
	d.watch = &watch{node: n, link: l, conn: c}
	l.set(d.watch)
}

func (l *link) set(w *watch) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.gone {
		go func() { _ = w.conn.CloseWithError(codeDone, "") }()
		return
	}
	l.watch = w
	l.conn = w.conn
}

// replace puts c, which may be nil, in the place of old and reports whether
// old was still in its place.
func (l *link) replace(old, c *quic.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn != old {
		return false
	}
	node := l.watch.node
	l.conn = c
	l.watch = nil
	if c != nil {
		l.watch = &watch{node: node, link: l, conn: c}
	}
	return true
}

// drop marks a link that has neither connection nor dial as gone and reports
// whether it did.
func (l *link) drop() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.alive() || l.dial != nil && !l.dial.ended() {
		return false
	}
	l.gone = true
	return true
}

func (l *link) close() {
	l.mu.Lock()
	c := l.conn
	l.conn = nil
	l.watch = nil
	l.gone = true
	l.mu.Unlock()
	if c != nil {
		_ = c.CloseWithError(codeDone, "")
	}
}

// connected returns a living connection, dialling where there is none.
func (n *Node) connected(ctx context.Context, to netip.AddrPort) (*watch, error) {
	for {
		l, err := n.link(to)
		if err != nil {
			return nil, err
		}
		w, d := l.begin(n)
		switch {
		case w != nil:
			return w, nil
		case d == nil:
			continue
		}
		select {
		case <-d.done:
			return d.watch, d.err
		case <-ctx.Done():
			return nil, errors.Wrap(ErrNotSent, ctx.Err().Error())
		}
	}
}

func (n *Node) link(to netip.AddrPort) (*link, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.links == nil {
		return nil, errors.Wrap(ErrNotSent, ErrClosed.Error())
	}
	l := n.links[to]
	if l == nil {
		n.sweep()
		l = &link{to: to}
		n.links[to] = l
	}
	return l, nil
}

// sweep drops the dead links once so many were added that it is worth a look.
func (n *Node) sweep() {
	if len(n.links) < max(sweepEvery, n.sweepAt) {
		return
	}
	for to, l := range n.links {
		if l.drop() {
			delete(n.links, to)
		}
	}
	n.sweepAt = len(n.links) + sweepEvery
}

// connect dials a new connection; the peer opens no streams on it.
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

// Disconnect closes the connection to a peer that has gone.
func (n *Node) Disconnect(to netip.AddrPort) {
	n.mu.Lock()
	l := n.links[to]
	delete(n.links, to)
	n.mu.Unlock()
	if l != nil {
		l.close()
	}
}
