package hostagent_test

import (
	"testing"
	"time"

	"github.com/sesamestream/sesamestream/internal/hostagent"
	"github.com/sesamestream/sesamestream/internal/link"
)

// silences returns what was reported of silences, in order, as far as they follow a snapshot.
func (w *harness) silences() (out []bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, m := range w.sent {
		if m.WorkerSilent != nil {
			out = append(out, m.WorkerSilent.Silent)
		}
	}
	return out
}

func checkSilences(t *testing.T, w *harness, want ...bool) {
	t.Helper()
	got := w.silences()
	ok := len(got) == len(want)
	for i := range want {
		ok = ok && got[i] == want[i]
	}
	if !ok {
		t.Errorf("silences reported are %v, want %v", got, want)
	}
}

// The scheduler is told once that a worker is silent, within the time of one poll, and
// once that it answers again.
func TestSilenceOfWorkerIsReported(t *testing.T) {
	withHarness(t, func(w *harness) {
		checkSilences(t, w)
		w.worker.setUnresponsive(true)
		time.Sleep(2 * time.Second)
		checkSilences(t, w, true)
		w.worker.setUnresponsive(false)
		time.Sleep(time.Second)
		checkSilences(t, w, true, false)
	})
}

// In a new session a worker that was silent is reported by its snapshot alone, which it
// sends once it answers.
func TestSilentWorkerInNewSessionSendsOnlySnapshot(t *testing.T) {
	withHarness(t, func(w *harness) {
		w.worker.setUnresponsive(true)
		time.Sleep(2 * time.Second)
		w.agent.SessionLost()
		w.forgetMessages()
		w.agent.SessionOpened(link.Welcome{Epoch: 2, Fence: 2 * hostagent.FencesPerSession})
		w.agent.SessionGranted(w.now(), time.Minute)
		time.Sleep(time.Second)
		checkSilences(t, w)
		w.worker.setUnresponsive(false)
		time.Sleep(time.Second)
		checkSilences(t, w)
		if w.indexOfMessage(func(m link.Message) bool { return m.Snapshot != nil }) < 0 {
			t.Error("no snapshot was sent")
		}
		w.worker.setUnresponsive(true)
		time.Sleep(2 * time.Second)
		checkSilences(t, w, true)
	})
}
