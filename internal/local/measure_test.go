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

// A fleetOf is some processes of the built binary on loopback, with the store
// stand-in in the test.
type fleetOf struct {
	b      testing.TB
	dir    string
	binary string
	store  *storestandin.Server
	seed   netip.AddrPort
}

func newFleet(b testing.TB) *fleetOf {
	b.Helper()
	f := &fleetOf{b: b, dir: b.TempDir()}
	f.binary = filepath.Join(f.dir, "sesamestream")
	f.must(exec.Command("go", "build", "-o", f.binary, "../../cmd/sesamestream"))
	f.must(exec.Command(f.binary, "keys", "--dir", filepath.Join(f.dir, "keys")))
	at := f.address()
	f.store = &storestandin.Server{Address: at, Ready: make(chan struct{})}
	ctx, stop := context.WithCancel(context.Background())
	b.Cleanup(stop)
	go func() { _ = f.store.Run(ctx) }()
	<-f.store.Ready
	return f
}

func (f *fleetOf) must(c *exec.Cmd) {
	f.b.Helper()
	if out, err := c.CombinedOutput(); err != nil {
		f.b.Fatal(err, string(out))
	}
}

func (f *fleetOf) address() netip.AddrPort {
	at, err := freeAddress()
	if err != nil {
		f.b.Fatal(err)
	}
	return at
}

// A running is one process that was started here.
type running struct {
	peer, host, caller, operator netip.AddrPort

	pid int
}

const settingsOf = `role: %s
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

// start runs one process until the test ends.
func (f *fleetOf) start(role, id, dataCentre string) running {
	f.b.Helper()
	r := running{peer: f.address(), host: f.address(), caller: f.address(), operator: f.address()}
	if !f.seed.IsValid() {
		f.seed = r.peer
	}
	endpoint := fmt.Sprintf("host: {listen: %q}", r.host)
	if role == "entry" {
		endpoint = fmt.Sprintf("caller: {listen: %q}", r.caller)
	}
	text := fmt.Sprintf(settingsOf, role, id, dataCentre, r.peer, r.operator, endpoint, f.store.Address, f.seed)
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

// node runs a peer of the fleet inside the test.
func (f *fleetOf) node() *peer.Node {
	f.b.Helper()
	dir := filepath.Join(f.dir, "keys")
	k, err := peer.LoadKeys(filepath.Join(dir, "ca.pem"), filepath.Join(dir, "peer.pem"), filepath.Join(dir, "peer.key"))
	if err != nil {
		f.b.Fatal(err)
	}
	n := &peer.Node{Listen: f.address(), Keys: peer.NewKeyRing(k), Handlers: &peer.Handlers{}, Log: &log.Logger{Level: log.ErrorLevel}}
	ctx, stop := context.WithCancel(context.Background())
	f.b.Cleanup(stop)
	go func() { _ = n.Run(ctx) }()
	<-n.Ready()
	return n
}

// ticksPerSecond is the unit of processor time in /proc.
const ticksPerSecond = 100

// processor returns the processor time that a process has used.
func processor(b testing.TB, pid int) time.Duration {
	b.Helper()
	t, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		b.Fatal(err)
	}
	s := strings.Fields(string(t[strings.LastIndexByte(string(t), ')')+2:]))
	user, _ := strconv.Atoi(s[11])
	system, _ := strconv.Atoi(s[12])
	return time.Duration(user+system) * time.Second / ticksPerSecond
}

// resident returns the resident memory of a process in MB.
func resident(b testing.TB, pid int) float64 {
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

// A relay passes packets between one client and one server and counts them.
type relay struct {
	at             netip.AddrPort
	bytes, packets atomic.Int64
}

// datagramHeader is what IPv4 and UDP add to a packet, in bytes.
const datagramHeader = 28

func (f *fleetOf) relay(to netip.AddrPort) *relay {
	f.b.Helper()
	in, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(f.address()))
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
	r := &relay{at: in.LocalAddr().(*net.UDPAddr).AddrPort()}
	var client atomic.Pointer[netip.AddrPort]
	go r.pass(func(p []byte) (int, error) {
		n, from, err := in.ReadFromUDPAddrPort(p)
		client.Store(&from)
		return n, err
	}, out.Write)
	go r.pass(out.Read, func(p []byte) (int, error) { return in.WriteToUDPAddrPort(p, *client.Load()) })
	return r
}

func (r *relay) pass(read, write func([]byte) (int, error)) {
	p := make([]byte, 1<<16)
	for {
		n, err := read(p)
		if err != nil {
			return
		}
		r.bytes.Add(int64(n + datagramHeader))
		r.packets.Add(1)
		_, _ = write(p[:n])
	}
}
