package standin

import (
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/sesamestream/sesamestream/internal/consul"
)

// handleSession answers a request to the session endpoint.
func (s *Server) handleSession(w http.ResponseWriter, path string, body []byte) {
	verb, id, _ := strings.Cut(path, "/")
	s.mu.Lock()
	defer s.mu.Unlock()
	l, ok := s.sessions[id]
	switch verb {
	case "create":
		s.createSession(w, body)
	case "renew":
		if !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		s.sessions[id] = session{ttl: l.ttl, expiresAt: time.Now().Add(l.ttl)}
		writeJSON(w, http.StatusOK, []consul.SessionResponse{{ID: id}})
	case "destroy":
		s.endSession(id)
		writeJSON(w, http.StatusOK, true)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// createSession creates a session.
func (s *Server) createSession(w http.ResponseWriter, body []byte) {
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
	s.sessions[id] = session{ttl: d, expiresAt: time.Now().Add(d)}
	writeJSON(w, http.StatusOK, consul.SessionResponse{ID: id})
}

// expireSessions ends the sessions that were not renewed in time.
func (s *Server) expireSessions(now time.Time) {
	for id, l := range s.sessions {
		if now.After(l.expiresAt) {
			s.endSession(id)
		}
	}
}

// endSession removes a session and unlocks its keys.
func (s *Server) endSession(id string) {
	delete(s.sessions, id)
	for _, e := range s.keys {
		if e.Session == id {
			e.Session = ""
			s.storeEntry(e)
		}
	}
}
