// Package memory provides an in-memory link.Network with simulated network
// partitions, for tests that run on a fake clock.
package memory

import (
	"context"
	"net"
	"net/netip"
	"sync"

	"github.com/pkg/errors"

	"github.com/sesamestream/sesamestream/internal/link"
)

// ErrRefused is returned by Dial if nothing listens at the address.
var ErrRefused = errors.New("memory: connection refused")

// datagramQueueLength is how many unread datagrams a socket holds before it drops further ones.
const datagramQueueLength = 64

// A Net is a simulated network that connects nodes by address. The zero value is ready to use.
type Net struct {
	mu          sync.Mutex
	listeners   map[netip.AddrPort]*listener
	packetConns map[netip.AddrPort]*packetConn
	partitioned map[[2]netip.Addr]bool
	conns       map[*conn]bool
}

// A Host is the view of a Net from one address.
type Host struct {
	Net  *Net
	Addr netip.Addr
}

var _ link.Network = Host{}

// addrPair returns the addresses in ascending order, as a key that doesn't depend on direction.
func addrPair(a, b netip.Addr) [2]netip.Addr {
	if b.Less(a) {
		a, b = b, a
	}
	return [2]netip.Addr{a, b}
}

// SetPartitioned starts or ends a partition between a and b. During a
// partition datagrams are dropped and dials block. Connections that are open
// at its start lose all further data without an error, also after it has ended.
func (n *Net) SetPartitioned(a, b netip.Addr, partitioned bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.partitioned == nil {
		n.partitioned = map[[2]netip.Addr]bool{}
	}
	n.partitioned[addrPair(a, b)] = partitioned
	if !partitioned {
		return
	}
	for c := range n.conns {
		if c.addrs == addrPair(a, b) {
			c.partition()
		}
	}
}

// CloseConns closes all connections from or to a.
func (n *Net) CloseConns(a netip.Addr) {
	n.mu.Lock()
	var cs []*conn
	for c := range n.conns {
		if c.addrs[0] == a || c.addrs[1] == a {
			cs = append(cs, c)
		}
	}
	n.mu.Unlock()
	for _, c := range cs {
		_ = c.Close()
	}
}

type listener struct {
	net   *Net
	addr  netip.AddrPort
	conns chan net.Conn
	done  chan struct{}
	once  sync.Once
}

// Listen implements link.Network.
func (h Host) Listen(_ context.Context, a netip.AddrPort) (net.Listener, error) {
	n := h.Net
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listeners == nil {
		n.listeners = map[netip.AddrPort]*listener{}
	}
	l := &listener{net: n, addr: a, conns: make(chan net.Conn), done: make(chan struct{})}
	n.listeners[a] = l
	return l, nil
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

func (l *listener) Close() error {
	l.once.Do(func() { close(l.done) })
	l.net.mu.Lock()
	defer l.net.mu.Unlock()
	if l.net.listeners[l.addr] == l {
		delete(l.net.listeners, l.addr)
	}
	return nil
}

func (l *listener) Addr() net.Addr { return net.TCPAddrFromAddrPort(l.addr) }

// conn is one end of a connection.
type conn struct {
	net.Conn
	net           *Net
	addrs         [2]netip.Addr
	partitioned   chan struct{}
	closed        chan struct{}
	partitionOnce *sync.Once
	closeOnce     *sync.Once
}

func (c *conn) partition() { c.partitionOnce.Do(func() { close(c.partitioned) }) }

func (c *conn) Write(b []byte) (int, error) {
	select {
	case <-c.partitioned:
		// A write across a partition succeeds, and its data is lost.
		return len(b), nil
	default:
	}
	n, err := c.Conn.Write(b)
	select {
	case <-c.partitioned:
		return len(b), nil
	default:
		return n, err
	}
}

func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	select {
	case <-c.partitioned:
		// Neither data nor the close of the peer crosses a partition.
		<-c.closed
		return 0, net.ErrClosed
	default:
		return n, err
	}
}

func (c *conn) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	c.net.mu.Lock()
	delete(c.net.conns, c)
	c.net.mu.Unlock()
	return c.Conn.Close()
}

// Dial implements link.Network.
func (h Host) Dial(ctx context.Context, a netip.AddrPort) (net.Conn, error) {
	n := h.Net
	n.mu.Lock()
	l := n.listeners[a]
	blocked := n.partitioned[addrPair(h.Addr, a.Addr())]
	n.mu.Unlock()
	if blocked {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if l == nil {
		return nil, ErrRefused
	}
	x, y := net.Pipe()
	partitioned, once := make(chan struct{}), &sync.Once{}
	local := &conn{Conn: x, net: n, addrs: addrPair(h.Addr, a.Addr()), partitioned: partitioned, partitionOnce: once, closed: make(chan struct{}), closeOnce: &sync.Once{}}
	remote := &conn{Conn: y, net: n, addrs: local.addrs, partitioned: partitioned, partitionOnce: once, closed: make(chan struct{}), closeOnce: &sync.Once{}}
	n.mu.Lock()
	if n.conns == nil {
		n.conns = map[*conn]bool{}
	}
	n.conns[local], n.conns[remote] = true, true
	n.mu.Unlock()
	select {
	case l.conns <- remote:
		return local, nil
	case <-l.done:
	case <-ctx.Done():
	}
	_ = local.Close()
	_ = remote.Close()
	return nil, ErrRefused
}

type datagram struct {
	payload []byte
	from    netip.AddrPort
}

type packetConn struct {
	net  *Net
	addr netip.AddrPort
	in   chan datagram
	done chan struct{}
	once sync.Once
}

// Packets implements link.Network.
func (h Host) Packets(a netip.AddrPort) (link.PacketConn, error) {
	n := h.Net
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.packetConns == nil {
		n.packetConns = map[netip.AddrPort]*packetConn{}
	}
	p := &packetConn{net: n, addr: a, in: make(chan datagram, datagramQueueLength), done: make(chan struct{})}
	n.packetConns[a] = p
	return p, nil
}

func (p *packetConn) ReadFromUDPAddrPort(b []byte) (int, netip.AddrPort, error) {
	select {
	case x := <-p.in:
		return copy(b, x.payload), x.from, nil
	case <-p.done:
		return 0, netip.AddrPort{}, net.ErrClosed
	}
}

func (p *packetConn) WriteToUDPAddrPort(b []byte, to netip.AddrPort) (int, error) {
	p.net.mu.Lock()
	q := p.net.packetConns[to]
	blocked := p.net.partitioned[addrPair(p.addr.Addr(), to.Addr())]
	p.net.mu.Unlock()
	if q != nil && !blocked {
		select {
		case q.in <- datagram{append([]byte(nil), b...), p.addr}:
		default:
		}
	}
	return len(b), nil
}

func (p *packetConn) Close() error {
	p.once.Do(func() { close(p.done) })
	return nil
}
