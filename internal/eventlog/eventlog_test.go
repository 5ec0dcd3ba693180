package eventlog_test

import (
	"bytes"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sesamestream/sesamestream/internal/eventlog"
)

// blockedWriter blocks every write until release is closed.
type blockedWriter struct {
	release chan struct{}
	written bytes.Buffer
}

func (w *blockedWriter) Write(b []byte) (int, error) {
	<-w.release
	return w.written.Write(b)
}

// A blocked output must not delay the caller; dropped lines are counted and reported.
func TestBlockedOutputDelaysNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		w := &blockedWriter{release: make(chan struct{})}
		l := eventlog.New(w, "n")
		began := time.Now()
		const lines = 20000
		for n := range lines {
			l.Event(eventlog.JobAccepted).Int("n", n).Msg("")
			if n%1000 == 0 {
				time.Sleep(time.Second)
			}
		}
		g.Expect(time.Since(began)).To(Equal(20*time.Second), "only the pauses of the test itself take time")
		g.Expect(l.Dropped()).To(BeNumerically(">", lines/2))
		close(w.release)
		synctest.Wait()
		l.Event(eventlog.JobAccepted).Msg("")
		l.Close(time.Second)
		g.Expect(w.written.String()).To(ContainSubstring(eventlog.LinesDropped))
	})
}

// Of a burst of events, at most maxLinesPerSecond lines are written in a second.
func TestLinesPerSecondAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		var b bytes.Buffer
		l := eventlog.New(&b, "n")
		for range 5000 {
			l.Event(eventlog.RunPaced).Msg("")
			synctest.Wait()
		}
		l.Close(time.Second)
		g.Expect(strings.Count(b.String(), eventlog.RunPaced)).To(BeNumerically("<=", 2000))
		var m bytes.Buffer
		l.Metrics.WriteText(&m)
		g.Expect(m.String()).To(ContainSubstring(`sesamestream_events_total{event="runPaced"} 5000`), "events of dropped lines are counted")
	})
}
