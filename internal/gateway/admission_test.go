package gateway

import (
	"context"
	"fmt"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sesamestream/sesamestream/internal/dispatch"
	"github.com/sesamestream/sesamestream/internal/eventlog"
	"github.com/sesamestream/sesamestream/internal/kv/memory"
	"github.com/sesamestream/sesamestream/internal/link"
	"github.com/sesamestream/sesamestream/pkg/batch"
	"github.com/sesamestream/sesamestream/pkg/decide/overload"
)

// admissionRig is a gateway with a store and a scheduler that knows some jobs.
type admissionRig struct {
	*Gateway
	store *memory.Client
	known map[batch.JobID]bool
}

func newAdmissionRig() *admissionRig {
	r := &admissionRig{store: &memory.Client{Store: &memory.Store{}}, known: map[batch.JobID]bool{}}
	r.Gateway = &Gateway{Store: r.store, Log: eventlog.New(io.Discard, "n"), DataCentre: "a"}
	r.Send = func(m link.Message) bool {
		switch {
		case m.Query != nil:
			go r.HandleMessage(link.Message{Reply: &link.Reply{ID: m.Query.ID, Known: r.known[m.Query.Job]}})
		case m.StoreRequest != nil:
			return false
		}
		return true
	}
	return r
}

// overloaded returns the summary of a service without room in which work of an amount in core-seconds waits.
func overloaded(coreSeconds float64) overload.Summary {
	var s overload.Summary
	x := s.Service("s")
	x.Workers, x.WaitingTasks = 1, 100
	x.LargestRoom, x.LargestCapacity = overload.Amounts{MilliCPU: 4000}, overload.Amounts{MilliCPU: 4000}
	x.Reserved.AddFreed(time.Second, 4000)
	x.AddWaiting(0, false, false, 0.1, coreSeconds)
	return s
}

func (r *admissionRig) submitJob(id batch.JobID) (SubmitResult, *batch.Job) {
	q := batch.Queue{Name: "q", Service: "s", Stretch: 1.5, Objective: time.Second}
	j := &batch.Job{
		ID: id, Queue: "q", QueueConfig: q,
		Steps: []batch.Step{{Count: 4, Need: batch.Resources{MilliCPU: 1000}, Estimate: time.Second}},
	}
	return r.Submit(context.Background(), time.Now().Add(3*time.Second), j), j
}

func (r *admissionRig) stored() int { return len(r.store.Store.Items(dispatch.JobPrefix)) }

// metrics returns the metrics of the gateway as text.
func (r *admissionRig) metrics() string {
	var b strings.Builder
	r.Log.Metrics.WriteText(&b)
	return b.String()
}

// A job that can't be of use is refused, isn't stored, and is counted.
func TestOverloadRefusesAndStoresNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, r := NewWithT(t), newAdmissionRig()
		defer r.Log.Close(time.Second)
		r.SetLoad(time.Now(), overloaded(400))
		v, _ := r.submitJob("a")
		g.Expect(v.Outcome).To(Equal(Refused))
		g.Expect(v.RetryAfter).To(BeNumerically(">=", time.Second))
		g.Expect(r.stored()).To(BeZero())
		g.Expect(r.metrics()).To(ContainSubstring(`sesamestream_refusals_total{reason="overload"} 1`))
	})
}

// Without a summary, with one that is older than two seconds, and with one that shows room, jobs are accepted as before.
func TestAdmissionWithoutFreshSummary(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, r := NewWithT(t), newAdmissionRig()
		defer r.Log.Close(time.Second)
		v, _ := r.submitJob("a")
		g.Expect(v.Outcome).To(Equal(Accepted))
		r.SetLoad(time.Now(), overloaded(400))
		time.Sleep(overload.MaxAge + time.Millisecond)
		v, _ = r.submitJob("b")
		g.Expect(v.Outcome).To(Equal(Accepted))
		r.SetLoad(time.Now(), overloaded(1))
		v, _ = r.submitJob("c")
		g.Expect(v.Outcome).To(Equal(Accepted))
		g.Expect(r.stored()).To(Equal(3))
	})
}

// A repeated submission of an accepted job would be told that it never runs: it is accepted
// whether the scheduler knows it, only the store does, or a write of unknown outcome may still take effect.
func TestAcceptedJobIsNeverRefusedForOverload(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, r := NewWithT(t), newAdmissionRig()
		defer r.Log.Close(time.Second)
		v, _ := r.submitJob("stored")
		g.Expect(v.Outcome).To(Equal(Accepted))
		r.known["ended"] = true
		r.store.Set(memory.Faults{ApplyDelay: time.Minute})
		v, _ = r.submitJob("unknown")
		g.Expect(v.Outcome).To(Equal(Unknown))
		r.store.Set(memory.Faults{})
		r.SetLoad(time.Now(), overloaded(400))
		for _, id := range []batch.JobID{"stored", "ended", "unknown"} {
			v, _ := r.submitJob(id)
			g.Expect(v.Outcome).To(Equal(Accepted), string(id))
		}
		v, _ = r.submitJob("new")
		g.Expect(v.Outcome).To(Equal(Refused))
		time.Sleep(2 * time.Minute)
	})
}

// While a job is being written a repeated submission of it isn't refused, as the first one may be accepted.
func TestJobThatIsBeingWrittenIsNotRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, r := NewWithT(t), newAdmissionRig()
		defer r.Log.Close(time.Second)
		r.store.Set(memory.Faults{Delay: 300 * time.Millisecond})
		first := make(chan SubmitResult)
		go func() {
			v, _ := r.submitJob("a")
			first <- v
		}()
		time.Sleep(100 * time.Millisecond)
		r.SetLoad(time.Now(), overloaded(400))
		v, _ := r.submitJob("a")
		g.Expect(v.Outcome).To(Equal(Accepted))
		g.Expect((<-first).Outcome).To(Equal(Accepted))
	})
}

// If it can't be found out whether a job was accepted earlier, it isn't refused for overload.
func TestUnreachableStoreIsNoOverload(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, r := NewWithT(t), newAdmissionRig()
		defer r.Log.Close(time.Second)
		r.SetLoad(time.Now(), overloaded(400))
		r.store.Set(memory.Faults{Refuse: true})
		v, _ := r.submitJob("a")
		g.Expect(v.Outcome).To(Equal(Refused))
		g.Expect(r.metrics()).To(ContainSubstring(`reason="storeAway"`))
		g.Expect(r.metrics()).NotTo(ContainSubstring(`reason="overload"`))
	})
}

// A refused caller that returns is placed by the time of its first refusal, and the memory of refusals is bounded.
func TestRefusedCallerKeepsItsPlace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, r := NewWithT(t), newAdmissionRig()
		defer r.Log.Close(time.Second)
		r.SetLoad(time.Now(), overloaded(400))
		refusedAt := time.Now()
		v, _ := r.submitJob("a")
		g.Expect(v.Outcome).To(Equal(Refused))
		time.Sleep(v.RetryAfter)
		v, j := r.submitJob("a")
		g.Expect(v.Outcome).To(Equal(Accepted))
		g.Expect(j.Accepted).To(BeTemporally("==", refusedAt))
		g.Expect(r.admission.firstRefused).To(BeEmpty())
		for n := range maxRememberedJobs + 10 {
			r.SetLoad(time.Now(), overloaded(400))
			r.submitJob(batch.JobID(fmt.Sprint(n)))
		}
		g.Expect(len(r.admission.firstRefused)).To(Equal(maxRememberedJobs))
		time.Sleep(2 * rememberedFor)
		r.SetLoad(time.Now(), overloaded(400))
		r.submitJob("later")
		g.Expect(len(r.admission.firstRefused)).To(Equal(1))
	})
}

// A submission that is refused before its body is decoded must not be, if only the store knows its job, or a write of it
// is in progress or had an unknown outcome. If the store can't be read, nothing may be promised.
func TestUnreadSubmissionIsRefusedOnlyWithCertainty(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, r := NewWithT(t), newAdmissionRig()
		defer r.Log.Close(time.Second)
		v, _ := r.submitJob("stored")
		g.Expect(v.Outcome).To(Equal(Accepted))
		r.known["ended"] = true
		r.store.Set(memory.Faults{ApplyDelay: time.Minute})
		v, _ = r.submitJob("unknown")
		g.Expect(v.Outcome).To(Equal(Unknown))
		go func() { r.submitJob("writing") }()
		time.Sleep(time.Millisecond)
		for id, want := range map[batch.JobID]Outcome{
			"stored": Accepted, "ended": Accepted, "unknown": Unknown, "writing": Unknown, "new": Refused,
		} {
			g.Expect(r.RefuseUnread(t.Context(), id)).To(Equal(want), string(id))
		}
		r.store.Set(memory.Faults{Down: true})
		g.Expect(r.RefuseUnread(t.Context(), "new")).To(Equal(Unknown))
		time.Sleep(2 * time.Minute)
	})
}

// A submission that can't be stored must not be refused while an earlier one of the same job may still take effect.
func TestUnstoredJobIsNotRefusedAfterAnUnknownOutcome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, r := NewWithT(t), newAdmissionRig()
		defer r.Log.Close(time.Second)
		r.store.Set(memory.Faults{ApplyDelay: time.Minute})
		v, _ := r.submitJob("a")
		g.Expect(v.Outcome).To(Equal(Unknown))
		r.store.Set(memory.Faults{Refuse: true})
		v, _ = r.submitJob("a")
		g.Expect(v.Outcome).To(Equal(Unknown))
		v, _ = r.submitJob("b")
		g.Expect(v.Outcome).To(Equal(Refused))
		time.Sleep(2 * time.Minute)
	})
}

// After a long outage, the jobs whose outcomes it left unknown must not keep the gateway from refusing others for good.
func TestUnknownOutcomesAreForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, r := NewWithT(t), newAdmissionRig()
		defer r.Log.Close(time.Second)
		for n := range maxRememberedJobs {
			r.admission.unknown.add(time.Now(), batch.JobID(fmt.Sprint(n)))
		}
		r.SetLoad(time.Now(), overloaded(400))
		v, _ := r.submitJob("a")
		g.Expect(v.Outcome).To(Equal(Accepted), "others may be unknown too")
		time.Sleep(2 * rememberedFor)
		r.SetLoad(time.Now(), overloaded(400))
		v, _ = r.submitJob("b")
		g.Expect(v.Outcome).To(Equal(Refused))
	})
}
