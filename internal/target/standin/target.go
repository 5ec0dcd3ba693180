// Package standin implements a small target for tests and trials. It announces
// itself to its host's agent, answers requests after a delay, and records each one.
package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/sesamestream/sesamestream/internal/target"
	"github.com/sesamestream/sesamestream/pkg/fleet"
)

// HeaderRequest is the header with the ID under which a request is recorded.
const HeaderRequest = "X-Request"

// shutdownTimeout bounds how long a shutdown waits for requests in flight, and how
// long a request's headers may take.
const shutdownTimeout = 10 * time.Second

// A Recorder counts the runs of each request. Targets may share one.
type Recorder struct {
	mu   sync.Mutex
	runs map[string]int
}

// Record counts one run of the request id.
func (r *Recorder) Record(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.runs == nil {
		r.runs = make(map[string]int)
	}
	r.runs[id]++
}

// Runs returns how often the request id ran.
func (r *Recorder) Runs(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.runs[id]
}

// Repeated returns the IDs of the requests that ran more than once.
func (r *Recorder) Repeated() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var ids []string
	for id, n := range r.runs {
		if n > 1 {
			ids = append(ids, id)
		}
	}
	return ids
}

// A Target is a stand-in for a target. Its exported fields are set before Run.
type Target struct {
	ID          string
	Listen      netip.AddrPort
	Agent       netip.AddrPort
	Kinds       []fleet.Kind
	Connections int
	// Delay is how long an answer takes.
	Delay time.Duration
	// Lose, if set, reports whether to break the connection instead of
	// answering the request id.
	Lose func(id string) bool
	// Recorder, if set, records each run.
	Recorder *Recorder
}

// Run serves until ctx ends. It then announces that it is leaving, waits for the
// requests in flight and returns.
func (t *Target) Run(ctx context.Context) error {
	l, err := net.Listen("tcp", t.Listen.String())
	if err != nil {
		return errors.Wrap(err, "target: listen")
	}
	h := &http.Server{Handler: t, ReadHeaderTimeout: shutdownTimeout}
	a := target.Announcement{
		ID:          t.ID,
		Kinds:       t.Kinds,
		Address:     netip.MustParseAddrPort(l.Addr().String()),
		Connections: t.Connections,
	}
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error {
		if err := h.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	g.Go(func() error {
		t.announce(ctx, a)
		c, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
		defer cancel()
		return h.Shutdown(c)
	})
	return g.Wait()
}

// announce repeats the announcement until ctx ends, then announces that the target
// is leaving.
func (t *Target) announce(ctx context.Context, a target.Announcement) {
	tick := time.NewTicker(target.AnnounceInterval)
	defer tick.Stop()
	for {
		// A lost announcement needs no handling, as the next one follows soon.
		_ = t.post(a)
		select {
		case <-tick.C:
		case <-ctx.Done():
			a.Leaving = true
			for range leaveAttempts {
				if t.post(a) == nil {
					return
				}
			}
			return
		}
	}
}

// leaveAttempts bounds how often a departure is announced that the agent doesn't acknowledge.
const leaveAttempts = 3

// post sends one announcement to the agent.
func (t *Target) post(a target.Announcement) error {
	b, err := json.Marshal(a)
	if err != nil {
		return err
	}
	c := &http.Client{Timeout: target.AnnounceInterval}
	r, err := c.Post("http://"+t.Agent.String()+target.PathTargets, "application/json", bytes.NewReader(b))
	if err != nil {
		return err
	}
	return r.Body.Close()
}

// ServeHTTP records the request, waits for Delay and echoes the request.
func (t *Target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if id := r.Header.Get(HeaderRequest); id != "" && t.Recorder != nil {
		t.Recorder.Record(id)
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	time.Sleep(t.Delay)
	if t.Lose != nil && t.Lose(r.Header.Get(HeaderRequest)) {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set(HeaderRequest, r.Header.Get(HeaderRequest))
	_, _ = fmt.Fprintf(w, "%s %s %s %s", t.ID, r.Method, r.URL.RequestURI(), body)
}
