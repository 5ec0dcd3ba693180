package standin

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/sesamestream/sesamestream/internal/consul"
)

// handleKV answers a request to the KV endpoint.
func (s *Server) handleKV(w http.ResponseWriter, r *http.Request, key string, body []byte) {
	switch r.Method {
	case http.MethodGet:
		s.handleGet(w, r, key)
	case http.MethodPut:
		writeJSON(w, http.StatusOK, s.putKey(r, key, body))
	case http.MethodDelete:
		writeJSON(w, http.StatusOK, s.deleteKey(r, key))
	default:
		http.Error(w, "method not allowed", http.StatusMethodNotAllowed)
	}
}

// handleGet reads one key or a prefix. If the query has an index, it waits for a later one.
func (s *Server) handleGet(w http.ResponseWriter, r *http.Request, key string) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("index"), 10, 64)
	wait, _ := time.ParseDuration(q.Get("wait"))
	t := time.NewTimer(wait)
	defer t.Stop()
	for {
		es, index, changed := s.findEntries(key, q.Has("recurse") || q.Has("keys"))
		if q.Has("keys") && len(es) > 0 {
			writeJSON(w, http.StatusOK, entryKeys(es))
			return
		}
		if after == 0 || index > after || wait == 0 {
			writeEntries(w, es, index)
			return
		}
		select {
		case <-changed:
		case <-t.C:
			writeEntries(w, es, index)
			return
		case <-r.Context().Done():
			return
		}
	}
}

// writeEntries writes entries, or status 404 if there are none.
func writeEntries(w http.ResponseWriter, es []consul.Entry, index uint64) {
	w.Header().Set("X-Consul-Index", strconv.FormatUint(index, 10))
	if len(es) == 0 {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(w, http.StatusOK, es)
}

// entryKeys returns the keys of entries.
func entryKeys(es []consul.Entry) []string {
	ks := make([]string, len(es))
	for i, e := range es {
		ks[i] = e.Key
	}
	return ks
}

// findEntries returns the entries of a key or prefix, their index, and a channel that is closed at the
// next change.
func (s *Server) findEntries(key string, recurse bool) ([]consul.Entry, uint64, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if e, ok := s.keys[key]; ok && !recurse {
		return []consul.Entry{e}, e.ModifyIndex, s.changed
	}
	var es []consul.Entry
	for k, e := range s.keys {
		if recurse && strings.HasPrefix(k, key) {
			es = append(es, e)
		}
	}
	slices.SortFunc(es, func(a, b consul.Entry) int { return strings.Compare(a.Key, b.Key) })
	return es, max(s.index, 1), s.changed
}

// putKey sets a key if the condition in the query is met.
func (s *Server) putKey(r *http.Request, key string, value []byte) bool {
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.keys[key]
	switch {
	case q.Has("acquire"):
		l := q.Get("acquire")
		if _, ok := s.sessions[l]; !ok || (e.Session != "" && e.Session != l) {
			return false
		}
		e.Session = l
	case q.Has("release"):
		if e.Session == "" || e.Session != q.Get("release") {
			return false
		}
		e.Session = ""
	case q.Has("cas") && q.Get("cas") != strconv.FormatUint(e.ModifyIndex, 10):
		return false
	}
	e.Key, e.Value = key, value
	s.storeEntry(e)
	return true
}

// deleteKey deletes a key if the condition in the query is met.
func (s *Server) deleteKey(r *http.Request, key string) bool {
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	if q.Has("cas") && q.Get("cas") != strconv.FormatUint(s.keys[key].ModifyIndex, 10) {
		return false
	}
	delete(s.keys, key)
	s.advanceIndex()
	return true
}

// handleTxn executes a transaction atomically.
func (s *Server) handleTxn(w http.ResponseWriter, body []byte) {
	var steps []consul.TxnOperation
	if err := json.Unmarshal(body, &steps); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, t := range steps {
		if t.KV == nil || !s.conditionHolds(*t.KV) {
			writeJSON(w, http.StatusConflict, consul.TxnResponse{Errors: []consul.TxnError{{OpIndex: i, What: "index is stale"}}})
			return
		}
	}
	var a consul.TxnResponse
	for _, t := range steps {
		if t.KV.Verb == consul.VerbDelete {
			delete(s.keys, t.KV.Key)
			s.advanceIndex()
		}
		if t.KV.Verb == consul.VerbCAS {
			e := s.keys[t.KV.Key]
			e.Key, e.Value = t.KV.Key, t.KV.Value
			e = s.storeEntry(e)
			e.Value = nil
			a.Results = append(a.Results, consul.TxnResult{KV: &e})
		}
	}
	writeJSON(w, http.StatusOK, a)
}

// conditionHolds reports whether the condition of o is met.
func (s *Server) conditionHolds(o consul.KVOperation) bool {
	switch o.Verb {
	case consul.VerbCAS, consul.VerbCheckIndex, consul.VerbCheckNotExists:
		return s.keys[o.Key].ModifyIndex == o.Index
	case consul.VerbDelete:
		return true
	}
	return false
}

// storeEntry stores e with the next index and returns it.
func (s *Server) storeEntry(e consul.Entry) consul.Entry {
	s.advanceIndex()
	e.ModifyIndex = s.index
	if e.CreateIndex == 0 {
		e.CreateIndex = s.index
	}
	s.keys[e.Key] = e
	return e
}

// advanceIndex increments the index and wakes the waiting reads.
func (s *Server) advanceIndex() {
	s.index++
	close(s.changed)
	s.changed = make(chan struct{})
}
