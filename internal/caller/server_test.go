package caller

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// testTimeout bounds each step of a test. Only a step that hangs takes that long.
const testTimeout = 5 * time.Second

// An echoHandler answers with the request's body and records the request.
type echoHandler struct {
	mu   sync.Mutex
	last *Request
	// answer, if set, is sent instead of the request's body.
	answer io.Reader
	header http.Header
	ended  chan error
}

func (e *echoHandler) Serve(_ context.Context, r *Request, w Responder) {
	e.mu.Lock()
	e.last = r
	e.mu.Unlock()
	body := e.answer
	if body == nil {
		body = strings.NewReader(string(r.Body))
	}
	err := w.Answer(time.Now(), http.StatusOK, e.header, body)
	if e.ended != nil {
		e.ended <- err
	}
	if err != nil {
		panic(http.ErrAbortHandler)
	}
}

// startServer runs a server with low limits until the test ends.
func startServer(t *testing.T, e *echoHandler) netip.AddrPort {
	l := httptest.NewUnstartedServer(nil).Listener
	at := netip.MustParseAddrPort(l.Addr().String())
	l.Close()
	s := &Server{
		Listen: at, Handler: e, MaxBody: 8 << 20, MaxHeader: 8 << 10,
		HeaderTimeout: 500 * time.Millisecond, BodyTimeout: 500 * time.Millisecond,
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = s.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	NewWithT(t).Eventually(func() error {
		c, err := net.Dial("tcp", at.String())
		if err == nil {
			c.Close()
		}
		return err
	}, testTimeout).Should(Succeed())
	return at
}

// roundTrip sends raw bytes and reads one response.
func roundTrip(at netip.AddrPort, raw string) (status int, h http.Header, body string, err error) {
	c, err := net.Dial("tcp", at.String())
	if err != nil {
		return 0, nil, "", err
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(testTimeout))
	go func() { _, _ = io.WriteString(c, raw) }()
	r, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, nil, "", err
	}
	defer r.Body.Close()
	b, err := io.ReadAll(r.Body)
	return r.StatusCode, r.Header, string(b), err
}

// TestMalformedRequestsAreRefused sends valid and malformed requests. A malformed one
// must get its status, with no outcome "answered" and no internal address.
func TestMalformedRequestsAreRefused(t *testing.T) {
	e := &echoHandler{}
	at := startServer(t, e)
	get := func(path string) string { return "GET " + path + " HTTP/1.1\r\nHost: a\r\n\r\n" }
	post := func(head, body string) string {
		return "POST /gust/x HTTP/1.1\r\nHost: a\r\n" + head + "\r\n" + body
	}
	for _, c := range []struct {
		raw    string
		status int
	}{
		{get("/gust/x"), 200},
		{get("http://other/gust/x"), 200},
		{get("/gust/a..b/...?q=/../"), 200},
		{get("/gust"), 404},
		{get("//gust/x"), 404},
		{get("/GUST/x"), 404},
		{get("/%67ust/x"), 404},
		{get("/gu%2fst/x"), 404},
		{get("/gust/../x"), 400},
		{get("/gust/a/.."), 400},
		{get("/gust/./x"), 400},
		{get("/gust/%2e%2E/x"), 400},
		{get("/gust/.%2e%2fx"), 400},
		{get("/gust/..%5cx"), 400},
		{get("/gust/%zz"), 400},
		{get("/gust/x?a#b"), 400},
		{get("/gust/" + strings.Repeat("a", 8<<10)), 400},
		{get("*"), 400},
		{"CONNECT a:80 HTTP/1.1\r\nHost: a\r\n\r\n", 501},
		{"GET /gust/x HTTP/1.1\r\nHost: a\r\nConnection: Upgrade\r\nUpgrade: websocket\r\n\r\n", 501},
		{"GET /gust/x HTTP/1.1\r\nHost: a\r\nIdempotency-Key: a\r\nIdempotency-Key: b\r\n\r\n", 400},
		{"GET /gust/x HTTP/1.1\r\nHost: a\r\nIdempotency-Key: a b\r\n\r\n", 400},
		{"GET /gust/x HTTP/1.1\r\nHost: a\r\nIdempotency-Key: " + strings.Repeat("k", 256) + "\r\n\r\n", 400},
		{"GET /gust/x HTTP/1.1\r\nHost: a\r\nX: " + strings.Repeat("x", 32<<10) + "\r\n\r\n", 431},
		{"GET /gust/x HTTP/1.1\r\nHost: a\r\nBad Name: x\r\n\r\n", 400},
		{post("Content-Length: 3\r\n", "abc"), 200},
		{post("Content-Length: 3\r\nContent-Length: 4\r\n", "abcd"), 400},
		{post("Content-Length: -3\r\n", "abc"), 400},
		{post("Content-Length: 3, 4\r\n", "abcd"), 400},
		{post("Transfer-Encoding: chunked, identity\r\n", "0\r\n\r\n"), 501},
		{post("Transfer-Encoding: xchunked\r\n", "0\r\n\r\n"), 501},
		{post("Transfer-Encoding: chunked\r\n", "zz\r\n"), 400},
		{post("Content-Length: 8388609\r\n", "abc"), 413},
		{post("Transfer-Encoding: chunked\r\n", "800001\r\n"+strings.Repeat("a", 0x800001)+"\r\n0\r\n\r\n"), 413},
		{post("Content-Length: 30\r\n", "abc"), 408},
		{post("Transfer-Encoding: chunked\r\n", "3\r\nabc\r\n"), 408},
	} {
		t.Run(fmt.Sprintf("%d %.60q", c.status, c.raw), func(t *testing.T) {
			g := NewWithT(t)
			status, header, body, err := roundTrip(at, c.raw)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(status).To(Equal(c.status), body)
			if c.status != 200 {
				g.Expect(header.Get(HeaderOutcome)).NotTo(Equal("answered"))
				g.Expect(body).NotTo(ContainSubstring("127.0.0.1"))
			}
		})
	}
}

// TestConflictingLengthsDoNotSmuggleRequest sends a request with both Content-Length
// and chunked encoding. If the server used the wrong length, a second request inside
// the body would be served as a request of its own (request smuggling).
func TestConflictingLengthsDoNotSmuggleRequest(t *testing.T) {
	g := NewWithT(t)
	e := &echoHandler{}
	at := startServer(t, e)
	_, _, body, err := roundTrip(at, "POST /gust/x HTTP/1.1\r\nHost: a\r\nContent-Length: 60\r\nTransfer-Encoding: chunked\r\n\r\n"+
		"3\r\nabc\r\n0\r\n\r\nGET /alert/smuggled HTTP/1.1\r\nHost: a\r\n\r\n")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(body).To(SatisfyAny(Equal("abc"), ContainSubstring("400")))
	g.Expect(e.last == nil || e.last.Path == "/x").To(BeTrue())
	if e.last != nil {
		g.Expect(e.last.Header).NotTo(HaveKey("Transfer-Encoding"))
	}
}

// TestHopByHopHeadersAreNotForwarded sends hop-by-hop and reserved headers in both
// directions. Neither a caller nor a target may set a header of the system.
func TestHopByHopHeadersAreNotForwarded(t *testing.T) {
	g := NewWithT(t)
	sent := "Sesamestream-Kind: a\r\nsesamestream-outcome: a\r\nSesamestream_Deadline: a\r\nSESAMESTREAM-Identity: a\r\n" +
		"Connection: X-Hop, close\r\nconnection: X-Other\r\nX-Hop: a\r\nX-Other: a\r\nTe: trailers\r\nKeep-Alive: a\r\nProxy-Connection: a\r\nX-Kept: a\r\n"
	back := http.Header{
		"Sesamestream-Outcome": {"notRun"}, "Sesamestream-Reason": {"a"}, "Sesamestream_Request": {"a"}, "Connection": {"X-Hop"},
		"X-Hop": {"a"}, "Keep-Alive": {"a"}, "X-Kept": {"a\r\nSesamestream-Reason: a"},
	}
	e := &echoHandler{header: back}
	at := startServer(t, e)
	_, h, _, err := roundTrip(at, "GET /gust/x HTTP/1.1\r\nHost: a\r\n"+sent+"\r\n")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(e.last.Header).To(Equal(http.Header{"X-Kept": {"a"}}))
	g.Expect(h.Values(HeaderOutcome)).To(Equal([]string{"answered"}))
	for _, name := range []string{HeaderReason, "Sesamestream_Request", "X-Hop", "Keep-Alive"} {
		g.Expect(h).NotTo(HaveKey(name))
	}
	g.Expect(h).To(HaveKey("X-Kept"))
}

// TestSlowBodiesDoNotBlockOthers sends many bodies that never end. They must not use up
// the memory for bodies, so a complete request is still served.
func TestSlowBodiesDoNotBlockOthers(t *testing.T) {
	g := NewWithT(t)
	at := startServer(t, &echoHandler{})
	for _, head := range []string{"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n", "Content-Length: 8000000\r\n\r\nabc"} {
		for range 30 {
			c, err := net.Dial("tcp", at.String())
			g.Expect(err).NotTo(HaveOccurred())
			defer c.Close()
			_, err = io.WriteString(c, "POST /gust/x HTTP/1.1\r\nHost: a\r\n"+head)
			g.Expect(err).NotTo(HaveOccurred())
		}
		status, _, _, err := roundTrip(at, "POST /gust/x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n")
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(status).To(Equal(http.StatusOK))
	}
}

// TestSlowHeadersTimeOut sends headers that never end. The server must close the
// connection.
func TestSlowHeadersTimeOut(t *testing.T) {
	g := NewWithT(t)
	at := startServer(t, &echoHandler{})
	c, err := net.Dial("tcp", at.String())
	g.Expect(err).NotTo(HaveOccurred())
	defer c.Close()
	_, err = io.WriteString(c, "GET /gust/x HTTP/1.1\r\nHost: a\r\n")
	g.Expect(err).NotTo(HaveOccurred())
	_ = c.SetDeadline(time.Now().Add(testTimeout))
	_, err = io.ReadAll(c)
	g.Expect(err).NotTo(HaveOccurred())
}

// endlessReader is the body of an answer that never ends.
type endlessReader struct{}

func (endlessReader) Read(p []byte) (int, error) { return len(p), nil }

// TestAnswerToStalledCallerEnds does not read an answer that never ends. The server must
// give the answer up after the deadline.
func TestAnswerToStalledCallerEnds(t *testing.T) {
	g := NewWithT(t)
	e := &echoHandler{answer: endlessReader{}, ended: make(chan error, 1)}
	at := startServer(t, e)
	c, err := net.Dial("tcp", at.String())
	g.Expect(err).NotTo(HaveOccurred())
	defer c.Close()
	_, err = io.WriteString(c, "GET /gust/x HTTP/1.1\r\nHost: a\r\n\r\n")
	g.Expect(err).NotTo(HaveOccurred())
	g.Eventually(e.ended, testTimeout).Should(Receive(MatchError(ErrGone)))
}

// FuzzParse checks that a parsed request is safe to forward: its kind, path and key are
// valid and no header is one that only the system sets.
func FuzzParse(f *testing.F) {
	f.Add("/gust/x?q=1", "Sesamestream-Kind", "Connection", "X-Hop", "key")
	f.Add("/gust/%2e%2e/x", "sesamestream_outcome", "Connection", "Idempotency-Key", "a b")
	f.Add("//gust/../x", "X-Hop", "CONNECTION", "x-hop, close", "")
	f.Fuzz(func(t *testing.T, uri, name, other, value, key string) {
		raw := "GET " + uri + " HTTP/1.1\r\nHost: a\r\n" + name + ": a\r\n" + other + ": " + value + "\r\nIdempotency-Key: " + key + "\r\n\r\n"
		r, err := http.ReadRequest(bufio.NewReader(strings.NewReader(raw)))
		if err != nil {
			return
		}
		q, err := Parse(r)
		if err != nil {
			return
		}
		if q.Kind == "" || strings.Trim(string(q.Kind), "abcdefghijklmnopqrstuvwxyz0123456789-_") != "" {
			t.Errorf("kind %q", q.Kind)
		}
		// The target must get the host and path that were checked.
		to, err := http.NewRequest(q.Method, "http://127.0.0.1:1"+q.Path, nil)
		if err == nil && (to.URL.Host != "127.0.0.1:1" || strings.Contains(to.URL.Path+"/", "/../")) {
			t.Errorf("path %q", q.Path)
		}
		for n := range q.Header {
			if strings.HasPrefix(strings.ToLower(strings.ReplaceAll(n, "_", "-")), "sesamestream-") {
				t.Errorf("header %q", n)
			}
		}
		if len(q.Key) > maxKeyBytes || strings.ContainsAny(q.Key, " \r\n\t") {
			t.Errorf("key %q", q.Key)
		}
	})
}
