package gossip

import (
	"net"
	"net/netip"
	"time"
)

// UDP is a Transport over a separate UDP socket.
type UDP struct{ Conn *net.UDPConn }

// WriteTo sends b to the address to.
func (u UDP) WriteTo(b []byte, to netip.AddrPort) error {
	_, err := u.Conn.WriteToUDPAddrPort(b, to)
	return err
}

// ReadFrom reads one packet into b and returns its size and sender.
func (u UDP) ReadFrom(b []byte) (int, netip.AddrPort, error) {
	n, from, err := u.Conn.ReadFromUDPAddrPort(b)
	return n, netip.AddrPortFrom(from.Addr().Unmap(), from.Port()), err
}

// SetReadDeadline sets the time at which pending and later reads fail.
func (u UDP) SetReadDeadline(t time.Time) error {
	return u.Conn.SetReadDeadline(t)
}
