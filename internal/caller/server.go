// Package caller speaks HTTP to callers.
package caller

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"github.com/pkg/errors"
	"golang.org/x/sync/semaphore"

	"github.com/sesamestream/sesamestream/pkg/fleet"
)

// maxBuffered bounds the bodies that all requests of one entry hold together, in bytes.
const maxBuffered = 64 << 20

// idleTimeout bounds how long a caller's connection may wait between requests.
const idleTimeout = 2 * time.Minute

// A Server takes callers' requests.
// Its exported fields are set before Run.
type Server struct {
	// Listen is the address callers reach.
	Listen netip.AddrPort
	// MaxBody and MaxHeader bound one request.
	MaxBody   fleet.Bytes
	MaxHeader fleet.Bytes
	// HeaderTimeout bounds the time to send the headers, BodyTimeout that to send the body.
	HeaderTimeout time.Duration
	BodyTimeout   time.Duration
	// ShutdownTimeout bounds a graceful shutdown.
	ShutdownTimeout time.Duration
	// Handler serves the requests that are well formed.
	Handler Handler
	// Log takes the server's events.
	Log *log.Logger

	buffered *semaphore.Weighted
	leaving  atomic.Bool
}

// PathReady is what the balancer asks: 200 while requests are welcome, else 503.
const PathReady = "/ready"

// BeginDrain tells the balancer to send no more requests and ends each caller's
// connection after its next answer. Requests that come are still served.
func (s *Server) BeginDrain() {
	s.leaving.Store(true)
}

// A Handler serves one request and calls exactly one of the responder's ends.
type Handler interface {
	Serve(ctx context.Context, r *Request, w Responder)
}

// Run serves callers until ctx ends, then lets the requests in flight finish.
func (s *Server) Run(ctx context.Context) error {
	l, err := net.Listen("tcp", s.Listen.String())
	if err != nil {
		return errors.Wrap(err, "caller: listen")
	}
	h := &http.Server{
		Handler:           s.HTTPHandler(),
		ReadHeaderTimeout: s.HeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    int(s.MaxHeader),
	}
	if s.Log != nil {
		h.ErrorLog = s.Log.Std("", 0)
	}
	done := make(chan error, 1)
	go func() {
		<-ctx.Done()
		c, cancel := context.WithTimeout(context.Background(), s.ShutdownTimeout)
		defer cancel()
		done <- h.Shutdown(c)
	}()
	if err := h.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "caller: serve")
	}
	return errors.Wrap(<-done, "caller: shutdown")
}

// HTTPHandler returns what serves callers; it is called once.
func (s *Server) HTTPHandler() http.Handler {
	s.buffered = semaphore.NewWeighted(maxBuffered)
	return http.HandlerFunc(s.serve)
}

func (s *Server) ready(w http.ResponseWriter) {
	if s.leaving.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// serve parses one request and hands it on.
func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	// A chunked request may have had a length too, by which a proxy before this
	// server would see another end of it (RFC 9112, section 6.1).
	if s.leaving.Load() || len(r.TransferEncoding) > 0 {
		w.Header().Set("Connection", "close")
	}
	if r.URL.Path == PathReady {
		s.ready(w)
		return
	}
	p := &responder{w: w}
	q, err := s.parse(w, r)
	if err != nil {
		p.refuse(err)
		return
	}
	defer s.buffered.Release(int64(cap(q.Body)))
	s.Handler.Serve(r.Context(), q, p)
}
