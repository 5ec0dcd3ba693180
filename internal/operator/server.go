// Package operator implements the HTTPS API for operators, with queries and commands on a port
// that callers cannot use.
package operator

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"crypto/tls"
	"encoding/json"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/phuslu/log"
	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"

	"github.com/sesamestream/sesamestream/internal/peer"
	"github.com/sesamestream/sesamestream/internal/tables"
)

// Limits of operators' requests.
const (
	headerTimeout   = 5 * time.Second
	shutdownTimeout = 5 * time.Second
	// maxBodyBytes bounds the body of a request, and of an error answer that the client reads.
	maxBodyBytes = 4 << 20
)

// Metrics of the operators' port.
const (
	metricDenied = "operator.denied"
	metricCalls  = "operator.calls"
)

// A Server serves the API for operators.
// The exported fields are set before Run.
type Server struct {
	// Listen is the address that the server listens on.
	Listen netip.AddrPort
	// Token is the bearer token that operators present.
	Token string
	// Keys hold the server's certificate and the authority that signs operators' certificates.
	Keys *peer.KeyRing
	// Metrics holds the metrics that GET /v1/metrics returns.
	Metrics metrics.Registry
	// Log receives the events of the server.
	Log *log.Logger

	mux http.ServeMux
}

// An ErrorAnswer is the body of every answer with an error status.
type ErrorAnswer struct {
	Error string `json:"error"`
	// Outcome is notRun or unknown for commands, with the same meaning as for callers.
	Outcome string `json:"outcome,omitempty"`
	// Conflict holds both versions if another edit of the table was accepted first.
	Conflict *tables.Conflict `json:"conflict,omitempty"`
}

// Handle registers a handler for a method and a path pattern of net/http.
func (s *Server) Handle(pattern string, h http.HandlerFunc) {
	s.mux.HandleFunc(pattern, h)
}

// Run serves operators until ctx ends.
func (s *Server) Run(ctx context.Context) error {
	l, err := net.Listen("tcp", s.Listen.String())
	if err != nil {
		return errors.Wrap(err, "operator: listen")
	}
	s.Handle("GET /v1/metrics", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		metrics.WriteJSONOnce(s.Metrics, w)
	})
	h := &http.Server{
		Handler:           http.HandlerFunc(s.serve),
		TLSConfig:         s.Keys.OperatorConfig(),
		ReadHeaderTimeout: headerTimeout,
		ErrorLog:          s.Log.Std("", 0),
	}
	go func() {
		<-ctx.Done()
		c, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
		defer cancel()
		_ = h.Shutdown(c)
	}()
	err = h.ServeTLS(l, "", "")
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.Wrap(err, "operator: serve")
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	if !s.authorized(r) {
		metrics.GetOrRegisterCounter(metricDenied, s.Metrics).Inc(1)
		s.Log.Warn().Str("event", "operatorDenied").Str("from", r.RemoteAddr).Msg("")
		w.Header().Set("WWW-Authenticate", "Bearer")
		ReplyError(w, http.StatusUnauthorized, errors.New("a bearer token or an operator's certificate is needed"))
		return
	}
	metrics.GetOrRegisterCounter(metricCalls, s.Metrics).Inc(1)
	r.Body = http.MaxBytesReader(w, r.Body, maxBodyBytes)
	s.mux.ServeHTTP(w, r)
}

// authorized reports whether the request presents an operator's certificate or the token.
func (s *Server) authorized(r *http.Request) bool {
	if hasOperatorCertificate(r.TLS) {
		return true
	}
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok || s.Token == "" {
		return false
	}
	a, b := sha256.Sum256([]byte(token)), sha256.Sum256([]byte(s.Token))
	return subtle.ConstantTimeCompare(a[:], b[:]) == 1
}

func hasOperatorCertificate(c *tls.ConnectionState) bool {
	return c != nil && len(c.VerifiedChains) > 0 && slices.Contains(c.PeerCertificates[0].DNSNames, peer.OperatorName)
}

// Reply writes v as JSON.
func Reply(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// ReplyError writes err as an ErrorAnswer.
func ReplyError(w http.ResponseWriter, status int, err error) {
	Reply(w, status, ErrorAnswer{Error: err.Error()})
}
