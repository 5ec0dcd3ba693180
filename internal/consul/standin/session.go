package standin

import (
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/sesamestream/sesamestream/internal/consul"
)

// session answers a call on sessions.
func (s *Server) session(w http.ResponseWriter, path string, body []byte) {
	verb, id, _ := strings.Cut(path, "/")
	s.mu.Lock()
	defer s.mu.Unlock()
	l, ok := s.sessions[id]
	switch verb {
	case "create":
		s.create(w, body)
	case "renew":
		if !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		s.sessions[id] = session{ttl: l.ttl, end: time.Now().Add(l.ttl)}
		write(w, http.StatusOK, []consul.SessionResponse{{ID: id}})
	case "destroy":
		s.end(id)
		write(w, http.StatusOK, true)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// create starts a session.
func (s *Server) create(w http.ResponseWriter, body []byte) {
	var q consul.SessionRequest
	if err := json.Unmarshal(body, &q); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	d, err := time.ParseDuration(q.TTL)
	if err != nil || d < consul.MinTTL {
		http.Error(w, "invalid session TTL", http.StatusBadRequest)
		return
	}
	id := uuid.NewString()
	s.sessions[id] = session{ttl: d, end: time.Now().Add(d)}
	write(w, http.StatusOK, consul.SessionResponse{ID: id})
}

// expire ends the sessions that were not renewed in time.
func (s *Server) expire(now time.Time) {
	for id, l := range s.sessions {
		if now.After(l.end) {
			s.end(id)
		}
	}
}

// end removes a session and its holds.
func (s *Server) end(id string) {
	delete(s.sessions, id)
	for _, e := range s.keys {
		if e.Session == id {
			e.Session = ""
			s.store(e)
		}
	}
}
