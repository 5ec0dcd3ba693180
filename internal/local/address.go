package local

import (
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"

	"github.com/pkg/errors"
)

// The ports that are tried lie below those that systems give to outgoing
// connections, so that none is taken between the choice and the use.
const (
	lowestPort = 12_000
	ports      = 18_000
)

// drawn are the ports that this process was given, so that none is given twice
// before it is used.
var drawn = struct {
	sync.Mutex
	ports map[uint16]bool
}{ports: make(map[uint16]bool)}

// freeAddress finds a port that is free for TCP and UDP.
func freeAddress() (netip.AddrPort, error) {
	drawn.Lock()
	defer drawn.Unlock()
	for range ports {
		p := uint16(lowestPort + rand.IntN(ports)) //nolint:gosec // A port needs no secret.
		if drawn.ports[p] {
			continue
		}
		a := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), p)
		if isFree(a) {
			drawn.ports[p] = true
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
