package peer

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"github.com/phuslu/log"
	"github.com/pkg/errors"
)

// testTimeout bounds each wait; only something that hangs takes that long.
const testTimeout = 5 * time.Second

const (
	operationEcho   Operation = "test.echo"
	operationIgnore Operation = "test.ignore"
	operationFlood  Operation = "test.flood"
	operationHang   Operation = "test.hang"
)

func newTestAuthority(t testing.TB) *Authority {
	a, err := NewAuthority(time.Now(), time.Hour)
	gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred())
	return a
}

// freeLoopbackAddress returns a loopback address with an unused UDP port.
func freeLoopbackAddress() netip.AddrPort {
	c, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		panic(err)
	}
	defer c.Close()
	return c.LocalAddr().(*net.UDPAddr).AddrPort()
}

// startNode runs a node with a certificate for the DNS name until stop is called or the test
// ends.
func startNode(t testing.TB, a *Authority, name string, at netip.AddrPort) (n *Node, stop func()) {
	c, err := a.Issue(name, time.Now(), time.Hour)
	gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred())
	n = &Node{
		Listen: at, Handlers: &Handlers{}, Log: &log.Logger{Level: log.PanicLevel},
		Keys: NewKeyRing(&Keys{Certificate: c, Authority: a.Pool()}),
	}
	Handle(n.Handlers, operationEcho, func(_ context.Context, s string) (string, error) { return s, nil })
	n.Handlers.Register(operationIgnore, func(_ context.Context, s *Stream) error { return Send(s, reply[string]{}) })
	n.Handlers.Register(operationHang, func(ctx context.Context, s *Stream) error {
		_, _ = Receive[string](s)
		<-ctx.Done()
		return ctx.Err()
	})
	n.Handlers.Register(operationFlood, func(_ context.Context, s *Stream) error {
		_, err := io.CopyN(s, zeroReader{}, 16<<20)
		return err
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = n.Run(ctx)
	}()
	stop = sync.OnceFunc(func() { cancel(); <-done })
	t.Cleanup(stop)
	select {
	case <-n.Ready():
	case <-done:
		t.Fatal("the node did not start")
	}
	return n, stop
}

// A zeroReader reads endless zero bytes.
type zeroReader struct{}

func (zeroReader) Read(p []byte) (int, error) { return len(p), nil }

func callEcho(n *Node, to netip.AddrPort, within time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	_, err := Call[string, string](ctx, n, to, operationEcho, "wind")
	return err
}

// TestUnreadAnswersDoNotBlockCalls guards against unread answers that use up the connection's
// receive window: it leaves 100 answers unread and makes calls on the same connection.
func TestUnreadAnswersDoNotBlockCalls(t *testing.T) {
	g := gomega.NewWithT(t)
	a := newTestAuthority(t)
	x, _ := startNode(t, a, PeerName, freeLoopbackAddress())
	y, _ := startNode(t, a, PeerName, freeLoopbackAddress())
	for range 100 {
		s, err := x.OpenStream(context.Background(), y.Listen, operationFlood)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		defer s.Abort()
	}
	for range 20 {
		g.Expect(callEcho(x, y.Listen, testTimeout)).To(gomega.Succeed())
	}
}

// TestEndedExchangesReleaseStreams guards against ended exchanges that still count as open
// streams: it makes more calls on one connection than the stream limit, to a handler that
// doesn't read its request.
func TestEndedExchangesReleaseStreams(t *testing.T) {
	g := gomega.NewWithT(t)
	a := newTestAuthority(t)
	x, _ := startNode(t, a, PeerName, freeLoopbackAddress())
	y, _ := startNode(t, a, PeerName, freeLoopbackAddress())
	for i := range maxStreamsPerConnection + 100 {
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		_, err := Call[string, string](ctx, x, y.Listen, operationIgnore, "request")
		cancel()
		g.Expect(err).NotTo(gomega.HaveOccurred(), "call %d", i)
	}
}

// TestCallsToADeadPeerFailTogether makes many calls at once to an address that never answers.
// They must share one dial rather than wait for one dial after another.
func TestCallsToADeadPeerFailTogether(t *testing.T) {
	g := gomega.NewWithT(t)
	x, _ := startNode(t, newTestAuthority(t), PeerName, freeLoopbackAddress())
	deadPeer, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer deadPeer.Close()
	to := deadPeer.LocalAddr().(*net.UDPAddr).AddrPort()
	var calls sync.WaitGroup
	for range 40 {
		calls.Go(func() { g.Expect(callEcho(x, to, time.Minute)).To(gomega.MatchError(ErrNotSent)) })
	}
	done := make(chan struct{})
	go func() { calls.Wait(); close(done) }()
	g.Eventually(done, testTimeout).Should(gomega.BeClosed())
}

// TestDeadLinksAreRemoved opens exchanges to many addresses without a peer and checks that
// their links don't accumulate.
func TestDeadLinksAreRemoved(t *testing.T) {
	g := gomega.NewWithT(t)
	x, _ := startNode(t, newTestAuthority(t), PeerName, freeLoopbackAddress())
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	for i := range 8 * newLinksPerSweep {
		to := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(20_000+i))
		_, err := x.OpenStream(ctx, to, operationEcho)
		g.Expect(err).To(gomega.MatchError(ErrNotSent))
	}
	g.Eventually(func() int {
		_, _ = x.OpenStream(ctx, freeLoopbackAddress(), operationEcho)
		x.mu.Lock()
		defer x.mu.Unlock()
		return len(x.links)
	}, testTimeout).Should(gomega.BeNumerically("<=", 2*newLinksPerSweep))
}

// TestRestartedPeerIsReached stops a peer, runs another at its address and calls it.
func TestRestartedPeerIsReached(t *testing.T) {
	g := gomega.NewWithT(t)
	a := newTestAuthority(t)
	x, _ := startNode(t, a, PeerName, freeLoopbackAddress())
	y, stop := startNode(t, a, PeerName, freeLoopbackAddress())
	for range 2 {
		g.Expect(callEcho(x, y.Listen, testTimeout)).To(gomega.Succeed())
		stop()
		y, stop = startNode(t, a, PeerName, y.Listen)
		g.Eventually(func() error { return callEcho(x, y.Listen, testTimeout) }, testTimeout).Should(gomega.Succeed())
	}
}

// TestOnlyPeersConnect checks that a node rejects certificates that are not a peer's or that
// another authority signed.
func TestOnlyPeersConnect(t *testing.T) {
	a := newTestAuthority(t)
	y, _ := startNode(t, a, PeerName, freeLoopbackAddress())
	for _, c := range []struct {
		name      string
		authority *Authority
		dns       string
	}{
		{"operator", a, OperatorName},
		{"caller", a, "caller.example"},
		{"other authority", newTestAuthority(t), PeerName},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			x, _ := startNode(t, c.authority, c.dns, freeLoopbackAddress())
			// The caller trusts the node's authority, so that only the node can reject.
			x.Keys.Replace(&Keys{Certificate: x.Keys.keys.Load().Certificate, Authority: a.Pool()})
			err := callEcho(x, y.Listen, testTimeout)
			g.Expect(errors.Is(err, ErrNotSent) || errors.Is(err, ErrBroken)).To(gomega.BeTrue(), fmt.Sprint(err))
		})
	}
}

// TestIdleConnectionHasNoTimer checks that no timer is set after the last call has ended.
func TestIdleConnectionHasNoTimer(t *testing.T) {
	g := gomega.NewWithT(t)
	a := newTestAuthority(t)
	x, _ := startNode(t, a, PeerName, freeLoopbackAddress())
	y, _ := startNode(t, a, PeerName, freeLoopbackAddress())
	g.Expect(callEcho(x, y.Listen, testTimeout)).To(gomega.Succeed())
	w, err := x.connectionTo(context.Background(), y.Listen)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Eventually(func() bool {
		w.mu.Lock()
		defer w.mu.Unlock()
		_, watched := w.machine.Wake()
		return watched
	}, testTimeout).Should(gomega.BeFalse())
}

// BenchmarkCall makes calls over one connection.
func BenchmarkCall(b *testing.B) {
	a := newTestAuthority(b)
	x, _ := startNode(b, a, PeerName, freeLoopbackAddress())
	y, _ := startNode(b, a, PeerName, freeLoopbackAddress())
	for _, callers := range []int{1, 64} {
		b.Run(fmt.Sprintf("callers=%d", callers), func(b *testing.B) {
			b.ReportAllocs()
			var calls sync.WaitGroup
			start := time.Now()
			for range callers {
				calls.Go(func() {
					for range max(b.N/callers, 1) {
						if err := callEcho(x, y.Listen, time.Minute); err != nil {
							b.Error(err)
							return
						}
					}
				})
			}
			calls.Wait()
			b.ReportMetric(float64(b.N)/time.Since(start).Seconds(), "calls/s")
		})
	}
}
