package burn

import (
	"testing"
	"time"

	"github.com/sesamestream/sesamestream/internal/codec"
	"github.com/sesamestream/sesamestream/pkg/fleet"
)

// BenchmarkRecordOutcome measures the cost of recording one outcome while parallel
// goroutines record the same kind.
func BenchmarkRecordOutcome(b *testing.B) {
	var r Recorder
	b.ReportAllocs()
	b.RunParallel(func(p *testing.PB) {
		for p.Next() {
			r.RecordOutcome(now, "gust", fleet.Answered, 20*time.Millisecond, objective)
		}
	})
}

// BenchmarkSnapshot measures the time to take and encode a snapshot of ten kinds
// with counts in every bucket, and its encoded size.
func BenchmarkSnapshot(b *testing.B) {
	var r Recorder
	for i := range bucketCount {
		for k := range 10 {
			for j := range 8 {
				at := now.Add(-time.Duration(bucketCount-1-i) * BucketWidth)
				r.RecordOutcome(at, fleet.Kind(rune('a'+k)), fleet.Answered, time.Millisecond<<j, objective)
			}
		}
	}
	q, err := NewQuery(DefaultAlerts(), time.Hour)
	if err != nil {
		b.Fatal(err)
	}
	size := 0
	b.ReportAllocs()
	for b.Loop() {
		c, err := codec.Encode(r.Snapshot(now, q))
		if err != nil {
			b.Fatal(err)
		}
		size = len(c)
	}
	b.ReportMetric(float64(size), "bytes/answer")
}
