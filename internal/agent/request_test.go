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

// bound is generous: nothing here takes near as long unless it hangs.
const bound = 5 * time.Second

const gust fleet.Kind = "gust"

// A raw target answers each request by one run of serve.
func rawTarget(t *testing.T, serve func(c net.Conn)) netip.AddrPort {
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

// hostOfOne runs the request path of an agent with one target for one
// connection; x is an entry's node.
func hostOfOne(t *testing.T, at netip.AddrPort) (a *Agent, x *peer.Node, to netip.AddrPort) {
	g := NewWithT(t)
	system := actor.NewActorSystem()
	quiet := &log.Logger{Level: log.PanicLevel}
	a = &Agent{Base: &base.Base{Log: quiet}, client: target.NewClient(), gate: &admission.Gate{System: system, Admitter: admit.New()}}
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
		n.Handlers.Register(message.OperationRequest, a.request)
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() { defer close(done); _ = n.Run(ctx) }()
		t.Cleanup(func() { cancel(); <-done })
		g.Eventually(n.Ready(), bound).Should(BeClosed())
		return n
	}
	y := node()
	t.Cleanup(func() { a.client.Close(); a.gate.Stop(); system.Shutdown() })
	return a, node(), y.Listen
}

func ask(t *testing.T, x *peer.Node, to netip.AddrPort, remaining time.Duration) (*peer.Stream, message.AnswerHead, error) {
	g := NewWithT(t)
	s, err := x.OpenStream(context.Background(), to, message.OperationRequest)
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(s.Abort)
	g.Expect(peer.Send(s, message.RequestHead{Kind: gust, Method: http.MethodPost, Path: "/x", BodyLength: 4, Remaining: remaining})).To(Succeed())
	_, err = io.WriteString(s, "wind")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(s.EndBody()).To(Succeed())
	_ = s.SetDeadline(time.Now().Add(bound))
	h, err := peer.Receive[message.AnswerHead](s)
	return s, h, err
}

// idle reports whether nothing of the host is in use any more.
func idle(a *Agent) func() bool {
	return func() bool {
		_, err := a.targets.Acquire(time.Now(), gust)
		if err == nil {
			a.targets.Release("t")
		}
		l, _ := a.gate.Load(context.Background())
		return err == nil && a.running.Load() == 0 && len(l) == 1 && l[0].InFlight == 0
	}
}

// TestTargetFailuresAreReported has a target fail in each way and looks at the
// verdict, at the body, and that the host is free again.
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
		{"whole", func(c net.Conn) { _, _ = io.WriteString(c, ok+"wind") }, message.Answered, "wind", nil},
		{"cut", func(c net.Conn) { _, _ = io.WriteString(c, ok+"wi") }, message.Answered, "wi", peer.ErrTruncated},
		{"garbage", func(c net.Conn) { _, _ = io.WriteString(c, "wind\r\n\r\n") }, message.Failed, "", nil},
		{"nothing", func(net.Conn) {}, message.Failed, "", nil},
		{"too late", hang, message.Failed, "", nil},
		{"stuck mid-answer", func(c net.Conn) { _, _ = io.WriteString(c, ok+"wi"); hang(c) }, message.Answered, "wi", peer.ErrTruncated},
		{"away", nil, message.Refused, "", nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			at := rawTarget(t, c.serve)
			if c.serve == nil {
				l, err := net.Listen("tcp", "127.0.0.1:0")
				g.Expect(err).NotTo(HaveOccurred())
				at = netip.MustParseAddrPort(l.Addr().String())
				l.Close()
			}
			a, x, to := hostOfOne(t, at)
			s, h, err := ask(t, x, to, time.Second)
			if c.err != nil && err != nil {
				// The end of the stream may overtake the answer's head.
				g.Eventually(idle(a), bound).Should(BeTrue())
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
			g.Eventually(idle(a), bound).Should(BeTrue())
		})
	}
}

// TestAbandonedAnswerFreesTheHost gives an answer without an end up, or never
// reads it, as an entry does that died.
func TestAbandonedAnswerFreesTheHost(t *testing.T) {
	for name, leave := range map[string]func(*peer.Stream){"given up": (*peer.Stream).Abort, "not read": func(*peer.Stream) {}} {
		t.Run(name, func(t *testing.T) { leftAlone(t, leave) })
	}
}

func leftAlone(t *testing.T, leave func(*peer.Stream)) {
	g := NewWithT(t)
	ended := make(chan struct{})
	at := rawTarget(t, func(c net.Conn) {
		defer close(ended)
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
		for {
			if _, err := io.WriteString(c, "1000\r\n"+strings.Repeat("a", 0x1000)+"\r\n"); err != nil {
				return
			}
		}
	})
	a, x, to := hostOfOne(t, at)
	s, h, err := ask(t, x, to, time.Second)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(h.Verdict).To(Equal(message.Answered))
	leave(s)
	g.Eventually(ended, bound).Should(BeClosed())
	g.Eventually(idle(a), bound).Should(BeTrue())
}
