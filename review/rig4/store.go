package main

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// pageItems is the number of items on one page of a range.
	pageItems = 500
	// valueBytes is the largest value that the store takes.
	valueBytes = 1 << 20
	// historyKept is how long the store keeps its history.
	historyKept = 20 * time.Second
	// maxEntries bounds the entries of one change.
	maxEntries = 32
)

// item is a key of the store, as it is encoded.
type item struct {
	Key        string `json:"key"`
	Value      []byte `json:"value"`
	Revision   int64  `json:"revision"`
	CreatedRev int64  `json:"createdRev"`
	Lease      int64  `json:"lease"`
	Removed    bool   `json:"removed,omitempty"`
	AsOf       int64  `json:"asOf,omitempty"`
}

// change is an item as a watch shows it.
type change struct {
	at   time.Time
	item item
}

// store is a stand-in for the platform's store.
type store struct {
	mu        sync.Mutex
	revision  int64
	items     map[string]item
	leases    map[int64]*time.Timer
	ttls      map[int64]time.Duration
	lastLease int64
	history   []change
	compacted int64
	changed   chan struct{}
}

func newStore() *store {
	return &store{
		revision: 1, items: map[string]item{}, leases: map[int64]*time.Timer{}, ttls: map[int64]time.Duration{},
		changed: make(chan struct{}),
	}
}

// listen serves the store at the address that one process has for it.
func (s *store) listen(addr string) error {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	go func() { _ = (&http.Server{Handler: s, ReadHeaderTimeout: 10 * time.Second}).Serve(l) }()
	return nil
}

// put sets a key as the operator does.
func (s *store) put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.set(item{Key: key, Value: value, Revision: s.revision})
}

// set stores an item of the present revision.
func (s *store) set(i item) {
	i.CreatedRev = i.Revision
	if old, ok := s.items[i.Key]; ok {
		i.CreatedRev = old.CreatedRev
	}
	s.items[i.Key] = i
	s.note(i)
}

// note adds an item to the history and wakes the watches.
func (s *store) note(i item) {
	now := time.Now()
	for len(s.history) > 0 && now.Sub(s.history[0].at) > historyKept {
		s.compacted = s.history[0].item.Revision
		s.history = s.history[1:]
	}
	s.history = append(s.history, change{now, i})
	close(s.changed)
	s.changed = make(chan struct{})
}

// remove removes a key at the present revision.
func (s *store) remove(key string) {
	if _, ok := s.items[key]; ok {
		delete(s.items, key)
		s.note(item{Key: key, Revision: s.revision, Removed: true})
	}
}

// endLease ends a lease and removes its keys.
func (s *store) endLease(id int64) bool {
	t, ok := s.leases[id]
	if !ok {
		return false
	}
	t.Stop()
	delete(s.leases, id)
	delete(s.ttls, id)
	s.revision++
	for k, i := range s.items {
		if i.Lease == id {
			s.remove(k)
		}
	}
	return true
}

// ServeHTTP serves a call to the store.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	q := r.URL.Query()
	switch path := r.URL.Path; {
	case path == "/api/kv-key":
		s.mu.Lock()
		i, ok := s.items[q.Get("key")]
		i.AsOf = s.revision
		s.mu.Unlock()
		if !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		answer(w, http.StatusOK, i)
	case path == "/api/kv-range":
		s.serveRange(w, q.Get("prefix"), q.Get("after"))
	case path == "/api/kv-watch":
		after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
		wait, _ := strconv.Atoi(q.Get("waitMs"))
		s.serveWatch(w, r, q.Get("prefix"), after, time.Duration(wait)*time.Millisecond)
	case path == "/api/kv-txn":
		s.serveChange(w, body)
	case path == "/api/kv-lease":
		s.serveGrant(w, body)
	case strings.HasPrefix(path, "/api/kv-keep/"):
		id, _ := strconv.ParseInt(strings.TrimPrefix(path, "/api/kv-keep/"), 10, 64)
		s.mu.Lock()
		t, ok := s.leases[id]
		if ok {
			t.Reset(s.ttls[id])
		}
		s.mu.Unlock()
		if !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		answer(w, http.StatusOK, map[string]any{})
	case strings.HasPrefix(path, "/api/kv-lease-end/"):
		id, _ := strconv.ParseInt(strings.TrimPrefix(path, "/api/kv-lease-end/"), 10, 64)
		s.mu.Lock()
		ok := s.endLease(id)
		s.mu.Unlock()
		if !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		answer(w, http.StatusOK, map[string]any{})
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) serveRange(w http.ResponseWriter, prefix, after string) {
	s.mu.Lock()
	keys := make([]string, 0, len(s.items))
	for k := range s.items {
		if strings.HasPrefix(k, prefix) && k > after {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	out, size, more := []item{}, 0, false
	for _, k := range keys {
		if len(out) == pageItems || size > valueBytes {
			more = true
			break
		}
		out = append(out, s.items[k])
		size += len(s.items[k].Value)
	}
	at := s.revision
	s.mu.Unlock()
	answer(w, http.StatusOK, map[string]any{"items": out, "hasMore": more, "asOf": at})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request, prefix string, after int64, wait time.Duration) {
	end := time.NewTimer(wait)
	defer end.Stop()
	for over := false; ; {
		s.mu.Lock()
		if after < s.compacted {
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		events := []item{}
		from := sort.Search(len(s.history), func(i int) bool { return s.history[i].item.Revision > after })
		for _, c := range s.history[from:] {
			if strings.HasPrefix(c.item.Key, prefix) {
				events = append(events, c.item)
			}
		}
		at, changed := s.revision, s.changed
		s.mu.Unlock()
		if over || len(events) > 0 {
			answer(w, http.StatusOK, map[string]any{"events": events, "asOf": at})
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-end.C:
			over = true
		case <-changed:
		}
	}
}

func (s *store) serveChange(w http.ResponseWriter, body []byte) {
	var in struct {
		Expect []struct {
			Key      string `json:"key"`
			Revision int64  `json:"revision"`
		} `json:"expect"`
		Puts   []item   `json:"puts"`
		Remove []string `json:"remove"`
	}
	if json.Unmarshal(body, &in) != nil || len(in.Expect)+len(in.Puts)+len(in.Remove) > maxEntries {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range in.Puts {
		if len(p.Value) > valueBytes {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
	}
	holds, current := true, []item{}
	for _, e := range in.Expect {
		i := s.items[e.Key]
		i.Key = e.Key
		current = append(current, i)
		holds = holds && i.Revision == e.Revision
	}
	if !holds {
		answer(w, http.StatusPreconditionFailed, map[string]any{"items": current})
		return
	}
	for _, p := range in.Puts {
		if _, ok := s.leases[p.Lease]; p.Lease != 0 && !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	s.revision++
	for _, p := range in.Puts {
		s.set(item{Key: p.Key, Value: p.Value, Lease: p.Lease, Revision: s.revision})
	}
	for _, k := range in.Remove {
		s.remove(k)
	}
	answer(w, http.StatusOK, map[string]any{"revision": s.revision})
}

func (s *store) serveGrant(w http.ResponseWriter, body []byte) {
	var in struct {
		TTLMs int64 `json:"ttlMs"`
	}
	if json.Unmarshal(body, &in) != nil || in.TTLMs < 1000 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastLease++
	id, ttl := s.lastLease, time.Duration(in.TTLMs)*time.Millisecond
	s.ttls[id] = ttl
	s.leases[id] = time.AfterFunc(ttl, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.endLease(id)
	})
	answer(w, http.StatusOK, map[string]any{"lease": id, "ttlMs": in.TTLMs})
}

// answer sends a JSON body.
func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// An error means that the client has gone.
	_ = json.NewEncoder(w).Encode(body)
}
