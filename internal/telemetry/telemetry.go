// Package telemetry counts what a process does and how long it takes, and
// serves the figures as text in the Prometheus exposition format.
package telemetry

import (
	"fmt"
	"io"
	"net/http"
	"runtime"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
)

// A Counter names a count that only rises.
type Counter string

// A Histogram names a distribution of times.
type Histogram string

// A Gauge names a value that is read when it's asked for.
type Gauge string

// The figures. Their labels have few values, all fixed in the code.
const (
	// Events counts the log's events by name, also those that were dropped.
	Events Counter = "sesamestream_events_total"
	// StoreCalls counts calls to the store by call and outcome.
	StoreCalls Counter = "sesamestream_store_calls_total"
	// Refusals counts refused jobs by reason.
	Refusals Counter = "sesamestream_refusals_total"
	// RelayedWrites counts records that the scheduler was asked to store for an entry, by outcome.
	RelayedWrites Counter = "sesamestream_hand_overs_total"
	// RunEnds counts ended runs by how they ended.
	RunEnds Counter = "sesamestream_run_ends_total"

	// AcceptSeconds is the time from reading a job to its answer.
	AcceptSeconds Histogram = "sesamestream_accept_seconds"
	// FirstStartSeconds is the time from a job's acceptance to its first order.
	FirstStartSeconds Histogram = "sesamestream_first_start_seconds"
	// JobSeconds is the time from a job's acceptance to the storing of its end.
	JobSeconds Histogram = "sesamestream_job_seconds"
	// StoreCallSeconds is the time of a call to the store.
	StoreCallSeconds Histogram = "sesamestream_store_call_seconds"
	// SchedulePassSeconds is the time of one pass of the scheduler over what waits.
	SchedulePassSeconds Histogram = "sesamestream_schedule_pass_seconds"
	// EndStoredSeconds is the time from a job's end to its storing.
	EndStoredSeconds Histogram = "sesamestream_end_stored_seconds"

	// LinesDropped is how many log lines were dropped.
	LinesDropped Gauge = "sesamestream_log_lines_dropped"
	// Leading is 1 while the process schedules.
	Leading Gauge = "sesamestream_leading"
	// SessionUp is 1 while the process has a session with the scheduler.
	SessionUp Gauge = "sesamestream_session_up"
	// StoreUp is 1 while the last call reached the store.
	StoreUp Gauge = "sesamestream_store_up"
	// HeapBytes is the memory in use.
	HeapBytes Gauge = "sesamestream_heap_bytes"
)

// bounds are the upper ends of the buckets: from an answer of the store nearby
// to the longest time that a caller waits for a job.
var bounds = [...]time.Duration{
	5 * time.Millisecond, 10 * time.Millisecond, 25 * time.Millisecond, 50 * time.Millisecond, 100 * time.Millisecond,
	250 * time.Millisecond, 500 * time.Millisecond, time.Second, 2500 * time.Millisecond, 5 * time.Second,
	10 * time.Second, 30 * time.Second,
}

// A Registry holds the figures of a process. Its zero value is empty.
type Registry struct {
	once     sync.Once
	registry metrics.Registry

	mu     sync.Mutex
	gauges map[Gauge]func() float64
	hists  map[string]*histogram
}

type histogram struct {
	buckets [len(bounds) + 1]uint64
	sum     time.Duration
	count   uint64
}

func (s *Registry) init() {
	s.once.Do(func() {
		s.registry = metrics.NewRegistry()
		s.gauges = map[Gauge]func() float64{HeapBytes: heap}
		s.hists = map[string]*histogram{}
	})
}

func heap() float64 {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// series returns the name with its labels, given as name and value in turn.
func series(name string, labels []string) string {
	if len(labels) == 0 {
		return name
	}
	var b strings.Builder
	b.WriteString(name)
	for i := 0; i+1 < len(labels); i += 2 {
		sep := ","
		if i == 0 {
			sep = "{"
		}
		fmt.Fprintf(&b, "%s%s=%q", sep, labels[i], labels[i+1])
	}
	b.WriteString("}")
	return b.String()
}

// Increment adds one. Labels are names and values in turn.
func (s *Registry) Increment(c Counter, labels ...string) {
	s.init()
	metrics.GetOrRegisterCounter(series(string(c), labels), s.registry).Inc(1)
}

// Observe adds a time.
func (s *Registry) Observe(h Histogram, d time.Duration, labels ...string) {
	s.init()
	k := series(string(h), labels)
	s.mu.Lock()
	defer s.mu.Unlock()
	x := s.hists[k]
	if x == nil {
		x = &histogram{}
		s.hists[k] = x
	}
	i := sort.Search(len(bounds), func(i int) bool { return d <= bounds[i] })
	x.buckets[i]++
	x.count++
	x.sum += d
}

// RegisterGauge sets where a gauge's value comes from.
func (s *Registry) RegisterGauge(g Gauge, f func() float64) {
	s.init()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.gauges[g] = f
}

// ServeHTTP writes all figures.
func (s *Registry) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	s.WriteText(w)
}

// WriteText writes all figures in the order of their names.
func (s *Registry) WriteText(w io.Writer) {
	s.init()
	var lines []string
	s.registry.Each(func(name string, v any) {
		if c, ok := v.(metrics.Counter); ok {
			lines = append(lines, fmt.Sprintf("%s %d", name, c.Count()))
		}
	})
	s.mu.Lock()
	gauges := make(map[Gauge]func() float64, len(s.gauges))
	for g, f := range s.gauges {
		gauges[g] = f
	}
	for name, h := range s.hists {
		lines = append(lines, h.lines(name)...)
	}
	s.mu.Unlock()
	for g, f := range gauges {
		lines = append(lines, fmt.Sprintf("%s %g", g, f()))
	}
	sort.Strings(lines)
	// A reader that is gone needs no answer.
	_, _ = io.WriteString(w, strings.Join(lines, "\n")+"\n")
}

func (h *histogram) lines(name string) []string {
	base, labels := name, ""
	if i := strings.IndexByte(name, '{'); i >= 0 {
		base, labels = name[:i], strings.TrimSuffix(name[i+1:], "}")+","
	}
	var out []string
	var sum uint64
	for i, n := range h.buckets {
		sum += n
		le := "+Inf"
		if i < len(bounds) {
			le = fmt.Sprintf("%g", bounds[i].Seconds())
		}
		out = append(out, fmt.Sprintf("%s_bucket{%sle=%q} %d", base, labels, le, sum))
	}
	tail := ""
	if labels != "" {
		tail = "{" + strings.TrimSuffix(labels, ",") + "}"
	}
	return append(out, fmt.Sprintf("%s_sum%s %g", base, tail, h.sum.Seconds()), fmt.Sprintf("%s_count%s %d", base, tail, h.count))
}
