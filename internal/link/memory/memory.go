// Package memory is a network in memory whose links can be cut; tests use it
// with a paused clock.
package memory

import (
	"context"
	"net"
	"net/netip"
	"sync"

	"github.com/pkg/errors"

	"github.com/sesamestream/sesamestream/internal/link"
)

// ErrRefused is returned where nobody listens.
var ErrRefused = errors.New("memory: connection refused")

// queue is how many datagrams wait for a slow reader.
const queue = 64

// A Net connects the addresses of nodes. Its zero value is empty.
type Net struct {
	mu        sync.Mutex
	listeners map[netip.AddrPort]*listener
	packets   map[netip.AddrPort]*packets
	cut       map[[2]netip.Addr]bool
	conns     map[*conn]bool
}

// A Host is the network as one address sees it.
type Host struct {
	Net  *Net
	Addr netip.Addr
}

var _ link.Network = Host{}

func pair(a, b netip.Addr) [2]netip.Addr {
	if b.Less(a) {
		a, b = b, a
	}
	return [2]netip.Addr{a, b}
}

// SetPartitioned silences all between a and b, or heals it: what is sent meanwhile is
// lost with its connection, which nobody is told of.
func (n *Net) SetPartitioned(a, b netip.Addr, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cut == nil {
		n.cut = map[[2]netip.Addr]bool{}
	}
	n.cut[pair(a, b)] = cut
	if !cut {
		return
	}
	for c := range n.conns {
		if c.ends == pair(a, b) {
			c.silence()
		}
	}
}

// CloseConns closes all connections of a.
func (n *Net) CloseConns(a netip.Addr) {
	n.mu.Lock()
	var cs []*conn
	for c := range n.conns {
		if c.ends[0] == a || c.ends[1] == a {
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

// conn is one side of a connection.
type conn struct {
	net.Conn
	net    *Net
	ends   [2]netip.Addr
	silent chan struct{}
	closed chan struct{}
	once   *sync.Once
	end    *sync.Once
}

func (c *conn) silence() { c.once.Do(func() { close(c.silent) }) }

func (c *conn) Write(b []byte) (int, error) {
	select {
	case <-c.silent:
		// It's sent, and lost.
		return len(b), nil
	default:
	}
	n, err := c.Conn.Write(b)
	select {
	case <-c.silent:
		return len(b), nil
	default:
		return n, err
	}
}

func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	select {
	case <-c.silent:
		// Neither bytes nor the end get through.
		<-c.closed
		return 0, net.ErrClosed
	default:
		return n, err
	}
}

func (c *conn) Close() error {
	c.end.Do(func() { close(c.closed) })
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
	cut := n.cut[pair(h.Addr, a.Addr())]
	n.mu.Unlock()
	if cut {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if l == nil {
		return nil, ErrRefused
	}
	x, y := net.Pipe()
	silent, once := make(chan struct{}), &sync.Once{}
	mine := &conn{Conn: x, net: n, ends: pair(h.Addr, a.Addr()), silent: silent, once: once, closed: make(chan struct{}), end: &sync.Once{}}
	theirs := &conn{Conn: y, net: n, ends: mine.ends, silent: silent, once: once, closed: make(chan struct{}), end: &sync.Once{}}
	n.mu.Lock()
	if n.conns == nil {
		n.conns = map[*conn]bool{}
	}
	n.conns[mine], n.conns[theirs] = true, true
	n.mu.Unlock()
	select {
	case l.conns <- theirs:
		return mine, nil
	case <-l.done:
	case <-ctx.Done():
	}
	_ = mine.Close()
	_ = theirs.Close()
	return nil, ErrRefused
}

type packet struct {
	b    []byte
	from netip.AddrPort
}

type packets struct {
	net  *Net
	addr netip.AddrPort
	in   chan packet
	done chan struct{}
	once sync.Once
}

// Packets implements link.Network.
func (h Host) Packets(a netip.AddrPort) (link.PacketConn, error) {
	n := h.Net
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.packets == nil {
		n.packets = map[netip.AddrPort]*packets{}
	}
	p := &packets{net: n, addr: a, in: make(chan packet, queue), done: make(chan struct{})}
	n.packets[a] = p
	return p, nil
}

func (p *packets) ReadFromUDPAddrPort(b []byte) (int, netip.AddrPort, error) {
	select {
	case x := <-p.in:
		return copy(b, x.b), x.from, nil
	case <-p.done:
		return 0, netip.AddrPort{}, net.ErrClosed
	}
}

func (p *packets) WriteToUDPAddrPort(b []byte, to netip.AddrPort) (int, error) {
	p.net.mu.Lock()
	q := p.net.packets[to]
	cut := p.net.cut[pair(p.addr.Addr(), to.Addr())]
	p.net.mu.Unlock()
	if q != nil && !cut {
		select {
		case q.in <- packet{append([]byte(nil), b...), p.addr}:
		default:
		}
	}
	return len(b), nil
}

func (p *packets) Close() error {
	p.once.Do(func() { close(p.done) })
	return nil
}
