package fleet_test

import (
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sesamestream/sesamestream/internal/dispatch"
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
