package main

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"time"

	"github.com/sesamestream/sesamestream/platform/standin"
)

// valueBytes is the size of the largest value that the store takes.
const valueBytes = 1 << 20

// A store is the project's stand-in of the platform's store behind faults: it takes no value
// above valueBytes, and it can be silent for a while.
type store struct {
	inner  standin.Store
	record *record

	mu sync.Mutex
	// silent is set while calls get no answer.
	silent bool
	// lateness is how long after its arrival a change that got no answer is carried out; 0 is never.
	lateness time.Duration
	// isLate tells whether a change that got no answer is carried out late; nil is none.
	isLate func(change) bool
	// tooLarge counts the changes that were rejected for a value above valueBytes, by key.
	tooLarge map[string]int
}

// A change is the body of a change of the store.
type change struct {
	Puts []struct {
		Key   string `json:"key"`
		Value []byte `json:"value"`
	} `json:"puts"`
}

// setSilent begins or ends a time in which calls get no answer.
func (s *store) setSilent(silent bool, lateness time.Duration, isLate func(change) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent, s.lateness, s.isLate = silent, lateness, isLate
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	b, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	var c change
	isChange := r.URL.Path == "/api/kv-txn"
	if isChange && json.Unmarshal(b, &c) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	silent, lateness, isLate := s.silent, s.lateness, s.isLate
	for _, p := range c.Puts {
		if len(p.Value) > valueBytes {
			if s.tooLarge == nil {
				s.tooLarge = map[string]int{}
			}
			if s.tooLarge[p.Key]++; s.tooLarge[p.Key] == 1 {
				s.record.add("store: value of %d bytes rejected: %s", len(p.Value), p.Key)
			}
			s.mu.Unlock()
			w.WriteHeader(http.StatusBadRequest)
			return
		}
	}
	s.mu.Unlock()
	if silent {
		if isChange && isLate != nil && isLate(c) {
			late := r.Clone(r.Context())
			time.AfterFunc(lateness, func() { s.carryOut(late, b, c) })
		}
		<-r.Context().Done()
		return
	}
	r.Body = io.NopCloser(bytes.NewReader(b))
	s.inner.ServeHTTP(w, r)
}

// carryOut carries out a change whose caller got no answer.
func (s *store) carryOut(r *http.Request, body []byte, c change) {
	a := httptest.NewRecorder()
	late, err := http.NewRequest(r.Method, r.URL.String(), bytes.NewReader(body))
	if err != nil {
		return
	}
	s.inner.ServeHTTP(a, late)
	for _, p := range c.Puts {
		s.record.add("store: late change carried out, status %d: %s", a.Code, p.Key)
	}
}

// jobOf returns the job that a change submits, or an empty string.
func jobOf(c change) string {
	for _, p := range c.Puts {
		if id, ok := strings.CutPrefix(p.Key, "sesame/in/job/"); ok {
			return id
		}
	}
	return ""
}
