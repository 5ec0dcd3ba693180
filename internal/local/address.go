package local

import (
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"

	"github.com/pkg/errors"
)

// The ports that freeAddress tries. They lie below the range that systems use for
// outgoing connections, so that no connection takes a port between its choice and
// its use.
const (
	minPort   = 12_000
	portCount = 18_000
)

// allocatedPorts holds the ports that freeAddress returned in this process, so
// that it returns none twice before it is in use.
var allocatedPorts = struct {
	sync.Mutex
	ports map[uint16]bool
}{ports: make(map[uint16]bool)}

// freeAddress returns a loopback address whose port is free for TCP and UDP.
func freeAddress() (netip.AddrPort, error) {
	allocatedPorts.Lock()
	defer allocatedPorts.Unlock()
	for range portCount {
		p := uint16(minPort + rand.IntN(portCount)) //nolint:gosec // A port needs no secret.
		if allocatedPorts.ports[p] {
			continue
		}
		a := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), p)
		if isFree(a) {
			allocatedPorts.ports[p] = true
			return a, nil
		}
	}
	return netip.AddrPort{}, errors.New("local: no free port")
}

func isFree(a netip.AddrPort) bool {
	l, err := net.Listen("tcp", a.String())
	if err != nil {
		return false
	}
	defer l.Close()
	u, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(a))
	if err != nil {
		return false
	}
	u.Close()
	return true
}
