// Package caller implements the HTTP server for callers.
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

	"github.com/sesamestream/sesamestream/internal/intake"
	"github.com/sesamestream/sesamestream/pkg/fleet"
)

// maxBufferedBytes bounds the buffers for the bodies of all requests of one entry
// together.
const maxBufferedBytes = 64 << 20

// idleTimeout bounds how long a caller's connection may wait between requests.
const idleTimeout = 2 * time.Minute

// A Server accepts callers' requests. Its exported fields are set before Run.
type Server struct {
	// Listen is the address to listen at.
	Listen netip.AddrPort
	// MaxBody and MaxHeader bound the body and the headers of one request.
	MaxBody   fleet.Bytes
	MaxHeader fleet.Bytes
	// HeaderTimeout and BodyTimeout bound the time in which a caller sends the
	// headers and then the body.
	HeaderTimeout time.Duration
	BodyTimeout   time.Duration
	// ShutdownTimeout bounds a graceful shutdown.
	ShutdownTimeout time.Duration
	// Handler serves the requests that are well-formed.
	Handler Handler
	// Log receives the errors of the HTTP server; nil for the standard logger.
	Log *log.Logger

	// bodies limits the bytes of all body buffers.
	bodies   *intake.Budget
	draining atomic.Bool
}

// PathReady is the path of the balancer's readiness check. The status is 200 while
// the server accepts requests and 503 while it drains.
const PathReady = "/ready"

// BeginDrain makes the readiness check fail, so that the balancer sends no more
// requests, and closes each caller's connection after its next response. Requests
// that still arrive are served.
func (s *Server) BeginDrain() {
	s.draining.Store(true)
}

// A Handler serves one request and calls exactly one method of the responder.
type Handler interface {
	Serve(ctx context.Context, r *Request, w Responder)
}

// Run serves callers until ctx ends, then waits up to ShutdownTimeout for the
// requests in flight.
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

// HTTPHandler returns the handler for callers' requests. It must be called once.
func (s *Server) HTTPHandler() http.Handler {
	s.bodies = intake.NewBudget(maxBufferedBytes)
	return http.HandlerFunc(s.serve)
}

// serveReady answers the balancer's readiness check.
func (s *Server) serveReady(w http.ResponseWriter) {
	if s.draining.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// serve parses one request and passes it to the Handler.
func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	// A chunked request may have had a Content-Length too, and a proxy in front of
	// this server may have used that to find the request's end. Closing the
	// connection prevents request smuggling (RFC 9112, section 6.1).
	if s.draining.Load() || len(r.TransferEncoding) > 0 {
		w.Header().Set("Connection", "close")
	}
	if r.URL.Path == PathReady {
		s.serveReady(w)
		return
	}
	p := &responder{w: w}
	q, held, err := s.parse(w, r)
	if err != nil {
		p.refuseMalformed(err)
		return
	}
	defer held.Release()
	s.Handler.Serve(r.Context(), q, p)
}
