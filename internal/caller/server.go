// Package caller implements the HTTP server for callers.
package caller

import (
	"context"
	"math"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

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

	// intake bounds what callers can make the process hold.
	intake   *intake.Intake
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
	maxConns, err := maxConnections()
	if err != nil {
		return err
	}
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
	limited := s.intake.Limit(l, h, func() int { return maxConns })
	// The responder sets the deadlines of its writes.
	limited.WriteTimeout = 0
	done := make(chan error, 1)
	go func() {
		<-ctx.Done()
		c, cancel := context.WithTimeout(context.Background(), s.ShutdownTimeout)
		defer cancel()
		done <- h.Shutdown(c)
	}()
	if err := h.Serve(limited); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "caller: serve")
	}
	return errors.Wrap(<-done, "caller: shutdown")
}

// maxConnections returns how many connections of callers may be open: half of the descriptors of
// the process. The others are for peers, the store and operators.
func maxConnections() (int, error) {
	var l unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &l); err != nil {
		return 0, errors.Wrap(err, "caller: limit of descriptors")
	}
	return int(min(l.Cur/2, math.MaxInt32)), nil
}

// HTTPHandler returns the handler for callers' requests. It must be called once.
func (s *Server) HTTPHandler() http.Handler {
	s.intake = intake.New(maxBufferedBytes, math.MaxInt64, nil)
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

// closeAfterResponse closes the connection with the response while the server drains, and after a
// chunked request. Such a request may have had a Content-Length too, and a proxy in front of
// this server may have used that to find the request's end. Closing the
// connection prevents request smuggling (RFC 9112, section 6.1).
func (s *Server) closeAfterResponse(w http.ResponseWriter, r *http.Request) {
	if s.draining.Load() || len(r.TransferEncoding) > 0 {
		w.Header().Set("Connection", "close")
	}
}

// serve parses one request and passes it to the Handler.
func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == PathReady {
		s.closeAfterResponse(w, r)
		s.serveReady(w)
		return
	}
	p := &responder{w: w}
	q, body, err := s.parse(w, r)
	s.closeAfterResponse(w, r)
	if err != nil {
		p.refuseMalformed(err)
		return
	}
	defer body.Release()
	s.Handler.Serve(r.Context(), q, p)
}
