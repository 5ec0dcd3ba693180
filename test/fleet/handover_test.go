package fleet_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sesamestream/sesamestream/internal/dispatch"
	"github.com/sesamestream/sesamestream/internal/gateway"
	"github.com/sesamestream/sesamestream/internal/kv/memory"
	"github.com/sesamestream/sesamestream/pkg/batch"
)

// entryWithoutStore injects store faults into one entry that is not the scheduler.
// It returns the entry after 3 s.
func (r *rig) entryWithoutStore(f memory.Faults) *process {
	for _, p := range r.procs {
		if !p.host && p.name != r.leaderName() {
			p.store.Set(f)
			time.Sleep(3 * time.Second)
			return p
		}
	}
	r.t.Fatal("no entry is a follower")
	return nil
}

// submitOnce submits a job once and returns the result and the time it took.
func (p *process) submitOnce(j *batch.Job) (gateway.SubmitResult, time.Duration) {
	start := time.Now()
	c := *j
	v := p.gateway().Submit(context.Background(), start.Add(3*time.Second), &c)
	return v, time.Since(start)
}

// An entry that is the only one without access to the store submits its callers'
// jobs through the scheduler. Without this, a third of the entries, cut off from
// the store for 12 s, refused all jobs while workers were free.
func TestEntryWithoutStoreHandsJobsOver(t *testing.T) {
	for name, f := range map[string]memory.Faults{"silent": {Down: true}, "refuses": {Refuse: true}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				r := newRig(t, 1, 3, 3)
				time.Sleep(5 * time.Second)
				p := r.entryWithoutStore(f)
				j := r.newJob(1)
				v, took := p.submitOnce(j)
				g.Expect(v.Outcome).To(Equal(gateway.Accepted))
				g.Expect(took).To(BeNumerically("<", time.Second))
				r.history.Accepted(j)
				g.Expect(r.store.Items(dispatch.JobPrefix + string(j.ID))).To(HaveLen(1))
				repeated, _ := p.submitOnce(j)
				g.Expect(repeated.Outcome).To(Equal(gateway.Accepted), "a repeated submission is the same job")
				s, o := p.gateway().State(context.Background(), time.Now().Add(3*time.Second), j.ID)
				g.Expect(o).To(Equal(gateway.Found))
				g.Expect(s).NotTo(BeEmpty())
				g.Expect(p.gateway().Cancel(context.Background(), time.Now().Add(3*time.Second), j.ID).Outcome).To(Equal(gateway.Found))
				g.Expect(r.store.Items(dispatch.CancelPrefix + string(j.ID))).To(HaveLen(1))
				r.close()
			})
		})
	}
}

// If the scheduler has lost the store too, jobs are refused at once and are not
// stored later.
func TestJobsAreRefusedWhenSchedulerHasNoStoreEither(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		r := newRig(t, 1, 3, 3)
		time.Sleep(5 * time.Second)
		r.withStoreFaults(memory.Faults{Down: true}, func() {
			time.Sleep(3 * time.Second)
			for i, p := range r.procs {
				if p.host {
					continue
				}
				j := r.newJob(i + 1)
				v, took := p.submitOnce(j)
				g.Expect(v.Outcome).To(Equal(gateway.Refused), p.name)
				g.Expect(took).To(BeNumerically("<", time.Second))
				r.history.Refused(j.ID)
			}
		})
		time.Sleep(5 * time.Second)
		g.Expect(r.store.Items(dispatch.JobPrefix)).To(BeEmpty())
		r.close()
	})
}

// If the answer to a job handed over to the scheduler is lost, the outcome is
// unknown. The job must not be reported to the caller as not run.
func TestLostHandOverAnswersAreNotRefusals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		r := newRig(t, 1, 3, 3)
		time.Sleep(5 * time.Second)
		p := r.entryWithoutStore(memory.Faults{Refuse: true})
		r.leader().store.Set(memory.Faults{LoseAnswers: true})
		j := r.newJob(1)
		v, _ := p.submitOnce(j)
		g.Expect(v.Outcome).To(Equal(gateway.Unknown))
		g.Expect(r.store.Items(dispatch.JobPrefix + string(j.ID))).To(HaveLen(1))
		r.close()
	})
}
