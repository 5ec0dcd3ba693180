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

// kv answers a call on one key.
func (s *Server) kv(w http.ResponseWriter, r *http.Request, key string, body []byte) {
	switch r.Method {
	case http.MethodGet:
		s.get(w, r, key)
	case http.MethodPut:
		write(w, http.StatusOK, s.put(r, key, body))
	case http.MethodDelete:
		write(w, http.StatusOK, s.remove(r, key))
	default:
		http.Error(w, "method not allowed", http.StatusMethodNotAllowed)
	}
}

// get reads one key or a prefix, and waits for a change where an index is given.
func (s *Server) get(w http.ResponseWriter, r *http.Request, key string) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("index"), 10, 64)
	wait, _ := time.ParseDuration(q.Get("wait"))
	t := time.NewTimer(wait)
	defer t.Stop()
	for {
		es, index, changed := s.find(key, q.Has("recurse") || q.Has("keys"))
		if q.Has("keys") && len(es) > 0 {
			write(w, http.StatusOK, names(es))
			return
		}
		if after == 0 || index > after || wait == 0 {
			reply(w, es, index)
			return
		}
		select {
		case <-changed:
		case <-t.C:
			reply(w, es, index)
			return
		case <-r.Context().Done():
			return
		}
	}
}

// reply writes entries, or 404 where there are none.
func reply(w http.ResponseWriter, es []consul.Entry, index uint64) {
	w.Header().Set("X-Consul-Index", strconv.FormatUint(index, 10))
	if len(es) == 0 {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	write(w, http.StatusOK, es)
}

// names returns the keys of entries.
func names(es []consul.Entry) []string {
	ks := make([]string, len(es))
	for i, e := range es {
		ks[i] = e.Key
	}
	return ks
}

// find returns the entries of a key or prefix, their index, and a channel closed at the next change.
func (s *Server) find(key string, recurse bool) ([]consul.Entry, uint64, <-chan struct{}) {
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

// put sets a key under the condition in the query.
func (s *Server) put(r *http.Request, key string, value []byte) bool {
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
	s.store(e)
	return true
}

// remove deletes a key under the condition in the query.
func (s *Server) remove(r *http.Request, key string) bool {
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	if q.Has("cas") && q.Get("cas") != strconv.FormatUint(s.keys[key].ModifyIndex, 10) {
		return false
	}
	delete(s.keys, key)
	s.touch()
	return true
}

// txn carries out a transaction whole or not at all.
func (s *Server) txn(w http.ResponseWriter, body []byte) {
	var steps []consul.TxnOperation
	if err := json.Unmarshal(body, &steps); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, t := range steps {
		if t.KV == nil || !s.holds(*t.KV) {
			write(w, http.StatusConflict, consul.TxnResponse{Errors: []consul.TxnError{{OpIndex: i, What: "index is stale"}}})
			return
		}
	}
	var a consul.TxnResponse
	for _, t := range steps {
		if t.KV.Verb == consul.VerbDelete {
			delete(s.keys, t.KV.Key)
			s.touch()
		}
		if t.KV.Verb == consul.VerbCAS {
			e := s.keys[t.KV.Key]
			e.Key, e.Value = t.KV.Key, t.KV.Value
			e = s.store(e)
			e.Value = nil
			a.Results = append(a.Results, consul.TxnResult{KV: &e})
		}
	}
	write(w, http.StatusOK, a)
}

// holds reports whether the condition of o is met.
func (s *Server) holds(o consul.KVOperation) bool {
	switch o.Verb {
	case consul.VerbCAS, consul.VerbCheckIndex, consul.VerbCheckNotExists:
		return s.keys[o.Key].ModifyIndex == o.Index
	case consul.VerbDelete:
		return true
	}
	return false
}

// store keeps e under the next index and returns it.
func (s *Server) store(e consul.Entry) consul.Entry {
	s.touch()
	e.ModifyIndex = s.index
	if e.CreateIndex == 0 {
		e.CreateIndex = s.index
	}
	s.keys[e.Key] = e
	return e
}

// touch counts a change and wakes the watches.
func (s *Server) touch() {
	s.index++
	close(s.changed)
	s.changed = make(chan struct{})
}
