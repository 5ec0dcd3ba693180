package peer

import (
	"context"
	"net"
	"net/netip"

	"github.com/pkg/errors"
	"github.com/quic-go/quic-go"
)

// Packets sends and receives single packets on the node's port, beside QUIC.
// The first byte of a packet is below 0x40, by which QUIC tells them apart
// (RFC 9443).
type Packets struct {
	// Node is the node whose port is shared.
	Node *Node
	// Context ends reading.
	Context context.Context
}

func (p *Packets) transport() (*quic.Transport, error) {
	p.Node.mu.Lock()
	defer p.Node.mu.Unlock()
	if p.Node.transport == nil {
		return nil, ErrClosed
	}
	return p.Node.transport, nil
}

// WriteTo sends b to a peer; nothing tells whether it arrives.
func (p *Packets) WriteTo(b []byte, to netip.AddrPort) error {
	t, err := p.transport()
	if err != nil {
		return err
	}
	_, err = t.WriteTo(b, net.UDPAddrFromAddrPort(to))
	return errors.Wrap(err, "peer: write packet")
}

// ReadFrom waits for one packet.
func (p *Packets) ReadFrom(b []byte) (int, netip.AddrPort, error) {
	t, err := p.transport()
	if err != nil {
		return 0, netip.AddrPort{}, err
	}
	n, from, err := t.ReadNonQUICPacket(p.Context, b)
	if err != nil {
		return 0, netip.AddrPort{}, errors.Wrap(err, "peer: read packet")
	}
	u, ok := from.(*net.UDPAddr)
	if !ok {
		return 0, netip.AddrPort{}, errors.Errorf("peer: packet from %s", from.Network())
	}
	a := u.AddrPort()
	return n, netip.AddrPortFrom(a.Addr().Unmap(), a.Port()), nil
}
