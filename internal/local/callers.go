package local

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"github.com/sesamestream/sesamestream/internal/caller"
	targetstandin "github.com/sesamestream/sesamestream/internal/target/standin"
	"github.com/sesamestream/sesamestream/pkg/fleet"
)

// callerTimeout is how long a caller waits for any answer.
const callerTimeout = 15 * time.Second

// A Load sends requests of one kind at a rate.
type Load struct {
	Kind fleet.Kind
	// Rate is in requests a second.
	Rate rate.Limit
	// Unrepeatable gives each request a key of its own.
	Unrepeatable bool
}

// LoadGenerator sends requests to the entries in turn and records their ends.
type LoadGenerator struct {
	Entries  []netip.AddrPort
	Recorder *CallerRecorder
	// InFlood marks the requests that are sent while it is set.
	InFlood atomic.Bool

	client http.Client
	once   sync.Once
	wait   sync.WaitGroup
	mu     sync.Mutex
	count  int
}

func (t *LoadGenerator) prepare() {
	t.client = http.Client{
		Timeout:   callerTimeout,
		Transport: &http.Transport{MaxIdleConnsPerHost: 256},
	}
}

// Run sends l until ctx ends and waits for the answers.
func (t *LoadGenerator) Run(ctx context.Context, l Load) {
	t.once.Do(t.prepare)
	pace := rate.NewLimiter(l.Rate, 1)
	for pace.Wait(ctx) == nil {
		n := t.next()
		id := fmt.Sprintf("%s-%d", l.Kind, n)
		key := ""
		if l.Unrepeatable {
			key = id
		}
		t.wait.Go(func() { t.Send(l.Kind, id, key, n) })
	}
}

// Wait returns once every request has ended.
func (t *LoadGenerator) Wait() {
	t.wait.Wait()
}

func (t *LoadGenerator) next() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.count++
	return t.count
}

// Send sends one request through the entry of number n and returns its outcome.
func (t *LoadGenerator) Send(k fleet.Kind, id, key string, n int) fleet.Outcome {
	t.once.Do(t.prepare)
	e := RequestResult{DuringFlood: t.InFlood.Load()}
	began := time.Now()
	o, body, err := t.exchange(k, id, key, n)
	e.Outcome = o
	e.Latency = time.Since(began)
	e.Broken = err != nil
	e.Mismatched = err == nil && o == fleet.Answered && !strings.HasSuffix(body, " "+id)
	t.Recorder.Record(k, id, e)
	return o
}

func (t *LoadGenerator) exchange(k fleet.Kind, id, key string, n int) (fleet.Outcome, string, error) {
	to := t.Entries[n%len(t.Entries)]
	r, err := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s/%s/report", to, k), bytes.NewReader([]byte(id)))
	if err != nil {
		return "", "", err
	}
	r.Header.Set(targetstandin.HeaderRequest, id)
	if key != "" {
		r.Header.Set(caller.HeaderIdempotencyKey, key)
	}
	w, err := t.client.Do(r)
	if err != nil {
		return "", "", err
	}
	defer w.Body.Close()
	b, err := io.ReadAll(w.Body)
	return fleet.Outcome(w.Header.Get(caller.HeaderOutcome)), string(b), err
}
