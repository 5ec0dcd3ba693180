package local

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/phuslu/log"

	storestandin "github.com/sesamestream/sesamestream/internal/consul/standin"
	"github.com/sesamestream/sesamestream/internal/peer"
)

// A processFleet is a set of processes of the built binary on loopback addresses. The
// stand-in of the store runs inside the test.
type processFleet struct {
	b      testing.TB
	dir    string
	binary string
	store  *storestandin.Server
	seed   netip.AddrPort
}

func newProcessFleet(b testing.TB) *processFleet {
	b.Helper()
	f := &processFleet{b: b, dir: b.TempDir()}
	f.binary = filepath.Join(f.dir, "sesamestream")
	f.runCommand(exec.Command("go", "build", "-o", f.binary, "../../cmd/sesamestream"))
	f.runCommand(exec.Command(f.binary, "keys", "--dir", filepath.Join(f.dir, "keys")))
	address := f.mustFreeAddress()
	f.store = &storestandin.Server{Address: address, Ready: make(chan struct{})}
	ctx, stop := context.WithCancel(context.Background())
	b.Cleanup(stop)
	go func() { _ = f.store.Run(ctx) }()
	<-f.store.Ready
	return f
}

// runCommand runs a command and fails the test with its output if the command fails.
func (f *processFleet) runCommand(c *exec.Cmd) {
	f.b.Helper()
	if out, err := c.CombinedOutput(); err != nil {
		f.b.Fatal(err, string(out))
	}
}

// mustFreeAddress returns a free address, or fails the test if there is none.
func (f *processFleet) mustFreeAddress() netip.AddrPort {
	address, err := freeAddress()
	if err != nil {
		f.b.Fatal(err)
	}
	return address
}

// A runningProcess is one process of the fleet, with its addresses.
type runningProcess struct {
	peer, host, caller, operator netip.AddrPort

	pid int
}

const settingsFormat = `role: %s
id: %s
place: {region: nam-bo, dataCentre: %s, rack: r1}
peer: {listen: "%s"}
operator: {listen: "%s", tokenFile: keys/token}
%s
store: {address: "http://%s"}
keys: {ca: keys/ca.pem, certificate: keys/peer.pem, key: keys/peer.key, gossip: keys/gossip.key}
seeds: ["%s"]
tasks: {lease: 30s, rideThrough: 2h, shards: 16}
log: error
`

// startProcess runs one process until the test ends.
func (f *processFleet) startProcess(role, id, dataCentre string) runningProcess {
	f.b.Helper()
	r := runningProcess{peer: f.mustFreeAddress(), host: f.mustFreeAddress(), caller: f.mustFreeAddress(), operator: f.mustFreeAddress()}
	if !f.seed.IsValid() {
		f.seed = r.peer
	}
	endpoint := fmt.Sprintf("host: {listen: %q}", r.host)
	if role == "entry" {
		endpoint = fmt.Sprintf("caller: {listen: %q}", r.caller)
	}
	text := fmt.Sprintf(settingsFormat, role, id, dataCentre, r.peer, r.operator, endpoint, f.store.Address, f.seed)
	file := filepath.Join(f.dir, id+".yaml")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		f.b.Fatal(err)
	}
	c := exec.Command(f.binary, role, "--settings", file)
	c.Stderr = os.Stderr
	if err := c.Start(); err != nil {
		f.b.Fatal(err)
	}
	f.b.Cleanup(func() {
		_ = c.Process.Kill()
		_ = c.Wait()
	})
	r.pid = c.Process.Pid
	return r
}

// startNode runs a peer node inside the test, with the keys of the fleet.
func (f *processFleet) startNode() *peer.Node {
	f.b.Helper()
	dir := filepath.Join(f.dir, "keys")
	k, err := peer.LoadKeys(filepath.Join(dir, "ca.pem"), filepath.Join(dir, "peer.pem"), filepath.Join(dir, "peer.key"))
	if err != nil {
		f.b.Fatal(err)
	}
	n := &peer.Node{Listen: f.mustFreeAddress(), Keys: peer.NewKeyRing(k), Handlers: &peer.Handlers{}, Log: &log.Logger{Level: log.ErrorLevel}}
	ctx, stop := context.WithCancel(context.Background())
	f.b.Cleanup(stop)
	go func() { _ = n.Run(ctx) }()
	<-n.Ready()
	return n
}

// clockTicksPerSecond is the number of ticks per second of the processor times in /proc.
const clockTicksPerSecond = 100

// processorTime returns the processor time that a process has used.
func processorTime(b testing.TB, pid int) time.Duration {
	b.Helper()
	t, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		b.Fatal(err)
	}
	s := strings.Fields(string(t[strings.LastIndexByte(string(t), ')')+2:]))
	user, _ := strconv.Atoi(s[11])
	system, _ := strconv.Atoi(s[12])
	return time.Duration(user+system) * time.Second / clockTicksPerSecond
}

// residentMB returns the resident memory of a process in MB.
func residentMB(b testing.TB, pid int) float64 {
	b.Helper()
	t, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		b.Fatal(err)
	}
	for l := range strings.Lines(string(t)) {
		if s := strings.Fields(l); s[0] == "VmRSS:" {
			n, _ := strconv.Atoi(s[1])
			return float64(n) / 1024
		}
	}
	return 0
}

// A udpRelay forwards packets between one client and one server and counts them.
type udpRelay struct {
	address        netip.AddrPort
	bytes, packets atomic.Int64
}

// datagramHeaderBytes is the size of the IPv4 and UDP headers of a packet.
const datagramHeaderBytes = 28

// startRelay runs a relay to the given server until the test ends.
func (f *processFleet) startRelay(to netip.AddrPort) *udpRelay {
	f.b.Helper()
	in, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(f.mustFreeAddress()))
	if err != nil {
		f.b.Fatal(err)
	}
	out, err := net.DialUDP("udp", nil, net.UDPAddrFromAddrPort(to))
	if err != nil {
		f.b.Fatal(err)
	}
	f.b.Cleanup(func() {
		in.Close()
		out.Close()
	})
	r := &udpRelay{address: in.LocalAddr().(*net.UDPAddr).AddrPort()}
	var client atomic.Pointer[netip.AddrPort]
	go r.forward(func(p []byte) (int, error) {
		n, from, err := in.ReadFromUDPAddrPort(p)
		client.Store(&from)
		return n, err
	}, out.Write)
	go r.forward(out.Read, func(p []byte) (int, error) { return in.WriteToUDPAddrPort(p, *client.Load()) })
	return r
}

func (r *udpRelay) forward(read, write func([]byte) (int, error)) {
	p := make([]byte, 1<<16)
	for {
		n, err := read(p)
		if err != nil {
			return
		}
		r.bytes.Add(int64(n + datagramHeaderBytes))
		r.packets.Add(1)
		_, _ = write(p[:n])
	}
}
