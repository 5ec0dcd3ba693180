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

// An incarnation that another one has replaced, and that isn't reported as gone yet since the
// other one may have carried out a start, is reported as silent. Its host refuses starts
// there for as long as the longest lease.
func TestReplacedIncarnationIsReportedAsSilent(t *testing.T) {
	withHarness(t, func(w *harness) {
		w.worker.restart(2)
		w.start(1, 0)
		time.Sleep(time.Second)
		checkSilences(t, w, true)
		silent := w.indexOfMessage(func(m link.Message) bool { return m.WorkerSilent != nil && m.WorkerSilent.Key.StartTime == 1 })
		w.start(1, 1)
		refused := w.indexOfMessage(func(m link.Message) bool { return m.StartResult != nil && m.StartResult.Refusal == link.RefusedFenced })
		if silent < 0 || refused < silent {
			t.Errorf("the silence is message %d and the refusal message %d, want the silence first", silent, refused)
		}
		time.Sleep(8 * time.Second)
		if gone := w.indexOfMessage(func(m link.Message) bool { return m.WorkerGone != nil && m.WorkerGone.Key.StartTime == 1 }); gone < refused {
			t.Errorf("the end is message %d, want it later than %d", gone, refused)
		}
	})
}
