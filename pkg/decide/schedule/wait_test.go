package schedule

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sesamestream/sesamestream/pkg/batch"
)

// Each cause for which a long-running task has no worker is reported by its name.
func TestReportedWaitsNameTheirCause(t *testing.T) {
	endless := func(s *batch.Step) { s.LongRunning = true }
	for name, c := range map[string]struct {
		step   batch.Step
		change func(f *harness)
		want   string
	}{
		"no room":       {testStep(1, 5000, endless), func(*harness) {}, "lacksCpu:2"},
		"no memory":     {testStep(1, 100, endless, func(s *batch.Step) { s.Need.MemoryMB = 100000 }), func(*harness) {}, "lacksMemory:2"},
		"label":         {testStep(1, 100, endless, func(s *batch.Step) { s.RequiredLabel = "gpu" }), func(*harness) {}, "lacksLabel:2"},
		"drain":         {testStep(1, 100, endless), func(f *harness) { f.setDraining("1"); f.MarkUnresponsive("host-2") }, "unresponsive:1 draining:1"},
		"limit of runs": {testStep(3, 100, endless, func(s *batch.Step) { s.MaxPerWorker = 1 }), func(*harness) {}, "atTaskLimit:2"},
		"quarantine": {testStep(1, 100, endless), func(f *harness) {
			f.workerOf("1").health.quarantine(f.now)
			f.workerOf("2").slowAt = f.now
		}, "quarantined:1 slow:1"},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			f := newHarness(testWorker("1", 4000), testWorker("2", 4000))
			c.change(f)
			f.Add(f.now, testJob("j", "urgent", c.step), nil, false)
			g.Expect(f.scheduleAfter(0).Waits).To(BeEmpty())
			waits := f.scheduleAfter(waitReportInterval).Waits
			g.Expect(waits).To(HaveLen(1))
			g.Expect(waits[0].Workers.String()).To(Equal(c.want))
			g.Expect(waits[0].Waited).To(Equal(waitReportInterval))
			g.Expect(f.scheduleAfter(waitReportInterval / 2).Waits).To(BeEmpty())
		})
	}
}

// setDraining reports that a worker of the harness drains.
func (f *harness) setDraining(id string) {
	w := testWorker(id, 4000)
	w.Draining, w.DrainRemaining = true, time.Minute
	f.UpdateWorker(f.now, w)
}

// workerOf returns the worker with an ID.
func (f *harness) workerOf(id string) *worker {
	return f.workers[batch.WorkerKey{ID: id, StartTime: 1}]
}
