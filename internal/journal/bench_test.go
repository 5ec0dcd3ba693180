package journal_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/sesamestream/sesamestream/internal/consul/standin"
	"github.com/sesamestream/sesamestream/internal/journal"
	"github.com/sesamestream/sesamestream/pkg/fleet"
)

const recordSize = 200

// BenchmarkAppend reports the writes and bytes that reach the store per 1,000
// records, with concurrent callers and a store that takes 5 ms to answer.
func BenchmarkAppend(b *testing.B) {
	for _, callers := range []int{1, 10, 100, 1000} {
		b.Run(fmt.Sprint("callers=", callers), func(b *testing.B) {
			s := &standin.Server{}
			l := &journal.Log{Store: newClient(s), Process: fleet.ProcessIncarnation{ID: "a"}}
			defer l.Close()
			if _, err := l.Open(context.Background()); err != nil {
				b.Fatal(err)
			}
			_ = s.SetFault(standin.Fault{Mode: standin.Slow, Delay: "5ms"})
			before := s.Counts()
			var w sync.WaitGroup
			for c := range callers {
				w.Go(func() {
					for i := c; i < b.N; i += callers {
						_, _ = l.Append(context.Background(), make([]byte, recordSize))
					}
				})
			}
			w.Wait()
			after := s.Counts()
			b.ReportMetric(1000*float64(after.Writes-before.Writes)/float64(b.N), "writes/1000")
			b.ReportMetric(1000*float64(after.Bytes-before.Bytes)/float64(b.N), "bytes/1000")
		})
	}
}

// BenchmarkOpen measures a takeover of a journal with n records and no snapshot.
func BenchmarkOpen(b *testing.B) {
	for _, n := range []int{0, 1000, 10000, 50000} {
		b.Run(fmt.Sprint("records=", n), func(b *testing.B) {
			s := &standin.Server{}
			l := &journal.Log{Store: newClient(s), Process: fleet.ProcessIncarnation{ID: "a"}}
			ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
			defer cancel()
			_, _ = l.Open(ctx)
			for range n / 1000 {
				records := make([][]byte, 1000)
				for i := range records {
					records[i] = make([]byte, recordSize)
				}
				if _, err := l.Append(ctx, records...); err != nil {
					b.Fatal(err)
				}
			}
			l.Close()
			for b.Loop() {
				o := &journal.Log{Store: newClient(s), Process: fleet.ProcessIncarnation{ID: "b"}}
				if _, err := o.Open(ctx); err != nil {
					b.Fatal(err)
				}
				o.Close()
			}
		})
	}
}
