package gateway

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sesamestream/sesamestream/internal/dispatch"
	"github.com/sesamestream/sesamestream/internal/kv"
	"github.com/sesamestream/sesamestream/pkg/batch"
)

// lateStore gives changes no answer while it's silent, and carries them out when it's told to.
type lateStore struct {
	kv.Store
	mu      sync.Mutex
	silent  bool
	pending []kv.Change
	changes int
}

func (s *lateStore) Apply(ctx context.Context, c kv.Change) (kv.Revision, error) {
	s.mu.Lock()
	s.changes++
	silent := s.silent
	if silent {
		s.pending = append(s.pending, c)
	}
	s.mu.Unlock()
	if silent {
		<-ctx.Done()
		return 0, kv.ErrUnknown
	}
	return s.Store.Apply(ctx, c)
}

func (s *lateStore) setSilent(silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent = silent
}

// carryOut carries out the changes that got no answer, and returns how many had an effect.
func (s *lateStore) carryOut() int {
	n := 0
	for _, c := range s.pending {
		if _, err := s.Store.Apply(context.Background(), c); err == nil {
			n++
		}
	}
	s.pending = nil
	return n
}

// newLateRigs returns an entry whose changes get no answer, another one, and the store of the first.
func newLateRigs() (writer, other *admissionRig, late *lateStore) {
	writer, other = newAdmissionRig(), newAdmissionRig()
	late = &lateStore{Store: writer.store, silent: true}
	writer.Store, other.Store, other.store = late, writer.store, writer.store
	return writer, other, late
}

func (r *admissionRig) cancelJob(id batch.JobID) CancelResult {
	return r.Cancel(context.Background(), time.Now().Add(3*time.Second), id)
}

// A job whose write was still to be carried out was cancelled with 410 and ran. The entry that cancels isn't the one
// that wrote, or has started anew.
func TestCancelledJobIsNotCreatedByALateWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		writer, other, late := newLateRigs()
		defer writer.Log.Close(time.Second)
		defer other.Log.Close(time.Second)
		v, _ := writer.submitJob("0123456789abcdef")
		g.Expect(v.Outcome).To(Equal(Unknown))
		g.Expect(late.pending).NotTo(BeEmpty())
		late.setSilent(false)

		g.Expect(other.cancelJob("0123456789abcdef").Outcome).To(Equal(NotFound))
		g.Expect(late.carryOut()).To(BeZero())
		g.Expect(other.stored()).To(BeZero())
		for _, r := range []*admissionRig{writer, other} {
			v, _ = r.submitJob("0123456789abcdef")
			g.Expect(v.Outcome).To(Equal(Cancelled), "a conflict with the cancellation isn't taken for one with the job")
		}
		g.Expect(other.cancelJob("0123456789abcdef").Outcome).To(Equal(NotFound))
		_, o := other.State(context.Background(), time.Now().Add(time.Second), "0123456789abcdef")
		g.Expect(o).To(Equal(NotFound))
	})
}

// A submission that is still being written when its job is cancelled elsewhere is not repeated past the cancellation.
func TestSubmissionUnderWayMeetsItsCancellation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		writer, other, late := newLateRigs()
		defer writer.Log.Close(time.Second)
		defer other.Log.Close(time.Second)
		var v SubmitResult
		var wait sync.WaitGroup
		wait.Go(func() { v, _ = writer.submitJob("0123456789abcdef") })
		time.Sleep(300 * time.Millisecond)
		g.Expect(other.cancelJob("0123456789abcdef").Outcome).To(Equal(NotFound))
		late.setSilent(false)
		wait.Wait()
		g.Expect(v.Outcome).To(Equal(Cancelled))
		g.Expect(writer.stored()).To(BeZero())
	})
}

// A cancellation that is carried out after its job was removed stayed in the store for good.
func TestLateCancellationOfARemovedJobHasNoEffect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		r := newAdmissionRig()
		defer r.Log.Close(time.Second)
		late := &lateStore{Store: r.store}
		r.Store = late
		v, _ := r.submitJob("0123456789abcdef")
		g.Expect(v.Outcome).To(Equal(Accepted))
		late.setSilent(true)
		g.Expect(r.cancelJob("0123456789abcdef").Outcome).To(Equal(Unknown))
		g.Expect(late.pending).NotTo(BeEmpty())
		late.setSilent(false)
		_, err := r.store.Apply(context.Background(), kv.Change{Removes: []string{dispatch.JobPrefix + "0123456789abcdef"}})
		g.Expect(err).NotTo(HaveOccurred())
		late.carryOut()
		g.Expect(r.store.Store.Items(dispatch.CancelPrefix)).To(BeEmpty())
	})
}

// Cancellations of unknown jobs must not take the store's writes from the callers' jobs. Those that aren't stored are
// refused, and repeated ones cost no write.
func TestCancellationsOfUnknownJobsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		r := newAdmissionRig()
		defer r.Log.Close(time.Second)
		late := &lateStore{Store: r.store}
		r.Store, r.FenceRate = late, 2
		outcomes := map[Outcome]int{}
		for i := range 1000 {
			v := r.cancelJob(batch.JobID(fmt.Sprintf("%016x", i)))
			outcomes[v.Outcome]++
			if v.Outcome == Refused {
				g.Expect(v.RetryAfter).To(BeNumerically(">", 0))
			}
			time.Sleep(10 * time.Millisecond)
		}
		g.Expect(late.changes).To(Equal(outcomes[NotFound]))
		g.Expect(outcomes[NotFound]).To(BeNumerically("~", 2*fenceBurst+2*10, 2))
		g.Expect(outcomes[NotFound] + outcomes[Refused]).To(Equal(1000))
		before := late.changes
		for range 100 {
			g.Expect(r.cancelJob("0000000000000000").Outcome).To(Equal(NotFound))
		}
		g.Expect(late.changes).To(Equal(before))
		v, _ := r.submitJob("0123456789abcdef")
		g.Expect(v.Outcome).To(Equal(Accepted))
		g.Expect(r.cancelJob("0123456789abcdef").Outcome).To(Equal(Found), "known jobs are cancelled all the same")
	})
}

// An entry that refuses a job for load has read that it isn't stored, though a write of another entry may still be
// carried out: what was refused must not run.
func TestRefusedJobIsNotCreatedByALateWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		writer, other, late := newLateRigs()
		defer writer.Log.Close(time.Second)
		defer other.Log.Close(time.Second)
		v, _ := writer.submitJob("0123456789abcdef")
		g.Expect(v.Outcome).To(Equal(Unknown))
		other.SetLoad(time.Now(), overloaded(40))
		v, _ = other.submitJob("0123456789abcdef")
		late.carryOut()
		g.Expect(v.Outcome == Refused && other.stored() > 0).To(BeFalse(), "a refused job is stored")
	})
}
