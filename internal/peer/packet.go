package peer

import (
	"context"
	"net"
	"net/netip"

	"github.com/pkg/errors"
	"github.com/quic-go/quic-go"
)

// Packets sends and receives single UDP packets on the port that the node uses for QUIC. The
// first byte of a packet must be less than 0x40, which distinguishes it from QUIC packets
// (RFC 9443).
type Packets struct {
	// Node is the node whose port is shared.
	Node *Node
	// Context ends pending and later reads.
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

// WriteTo sends b to a peer, without confirmation of delivery.
func (p *Packets) WriteTo(b []byte, to netip.AddrPort) error {
	t, err := p.transport()
	if err != nil {
		return err
	}
	_, err = t.WriteTo(b, net.UDPAddrFromAddrPort(to))
	return errors.Wrap(err, "peer: write packet")
}

// ReadFrom waits for one packet, reads it into b and returns its size and sender.
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
		return 0, netip.AddrPort{}, errors.Errorf("peer: packet from an address of network %s", from.Network())
	}
	a := u.AddrPort()
	return n, netip.AddrPortFrom(a.Addr().Unmap(), a.Port()), nil
}
