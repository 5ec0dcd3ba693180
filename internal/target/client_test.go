package target

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/pkg/errors"
)

// A testTarget answers each request with raw bytes. If it returns false, the
// connection is closed after them.
type testTarget func(r *http.Request, w io.Writer) bool

func (s testTarget) listen(t testing.TB) netip.AddrPort {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(c)
		}
	}()
	return netip.MustParseAddrPort(l.Addr().String())
}

func (s testTarget) serve(c net.Conn) {
	defer c.Close()
	b := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(b)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		if !s(r, c) {
			return
		}
	}
}

func send(c *Client, to netip.AddrPort, method, body string) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	a, err := c.Do(ctx, Request{
		Target: to, Method: method, Path: "/x", Header: http.Header{"Idempotency-Key": {"k"}},
		Body: strings.NewReader(body), Length: int64(len(body)),
	})
	if err != nil {
		return "", err
	}
	defer a.Body.Close()
	b, err := io.ReadAll(a.Body)
	return string(b), err
}

// TestIncompleteAnswersAreErrors has a target send complete, truncated and malformed
// answers. Only a complete answer may be returned without an error, and no request
// may be sent twice.
func TestIncompleteAnswersAreErrors(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n"
	for _, c := range []struct {
		name, method, raw string
		whole             bool
		body              string
	}{
		{"length", "POST", ok + "Content-Length: 3\r\n\r\nabc", true, "abc"},
		{"length cut", "POST", ok + "Content-Length: 4\r\n\r\nabc", false, ""},
		{"chunks", "POST", ok + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n", true, "abc"},
		{"chunks cut in one", "POST", ok + "Transfer-Encoding: chunked\r\n\r\n4\r\nabc", false, ""},
		{"chunks cut between", "POST", ok + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n", false, ""},
		{"chunks cut before end", "POST", ok + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n", false, ""},
		{"no length", "POST", ok + "\r\nabc", false, ""},
		{"trailers", "POST", ok + "Transfer-Encoding: chunked\r\nTrailer: X\r\n\r\n3\r\nabc\r\n0\r\nX: 1\r\n\r\n", true, "abc"},
		{"both lengths", "POST", ok + "Content-Length: 9\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n", true, "abc"},
		{"equal lengths", "POST", ok + "Content-Length: 3\r\nContent-Length: 3\r\n\r\nabc", true, "abc"},
		{"two lengths", "POST", ok + "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd", false, ""},
		{"more than its length", "POST", ok + "Content-Length: 3\r\n\r\nabcdef", true, "abc"},
		{"garbage", "POST", "\x00\x01garbage\r\n\r\n", false, ""},
		{"nothing", "POST", "", false, ""},
		{"half a head", "POST", ok + "Content-Le", false, ""},
		{"huge head", "POST", ok + "X: " + strings.Repeat("x", 1<<20) + "\r\nContent-Length: 0\r\n\r\n", false, ""},
		{"interim", "POST", "HTTP/1.1 103 Early Hints\r\nX: 1\r\n\r\n" + ok + "Content-Length: 3\r\n\r\nabc", true, "abc"},
		{"interim without end", "POST", strings.Repeat("HTTP/1.1 103 Early Hints\r\nX: 1\r\n\r\n", 1<<16), false, ""},
		{"switch", "POST", "HTTP/1.1 101 Switching Protocols\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\nabc", false, ""},
		{"status 000", "POST", "HTTP/1.1 000 X\r\nContent-Length: 3\r\n\r\nabc", false, ""},
		{"status 999", "POST", "HTTP/1.1 999 X\r\nContent-Length: 3\r\n\r\nabc", false, ""},
		{"head", "HEAD", ok + "Content-Length: 30\r\n\r\n", true, ""},
		{"head without length", "HEAD", ok + "\r\n", true, ""},
		{"no content", "POST", "HTTP/1.1 204 No Content\r\n\r\n", true, ""},
		{"not modified", "GET", "HTTP/1.1 304 Not Modified\r\nContent-Length: 30\r\n\r\n", true, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			runs := make(chan struct{}, 10)
			at := testTarget(func(_ *http.Request, w io.Writer) bool {
				runs <- struct{}{}
				_, _ = io.WriteString(w, c.raw)
				return false
			}).listen(t)
			client := NewClient()
			defer client.Close()
			body, err := send(client, at, c.method, "")
			if !c.whole {
				g.Expect(err).To(HaveOccurred())
				g.Expect(err).NotTo(MatchError(ErrNotSent))
			} else {
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(body).To(Equal(c.body))
			}
			g.Expect(runs).To(HaveLen(1))
		})
	}
}

// TestRequestsAreSentOnce has the target close reused connections after it has read a
// request and before it answers. The client must not retry, because the request may
// have run.
func TestRequestsAreSentOnce(t *testing.T) {
	g := NewWithT(t)
	var mu sync.Mutex
	runs := map[string]int{}
	at := testTarget(func(r *http.Request, w io.Writer) bool {
		id := r.Header.Get("Idempotency-Key") + r.Method + r.RequestURI
		mu.Lock()
		defer mu.Unlock()
		runs[id]++
		if len(runs)%3 == 0 {
			return false
		}
		_, _ = io.WriteString(w, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		return true
	}).listen(t)
	client := NewClient()
	defer client.Close()
	for i := range 300 {
		method := []string{http.MethodGet, http.MethodPost, http.MethodPut}[i%3]
		a, err := client.Do(context.Background(), Request{
			Target: at, Method: method, Path: fmt.Sprint("/", i), Body: strings.NewReader(""), Header: http.Header{"Idempotency-Key": {"k"}},
		})
		if err == nil {
			a.Body.Close()
		}
		g.Expect(errors.Is(err, ErrNotSent)).To(BeFalse())
	}
	mu.Lock()
	defer mu.Unlock()
	g.Expect(runs).To(HaveLen(300))
	for id, n := range runs {
		g.Expect(n).To(Equal(1), id)
	}
}

// TestAnswersMatchTheirRequests has a target answer each request twice. The duplicate
// must never be returned as the answer to the next request.
func TestAnswersMatchTheirRequests(t *testing.T) {
	g := NewWithT(t)
	at := testTarget(func(r *http.Request, w io.Writer) bool {
		one := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(r.RequestURI), r.RequestURI)
		_, _ = io.WriteString(w, one+one)
		return true
	}).listen(t)
	client := NewClient()
	defer client.Close()
	var w sync.WaitGroup
	var mu sync.Mutex
	wrong, right := 0, 0
	for k := range 32 {
		w.Go(func() {
			for i := range 200 {
				path := fmt.Sprintf("/%d/%d", k, i)
				a, err := client.Do(context.Background(), Request{Target: at, Method: http.MethodPost, Path: path, Body: strings.NewReader("")})
				if err != nil {
					continue
				}
				b, _ := io.ReadAll(a.Body)
				a.Body.Close()
				mu.Lock()
				if string(b) == path {
					right++
				} else {
					wrong++
				}
				mu.Unlock()
			}
		})
	}
	w.Wait()
	g.Expect(wrong).To(BeZero())
	g.Expect(right).To(BeNumerically(">", 0))
}

// FuzzAnnouncement checks that an accepted announcement is usable: the registry returns
// a valid target for each kind.
func FuzzAnnouncement(f *testing.F) {
	f.Add([]byte(`{"id":"t","kinds":["gust"],"address":"127.0.0.1:80","connections":4}`))
	f.Add([]byte(`{"id":"t\n","kinds":["a b"],"address":"[::]:1","connections":9999999999,"leaving":true}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		var a Announcement
		if json.Unmarshal(b, &a) != nil {
			return
		}
		now := time.Unix(1000, 0)
		var r Registry
		if r.Announce(now, a) != nil {
			return
		}
		if n := r.Connections(now); n < 0 || n > maxConnections {
			t.Errorf("%d connections", n)
		}
		for _, k := range r.Kinds(now) {
			if x, err := r.Acquire(now, k); err != nil || !x.Address.IsValid() || strings.ContainsAny(string(k), "\r\n\x00 ") {
				t.Errorf("kind %q: %v", k, err)
			}
		}
	})
}
