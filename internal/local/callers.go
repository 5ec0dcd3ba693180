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

// callerTimeout is how long a caller waits for a complete answer.
const callerTimeout = 15 * time.Second

// A Load describes requests of one kind that are sent at a constant rate.
type Load struct {
	Kind fleet.Kind
	// Rate is in requests per second.
	Rate rate.Limit
	// Unrepeatable gives each request its own idempotency key.
	Unrepeatable bool
}

// LoadGenerator sends requests to the entries in turn and records their results.
type LoadGenerator struct {
	Entries  []netip.AddrPort
	Recorder *CallerRecorder
	// InFlood marks requests sent while it is set as part of the flood.
	InFlood atomic.Bool

	client   http.Client
	once     sync.Once
	inFlight sync.WaitGroup
	mu       sync.Mutex
	sent     int
}

func (t *LoadGenerator) initClient() {
	t.client = http.Client{
		Timeout:   callerTimeout,
		Transport: &http.Transport{MaxIdleConnsPerHost: 256},
	}
}

// Run starts the requests of l until ctx ends. Wait waits for their results.
func (t *LoadGenerator) Run(ctx context.Context, l Load) {
	t.once.Do(t.initClient)
	limiter := rate.NewLimiter(l.Rate, 1)
	for limiter.Wait(ctx) == nil {
		n := t.nextNumber()
		id := fmt.Sprintf("%s-%d", l.Kind, n)
		key := ""
		if l.Unrepeatable {
			key = id
		}
		t.inFlight.Go(func() { t.Send(l.Kind, id, key, n) })
	}
}

// Wait returns once every request has ended.
func (t *LoadGenerator) Wait() {
	t.inFlight.Wait()
}

func (t *LoadGenerator) nextNumber() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sent++
	return t.sent
}

// Send sends one request through the entry with index n modulo the number of
// entries, records the result and returns the outcome.
func (t *LoadGenerator) Send(k fleet.Kind, id, key string, n int) fleet.Outcome {
	t.once.Do(t.initClient)
	result := RequestResult{DuringFlood: t.InFlood.Load()}
	began := time.Now()
	o, body, err := t.exchange(k, id, key, n)
	result.Outcome = o
	result.Latency = time.Since(began)
	result.Broken = err != nil
	result.Mismatched = err == nil && o == fleet.Answered && !strings.HasSuffix(body, " "+id)
	t.Recorder.Record(k, id, result)
	return o
}

func (t *LoadGenerator) exchange(k fleet.Kind, id, key string, n int) (fleet.Outcome, string, error) {
	entry := t.Entries[n%len(t.Entries)]
	r, err := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s/%s/report", entry, k), bytes.NewReader([]byte(id)))
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
