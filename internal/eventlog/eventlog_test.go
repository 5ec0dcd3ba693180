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

// stuck is a reader that takes nothing until it's released.
type stuck struct {
	release chan struct{}
	got     bytes.Buffer
}

func (s *stuck) Write(b []byte) (int, error) {
	<-s.release
	return s.got.Write(b)
}

// A reader of the log that stands still delays no decision; what is dropped is counted and told.
func TestStuckReaderDelaysNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		w := &stuck{release: make(chan struct{})}
		l := eventlog.New(w, "n")
		began := time.Now()
		const lines = 20000
		for n := range lines {
			l.Event(eventlog.JobAccepted).Int("n", n).Msg("")
			if n%1000 == 0 {
				time.Sleep(time.Second)
			}
		}
		g.Expect(time.Since(began)).To(Equal(20*time.Second), "only the test's own pauses")
		g.Expect(l.Dropped()).To(BeNumerically(">", lines/2))
		close(w.release)
		synctest.Wait()
		l.Event(eventlog.JobAccepted).Msg("")
		l.Close(time.Second)
		g.Expect(w.got.String()).To(ContainSubstring(eventlog.LinesDropped))
	})
}

// A flood of lines stays within the budget of a second.
func TestLinesAreBounded(t *testing.T) {
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
		g.Expect(m.String()).To(ContainSubstring(`sesamestream_events_total{event="runPaced"} 5000`), "what is dropped is counted")
	})
}
