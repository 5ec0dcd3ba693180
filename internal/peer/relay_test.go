package peer

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
)

// A relay passes packets between callers and one node. It tells flows apart by
// the connection ID that the node chose, as a middlebox does by its ports.
type relay struct {
	front *net.UDPConn
	back  netip.AddrPort
	// cutThere and cutBack drop what goes to the node and what comes from it.
	cutThere atomic.Bool
	cutBack  atomic.Bool
	// delay is added in each direction.
	delay time.Duration
	// deaf and mute are the flows of which one direction is dropped for good,
	// flow is the newest.
	mu   sync.Mutex
	deaf map[*net.UDPConn]bool
	mute map[*net.UDPConn]bool
	flow *net.UDPConn
}

func newRelay(t testing.TB, back netip.AddrPort, delay time.Duration) *relay {
	c, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred())
	r := &relay{front: c, back: back, delay: delay, deaf: make(map[*net.UDPConn]bool), mute: make(map[*net.UDPConn]bool)}
	t.Cleanup(func() { c.Close() })
	go r.run()
	return r
}

func (r *relay) at() netip.AddrPort {
	return r.front.LocalAddr().(*net.UDPAddr).AddrPort()
}

// longHeader marks the packets of a handshake (RFC 9000, section 17.2).
const longHeader = 0x80

// run gives each new connection a flow of its own: a handshake's packet with a
// destination that is not known yet begins one.
func (r *relay) run() {
	flows := make(map[string]*net.UDPConn)
	var mu sync.Mutex
	b := make([]byte, 2048)
	for {
		n, from, err := r.front.ReadFromUDPAddrPort(b)
		if err != nil {
			return
		}
		id := destination(b[:n])
		mu.Lock()
		f := flows[id]
		if f == nil && b[0]&longHeader != 0 {
			f, err = net.DialUDP("udp", nil, net.UDPAddrFromAddrPort(r.back))
			if err != nil {
				return
			}
			flows[id] = f
			r.mu.Lock()
			r.flow = f
			r.mu.Unlock()
			go r.answers(f, from, func(source string) {
				mu.Lock()
				defer mu.Unlock()
				flows[source] = f
			})
		}
		mu.Unlock()
		if f != nil && !r.cutThere.Load() && !r.in(r.deaf, f) {
			r.later(b[:n], func(p []byte) { _, _ = f.Write(p) })
		}
	}
}

func (r *relay) answers(f *net.UDPConn, to netip.AddrPort, learn func(string)) {
	defer f.Close()
	b := make([]byte, 2048)
	for {
		n, err := f.Read(b)
		if err != nil {
			return
		}
		if b[0]&longHeader != 0 {
			learn(source(b[:n]))
		}
		if r.cutBack.Load() || r.in(r.mute, f) {
			continue
		}
		r.later(b[:n], func(p []byte) { _, _ = r.front.WriteToUDPAddrPort(p, to) })
	}
}

func (r *relay) later(b []byte, send func([]byte)) {
	if r.delay == 0 {
		send(b)
		return
	}
	p := append([]byte{}, b...)
	time.AfterFunc(r.delay, func() { send(p) })
}

// shortID is the length of the connection IDs that a node chooses.
const shortID = 4

func destination(b []byte) string {
	if b[0]&longHeader == 0 {
		return string(b[1 : 1+shortID])
	}
	return string(b[6 : 6+b[5]])
}

func source(b []byte) string {
	at := 6 + int(b[5])
	return string(b[at+1 : at+1+int(b[at])])
}

// kill drops the newest flow for good, in one direction or both.
func (r *relay) kill(there, back bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.deaf[r.flow] = there
	r.mute[r.flow] = back
}

func (r *relay) in(flows map[*net.UDPConn]bool, f *net.UDPConn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return flows[f]
}

// TestUnresponsiveConnectionIsReplaced drops one flow for good, or one direction of
// all flows for a time, while calls are in flight.
func TestUnresponsiveConnectionIsReplaced(t *testing.T) {
	for _, c := range []struct {
		name     string
		cut      func(r *relay)
		mend     func(r *relay)
		replaced bool
	}{
		{"one flow for good", func(r *relay) { r.kill(true, true) }, func(*relay) {}, true},
		{"one flow there", func(r *relay) { r.kill(true, false) }, func(*relay) {}, true},
		{"one flow back", func(r *relay) { r.kill(false, true) }, func(*relay) {}, true},
		{"there", func(r *relay) { r.cutThere.Store(true) }, func(r *relay) { r.cutThere.Store(false) }, false},
		{"back", func(r *relay) { r.cutBack.Store(true) }, func(r *relay) { r.cutBack.Store(false) }, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			a := authority(t)
			y, _ := run(t, a, PeerName, loopback())
			x, _ := run(t, a, PeerName, loopback())
			x.Metrics = metrics.NewRegistry()
			r := newRelay(t, y.Listen, 0)
			g.Expect(echo(x, r.at(), bound)).To(gomega.Succeed())
			hung := make(chan error, 1)
			go func() {
				_, err := Call[string, string](context.Background(), x, r.at(), operationHang, "wind")
				hung <- err
			}()
			g.Expect(echo(x, r.at(), bound)).To(gomega.Succeed())
			began := time.Now()
			c.cut(r)
			g.Eventually(hung, bound).Should(gomega.Receive(gomega.MatchError(ErrBroken)))
			t.Logf("found after %v", time.Since(began))
			c.mend(r)
			g.Eventually(func() error { return echo(x, r.at(), bound) }, bound).Should(gomega.Succeed())
			replaced := metrics.GetOrRegisterCounter(metricReplaced, x.Metrics).Count()
			silent := metrics.GetOrRegisterCounter(metricSilent, x.Metrics).Count()
			g.Expect(replaced == 1 && silent == 0).To(gomega.Equal(c.replaced))
		})
	}
}

// TestSlowPeerIsNotUnresponsive waits long for an answer over a slow way.
func TestSlowPeerIsNotUnresponsive(t *testing.T) {
	g := gomega.NewWithT(t)
	a := authority(t)
	y, _ := run(t, a, PeerName, loopback())
	x, _ := run(t, a, PeerName, loopback())
	x.Metrics = metrics.NewRegistry()
	r := newRelay(t, y.Listen, 120*time.Millisecond)
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	_, err := Call[string, string](ctx, x, r.at(), operationHang, "wind")
	g.Expect(err).To(gomega.MatchError(ErrBroken))
	g.Expect(ctx.Err()).To(gomega.HaveOccurred())
	g.Expect(metrics.GetOrRegisterCounter(metricReplaced, x.Metrics).Count()).To(gomega.BeZero())
	g.Expect(metrics.GetOrRegisterCounter(metricSilent, x.Metrics).Count()).To(gomega.BeZero())
	g.Expect(echo(x, r.at(), bound)).To(gomega.Succeed())
}

// TestNotSentCallsReachNoHandler calls while connections go silent and the peer comes and
// goes: what was told not to be sent has reached no handler.
func TestNotSentCallsReachNoHandler(t *testing.T) {
	g := gomega.NewWithT(t)
	a := authority(t)
	x, _ := run(t, a, PeerName, loopback())
	y, stop := run(t, a, PeerName, loopback())
	r := newRelay(t, y.Listen, 0)
	var mu sync.Mutex
	ran := map[string]int{}
	note := func(_ context.Context, id string) (string, error) {
		mu.Lock()
		defer mu.Unlock()
		ran[id]++
		return id, nil
	}
	const operationNote Operation = "test.note"
	Handle(y.Handlers, operationNote, note)
	notSent := map[string]bool{}
	right, broken := 0, 0
	var calls sync.WaitGroup
	over := make(chan struct{})
	for k := range 8 {
		calls.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-over:
					return
				default:
				}
				id := string(rune('a'+k)) + time.Duration(i).String()
				ctx, cancel := context.WithTimeout(context.Background(), time.Second)
				got, err := Call[string, string](ctx, x, r.at(), operationNote, id)
				cancel()
				mu.Lock()
				switch {
				case err == nil && got == id:
					right++
				case errors.Is(err, ErrNotSent):
					notSent[id] = true
				default:
					broken++
				}
				mu.Unlock()
			}
		})
	}
	reached := func(n int) func() bool {
		return func() bool {
			mu.Lock()
			defer mu.Unlock()
			return right >= n
		}
	}
	for i := range 4 {
		mu.Lock()
		n := right + 100
		mu.Unlock()
		g.Eventually(reached(n), bound).Should(gomega.BeTrue())
		if i%2 == 0 {
			r.kill(i == 2, i == 0)
			continue
		}
		stop()
		y, stop = run(t, a, PeerName, y.Listen)
		Handle(y.Handlers, operationNote, note)
	}
	r.cutThere.Store(true)
	g.Eventually(func() int {
		mu.Lock()
		defer mu.Unlock()
		return len(notSent)
	}, bound).Should(gomega.BeNumerically(">", 10))
	r.cutThere.Store(false)
	close(over)
	calls.Wait()
	mu.Lock()
	defer mu.Unlock()
	for id := range notSent {
		g.Expect(ran[id]).To(gomega.BeZero(), id)
	}
	for id, n := range ran {
		g.Expect(n).To(gomega.Equal(1), id)
	}
	t.Logf("%d right, %d broken, %d not sent", right, broken, len(notSent))
}
