package schedule

import (
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sesamestream/sesamestream/pkg/batch"
)

// maxLongRunningWait bounds how long a long-running task that could run may be without a worker.
const maxLongRunningWait = 6 * time.Second

// Two workers are kept full by many small urgent tasks when a long-running task of the
// size of sixteen of them has lost its worker. Each end of a small task frees too little
// for it, and the next small task takes that at once. (LOST on two hunted days of
// start-up, with workers lost shortly before.)
func TestLongRunningTaskGetsRoomBesideSmallTasks(t *testing.T) {
	g := NewWithT(t)
	f := newHarness(testWorker("1", 16000), testWorker("2", 16000))
	var active []timedRun
	added, started := 0, time.Duration(-1)
	pass := func() {
		active = slices.DeleteFunc(active, func(r timedRun) bool {
			if f.now.Before(r.endsAt) {
				return false
			}
			f.endRun(r.Start, batch.Done)
			return true
		})
		for len(f.openJobs) < 40 {
			f.Add(f.now, testJob(fmt.Sprintf("u%05d", added), "urgent", testStep(8, 250)), nil, false)
			added++
		}
		for _, s := range f.Schedule(f.now).Starts {
			f.confirmStart(s)
			if s.Step.LongRunning {
				started = f.now.Sub(testStart)
				continue
			}
			// The ends are spread over a second.
			active = append(active, timedRun{s, f.now.Add(500*time.Millisecond + time.Duration(len(active)%20)*50*time.Millisecond)})
		}
	}
	const waitsFrom = 2 * time.Second
	for f.now = testStart; f.now.Sub(testStart) < waitsFrom+maxLongRunningWait; f.now = f.now.Add(50 * time.Millisecond) {
		if f.now.Sub(testStart) == waitsFrom {
			f.Add(f.now, testJob("long", "urgent", testStep(1, 4000, func(s *batch.Step) { s.LongRunning = true })), nil, false)
		}
		pass()
	}
	g.Expect(started).To(BeNumerically(">=", 0), "the long-running task has no worker after %s", maxLongRunningWait)
}
