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

// redialDelay is the wait after a failed dial before the address is dialled again. Exchanges
// opened in the meantime fail immediately, so that the caller can try another peer.
const redialDelay = 100 * time.Millisecond

// newLinksPerSweep is the number of links added between two removals of dead links.
const newLinksPerSweep = 64

// A link holds the connection to one peer, which is dialled on first use.
type link struct {
	to netip.AddrPort

	mu      sync.Mutex
	conn    *quic.Conn
	watcher *connWatcher
	// lastDial is the newest dial, which may still be running.
	lastDial *dialAttempt
	// removed is set once the link is not in Node.links any more; it must not be used then.
	removed bool
}

// A dialAttempt is one attempt to connect, which all exchanges that need the connection share.
type dialAttempt struct {
	done chan struct{}

	// The fields below are set before done is closed and not changed afterwards. After a
	// failure err is set, and retryAt is when the address may be dialled again.
	watcher *connWatcher
	err     error
	retryAt time.Time
}

// expired reports whether the dial has finished and its retry time has come.
func (d *dialAttempt) expired(now time.Time) bool {
	return d.finished() && !now.Before(d.retryAt)
}

func (d *dialAttempt) finished() bool {
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

// watcherOrDial returns the watcher of the connection if it is open, or else the dial to wait
// for, which it starts if needed. It returns neither if the link has been removed.
func (l *link) watcherOrDial(n *Node) (*connWatcher, *dialAttempt) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case l.removed:
		return nil, nil
	case l.alive():
		return l.watcher, nil
	case l.lastDial == nil || l.lastDial.expired(time.Now()):
		l.lastDial = &dialAttempt{done: make(chan struct{})}
		go n.dial(l, l.lastDial)
	}
	return nil, l.lastDial
}

// dial connects independently of the exchanges that wait for it, so that one that is
// cancelled doesn't cancel the dial of the others.
func (n *Node) dial(l *link, d *dialAttempt) {
	defer close(d.done)
	c, err := n.connect(context.Background(), l.to)
	if err != nil {
		d.err = err
		d.retryAt = time.Now().Add(redialDelay)
		return
	}
	d.watcher = &connWatcher{node: n, link: l, conn: c}
	l.setConnection(d.watcher)
}

// setConnection makes the connection of w the link's connection, or closes it if the link
// has been removed.
func (l *link) setConnection(w *connWatcher) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.removed {
		go func() { _ = w.conn.CloseWithError(closeCodeNormal, "") }()
		return
	}
	l.watcher = w
	l.conn = w.conn
}

// replaceConnection replaces old by c, which may be nil. It does nothing and reports false if
// old is not the link's connection any more.
func (l *link) replaceConnection(old, c *quic.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn != old {
		return false
	}
	node := l.watcher.node
	l.conn = c
	l.watcher = nil
	if c != nil {
		l.watcher = &connWatcher{node: node, link: l, conn: c}
	}
	return true
}

// removeIfDead marks a link as removed if it has neither an open connection nor a running
// dial, and reports whether it did.
func (l *link) removeIfDead() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.alive() || l.lastDial != nil && !l.lastDial.finished() {
		return false
	}
	l.removed = true
	return true
}

func (l *link) close() {
	l.mu.Lock()
	c := l.conn
	l.conn = nil
	l.watcher = nil
	l.removed = true
	l.mu.Unlock()
	if c != nil {
		_ = c.CloseWithError(closeCodeNormal, "")
	}
}

// connectionTo returns the watcher of an open connection to a peer, and dials if there is
// none. Errors are ErrNotSent.
func (n *Node) connectionTo(ctx context.Context, to netip.AddrPort) (*connWatcher, error) {
	for {
		l, err := n.linkTo(to)
		if err != nil {
			return nil, err
		}
		w, d := l.watcherOrDial(n)
		switch {
		case w != nil:
			return w, nil
		case d == nil:
			continue
		}
		select {
		case <-d.done:
			return d.watcher, d.err
		case <-ctx.Done():
			return nil, errors.Wrap(ErrNotSent, ctx.Err().Error())
		}
	}
}

// linkTo returns the link to a peer, which it adds if there is none.
func (n *Node) linkTo(to netip.AddrPort) (*link, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.links == nil {
		return nil, errors.Wrap(ErrNotSent, ErrClosed.Error())
	}
	l := n.links[to]
	if l == nil {
		n.removeDeadLinks()
		l = &link{to: to}
		n.links[to] = l
	}
	return l, nil
}

// removeDeadLinks removes the links without a connection or a dial if the number of links has
// reached the threshold. n.mu must be held.
func (n *Node) removeDeadLinks() {
	if len(n.links) < max(newLinksPerSweep, n.sweepThreshold) {
		return
	}
	for to, l := range n.links {
		if l.removeIfDead() {
			delete(n.links, to)
		}
	}
	n.sweepThreshold = len(n.links) + newLinksPerSweep
}

// connect dials a new connection. Only this side opens streams on it.
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

// Disconnect closes the connection to a peer and removes its link.
func (n *Node) Disconnect(to netip.AddrPort) {
	n.mu.Lock()
	l := n.links[to]
	delete(n.links, to)
	n.mu.Unlock()
	if l != nil {
		l.close()
	}
}
