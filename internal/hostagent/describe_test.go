package hostagent_test

import (
	"testing"
	"time"

	"github.com/sesamestream/sesamestream/internal/hostagent"
	"github.com/sesamestream/sesamestream/pkg/batch"
)

// The scheduler starts tasks in an evacuated data centre, or avoids a warm worker, if it isn't told
// of a change of the worker's data centre or of whether it's cold. It counts down the time for
// which a worker stays cold by itself, so that a heartbeat isn't reported each time.
func TestChangesOfWorkerAreReported(t *testing.T) {
	withHarness(t, func(w *harness) {
		current, _ := w.worker.currentWorker()
		seq := int64(1)
		for _, c := range []struct {
			name   string
			change func(b *batch.Worker)
			want   int
		}{
			{"nothing", func(*batch.Worker) {}, 0},
			{"data centre", func(b *batch.Worker) { b.DataCentre = "other" }, 1},
			{"turns cold", func(b *batch.Worker) { b.ColdRemaining = 9 * time.Second }, 1},
			{"gets warmer", func(b *batch.Worker) { b.ColdRemaining = 8 * time.Second }, 0},
			{"is warm early", func(b *batch.Worker) { b.ColdRemaining = 0 }, 1},
		} {
			w.forgetMessages()
			seq++
			c.change(&current.Info)
			w.agent.Heartbeat(hostagent.Heartbeat{Worker: current.Info, Seq: seq})
			w.mu.Lock()
			got := 0
			for _, m := range w.sent {
				if m.WorkerUpdate != nil && m.WorkerUpdate.Worker.DataCentre == current.Info.DataCentre && m.WorkerUpdate.Worker.ColdRemaining == current.Info.ColdRemaining {
					got++
				}
			}
			w.mu.Unlock()
			if got != c.want {
				t.Errorf("%s: %d reports, want %d", c.name, got, c.want)
			}
		}
	})
}
