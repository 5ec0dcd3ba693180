package entry

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"runtime"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/asynkron/protoactor-go/actor"
	. "github.com/onsi/gomega"
	"github.com/phuslu/log"
	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"

	"github.com/sesamestream/sesamestream/internal/base"
	"github.com/sesamestream/sesamestream/internal/caller"
	"github.com/sesamestream/sesamestream/internal/message"
	"github.com/sesamestream/sesamestream/internal/operator"
	"github.com/sesamestream/sesamestream/internal/ownership"
	"github.com/sesamestream/sesamestream/internal/peer"
	"github.com/sesamestream/sesamestream/internal/runner"
	"github.com/sesamestream/sesamestream/internal/store"
	"github.com/sesamestream/sesamestream/internal/store/door"
	"github.com/sesamestream/sesamestream/pkg/decide/attempt"
	"github.com/sesamestream/sesamestream/pkg/decide/route"
	"github.com/sesamestream/sesamestream/pkg/fleet"
	"github.com/sesamestream/sesamestream/pkg/table"
)

const kind fleet.Kind = "gust"

var errFault = errors.New("test: fault")

// emptyStore is a store without keys.
type emptyStore struct{ store.Store }

func (emptyStore) Get(context.Context, string) (store.Pair, error) {
	return store.Pair{}, store.ErrNotFound
}

// A testAgent serves requests by a function and counts those that ran.
type testAgent struct {
	node  *peer.Node
	serve func(a *testAgent, s *peer.Stream) error

	mu   sync.Mutex
	runs int
}

func (a *testAgent) recordRun() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.runs++
}

// A testEntry is an entry with an HTTP server for its callers. It serves one row.
type testEntry struct {
	*Entry
	row  table.Row
	http *httptest.Server
	base *base.Base
	keys func() *peer.KeyRing
	// served counts the requests whose Serve has returned.
	served sync.WaitGroup
}

func newTestEntry(t testing.TB) *testEntry {
	g := NewWithT(t)
	a, err := peer.NewAuthority(time.Now(), time.Hour)
	g.Expect(err).NotTo(HaveOccurred())
	quiet := &log.Logger{Level: log.PanicLevel}
	b := &testEntry{row: table.Row{Kind: kind, Class: table.ClassRequest, Weight: 1, Deadline: 3 * time.Second}}
	b.keys = func() *peer.KeyRing {
		c, err := a.Issue(peer.PeerName, time.Now(), time.Hour)
		g.Expect(err).NotTo(HaveOccurred())
		return peer.NewKeyRing(&peer.Keys{Certificate: c, Authority: a.Pool()})
	}
	system := actor.NewActorSystem()
	b.base = &base.Base{
		Shards: 1, Keys: b.keys(), Metrics: metrics.NewRegistry(), Log: quiet, System: system, Operator: &operator.Server{},
		Store: &door.LimitedStore{Store: emptyStore{}, Timeout: time.Second, Budget: door.Budget{Writes: 100, Reads: 100, Leases: 100}},
		Self:  fleet.Member{Address: netip.MustParseAddrPort("127.0.0.1:0")},
	}
	b.base.Prepare()
	runNode(t, b.base.Node)
	b.Entry = &Entry{Base: b.base, budgets: make(map[fleet.Kind]*retryBudget), addresses: make(map[fleet.ProcessIncarnation]netip.AddrPort)}
	b.router = &runner.ValueActor[*route.Router]{System: system, Value: &route.Router{Rand: rand.New(rand.NewPCG(1, 1))}}
	b.router.Start()
	row := b.row
	b.router.Post(func(r *route.Router) { r.SetTable([]table.Row{row}) })
	s := &caller.Server{MaxBody: 8 << 20, MaxHeader: 32 << 10, BodyTimeout: time.Second, HeaderTimeout: time.Second, Handler: b}
	b.http = httptest.NewServer(s.HTTPHandler())
	t.Cleanup(func() {
		b.http.CloseClientConnections()
		b.http.Close()
		b.served.Wait()
		b.router.Stop()
		system.Shutdown()
	})
	return b
}

func (a *testAgent) runCount() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.runs
}

func runNode(t testing.TB, n *peer.Node) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = n.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	select {
	case <-n.Ready():
	case <-done:
		t.Fatal("the node stopped before it was ready")
	}
}

// Serve proxies one request by the row of b.
func (b *testEntry) Serve(ctx context.Context, r *caller.Request, w caller.Responder) {
	b.served.Add(1)
	defer b.served.Done()
	f := &proxiedRequest{entry: b.Entry, request: r, row: b.row, responder: w, budget: b.budgetOf(kind)}
	f.run(ctx)
}

// addAgent runs an agent that serves by f and adds a route to it.
func (b *testEntry) addAgent(t testing.TB, n int, f func(a *testAgent, s *peer.Stream) error) *testAgent {
	at := freeUDP(t)
	a := &testAgent{serve: f, node: &peer.Node{Listen: at, Handlers: &peer.Handlers{}, Keys: b.keys(), Log: b.base.Log}}
	a.node.Handlers.Register(message.OperationRequest, func(_ context.Context, s *peer.Stream) error { return a.serve(a, s) })
	runNode(t, a.node)
	b.addRoute(n, at)
	return a
}

// addRoute makes agent n at an address known to the entry.
func (b *testEntry) addRoute(n int, at netip.AddrPort) fleet.ProcessIncarnation {
	v := fleet.ProcessIncarnation{ID: fleet.ID(fmt.Sprint("agent-", n)), Incarnation: 1}
	b.mu.Lock()
	b.addresses[v] = at
	b.mu.Unlock()
	b.router.Post(func(r *route.Router) { r.Observe(time.Now(), route.Report{Agent: v, Kind: kind, Limit: 100}) })
	return v
}

func freeUDP(t testing.TB) netip.AddrPort {
	c, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	defer c.Close()
	return c.LocalAddr().(*net.UDPAddr).AddrPort()
}

// serveClaims makes an agent's node the owner of the only shard; f answers claims.
func (b *testEntry) serveClaims(a *testAgent, f func(message.Claim) (message.ClaimAnswer, error)) {
	peer.Handle(a.node.Handlers, message.OperationClaim, func(_ context.Context, q message.Claim) (message.ClaimAnswer, error) { return f(q) })
	peer.Handle(a.node.Handlers, message.OperationClaimEnd, func(context.Context, message.ClaimEnd) (message.Empty, error) { return message.Empty{}, nil })
	b.base.CacheOwner(0, ownership.Owner{Process: fleet.ProcessIncarnation{ID: "owner"}, Address: a.node.Listen})
}

func grantClaim(message.Claim) (message.ClaimAnswer, error) {
	return message.ClaimAnswer{Result: message.ClaimGranted, GrantID: 1}, nil
}

// post sends one request and returns the outcome and answer that its caller gets.
func (b *testEntry) post(body []byte) (o fleet.Outcome, answer string, err error) {
	r, _ := http.NewRequest(http.MethodPost, b.http.URL+"/gust/x", bytes.NewReader(body))
	r.Header.Set(caller.HeaderIdempotencyKey, "key")
	w, err := http.DefaultTransport.RoundTrip(r)
	if err != nil {
		return "", "", err
	}
	defer w.Body.Close()
	x, err := io.ReadAll(w.Body)
	return fleet.Outcome(w.Header.Get(caller.HeaderOutcome)), string(x), err
}

const wholeAnswer = "the whole answer"

func sendAnswer(s *peer.Stream, part string) error {
	if err := peer.Send(s, message.AnswerHead{Verdict: message.Answered, Status: http.StatusOK}); err != nil {
		return err
	}
	_, err := io.WriteString(s, part)
	return err
}

func readRequest(s *peer.Stream) error {
	if _, err := peer.Receive[message.RequestHead](s); err != nil {
		return err
	}
	_, err := io.Copy(io.Discard, s.Body())
	return err
}

// brokenExchanges are the ways in which an agent breaks an exchange or ends it
// early. Where runs is set, a target has received the request by then.
var brokenExchanges = []struct {
	name string
	runs bool
	// outcome is what the caller gets if no other agent may be tried; "" stands for
	// a truncated answer.
	outcome fleet.Outcome
	serve   func(s *peer.Stream) error
}{
	{"refused unread", false, fleet.NotRun, func(s *peer.Stream) error {
		_, _ = peer.Receive[message.RequestHead](s)
		return peer.Send(s, message.AnswerHead{Verdict: message.Refused, Reason: "full"})
	}},
	{"before head", false, fleet.Unknown, func(*peer.Stream) error { return errFault }},
	{"after head", true, fleet.Unknown, func(s *peer.Stream) error {
		_, _ = peer.Receive[message.RequestHead](s)
		return errFault
	}},
	{"after body", true, fleet.Unknown, func(s *peer.Stream) error { return errors.Wrap(errFault, fmt.Sprint(readRequest(s))) }},
	{"failed", true, fleet.Unknown, func(s *peer.Stream) error {
		_ = readRequest(s)
		return peer.Send(s, message.AnswerHead{Verdict: message.Failed, Reason: "lost"})
	}},
	{"mid-answer", true, "", func(s *peer.Stream) error {
		_ = readRequest(s)
		_ = sendAnswer(s, strings.Repeat(wholeAnswer, 1<<16))
		return errFault
	}},
	{"without end", true, "", func(s *peer.Stream) error {
		_ = readRequest(s)
		return sendAnswer(s, wholeAnswer)
	}},
	{"impossible status", true, fleet.Unknown, func(s *peer.Stream) error {
		_ = readRequest(s)
		return peer.Send(s, message.AnswerHead{Verdict: message.Answered, Status: 42})
	}},
	{"answered unread", true, fleet.Answered, func(s *peer.Stream) error {
		_, _ = peer.Receive[message.RequestHead](s)
		_ = sendAnswer(s, wholeAnswer)
		return s.EndBody()
	}},
}

// TestBrokenExchangeReportsTrueOutcome breaks the exchange with the first agent at
// each step while a second agent works, with an empty, a small and a large body. It
// guards against an outcome that is untrue, a truncated answer that looks complete
// and a second run of an unrepeatable request.
func TestBrokenExchangeReportsTrueOutcome(t *testing.T) {
	for _, size := range []int{0, 100, 4 << 20} {
		for _, c := range brokenExchanges {
			for _, unrepeatable := range []bool{true, false} {
				t.Run(fmt.Sprintf("%s/%d/unrepeatable=%v", c.name, size, unrepeatable), func(t *testing.T) {
					g := NewWithT(t)
					b := newTestEntry(t)
					b.row.Unrepeatable = unrepeatable
					var mu sync.Mutex
					brokenOnce := false
					serve := func(a *testAgent, s *peer.Stream) error {
						mu.Lock()
						breakNow := !brokenOnce
						brokenOnce = true
						mu.Unlock()
						if breakNow {
							if c.runs {
								a.recordRun()
							}
							return c.serve(s)
						}
						a.recordRun()
						if err := readRequest(s); err != nil {
							return err
						}
						_ = sendAnswer(s, wholeAnswer)
						return s.EndBody()
					}
					x, y := b.addAgent(t, 1, serve), b.addAgent(t, 2, serve)
					b.serveClaims(x, grantClaim)
					o, body, err := b.post(make([]byte, size))
					runs := x.runCount() + y.runCount()
					retried := !unrepeatable && c.outcome != "" || c.outcome == fleet.NotRun
					switch {
					case c.outcome == "":
						g.Expect(err).To(HaveOccurred())
						g.Expect(runs).To(Equal(1))
					case retried || c.outcome == fleet.Answered:
						g.Expect(err).NotTo(HaveOccurred())
						g.Expect(o).To(Equal(fleet.Answered))
						g.Expect(body).To(Equal(wholeAnswer))
					default:
						g.Expect(err).NotTo(HaveOccurred())
						g.Expect(o).To(Equal(c.outcome))
					}
					if unrepeatable {
						g.Expect(runs).To(BeNumerically("<=", 1))
					}
				})
			}
		}
	}
}

// TestClaimResultDecidesOutcome answers the claim of an unrepeatable request with
// every result. Only a granted request may run, and the caller gets a true outcome.
func TestClaimResultDecidesOutcome(t *testing.T) {
	for _, c := range []struct {
		name    string
		answer  message.ClaimAnswer
		err     error
		outcome fleet.Outcome
	}{
		{"granted", message.ClaimAnswer{Result: message.ClaimGranted, GrantID: 1}, nil, fleet.Answered},
		{"not committed", message.ClaimAnswer{Result: message.ClaimNotCommitted}, nil, fleet.NotRun},
		{"denied after answer", message.ClaimAnswer{Result: message.ClaimDenied, EarlierOutcome: fleet.Answered}, nil, fleet.Unknown},
		{"denied after no run", message.ClaimAnswer{Result: message.ClaimDenied, EarlierOutcome: fleet.NotRun}, nil, fleet.NotRun},
		{"denied while running", message.ClaimAnswer{Result: message.ClaimDenied}, nil, fleet.Unknown},
		{"unknown", message.ClaimAnswer{Result: message.ClaimUnknown}, nil, fleet.Unknown},
		{"no result", message.ClaimAnswer{}, nil, fleet.Unknown},
		{"failed", message.ClaimAnswer{}, errFault, fleet.Unknown},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			b := newTestEntry(t)
			b.row.Unrepeatable = true
			x := b.addAgent(t, 1, func(a *testAgent, s *peer.Stream) error {
				a.recordRun()
				_ = readRequest(s)
				_ = sendAnswer(s, wholeAnswer)
				return s.EndBody()
			})
			b.serveClaims(x, func(message.Claim) (message.ClaimAnswer, error) { return c.answer, c.err })
			o, _, err := b.post(nil)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(o).To(Equal(c.outcome))
			g.Expect(x.runCount() == 1).To(Equal(c.outcome == fleet.Answered))
		})
	}
}

// TestCallerGoneIsReportedOnce waits for the events of an unrepeatable request, which
// continues after its caller is gone. Only the first event may say that the caller is
// gone; the next comes at the deadline.
func TestCallerGoneIsReportedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		f := &proxiedRequest{deadline: time.Now().Add(time.Minute), machine: &attempt.Machine{}, events: make(chan attempt.Event, 1)}
		g.Expect(f.nextEvent(ctx).Type).To(Equal(attempt.CallerGone))
		start := time.Now()
		g.Expect(f.nextEvent(ctx).Type).NotTo(Equal(attempt.CallerGone))
		g.Expect(time.Since(start)).To(Equal(time.Minute))
	})
}

// BenchmarkSlowCallers runs callers that read nothing of a large answer. It reports the
// memory per caller at the entry and at the agent's end of the peer protocol, both of
// which are in this process.
func BenchmarkSlowCallers(b *testing.B) {
	const callers = 1000
	x := newTestEntry(b)
	x.row.Deadline = time.Minute
	sent := make(chan struct{}, callers)
	flood := make([]byte, 32<<20)
	x.addAgent(b, 1, func(_ *testAgent, s *peer.Stream) error {
		_ = readRequest(s)
		_ = sendAnswer(s, strings.Repeat(wholeAnswer, 1<<10))
		sent <- struct{}{}
		_, err := s.Write(flood)
		return err
	})
	heldMemory := func() uint64 {
		var m runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&m)
		return m.HeapInuse + m.StackInuse
	}
	for b.Loop() {
		before := heldMemory()
		var open []net.Conn
		for range callers {
			c, err := net.Dial("tcp", x.http.Listener.Addr().String())
			if err != nil {
				b.Fatal(err)
			}
			open = append(open, c)
			_, _ = io.WriteString(c, "GET /gust/x HTTP/1.1\r\nHost: a\r\n\r\n")
		}
		for range callers {
			<-sent
		}
		// The kernel's socket buffers fill before memory grows in this process.
		time.Sleep(2 * time.Second)
		b.ReportMetric(float64(heldMemory()-before)/callers/(1<<10), "KiB/caller")
		for _, c := range open {
			c.Close()
		}
	}
}

// TestRetryAfterOfAgentReachesCaller checks that the retry delay in an agent's refusal
// is the Retry-After of the response to the caller.
func TestRetryAfterOfAgentReachesCaller(t *testing.T) {
	g := NewWithT(t)
	b := newTestEntry(t)
	b.addAgent(t, 1, func(_ *testAgent, s *peer.Stream) error {
		_, _ = peer.Receive[message.RequestHead](s)
		return peer.Send(s, message.AnswerHead{Verdict: message.Refused, Reason: "full", RetryAfter: 7 * time.Second})
	})
	w, err := http.Post(b.http.URL+"/gust/x", "text/plain", nil)
	g.Expect(err).NotTo(HaveOccurred())
	defer w.Body.Close()
	g.Expect(w.StatusCode).To(Equal(http.StatusServiceUnavailable))
	g.Expect(w.Header.Get("Retry-After")).To(Equal("7"))
}
