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

// bound is generous: nothing here takes near as long unless it hangs.
const bound = 5 * time.Second

const (
	operationEcho   Operation = "test.echo"
	operationIgnore Operation = "test.ignore"
	operationFlood  Operation = "test.flood"
	operationHang   Operation = "test.hang"
)

func authority(t testing.TB) *Authority {
	a, err := NewAuthority(time.Now(), time.Hour)
	gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred())
	return a
}

func loopback() netip.AddrPort {
	c, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		panic(err)
	}
	defer c.Close()
	return c.LocalAddr().(*net.UDPAddr).AddrPort()
}

// run starts a node with a certificate of that name; its end stops it.
func run(t testing.TB, a *Authority, name string, at netip.AddrPort) (n *Node, stop func()) {
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
		_, err := io.CopyN(s, zeros{}, 16<<20)
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
		t.Fatal("the node does not run")
	}
	return n, stop
}

type zeros struct{}

func (zeros) Read(p []byte) (int, error) { return len(p), nil }

func echo(n *Node, to netip.AddrPort, within time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	_, err := Call[string, string](ctx, n, to, operationEcho, "wind")
	return err
}

// TestUnreadAnswersDoNotBlockCalls leaves many answers unread and calls beside them.
func TestUnreadAnswersDoNotBlockCalls(t *testing.T) {
	g := gomega.NewWithT(t)
	a := authority(t)
	x, _ := run(t, a, PeerName, loopback())
	y, _ := run(t, a, PeerName, loopback())
	for range 100 {
		s, err := x.OpenStream(context.Background(), y.Listen, operationFlood)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		defer s.Abort()
	}
	for range 20 {
		g.Expect(echo(x, y.Listen, bound)).To(gomega.Succeed())
	}
}

// TestEndedExchangesReleaseStreams makes more calls on one connection than
// it may hold streams, with requests that are not read by their handler.
func TestEndedExchangesReleaseStreams(t *testing.T) {
	g := gomega.NewWithT(t)
	a := authority(t)
	x, _ := run(t, a, PeerName, loopback())
	y, _ := run(t, a, PeerName, loopback())
	for i := range maxStreams + 100 {
		ctx, cancel := context.WithTimeout(context.Background(), bound)
		_, err := Call[string, string](ctx, x, y.Listen, operationIgnore, "request")
		cancel()
		g.Expect(err).NotTo(gomega.HaveOccurred(), "call %d", i)
	}
}

// TestCallsToADeadPeerFailTogether calls an address that never answers, many at once.
func TestCallsToADeadPeerFailTogether(t *testing.T) {
	g := gomega.NewWithT(t)
	x, _ := run(t, authority(t), PeerName, loopback())
	silent, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer silent.Close()
	to := silent.LocalAddr().(*net.UDPAddr).AddrPort()
	var ends sync.WaitGroup
	for range 40 {
		ends.Go(func() { g.Expect(echo(x, to, time.Minute)).To(gomega.MatchError(ErrNotSent)) })
	}
	all := make(chan struct{})
	go func() { ends.Wait(); close(all) }()
	g.Eventually(all, bound).Should(gomega.BeClosed())
}

// TestDeadLinksAreRemoved calls many addresses that are no peers.
func TestDeadLinksAreRemoved(t *testing.T) {
	g := gomega.NewWithT(t)
	x, _ := run(t, authority(t), PeerName, loopback())
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	for i := range 8 * sweepEvery {
		to := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(20_000+i))
		_, err := x.OpenStream(ctx, to, operationEcho)
		g.Expect(err).To(gomega.MatchError(ErrNotSent))
	}
	g.Eventually(func() int {
		_, _ = x.OpenStream(ctx, loopback(), operationEcho)
		x.mu.Lock()
		defer x.mu.Unlock()
		return len(x.links)
	}, bound).Should(gomega.BeNumerically("<=", 2*sweepEvery))
}

// TestRestartedPeerIsReached stops a peer and runs another at its address.
func TestRestartedPeerIsReached(t *testing.T) {
	g := gomega.NewWithT(t)
	a := authority(t)
	x, _ := run(t, a, PeerName, loopback())
	y, stop := run(t, a, PeerName, loopback())
	for range 2 {
		g.Expect(echo(x, y.Listen, bound)).To(gomega.Succeed())
		stop()
		y, stop = run(t, a, PeerName, y.Listen)
		g.Eventually(func() error { return echo(x, y.Listen, bound) }, bound).Should(gomega.Succeed())
	}
}

// TestOnlyPeersConnect shows other certificates to a node.
func TestOnlyPeersConnect(t *testing.T) {
	a := authority(t)
	y, _ := run(t, a, PeerName, loopback())
	for _, c := range []struct {
		name      string
		authority *Authority
		dns       string
	}{
		{"operator", a, OperatorName},
		{"caller", a, "caller.example"},
		{"stranger", authority(t), PeerName},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			x, _ := run(t, c.authority, c.dns, loopback())
			// The caller trusts the node, so that only the node can refuse.
			x.Keys.Replace(&Keys{Certificate: x.Keys.keys.Load().Certificate, Authority: a.Pool()})
			err := echo(x, y.Listen, bound)
			g.Expect(errors.Is(err, ErrNotSent) || errors.Is(err, ErrBroken)).To(gomega.BeTrue(), fmt.Sprint(err))
		})
	}
}

// TestIdleConnectionHasNoTimer looks for a timer after the last call.
func TestIdleConnectionHasNoTimer(t *testing.T) {
	g := gomega.NewWithT(t)
	a := authority(t)
	x, _ := run(t, a, PeerName, loopback())
	y, _ := run(t, a, PeerName, loopback())
	g.Expect(echo(x, y.Listen, bound)).To(gomega.Succeed())
	w, err := x.connected(context.Background(), y.Listen)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Eventually(func() bool {
		w.mu.Lock()
		defer w.mu.Unlock()
		_, watched := w.machine.Wake()
		return watched
	}, bound).Should(gomega.BeFalse())
}

// BenchmarkCall makes calls over one connection.
func BenchmarkCall(b *testing.B) {
	a := authority(b)
	x, _ := run(b, a, PeerName, loopback())
	y, _ := run(b, a, PeerName, loopback())
	for _, callers := range []int{1, 64} {
		b.Run(fmt.Sprintf("callers=%d", callers), func(b *testing.B) {
			b.ReportAllocs()
			var calls sync.WaitGroup
			began := time.Now()
			for range callers {
				calls.Go(func() {
					for range max(b.N/callers, 1) {
						if err := echo(x, y.Listen, time.Minute); err != nil {
							b.Error(err)
							return
						}
					}
				})
			}
			calls.Wait()
			b.ReportMetric(float64(b.N)/time.Since(began).Seconds(), "calls/s")
		})
	}
}
