package schedule

import (
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sesamestream/sesamestream/pkg/batch"
	"github.com/sesamestream/sesamestream/pkg/decide/interfere"
	"github.com/sesamestream/sesamestream/pkg/fleet"
)

// With more pairs of images than fit in a message to each host, a host gets the
// interference estimates for the pairs that run on it, including those with the
// least evidence.
func TestHostsGetInterferenceEstimatesOfTheirOwnTasks(t *testing.T) {
	g := NewWithT(t)
	f := newHarness(testWorker("1", 16000))
	const victims, aggressors = 40, 50
	var es []interfere.Estimate
	for v := range victims {
		for d := range aggressors {
			es = append(es, interfere.Estimate{
				Pair:   interfere.Pair{Victim: fleet.Kind(fmt.Sprintf("serve-%d", v)), Aggressor: fleet.Kind(fmt.Sprintf("fill-%d", d))},
				Weight: float32(v) / victims, Evidence: float32(victims - v),
			})
		}
	}
	f.LoadInterferenceEstimates(es, map[fleet.Kind]time.Duration{"serve-39": 10 * time.Millisecond})
	f.Add(f.now, testJob("l", "urgent", testStep(1, 2000, func(s *batch.Step) {
		s.LongRunning, s.Image, s.LatencyTarget = true, "serve-39", 50*time.Millisecond
	})), nil, false)
	f.Add(f.now, testJob("w", "wide", testStep(1, 2000, func(s *batch.Step) { s.BestEffort, s.Image = true, "fill-7" })), nil, false)
	g.Expect(f.scheduleAfter(0).Starts).To(HaveLen(1), "a best-effort task waits at first where it would interfere")
	g.Expect(f.scheduleAfter(bestEffortWaitLimit).Starts).To(HaveLen(1))
	l := f.HostInterferenceEstimates(slices.Values([]batch.WorkerKey{{ID: "1", StartTime: 1}}))
	g.Expect(l.Estimates).To(HaveLen(1))
	g.Expect(l.Estimates[0].Pair).To(Equal(interfere.Pair{Victim: "serve-39", Aggressor: "fill-7"}))
	g.Expect(l.Estimates[0].Weight).To(BeNumerically("~", 0.975, 0.2))
	g.Expect(l.IdleTails).To(HaveKeyWithValue(fleet.Kind("serve-39"), 10*time.Millisecond))
}
