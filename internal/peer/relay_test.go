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

// A relay forwards packets between callers and one node. It identifies flows by the
// connection ID that the node chose, as a middlebox does by ports.
type relay struct {
	listener *net.UDPConn
	target   netip.AddrPort
	// dropToNode and dropFromNode drop the packets of all flows in one direction.
	dropToNode   atomic.Bool
	dropFromNode atomic.Bool
	// delay is the latency added in each direction.
	delay time.Duration
	// mu guards the fields below. dropToNodeFlows and dropFromNodeFlows are the flows of which
	// one direction is dropped permanently; newestFlow is the flow that started last.
	mu                sync.Mutex
	dropToNodeFlows   map[*net.UDPConn]bool
	dropFromNodeFlows map[*net.UDPConn]bool
	newestFlow        *net.UDPConn
}

func newRelay(t testing.TB, target netip.AddrPort, delay time.Duration) *relay {
	c, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred())
	r := &relay{listener: c, target: target, delay: delay, dropToNodeFlows: make(map[*net.UDPConn]bool), dropFromNodeFlows: make(map[*net.UDPConn]bool)}
	t.Cleanup(func() { c.Close() })
	go r.run()
	return r
}

func (r *relay) address() netip.AddrPort {
	return r.listener.LocalAddr().(*net.UDPAddr).AddrPort()
}

// longHeaderBit is set in the first byte of handshake packets (RFC 9000, section 17.2).
const longHeaderBit = 0x80

// run forwards packets to the node, with a socket for each connection. A handshake packet
// with an unknown destination ID starts a new flow.
func (r *relay) run() {
	flows := make(map[string]*net.UDPConn)
	var mu sync.Mutex
	b := make([]byte, 2048)
	for {
		n, from, err := r.listener.ReadFromUDPAddrPort(b)
		if err != nil {
			return
		}
		id := destinationID(b[:n])
		mu.Lock()
		f := flows[id]
		if f == nil && b[0]&longHeaderBit != 0 {
			f, err = net.DialUDP("udp", nil, net.UDPAddrFromAddrPort(r.target))
			if err != nil {
				return
			}
			flows[id] = f
			r.mu.Lock()
			r.newestFlow = f
			r.mu.Unlock()
			go r.relayAnswers(f, from, func(source string) {
				mu.Lock()
				defer mu.Unlock()
				flows[source] = f
			})
		}
		mu.Unlock()
		if f != nil && !r.dropToNode.Load() && !r.isDropped(r.dropToNodeFlows, f) {
			r.sendDelayed(b[:n], func(p []byte) { _, _ = f.Write(p) })
		}
	}
}

// relayAnswers forwards the node's packets on flow f and passes the connection IDs that the
// node chooses to learn.
func (r *relay) relayAnswers(f *net.UDPConn, to netip.AddrPort, learn func(string)) {
	defer f.Close()
	b := make([]byte, 2048)
	for {
		n, err := f.Read(b)
		if err != nil {
			return
		}
		if b[0]&longHeaderBit != 0 {
			learn(sourceID(b[:n]))
		}
		if r.dropFromNode.Load() || r.isDropped(r.dropFromNodeFlows, f) {
			continue
		}
		r.sendDelayed(b[:n], func(p []byte) { _, _ = r.listener.WriteToUDPAddrPort(p, to) })
	}
}

// sendDelayed passes b to send after the relay's delay.
func (r *relay) sendDelayed(b []byte, send func([]byte)) {
	if r.delay == 0 {
		send(b)
		return
	}
	p := append([]byte{}, b...)
	time.AfterFunc(r.delay, func() { send(p) })
}

// connectionIDBytes is the length of the connection IDs that a node chooses, in bytes.
const connectionIDBytes = 4

// destinationID returns the destination connection ID of a packet.
func destinationID(b []byte) string {
	if b[0]&longHeaderBit == 0 {
		return string(b[1 : 1+connectionIDBytes])
	}
	return string(b[6 : 6+b[5]])
}

// sourceID returns the source connection ID of a handshake packet.
func sourceID(b []byte) string {
	at := 6 + int(b[5])
	return string(b[at+1 : at+1+int(b[at])])
}

// dropNewestFlow permanently drops the packets of the newest flow in the given directions.
func (r *relay) dropNewestFlow(toNode, fromNode bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.dropToNodeFlows[r.newestFlow] = toNode
	r.dropFromNodeFlows[r.newestFlow] = fromNode
}

// isDropped reports whether f is in flows.
func (r *relay) isDropped(flows map[*net.UDPConn]bool, f *net.UDPConn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return flows[f]
}

// TestUnresponsiveConnectionIsReplaced drops one flow permanently, or one direction of all
// flows temporarily, while a call is in flight. The call must end with ErrBroken. Only in the
// first case must the result be one replaced connection and no unresponsive peer.
func TestUnresponsiveConnectionIsReplaced(t *testing.T) {
	for _, c := range []struct {
		name     string
		drop     func(r *relay)
		restore  func(r *relay)
		replaced bool
	}{
		{"one flow in both directions permanently", func(r *relay) { r.dropNewestFlow(true, true) }, func(*relay) {}, true},
		{"one flow to the node permanently", func(r *relay) { r.dropNewestFlow(true, false) }, func(*relay) {}, true},
		{"one flow from the node permanently", func(r *relay) { r.dropNewestFlow(false, true) }, func(*relay) {}, true},
		{"all flows to the node temporarily", func(r *relay) { r.dropToNode.Store(true) }, func(r *relay) { r.dropToNode.Store(false) }, false},
		{"all flows from the node temporarily", func(r *relay) { r.dropFromNode.Store(true) }, func(r *relay) { r.dropFromNode.Store(false) }, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			a := newTestAuthority(t)
			y, _ := startNode(t, a, PeerName, freeLoopbackAddress())
			x, _ := startNode(t, a, PeerName, freeLoopbackAddress())
			x.Metrics = metrics.NewRegistry()
			r := newRelay(t, y.Listen, 0)
			g.Expect(callEcho(x, r.address(), testTimeout)).To(gomega.Succeed())
			result := make(chan error, 1)
			go func() {
				_, err := Call[string, string](context.Background(), x, r.address(), operationHang, "wind")
				result <- err
			}()
			g.Expect(callEcho(x, r.address(), testTimeout)).To(gomega.Succeed())
			start := time.Now()
			c.drop(r)
			g.Eventually(result, testTimeout).Should(gomega.Receive(gomega.MatchError(ErrBroken)))
			t.Logf("detected after %v", time.Since(start))
			c.restore(r)
			g.Eventually(func() error { return callEcho(x, r.address(), testTimeout) }, testTimeout).Should(gomega.Succeed())
			replaced := metrics.GetOrRegisterCounter(metricReplaced, x.Metrics).Count()
			unresponsive := metrics.GetOrRegisterCounter(metricUnresponsive, x.Metrics).Count()
			g.Expect(replaced == 1 && unresponsive == 0).To(gomega.Equal(c.replaced))
		})
	}
}

// TestSlowPeerIsNotUnresponsive waits for an answer that takes long, over a path with a round
// trip of 240 ms. The peer must not count as unresponsive.
func TestSlowPeerIsNotUnresponsive(t *testing.T) {
	g := gomega.NewWithT(t)
	a := newTestAuthority(t)
	y, _ := startNode(t, a, PeerName, freeLoopbackAddress())
	x, _ := startNode(t, a, PeerName, freeLoopbackAddress())
	x.Metrics = metrics.NewRegistry()
	r := newRelay(t, y.Listen, 120*time.Millisecond)
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	_, err := Call[string, string](ctx, x, r.address(), operationHang, "wind")
	g.Expect(err).To(gomega.MatchError(ErrBroken))
	g.Expect(ctx.Err()).To(gomega.HaveOccurred())
	g.Expect(metrics.GetOrRegisterCounter(metricReplaced, x.Metrics).Count()).To(gomega.BeZero())
	g.Expect(metrics.GetOrRegisterCounter(metricUnresponsive, x.Metrics).Count()).To(gomega.BeZero())
	g.Expect(callEcho(x, r.address(), testTimeout)).To(gomega.Succeed())
}

// TestNotSentCallsReachNoHandler makes calls while connections become unresponsive and the
// peer restarts. A call that failed with ErrNotSent must not have reached a handler, and no
// call may reach one twice.
func TestNotSentCallsReachNoHandler(t *testing.T) {
	g := gomega.NewWithT(t)
	a := newTestAuthority(t)
	x, _ := startNode(t, a, PeerName, freeLoopbackAddress())
	y, stop := startNode(t, a, PeerName, freeLoopbackAddress())
	r := newRelay(t, y.Listen, 0)
	var mu sync.Mutex
	executions := map[string]int{}
	record := func(_ context.Context, id string) (string, error) {
		mu.Lock()
		defer mu.Unlock()
		executions[id]++
		return id, nil
	}
	const operationRecord Operation = "test.note"
	Handle(y.Handlers, operationRecord, record)
	notSent := map[string]bool{}
	answered, broken := 0, 0
	var calls sync.WaitGroup
	stopCalls := make(chan struct{})
	for k := range 8 {
		calls.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-stopCalls:
					return
				default:
				}
				id := string(rune('a'+k)) + time.Duration(i).String()
				ctx, cancel := context.WithTimeout(context.Background(), time.Second)
				got, err := Call[string, string](ctx, x, r.address(), operationRecord, id)
				cancel()
				mu.Lock()
				switch {
				case err == nil && got == id:
					answered++
				case errors.Is(err, ErrNotSent):
					notSent[id] = true
				default:
					broken++
				}
				mu.Unlock()
			}
		})
	}
	answeredAtLeast := func(n int) func() bool {
		return func() bool {
			mu.Lock()
			defer mu.Unlock()
			return answered >= n
		}
	}
	for i := range 4 {
		mu.Lock()
		n := answered + 100
		mu.Unlock()
		g.Eventually(answeredAtLeast(n), testTimeout).Should(gomega.BeTrue())
		if i%2 == 0 {
			r.dropNewestFlow(i == 2, i == 0)
			continue
		}
		stop()
		y, stop = startNode(t, a, PeerName, y.Listen)
		Handle(y.Handlers, operationRecord, record)
	}
	r.dropToNode.Store(true)
	g.Eventually(func() int {
		mu.Lock()
		defer mu.Unlock()
		return len(notSent)
	}, testTimeout).Should(gomega.BeNumerically(">", 10))
	r.dropToNode.Store(false)
	close(stopCalls)
	calls.Wait()
	mu.Lock()
	defer mu.Unlock()
	for id := range notSent {
		g.Expect(executions[id]).To(gomega.BeZero(), id)
	}
	for id, n := range executions {
		g.Expect(n).To(gomega.Equal(1), id)
	}
	t.Logf("%d answered, %d broken, %d not sent", answered, broken, len(notSent))
}
