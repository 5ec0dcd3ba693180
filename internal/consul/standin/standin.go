// Package standin is a small in-memory server for the subset of Consul's HTTP
// interface that package consul uses, with faults on demand, for tests and trials.
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

// maxBody bounds a request in bytes, as Consul does by default.
const maxBody = 512 << 10

// A FaultMode is how the server behaves.
type FaultMode string

// The modes of a server.
const (
	Up FaultMode = "up"
	// Down answers every call with an error and has no effect.
	Down FaultMode = "down"
	// Slow delays every call.
	Slow FaultMode = "slow"
	// LoseAnswers carries writes out and then cuts the connection.
	LoseAnswers FaultMode = "loseAnswers"
)

// A Fault sets the mode of a server.
type Fault struct {
	Mode FaultMode `json:"mode"`
	// Delay is how long a call waits in mode slow, such as 200ms.
	Delay string `json:"delay"`
}

// Counts are what a server has done since its start.
type Counts struct {
	Writes  int `json:"writes"`
	Reads   int `json:"reads"`
	Watches int `json:"watches"`
	// Bytes counts the bodies received.
	Bytes int64 `json:"bytes"`
}

// A session is a lease with its end.
type session struct {
	ttl time.Duration
	end time.Time
}

// A Server holds keys and sessions in memory. Its zero value is ready.
type Server struct {
	// Address is where Run listens.
	Address netip.AddrPort
	// Bound is set by Run before Ready is closed.
	Bound netip.AddrPort
	// Ready is closed once Run listens, where it is not nil.
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

// ServeHTTP answers one call.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	b, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		http.Error(w, "body too large", http.StatusRequestEntityTooLarge)
		return
	}
	switch r.URL.Path {
	case "/standin/fault":
		s.fault(w, b)
		return
	case "/standin/counts":
		write(w, http.StatusOK, s.Counts())
		return
	}
	mode, delay := s.begin(r, len(b))
	if mode == Slow {
		time.Sleep(delay)
	}
	if mode == Down {
		http.Error(w, "No cluster leader", http.StatusInternalServerError)
		return
	}
	if mode == LoseAnswers && r.Method != http.MethodGet {
		s.serve(discard{}, r, b)
		panic(http.ErrAbortHandler)
	}
	s.serve(w, r, b)
}

// serve passes a call to its handler.
func (s *Server) serve(w http.ResponseWriter, r *http.Request, body []byte) {
	p := r.URL.Path
	switch {
	case strings.HasPrefix(p, "/v1/kv/"):
		s.kv(w, r, strings.TrimPrefix(p, "/v1/kv/"), body)
	case p == "/v1/txn":
		s.txn(w, body)
	case strings.HasPrefix(p, "/v1/session/"):
		s.session(w, strings.TrimPrefix(p, "/v1/session/"), body)
	default:
		http.NotFound(w, r)
	}
}

// fault sets the mode from a request's body.
func (s *Server) fault(w http.ResponseWriter, body []byte) {
	var f Fault
	if err := json.Unmarshal(body, &f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if err := s.SetFault(f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
	}
}

// SetFault sets the mode of the server, up for none; an unknown one changes nothing.
func (s *Server) SetFault(f Fault) error {
	if !slices.Contains([]FaultMode{"", Up, Down, Slow, LoseAnswers}, f.Mode) {
		return errors.Errorf("standin: mode must be %s, %s, %s or %s", Up, Down, Slow, LoseAnswers)
	}
	d, err := time.ParseDuration(f.Delay)
	if f.Delay != "" && err != nil {
		return errors.Wrap(err, "standin: delay")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mode, s.delay = f.Mode, d
	return nil
}

// Counts returns what the server has done.
func (s *Server) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// begin counts a call, ends lapsed sessions and returns the mode in force.
func (s *Server) begin(r *http.Request, size int) (FaultMode, time.Duration) {
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
	s.expire(time.Now())
	return s.mode, s.delay
}

// write writes v as JSON.
func write(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// A discard drops an answer.
type discard struct{}

func (discard) Header() http.Header         { return http.Header{} }
func (discard) Write(b []byte) (int, error) { return len(b), nil }
func (discard) WriteHeader(int)             {}
