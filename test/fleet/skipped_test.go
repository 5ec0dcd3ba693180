package fleet_test

import (
	"context"
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sesamestream/sesamestream/internal/dispatch"
	"github.com/sesamestream/sesamestream/internal/kv"
	"github.com/sesamestream/sesamestream/internal/kv/memory"
	"github.com/sesamestream/sesamestream/pkg/batch"
)

// A stored job of which the scheduler got no notice was never started if the watch skipped it too.
func TestJobSkippedByTheWatchIsStarted(t *testing.T) {
	for _, phase := range []time.Duration{100 * time.Millisecond, 600 * time.Millisecond} {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			r := newRig(t, 1, 2, 3)
			defer r.close()
			time.Sleep(8*time.Second + phase)
			j := r.newJob(1)
			j.Accepted = time.Now()
			b, err := json.Marshal(j)
			g.Expect(err).NotTo(HaveOccurred())
			r.withStoreFaults(memory.Faults{SkipWatchEvents: true}, func() {
				r.store.Put(dispatch.JobPrefix+string(j.ID), b)
				time.Sleep(1100 * time.Millisecond)
			})
			r.history.Accepted(j)
			time.Sleep(15 * time.Second)
			state, _ := r.jobState(j.ID)
			g.Expect(state).To(Equal(batch.Completed))
		})
	}
}

// largeReplies is a store whose watches fail while more events than fit into a reply are new.
type largeReplies struct {
	kv.Store
	most int
}

func (s largeReplies) Watch(ctx context.Context, prefix string, after kv.Revision, wait time.Duration) ([]kv.Item, kv.Revision, error) {
	items, upto, err := s.Store.Watch(ctx, prefix, after, wait)
	if len(items) > s.most {
		return nil, 0, kv.ErrReplyTooLarge
	}
	return items, upto, err
}

// Jobs of which the scheduler got no notice were never started if they were too many for a reply
// of the watch.
func TestJobsThatExceedAReplyOfTheWatchAreStarted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		r := newRig(t, 1, 2, 3)
		defer r.close()
		for _, p := range r.procs {
			p.wrapStore = func(s kv.Store) kv.Store { return largeReplies{s, 3} }
			p.kill()
			p.start()
		}
		time.Sleep(8 * time.Second)
		var jobs []*batch.Job
		r.withStoreFaults(memory.Faults{SuppressWatchEvents: true}, func() {
			for n := range 6 {
				j := r.newJob(n)
				j.Accepted = time.Now()
				b, err := json.Marshal(j)
				g.Expect(err).NotTo(HaveOccurred())
				r.store.Put(dispatch.JobPrefix+string(j.ID), b)
				jobs = append(jobs, j)
			}
			time.Sleep(time.Second)
		})
		for _, j := range jobs {
			r.history.Accepted(j)
		}
		time.Sleep(20 * time.Second)
		r.checkCompleted(6)
	})
}
