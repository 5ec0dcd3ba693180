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

// withoutStore returns an entry that doesn't lead, after the store has been away from it alone for a while.
func (r *rig) withoutStore(f memory.Faults) *proc {
	for _, p := range r.procs {
		if !p.host && p.name != r.leads() {
			p.store.Set(f)
			time.Sleep(3 * time.Second)
			return p
		}
	}
	r.t.Fatal("all entries lead")
	return nil
}

func (p *proc) submitOnce(j *batch.Job) (gateway.SubmitResult, time.Duration) {
	began := time.Now()
	c := *j
	v := p.gateway().Submit(context.Background(), began.Add(3*time.Second), &c)
	return v, time.Since(began)
}

// An entry that alone has lost the store serves its callers through the
// scheduler (seen: a third of the entries cut off for 12 s refused all jobs
// while workers were free).
func TestEntryWithoutStoreHandsJobsOver(t *testing.T) {
	for name, f := range map[string]memory.Faults{"silent": {Down: true}, "refuses": {Refuse: true}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				r := newRig(t, 1, 3, 3)
				time.Sleep(5 * time.Second)
				p := r.withoutStore(f)
				j := r.job(1)
				v, took := p.submitOnce(j)
				g.Expect(v.Outcome).To(Equal(gateway.Accepted))
				g.Expect(took).To(BeNumerically("<", time.Second))
				r.history.Accepted(j)
				g.Expect(r.store.Items(dispatch.JobPrefix + string(j.ID))).To(HaveLen(1))
				again, _ := p.submitOnce(j)
				g.Expect(again.Outcome).To(Equal(gateway.Accepted), "sent again it's the same job")
				s, o := p.gateway().State(context.Background(), time.Now().Add(3*time.Second), j.ID)
				g.Expect(o).To(Equal(gateway.Found))
				g.Expect(s).NotTo(BeEmpty())
				g.Expect(p.gateway().Cancel(context.Background(), time.Now().Add(3*time.Second), j.ID)).To(Equal(gateway.Found))
				g.Expect(r.store.Items(dispatch.CancelPrefix + string(j.ID))).To(HaveLen(1))
				r.close()
			})
		})
	}
}

// Where the scheduler has lost the store too, a job is refused at once and
// isn't stored later.
func TestJobsAreRefusedWhenSchedulerHasNoStoreEither(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		r := newRig(t, 1, 3, 3)
		time.Sleep(5 * time.Second)
		r.storeFaultDuring(memory.Faults{Down: true}, func() {
			time.Sleep(3 * time.Second)
			for i, p := range r.procs {
				if p.host {
					continue
				}
				j := r.job(i + 1)
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

// An answer to a hand-over that's lost leaves the outcome open: the caller
// isn't told that the job doesn't run.
func TestLostHandOverAnswersAreNotRefusals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		r := newRig(t, 1, 3, 3)
		time.Sleep(5 * time.Second)
		p := r.withoutStore(memory.Faults{Refuse: true})
		r.leader().store.Set(memory.Faults{LoseAnswers: true})
		j := r.job(1)
		v, _ := p.submitOnce(j)
		g.Expect(v.Outcome).To(Equal(gateway.Unknown))
		g.Expect(r.store.Items(dispatch.JobPrefix + string(j.ID))).To(HaveLen(1))
		r.close()
	})
}
