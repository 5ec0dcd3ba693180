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

// start runs a cluster with the demonstration's table until the test ends.
func start(b testing.TB) *Cluster {
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
	d := &Demo{cluster: c, traffic: &LoadGenerator{Recorder: &CallerRecorder{}}}
	for _, e := range c.Entries {
		d.traffic.Entries = append(d.traffic.Entries, e.Settings.Caller.Listen)
	}
	d.client = c.Client()
	if err := d.ready(ctx); err != nil {
		b.Fatal(err)
	}
	return c
}

// post sends n requests from several callers and returns their latencies.
func post(b *testing.B, url string, callers, n int) *hdrhistogram.Histogram {
	h := hdrhistogram.New(lowest, highest, digits)
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

// BenchmarkPath compares the whole path with calling a target straight, in one run.
func BenchmarkPath(b *testing.B) {
	c := start(b)
	target := c.direct(b)
	entry := "http://" + c.Entries[0].Settings.Caller.Listen.String() + "/gust/beach"
	for _, callers := range []int{1, 16} {
		b.Run(map[int]string{1: "callers=1", 16: "callers=16"}[callers], func(b *testing.B) {
			const requests = 4000
			for b.Loop() {
				straight := post(b, target, callers, requests)
				began := time.Now()
				path := post(b, entry, callers, requests)
				b.ReportMetric(requests/time.Since(began).Seconds(), "requests/s")
				b.ReportMetric(float64(path.ValueAtQuantile(50))/float64(straight.ValueAtQuantile(50)), "p50-ratio")
				b.ReportMetric(float64(path.ValueAtQuantile(99))/float64(straight.ValueAtQuantile(99)), "p99-ratio")
				b.ReportMetric(float64(path.ValueAtQuantile(50)-straight.ValueAtQuantile(50)), "added-p50-µs")
				b.ReportMetric(float64(path.ValueAtQuantile(99)-straight.ValueAtQuantile(99)), "added-p99-µs")
			}
		})
	}
}

// direct runs one more target that no agent knows and returns its URL.
func (c *Cluster) direct(b *testing.B) string {
	at, err := freeAddress()
	if err != nil {
		b.Fatal(err)
	}
	t := c.target(c.Agents[0])
	t.Listen = at
	t.ID = "direct"
	t.Kinds = nil
	ctx, stop := context.WithCancel(context.Background())
	b.Cleanup(stop)
	go func() { _ = t.Run(ctx) }()
	for {
		r, err := http.Get("http://" + at.String() + "/")
		if err == nil {
			r.Body.Close()
			return "http://" + at.String() + "/beach"
		}
		time.Sleep(time.Millisecond)
	}
}
