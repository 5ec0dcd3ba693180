package intake_test

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sesamestream/sesamestream/internal/eventlog"
	"github.com/sesamestream/sesamestream/internal/intake"
)

func contextEnded(t *testing.T) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	return ctx, cancel
}

// pipeListener accepts connections in memory.
type pipeListener struct {
	conns  chan net.Conn
	closed chan struct{}
}

func (l pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}
func (l pipeListener) Close() error   { close(l.closed); return nil }
func (l pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// serveInMemory serves requests whose bodies are read with a limit of 10,000 bytes and returns a
// function that opens a connection.
func serveInMemory(t *testing.T, i *intake.Intake, maxConns int) func() net.Conn {
	l := pipeListener{make(chan net.Conn), make(chan struct{})}
	s := &http.Server{ReadHeaderTimeout: time.Minute, IdleTimeout: time.Minute}
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		b, err := i.ReadBody(w, r, 10_000)
		switch {
		case errors.Is(err, intake.ErrTooLarge):
			w.WriteHeader(http.StatusRequestEntityTooLarge)
		case err != nil:
			w.WriteHeader(http.StatusServiceUnavailable)
		default:
			b.Release()
		}
	})
	limited := i.Limit(l, s, func() int { return maxConns })
	go func() { _ = s.Serve(limited) }()
	t.Cleanup(func() { _ = s.Close() })
	return func() net.Conn {
		a, b := net.Pipe()
		l.conns <- b
		return a
	}
}

// exchange sends a request and returns the status of the response and whether the connection stays open.
func exchange(c net.Conn, request string) (int, bool) {
	go func() { _, _ = io.WriteString(c, request) }()
	r, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, false
	}
	defer func() { _ = r.Body.Close() }()
	return r.StatusCode, !r.Close
}

const post = "POST / HTTP/1.1\r\nHost: h\r\n"

// Requests within the limits must not cost a client its connection. Those over them must be
// refused and their connections closed.
func TestRequestsOnOneConnection(t *testing.T) {
	for name, c := range map[string]struct {
		request string
		status  int
		open    bool
	}{
		"no body":        {"GET / HTTP/1.1\r\nHost: h\r\n\r\n", http.StatusOK, true},
		"body":           {post + "Content-Length: 3\r\n\r\nabc", http.StatusOK, true},
		"chunked":        {post + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n", http.StatusOK, true},
		"over-announced": {post + "Content-Length: 10001\r\n\r\n", http.StatusRequestEntityTooLarge, false},
		"over the limit": {post + "Transfer-Encoding: chunked\r\n\r\n2711\r\n" + strings.Repeat("x", 10_001), http.StatusRequestEntityTooLarge, false},
		"never complete": {post + "Content-Length: 3\r\n\r\nab", http.StatusServiceUnavailable, false},
		"tiny chunks":    {post + "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat("0000000000000001\r\nx\r\n", 9000), http.StatusServiceUnavailable, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				i := intake.New(1<<20, 1<<20, nil)
				client := serveInMemory(t, i, 10)()
				status, open := exchange(client, c.request)
				g.Expect(status).To(Equal(c.status))
				g.Expect(open).To(Equal(c.open))
				_ = client.Close()
			})
		})
	}
}

// Requests that are sent without waiting for responses may not take all of the processor. Those of a
// client that waits are served without end.
func TestPipelinedRequestsEndTheConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		open := serveInMemory(t, intake.New(1<<20, 1<<20, nil), 10)
		const get = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
		c := open()
		go func() { _, _ = io.WriteString(c, strings.Repeat(get, 500)) }()
		all, _ := io.ReadAll(c)
		g.Expect(bytes.Count(all, []byte("200 OK"))).To(BeNumerically("~", 17, 3))
		c = open()
		for range 200 {
			status, open := exchange(c, get)
			g.Expect(status).To(Equal(http.StatusOK))
			g.Expect(open).To(BeTrue())
		}
		_ = c.Close()
	})
}

// At the bound on connections, the oldest connection with an incomplete request must give way, and
// idle connections of callers only where there is none.
func TestConnectionsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		var reached []intake.Reason
		open := serveInMemory(t, intake.New(1<<20, 1<<20, func(r intake.Reason) { reached = append(reached, r) }), 3)
		idle := open()
		status, _ := exchange(idle, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		g.Expect(status).To(Equal(http.StatusOK))
		silent := open()
		halfHeader := open()
		_, _ = io.WriteString(halfHeader, post)
		time.Sleep(2 * time.Second)
		for n := range 2 {
			c := open()
			status, _ = exchange(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
			g.Expect(status).To(Equal(http.StatusOK), "client %d", n)
		}
		g.Expect(reached).To(Equal([]intake.Reason{intake.ReasonConnections, intake.ReasonConnections}))
		for _, c := range []net.Conn{silent, halfHeader} {
			_, err := c.Read(make([]byte, 1))
			g.Expect(err).To(MatchError(io.EOF))
		}
		status, _ = exchange(idle, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		g.Expect(status).To(Equal(http.StatusOK), "the idle connection was kept")
		_ = open()
		_, err := idle.Read(make([]byte, 1))
		g.Expect(err).To(HaveOccurred(), "nothing else could give way")
	})
}

// A crowd must not fill the log, and no occurrence may be lost from the counts.
func TestLogLinesAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		var b bytes.Buffer
		l := eventlog.New(&b, "n")
		r := &intake.Reporter{Log: l}
		for range 1000 {
			r.Report(intake.ReasonBodyBytes)
			time.Sleep(15 * time.Millisecond)
		}
		l.Close(time.Second)
		g.Expect(strings.Count(b.String(), eventlog.ClientLimited)).To(Equal(2))
		var m bytes.Buffer
		l.Metrics.WriteText(&m)
		g.Expect(m.String()).To(ContainSubstring(`sesamestream_client_limits_total{reason="bodyBytes"} 1000`))
	})
}

// The bytes of a body that arrive together with a short header must not count as a header, which takes many times
// its size: a small request would wait like a large one, or lose its connection.
func TestBodyBesideItsHeaderIsNotCountedAsHeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		var reached []intake.Reason
		i := intake.New(64<<10, 1<<20, func(r intake.Reason) { reached = append(reached, r) })
		c := serveInMemory(t, i, 10)()
		for range 2 {
			status, open := exchange(c, post+"Content-Length: 3000\r\n\r\n"+strings.Repeat("x", 3000))
			g.Expect(status).To(Equal(http.StatusOK))
			g.Expect(open).To(BeTrue())
		}
		g.Expect(reached).To(BeEmpty())
		_ = c.Close()
		c = serveInMemory(t, i, 10)()
		status, _ := exchange(c, "GET / HTTP/1.1\r\nHost: h\r\nX: "+strings.Repeat("x", 3000)+"\r\n\r\n")
		g.Expect(status).To(BeZero(), "a long header counts")
		g.Expect(reached).To(Equal([]intake.Reason{intake.ReasonHeaderBytes}))
		_ = c.Close()
	})
}

// The HTTP server reads one byte of the next request while a handler works. With a long header, that must
// not change the reservation for it, which the connection's goroutine uses at the same time.
func TestBackgroundReadLeavesHeaderReservation(t *testing.T) {
	g := NewWithT(t)
	i := intake.New(64<<20, 1<<20, nil)
	s := &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}), ReadHeaderTimeout: time.Minute}
	l, err := i.Listen(t.Context(), netip.MustParseAddrPort("127.0.0.1:0"), s, func() int { return 100 })
	g.Expect(err).NotTo(HaveOccurred())
	go func() { _ = s.Serve(l) }()
	defer func() { _ = s.Close() }()
	// The header fills the server's read buffer, so that the next byte is read in the background.
	const start, bufferBytes = "GET / HTTP/1.1\r\nHost: h\r\nX: ", 4096
	get := start + strings.Repeat("x", bufferBytes-len(start)-4) + "\r\n\r\n"
	for range 300 {
		c, err := net.Dial("tcp", l.Addr().String())
		g.Expect(err).NotTo(HaveOccurred())
		_, err = io.WriteString(c, get+"GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
		g.Expect(err).NotTo(HaveOccurred())
		all, err := io.ReadAll(c)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(bytes.Count(all, []byte("200 OK"))).To(Equal(2))
		_ = c.Close()
	}
}

// The HTTP server answers OPTIONS requests for the whole server itself, beside the limits: without a bound on
// pipelining, and without a deadline for a body.
func TestOptionsForTheServerAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		open := serveInMemory(t, intake.New(1<<20, 1<<20, nil), 10)
		c := open()
		go func() { _, _ = io.WriteString(c, strings.Repeat("OPTIONS * HTTP/1.1\r\nHost: h\r\n\r\n", 500)) }()
		all, _ := io.ReadAll(c)
		g.Expect(bytes.Count(all, []byte("200 OK"))).To(BeNumerically("~", 17, 3))
		c = open()
		status, stays := exchange(c, "OPTIONS * HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nab")
		g.Expect(status).To(Equal(http.StatusServiceUnavailable))
		g.Expect(stays).To(BeFalse())
		_ = c.Close()
	})
}
