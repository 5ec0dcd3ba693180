package schedule

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sesamestream/sesamestream/pkg/batch"
)

// A run that outlasts its cancelled job holds its room until its end is listed, and not longer.
func TestRunThatOutlastsItsJobGivesUpItsRoom(t *testing.T) {
	g := NewWithT(t)
	f := newHarness(testWorker("1", 4000))
	f.Add(f.now, endlessJob("long", 1, 3000), nil, false)
	s := f.scheduleAfter(0).Starts[0]
	f.confirmStart(s)
	f.Cancel(f.now, "long")
	g.Expect(f.scheduleAfter(time.Second).Stops).To(HaveLen(1))
	g.Expect(f.RemoveExpired(f.now)).To(BeEmpty(), "the run isn't over")
	f.endRun(s, batch.Stopped)
	g.Expect(f.workerOf("1").freeResources()).To(Equal(f.workerOf("1").Capacity))
	g.Expect(f.RemoveExpired(f.now)).To(ConsistOf(batch.JobID("long")))
}

// A run that isn't assigned and that a worker lists twice holds its room once.
func TestUnassignedRunThatIsListedTwiceCountsOnce(t *testing.T) {
	g := NewWithT(t)
	f := newHarness(testWorker("1", 4000))
	f.Add(f.now, testJob("a", "urgent", testStep(1, 1000)), nil, false)
	s := f.scheduleAfter(0).Starts[0]
	f.Cancel(f.now, "a")
	f.RemoveWorker(s.Key)
	r := batch.Run{Task: s.Task, Number: s.Number}
	f.SyncWorker(f.now, s.Host, testWorker("1", 4000), []batch.Run{r, r}, nil)
	w := f.workerOf("1")
	g.Expect(w.freeResources().MilliCPU).To(Equal(3000))
	f.endRun(s, batch.Stopped)
	g.Expect(w.freeResources()).To(Equal(w.Capacity))
}
