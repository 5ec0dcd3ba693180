package link

import (
	"context"
	"net"
	"net/netip"

	"github.com/pkg/errors"
)

// A Network provides the connections and datagram sockets between nodes.
type Network interface {
	// Listen accepts connections at a.
	Listen(ctx context.Context, a netip.AddrPort) (net.Listener, error)
	// Dial opens a connection to a.
	Dial(ctx context.Context, a netip.AddrPort) (net.Conn, error)
	// Packets opens a datagram socket at a.
	Packets(a netip.AddrPort) (PacketConn, error)
}

// PacketConn is a datagram socket. Datagrams may be lost.
type PacketConn interface {
	ReadFromUDPAddrPort(b []byte) (int, netip.AddrPort, error)
	WriteToUDPAddrPort(b []byte, to netip.AddrPort) (int, error)
	Close() error
}

// IP is the Network of the operating system's TCP and UDP sockets.
type IP struct{}

// Listen implements Network.
func (IP) Listen(ctx context.Context, a netip.AddrPort) (net.Listener, error) {
	l, err := (&net.ListenConfig{}).Listen(ctx, "tcp", a.String())
	return l, errors.Wrap(err, "link: listen")
}

// Dial implements Network.
func (IP) Dial(ctx context.Context, a netip.AddrPort) (net.Conn, error) {
	d := net.Dialer{KeepAlive: -1}
	c, err := d.DialContext(ctx, "tcp", a.String())
	return c, errors.Wrap(err, "link: dial")
}

// Packets implements Network.
func (IP) Packets(a netip.AddrPort) (PacketConn, error) {
	p, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(a))
	return p, errors.Wrap(err, "link: listen for datagrams")
}
