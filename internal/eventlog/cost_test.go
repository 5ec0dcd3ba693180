package eventlog_test

import (
	"io"
	"testing"

	"github.com/sesamestream/sesamestream/internal/eventlog"
)

// BenchmarkEvent measures the cost of an event with the fields that the scheduler writes for a run.
func BenchmarkEvent(b *testing.B) {
	l := eventlog.New(io.Discard, "edge-1")
	defer l.Close(0)
	b.ReportAllocs()
	for b.Loop() {
		l.Event(eventlog.RunOrdered).Str("job", "b83fc83e50af04da").Str("task", "b83fc83e50af04da.0.0.8").Int("run", 1).
			Str("worker", "i-f0a04d935a").Str("peer", "side-1").Str("image", "x").Int("tier", 0).Int("roomMilliCpu", 3000).Msg("")
	}
}
