package gateway

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sesamestream/sesamestream/pkg/decide/retention"
)

// Entries accepted jobs without regard to what the scheduler already held, until each process that led
// exceeded its memory.
func TestJobsBeyondTheMemoryAreRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		r := newAdmissionRig()
		defer r.Log.Close(time.Second)
		r.JobMemory = 1 << 20
		r.SetMemory(retention.Report{Held: 1<<20 - 100, Limit: 1 << 20, Entries: 2})
		v, _ := r.submitJob("0123456789abcdef")
		g.Expect(v.Outcome).To(Equal(Full))
		g.Expect(v.RetryAfter).To(BeNumerically(">=", time.Second))
		g.Expect(r.stored()).To(BeZero())
		g.Expect(r.metrics()).To(ContainSubstring(`sesamestream_refusals_total{reason="memory"} 1`))
		g.Expect(r.HeldJobMemory()).To(BeEquivalentTo(1<<20 - 100))

		r.known["0123456789abcdef"] = true
		v, _ = r.submitJob("0123456789abcdef")
		g.Expect(v.Outcome).To(Equal(Accepted), "an accepted job stays accepted")

		r.SetMemory(retention.Report{Held: 1 << 18, Limit: 1 << 20, Entries: 2})
		v, _ = r.submitJob("0123456789abcde0")
		g.Expect(v.Outcome).To(Equal(Accepted))
		g.Expect(r.stored()).To(Equal(1))
	})
}
