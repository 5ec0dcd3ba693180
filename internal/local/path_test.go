package local

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/phuslu/log"

	"github.com/sesamestream/sesamestream/internal/settings"
	"github.com/sesamestream/sesamestream/pkg/fleet"
)

// startCluster runs a cluster with the table of the demo until the test ends.
func startCluster(b testing.TB) *Cluster {
	c := &Cluster{
		Kinds:       []fleet.Kind{kindGust, kindAlert, kindSession},
		TargetDelay: time.Millisecond,
		Tasks:       settings.Tasks{Lease: 6 * time.Second, RideThrough: time.Minute, Shards: 2},
		Dir:         b.TempDir(),
		Log:         &log.Logger{Level: log.ErrorLevel},
	}
	if err := c.Prepare(); err != nil {
		b.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- c.Run(ctx) }()
	b.Cleanup(func() {
		stop()
		if err := <-ended; err != nil {
			b.Error(err)
		}
	})
	demo := &Demo{cluster: c, generator: &LoadGenerator{Recorder: &CallerRecorder{}}}
	for _, e := range c.Entries {
		demo.generator.Entries = append(demo.generator.Entries, e.Settings.Caller.Listen)
	}
	demo.client = c.Client()
	if err := demo.waitReady(ctx); err != nil {
		b.Fatal(err)
	}
	return c
}

// measurePosts sends n requests from concurrent callers and returns their latencies.
func measurePosts(b *testing.B, url string, callers, n int) *hdrhistogram.Histogram {
	h := hdrhistogram.New(minLatencyMicros, maxLatencyMicros, latencyDigits)
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: callers}}
	var mu sync.Mutex
	var w sync.WaitGroup
	for range callers {
		w.Go(func() {
			for range n / callers {
				began := time.Now()
				r, err := client.Post(url, "text/plain", bytes.NewReader([]byte("wind")))
				if err != nil {
					b.Error(err)
					return
				}
				_, _ = io.Copy(io.Discard, r.Body)
				r.Body.Close()
				mu.Lock()
				_ = h.RecordValue(time.Since(began).Microseconds())
				mu.Unlock()
			}
		})
	}
	w.Wait()
	return h
}

// BenchmarkPath compares requests through an entry and an agent with requests sent
// directly to a target, in one run.
func BenchmarkPath(b *testing.B) {
	c := startCluster(b)
	target := c.startDirectTarget(b)
	entry := "http://" + c.Entries[0].Settings.Caller.Listen.String() + "/gust/beach"
	for _, callers := range []int{1, 16} {
		b.Run(map[int]string{1: "callers=1", 16: "callers=16"}[callers], func(b *testing.B) {
			const requests = 4000
			for b.Loop() {
				direct := measurePosts(b, target, callers, requests)
				began := time.Now()
				throughEntry := measurePosts(b, entry, callers, requests)
				b.ReportMetric(requests/time.Since(began).Seconds(), "requests/s")
				b.ReportMetric(float64(throughEntry.ValueAtQuantile(50))/float64(direct.ValueAtQuantile(50)), "p50-ratio")
				b.ReportMetric(float64(throughEntry.ValueAtQuantile(99))/float64(direct.ValueAtQuantile(99)), "p99-ratio")
				b.ReportMetric(float64(throughEntry.ValueAtQuantile(50)-direct.ValueAtQuantile(50)), "added-p50-µs")
				b.ReportMetric(float64(throughEntry.ValueAtQuantile(99)-direct.ValueAtQuantile(99)), "added-p99-µs")
			}
		})
	}
}

// startDirectTarget runs an additional target and returns its URL. The target
// announces no kinds, so agents send it no requests.
func (c *Cluster) startDirectTarget(b *testing.B) string {
	address, err := freeAddress()
	if err != nil {
		b.Fatal(err)
	}
	t := c.newTarget(c.Agents[0])
	t.Listen = address
	t.ID = "direct"
	t.Kinds = nil
	ctx, stop := context.WithCancel(context.Background())
	b.Cleanup(stop)
	go func() { _ = t.Run(ctx) }()
	for {
		r, err := http.Get("http://" + address.String() + "/")
		if err == nil {
			r.Body.Close()
			return "http://" + address.String() + "/beach"
		}
		time.Sleep(time.Millisecond)
	}
}
