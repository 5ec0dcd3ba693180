package fleet_test

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sesamestream/sesamestream/internal/dispatch"
	"github.com/sesamestream/sesamestream/internal/gateway"
	"github.com/sesamestream/sesamestream/pkg/batch"
)

// largeJob returns a job of many tasks that each take half of a worker.
func (r *rig) largeJob(n int) *batch.Job {
	j := r.newJob(n)
	j.Repeat, j.Start, j.Interval = 0, time.Time{}, 0
	j.Steps = []batch.Step{{Count: 40, Need: batch.Resources{MilliCPU: 2000, MemoryMB: 10}, Estimate: time.Second}}
	j.QueueConfig = batch.Queue{Name: j.Queue, Service: "s", MaxAttempts: 3, Stretch: 2, Objective: time.Second}
	return j
}

// The load summary has to reach the gateways of a whole deployment: without it jobs that
// wait for many times their objective are accepted. What was accepted is never refused, and
// what was refused isn't stored.
func TestGatewaysRefuseForOverload(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		r := newRig(t, 1, 3, 2)
		time.Sleep(5 * time.Second)
		p := r.procs[1]
		small := r.largeJob(100)
		small.Steps[0].Count = 1
		v, _ := p.submitOnce(small)
		g.Expect(v.Outcome).To(Equal(gateway.Accepted), "workers are free")
		r.history.Accepted(small)
		var accepted []*batch.Job
		var refused *batch.Job
		for n := 1; n < 40 && refused == nil; n++ {
			j := r.largeJob(n)
			v, _ := p.submitOnce(j)
			if v.Outcome == gateway.Refused {
				refused = j
				g.Expect(v.RetryAfter).To(BeNumerically(">=", time.Second))
				r.history.Refused(j.ID)
				continue
			}
			g.Expect(v.Outcome).To(Equal(gateway.Accepted))
			r.history.Accepted(j)
			accepted = append(accepted, j)
			time.Sleep(300 * time.Millisecond)
		}
		g.Expect(refused).NotTo(BeNil(), "a job is refused")
		g.Expect(r.store.Items(dispatch.JobPrefix + string(refused.ID))).To(BeEmpty())
		for _, j := range append(accepted, small) {
			for _, e := range r.procs[:3] {
				v, _ := e.submitOnce(j)
				g.Expect(v.Outcome).To(Equal(gateway.Accepted), "a repeated submission of an accepted job")
			}
		}
		r.close()
	})
}
