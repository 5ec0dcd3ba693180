// Package standin implements an in-memory server for the subset of Consul's HTTP API that package consul
// uses, with fault injection, for tests and trials.
package standin

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/sesamestream/sesamestream/internal/consul"
)

// maxBodyBytes is the maximum size of a request body, which is Consul's default.
const maxBodyBytes = 512 << 10

// A FaultMode is the kind of fault that the server simulates.
type FaultMode string

// The fault modes of a server.
const (
	// Up means that the server works.
	Up FaultMode = "up"
	// Down answers every request with an error and without effect.
	Down FaultMode = "down"
	// Slow delays every request.
	Slow FaultMode = "slow"
	// LoseAnswers executes writes and then closes the connection without an answer.
	LoseAnswers FaultMode = "loseAnswers"
)

// A Fault is a fault mode with its parameters.
type Fault struct {
	Mode FaultMode `json:"mode"`
	// Delay is the delay of a request in mode slow, such as 200ms.
	Delay string `json:"delay"`
}

// Counts are the numbers of requests that a server has received since its start.
type Counts struct {
	Writes  int `json:"writes"`
	Reads   int `json:"reads"`
	Watches int `json:"watches"`
	// Bytes is the total size of the request bodies.
	Bytes int64 `json:"bytes"`
}

// A session is a session with its expiry time.
type session struct {
	ttl       time.Duration
	expiresAt time.Time
}

// A Server keeps keys and sessions in memory. Its zero value is ready for use.
type Server struct {
	// Address is the address that Run listens on; port 0 chooses a free port.
	Address netip.AddrPort
	// Bound is the address that Run is bound to, with the actual port. Run sets it before it closes
	// Ready.
	Bound netip.AddrPort
	// Ready, if not nil, is closed once Run listens.
	Ready chan struct{}

	mu       sync.Mutex
	mode     FaultMode
	delay    time.Duration
	index    uint64
	keys     map[string]consul.Entry
	sessions map[string]session
	changed  chan struct{}
	counts   Counts
}

// Run serves until ctx ends.
func (s *Server) Run(ctx context.Context) error {
	l, err := (&net.ListenConfig{}).Listen(ctx, "tcp", s.Address.String())
	if err != nil {
		return errors.Wrap(err, "standin: listen")
	}
	s.Bound = netip.MustParseAddrPort(l.Addr().String())
	if s.Ready != nil {
		close(s.Ready)
	}
	h := &http.Server{Handler: s, ReadHeaderTimeout: 5 * time.Second}
	stop := context.AfterFunc(ctx, func() { _ = h.Close() })
	defer stop()
	if err := h.Serve(l); ctx.Err() == nil {
		return errors.Wrap(err, "standin: serve")
	}
	return nil
}

// ServeHTTP answers one request.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	b, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, "body too large", http.StatusRequestEntityTooLarge)
		return
	}
	switch r.URL.Path {
	case "/standin/fault":
		s.handleFault(w, b)
		return
	case "/standin/counts":
		writeJSON(w, http.StatusOK, s.Counts())
		return
	}
	mode, delay := s.beginRequest(r, len(b))
	if mode == Slow {
		time.Sleep(delay)
	}
	if mode == Down {
		http.Error(w, "No cluster leader", http.StatusInternalServerError)
		return
	}
	if mode == LoseAnswers && r.Method != http.MethodGet {
		s.route(discardWriter{}, r, b)
		panic(http.ErrAbortHandler)
	}
	s.route(w, r, b)
}

// route passes a request to its handler.
func (s *Server) route(w http.ResponseWriter, r *http.Request, body []byte) {
	p := r.URL.Path
	switch {
	case strings.HasPrefix(p, "/v1/kv/"):
		s.handleKV(w, r, strings.TrimPrefix(p, "/v1/kv/"), body)
	case p == "/v1/txn":
		s.handleTxn(w, body)
	case strings.HasPrefix(p, "/v1/session/"):
		s.handleSession(w, strings.TrimPrefix(p, "/v1/session/"), body)
	default:
		http.NotFound(w, r)
	}
}

// handleFault sets the fault mode from a request body.
func (s *Server) handleFault(w http.ResponseWriter, body []byte) {
	var f Fault
	if err := json.Unmarshal(body, &f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if err := s.SetFault(f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
	}
}

// SetFault sets the fault mode of the server. An empty mode means Up; an unknown one changes nothing and
// returns an error.
func (s *Server) SetFault(f Fault) error {
	if !slices.Contains([]FaultMode{"", Up, Down, Slow, LoseAnswers}, f.Mode) {
		return errors.Errorf("standin: mode must be %s, %s, %s or %s", Up, Down, Slow, LoseAnswers)
	}
	d, err := time.ParseDuration(f.Delay)
	if f.Delay != "" && err != nil {
		return errors.Wrap(err, "standin: invalid delay")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mode, s.delay = f.Mode, d
	return nil
}

// Counts returns the request counts.
func (s *Server) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// beginRequest counts a request, ends expired sessions and returns the current fault mode and delay.
func (s *Server) beginRequest(r *http.Request, size int) (FaultMode, time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.keys == nil {
		s.keys = map[string]consul.Entry{}
		s.sessions = map[string]session{}
		s.changed = make(chan struct{})
	}
	s.counts.Bytes += int64(size)
	switch {
	case r.Method != http.MethodGet:
		s.counts.Writes++
	case r.URL.Query().Get("index") != "":
		s.counts.Watches++
	default:
		s.counts.Reads++
	}
	s.expireSessions(time.Now())
	return s.mode, s.delay
}

// writeJSON writes a response with v as its JSON body.
func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// A discardWriter is an http.ResponseWriter that discards the response.
type discardWriter struct{}

func (discardWriter) Header() http.Header         { return http.Header{} }
func (discardWriter) Write(b []byte) (int, error) { return len(b), nil }
func (discardWriter) WriteHeader(int)             {}
