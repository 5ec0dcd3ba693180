// Package telemetry collects the metrics of a process and serves them in the
// Prometheus text exposition format.
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

// A Counter is the name of a count that only increases.
type Counter string

// A Histogram is the name of a distribution of durations.
type Histogram string

// A Gauge is the name of a value that is read when the metrics are written.
type Gauge string

// The metrics. Their labels have few values: those fixed in the code, and the names of queues.
const (
	// Events counts log events by name, including those whose lines were dropped.
	Events Counter = "sesamestream_events_total"
	// StoreCalls counts calls to the store by call and outcome.
	StoreCalls Counter = "sesamestream_store_calls_total"
	// Refusals counts rejected jobs by reason.
	Refusals Counter = "sesamestream_refusals_total"
	// RelayedWrites counts records that the scheduler was asked to store on behalf of an entry, by outcome.
	RelayedWrites Counter = "sesamestream_hand_overs_total"
	// ClientLimits counts how often clients reached the limits of what a process accepts, by reason.
	ClientLimits Counter = "sesamestream_client_limits_total"
	// RunEnds counts ended runs by how they ended.
	RunEnds Counter = "sesamestream_run_ends_total"
	// Yields counts runs that were stopped to free room for urgent work, by kind of task.
	Yields Counter = "sesamestream_yields_total"

	// AcceptSeconds is the time from reading a submitted job to the answer to its caller.
	AcceptSeconds Histogram = "sesamestream_accept_seconds"
	// FirstStartSeconds is the time from a job's acceptance to the order that starts its first run.
	FirstStartSeconds Histogram = "sesamestream_first_start_seconds"
	// JobSeconds is the time from a job's acceptance until its end is stored.
	JobSeconds Histogram = "sesamestream_job_seconds"
	// EstimateErrorSeconds is by how much a completed job started or ended earlier or later than was
	// estimated when the scheduler added it.
	EstimateErrorSeconds Histogram = "sesamestream_estimate_error_seconds"
	// StoreCallSeconds is the duration of a call to the store.
	StoreCallSeconds Histogram = "sesamestream_store_call_seconds"
	// SchedulePassSeconds is the duration of one pass of the scheduler over the waiting tasks.
	SchedulePassSeconds Histogram = "sesamestream_schedule_pass_seconds"
	// EndStoredSeconds is the time from a job's end until the end is stored.
	EndStoredSeconds Histogram = "sesamestream_end_stored_seconds"

	// LinesDropped is how many log lines were dropped.
	LinesDropped Gauge = "sesamestream_log_lines_dropped"
	// Leading is 1 while the process is the scheduler.
	Leading Gauge = "sesamestream_leading"
	// SessionUp is 1 while the process has a session with the scheduler.
	SessionUp Gauge = "sesamestream_session_up"
	// JobMemory is how many bytes jobs take of the scheduler, as it last reported.
	JobMemory Gauge = "sesamestream_job_memory_bytes"
	// StoreUp is 1 if the last call reached the store.
	StoreUp Gauge = "sesamestream_store_up"
	// ConfigVersion is the version of the configuration that the process applies to callers; 0 is none.
	ConfigVersion Gauge = "sesamestream_config_version"
	// HeapBytes is the size of the allocated heap objects.
	HeapBytes Gauge = "sesamestream_heap_bytes"
)

// bucketBounds are the upper bounds of the histogram buckets. They range from the
// response time of a nearby store to the longest time that a caller waits for a job.
var bucketBounds = [...]time.Duration{
	5 * time.Millisecond, 10 * time.Millisecond, 25 * time.Millisecond, 50 * time.Millisecond, 100 * time.Millisecond,
	250 * time.Millisecond, 500 * time.Millisecond, time.Second, 2500 * time.Millisecond, 5 * time.Second,
	10 * time.Second, 30 * time.Second,
}

// A Registry holds the metrics of a process. Its zero value is empty and ready to use.
type Registry struct {
	once     sync.Once
	counters metrics.Registry

	mu         sync.Mutex
	gauges     map[Gauge]func() float64
	histograms map[string]*histogram
}

type histogram struct {
	buckets [len(bucketBounds) + 1]uint64
	sum     time.Duration
	count   uint64
}

func (r *Registry) init() {
	r.once.Do(func() {
		r.counters = metrics.NewRegistry()
		r.gauges = map[Gauge]func() float64{HeapBytes: readHeapBytes}
		r.histograms = map[string]*histogram{}
	})
}

func readHeapBytes() float64 {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// seriesName returns name with labels, which alternate between names and values.
func seriesName(name string, labels []string) string {
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

// Increment adds one to a counter. The labels alternate between names and values.
func (r *Registry) Increment(c Counter, labels ...string) {
	r.init()
	metrics.GetOrRegisterCounter(seriesName(string(c), labels), r.counters).Inc(1)
}

// Observe adds a duration to a histogram. The labels alternate between names and values.
func (r *Registry) Observe(h Histogram, d time.Duration, labels ...string) {
	r.init()
	k := seriesName(string(h), labels)
	r.mu.Lock()
	defer r.mu.Unlock()
	x := r.histograms[k]
	if x == nil {
		x = &histogram{}
		r.histograms[k] = x
	}
	i := sort.Search(len(bucketBounds), func(i int) bool { return d <= bucketBounds[i] })
	x.buckets[i]++
	x.count++
	x.sum += d
}

// RegisterGauge sets the function that returns the value of a gauge.
func (r *Registry) RegisterGauge(g Gauge, f func() float64) {
	r.init()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.gauges[g] = f
}

// ServeHTTP writes all metrics.
func (r *Registry) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	r.WriteText(w)
}

// WriteText writes all metrics, sorted by name.
func (r *Registry) WriteText(w io.Writer) {
	r.init()
	var lines []string
	r.counters.Each(func(name string, v any) {
		if c, ok := v.(metrics.Counter); ok {
			lines = append(lines, fmt.Sprintf("%s %d", name, c.Count()))
		}
	})
	r.mu.Lock()
	gauges := make(map[Gauge]func() float64, len(r.gauges))
	for g, f := range r.gauges {
		gauges[g] = f
	}
	for name, h := range r.histograms {
		lines = append(lines, h.formatLines(name)...)
	}
	r.mu.Unlock()
	for g, f := range gauges {
		lines = append(lines, fmt.Sprintf("%s %g", g, f()))
	}
	sort.Strings(lines)
	// Write errors are ignored: the client has disconnected.
	_, _ = io.WriteString(w, strings.Join(lines, "\n")+"\n")
}

func (h *histogram) formatLines(name string) []string {
	base, labels := name, ""
	if i := strings.IndexByte(name, '{'); i >= 0 {
		base, labels = name[:i], strings.TrimSuffix(name[i+1:], "}")+","
	}
	var out []string
	var sum uint64
	for i, n := range h.buckets {
		sum += n
		le := "+Inf"
		if i < len(bucketBounds) {
			le = fmt.Sprintf("%g", bucketBounds[i].Seconds())
		}
		out = append(out, fmt.Sprintf("%s_bucket{%sle=%q} %d", base, labels, le, sum))
	}
	tail := ""
	if labels != "" {
		tail = "{" + strings.TrimSuffix(labels, ",") + "}"
	}
	return append(out, fmt.Sprintf("%s_sum%s %g", base, tail, h.sum.Seconds()), fmt.Sprintf("%s_count%s %d", base, tail, h.count))
}
