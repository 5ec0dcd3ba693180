package agent

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/asynkron/protoactor-go/actor"
	. "github.com/onsi/gomega"
	"github.com/phuslu/log"

	"github.com/sesamestream/sesamestream/internal/admission"
	"github.com/sesamestream/sesamestream/internal/base"
	"github.com/sesamestream/sesamestream/internal/message"
	"github.com/sesamestream/sesamestream/internal/peer"
	"github.com/sesamestream/sesamestream/internal/target"
	"github.com/sesamestream/sesamestream/pkg/decide/admit"
	"github.com/sesamestream/sesamestream/pkg/fleet"
	"github.com/sesamestream/sesamestream/pkg/table"
)

// testTimeout bounds each wait; only a hanging test reaches it.
const testTimeout = 5 * time.Second

const gust fleet.Kind = "gust"

// startRawTarget starts a target that answers each request with one call of serve.
func startRawTarget(t *testing.T, serve func(c net.Conn)) netip.AddrPort {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				r, err := http.ReadRequest(bufio.NewReader(c))
				if err == nil {
					_, _ = io.Copy(io.Discard, r.Body)
					serve(c)
				}
			}()
		}
	}()
	return netip.MustParseAddrPort(l.Addr().String())
}

// newSingleTargetHost runs the request path of an agent with one target for one connection at a
// time. It returns the agent, the node of an entry and the agent's address.
func newSingleTargetHost(t *testing.T, at netip.AddrPort) (a *Agent, x *peer.Node, to netip.AddrPort) {
	g := NewWithT(t)
	system := actor.NewActorSystem()
	quiet := &log.Logger{Level: log.PanicLevel}
	a = &Agent{Base: &base.Base{Log: quiet}, targetClient: target.NewClient(), gate: &admission.Gate{System: system, Admitter: admit.New()}}
	a.gate.Start()
	a.gate.SetTable(&table.Table{Rows: []table.Row{{Kind: gust, Class: table.ClassRequest, Weight: 1, Ceiling: 1, Deadline: time.Second, Objective: time.Second}}})
	g.Expect(a.targets.Announce(time.Now().Add(time.Hour), target.Announcement{ID: "t", Kinds: []fleet.Kind{gust}, Address: at, Connections: 1})).To(Succeed())
	a.gate.SetCapacity(1)
	authority, err := peer.NewAuthority(time.Now(), time.Hour)
	g.Expect(err).NotTo(HaveOccurred())
	node := func() *peer.Node {
		u, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		g.Expect(err).NotTo(HaveOccurred())
		u.Close()
		c, err := authority.Issue(peer.PeerName, time.Now(), time.Hour)
		g.Expect(err).NotTo(HaveOccurred())
		n := &peer.Node{
			Listen: u.LocalAddr().(*net.UDPAddr).AddrPort(), Handlers: &peer.Handlers{}, Log: quiet,
			Keys: peer.NewKeyRing(&peer.Keys{Certificate: c, Authority: authority.Pool()}),
		}
		n.Handlers.Register(message.OperationRequest, a.handleRequest)
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() { defer close(done); _ = n.Run(ctx) }()
		t.Cleanup(func() { cancel(); <-done })
		g.Eventually(n.Ready(), testTimeout).Should(BeClosed())
		return n
	}
	y := node()
	t.Cleanup(func() { a.targetClient.Close(); a.gate.Stop(); system.Shutdown() })
	return a, node(), y.Listen
}

// sendRequest sends a request with a body and returns the head of the answer.
func sendRequest(t *testing.T, x *peer.Node, to netip.AddrPort, remaining time.Duration) (*peer.Stream, message.AnswerHead, error) {
	g := NewWithT(t)
	s, err := x.OpenStream(context.Background(), to, message.OperationRequest)
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(s.Abort)
	g.Expect(peer.Send(s, message.RequestHead{Kind: gust, Method: http.MethodPost, Path: "/x", BodyLength: 4, Remaining: remaining})).To(Succeed())
	_, err = io.WriteString(s, "wind")
	if err == nil {
		err = s.EndBody()
	}
	// An agent that has its answer already cancels the body. Its answer is checked all the same.
	if !peer.IsReadCancelled(err) {
		g.Expect(err).NotTo(HaveOccurred())
	}
	_ = s.SetDeadline(time.Now().Add(testTimeout))
	h, err := peer.Receive[message.AnswerHead](s)
	return s, h, err
}

// hostIdle returns a function that reports whether the target, the gate and the agent have no request
// in flight.
func hostIdle(a *Agent) func() bool {
	return func() bool {
		_, err := a.targets.Acquire(time.Now(), gust)
		if err == nil {
			a.targets.Release("t")
		}
		l, _ := a.gate.Load(context.Background())
		return err == nil && a.activeRequests.Load() == 0 && len(l) == 1 && l[0].InFlight == 0
	}
}

// TestTargetFailuresAreReported checks, for each way in which a target may fail, the verdict and the
// body that the entry receives, and that the host is idle afterwards.
func TestTargetFailuresAreReported(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n"
	hang := func(c net.Conn) { _, _ = c.Read(make([]byte, 1)) }
	for _, c := range []struct {
		name    string
		serve   func(c net.Conn)
		verdict message.Verdict
		body    string
		err     error
	}{
		{"complete answer", func(c net.Conn) { _, _ = io.WriteString(c, ok+"wind") }, message.Answered, "wind", nil},
		{"truncated answer", func(c net.Conn) { _, _ = io.WriteString(c, ok+"wi") }, message.Answered, "wi", peer.ErrTruncated},
		{"malformed answer", func(c net.Conn) { _, _ = io.WriteString(c, "wind\r\n\r\n") }, message.Failed, "", nil},
		{"no answer", func(net.Conn) {}, message.Failed, "", nil},
		{"deadline exceeded", hang, message.Failed, "", nil},
		{"stalled answer", func(c net.Conn) { _, _ = io.WriteString(c, ok+"wi"); hang(c) }, message.Answered, "wi", peer.ErrTruncated},
		{"target not listening", nil, message.Refused, "", nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			at := startRawTarget(t, c.serve)
			if c.serve == nil {
				l, err := net.Listen("tcp", "127.0.0.1:0")
				g.Expect(err).NotTo(HaveOccurred())
				at = netip.MustParseAddrPort(l.Addr().String())
				l.Close()
			}
			a, x, to := newSingleTargetHost(t, at)
			s, h, err := sendRequest(t, x, to, time.Second)
			if c.err != nil && err != nil {
				// The reset of the stream may arrive before the answer's head.
				g.Eventually(hostIdle(a), testTimeout).Should(BeTrue())
				return
			}
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(h.Verdict).To(Equal(c.verdict))
			g.Expect(h.Reason).NotTo(ContainSubstring("127.0.0.1"))
			if h.Verdict == message.Answered {
				b, err := io.ReadAll(s.Body())
				if c.err == nil {
					g.Expect(err).NotTo(HaveOccurred())
					g.Expect(string(b)).To(Equal(c.body))
				} else {
					g.Expect(err).To(MatchError(c.err))
					g.Expect(c.body).To(HavePrefix(string(b)))
				}
			}
			g.Eventually(hostIdle(a), testTimeout).Should(BeTrue())
		})
	}
}

// TestAbandonedAnswerFreesTheHost aborts an endless answer, or never reads it, as happens when an entry
// dies. The exchange must end at the latest with the deadline and leave the host idle.
func TestAbandonedAnswerFreesTheHost(t *testing.T) {
	for name, leave := range map[string]func(*peer.Stream){"stream aborted": (*peer.Stream).Abort, "answer not read": func(*peer.Stream) {}} {
		t.Run(name, func(t *testing.T) { testAbandonedAnswer(t, leave) })
	}
}

// testAbandonedAnswer abandons an endless answer with leave and waits until the host is idle.
func testAbandonedAnswer(t *testing.T, leave func(*peer.Stream)) {
	g := NewWithT(t)
	ended := make(chan struct{})
	at := startRawTarget(t, func(c net.Conn) {
		defer close(ended)
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
		for {
			if _, err := io.WriteString(c, "1000\r\n"+strings.Repeat("a", 0x1000)+"\r\n"); err != nil {
				return
			}
		}
	})
	a, x, to := newSingleTargetHost(t, at)
	s, h, err := sendRequest(t, x, to, time.Second)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(h.Verdict).To(Equal(message.Answered))
	leave(s)
	g.Eventually(ended, testTimeout).Should(BeClosed())
	g.Eventually(hostIdle(a), testTimeout).Should(BeTrue())
}
