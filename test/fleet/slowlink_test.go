package fleet_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sesamestream/sesamestream/internal/dispatch"
	"github.com/sesamestream/sesamestream/internal/kv"
	"github.com/sesamestream/sesamestream/internal/kv/memory"
	"github.com/sesamestream/sesamestream/pkg/batch"
)

// throttle puts all processes behind links to the store with the given rate, by restarting them.
func (r *rig) throttle(bytesPerSecond int) {
	for _, p := range r.procs {
		p.wrapStore = func(s kv.Store) kv.Store { return &memory.Link{Store: s, BytesPerSecond: bytesPerSecond} }
		p.kill()
		p.start()
	}
}

// A scheduler whose link carries the stored jobs in more time than the store may stay silent never
// loaded them, so that nothing was started any more.
func TestTakeoverLoadsMoreThanTheLinkCarriesInOneTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		r := newRig(t, 1, 2, 3)
		defer r.close()
		for n := range 24 {
			j := &batch.Job{
				ID: batch.JobID(fmt.Sprintf("%016x", 0xa000+n)), Queue: "wide", Spec: strings.Repeat("x", 250_000), Accepted: time.Now(),
				Steps: []batch.Step{{Count: 1, Need: batch.Resources{MilliCPU: 100, MemoryMB: 10}, Estimate: time.Second}},
			}
			b, err := json.Marshal(j)
			g.Expect(err).NotTo(HaveOccurred())
			r.store.Put(dispatch.JobPrefix+string(j.ID), b)
		}
		r.throttle(10e6 / 8)
		// The jobs are 8 MB in responses of the store.
		time.Sleep(15 * time.Second)
		r.submitJobs(3)
		time.Sleep(15 * time.Second)
		r.checkCompleted(3)
	})
}

// A scheduler whose link carries the progress of its jobs in more time than the store may stay
// silent never stored it, so that no end was acknowledged any more.
func TestProgressThatTheLinkCarriesInSeveralTimeoutsIsStored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 1, 2, 3)
		defer r.close()
		r.throttle(7_500)
		time.Sleep(10 * time.Second)
		// The progress of 600 tasks, most of which have failed once, is 17 KB in a change of the store.
		r.history.FailPercent = 100
		j := &batch.Job{
			ID: "0123456789abcdef", Queue: "wide",
			Steps: []batch.Step{
				{Count: 600, Need: batch.Resources{MilliCPU: 20, MemoryMB: 10}, Estimate: 300 * time.Millisecond},
				{Count: 1, Need: batch.Resources{MilliCPU: 20, MemoryMB: 10}, Estimate: 300 * time.Millisecond, DependsOn: []int{0}},
			},
		}
		r.submit(j)
		for range 100 {
			time.Sleep(100 * time.Millisecond)
			for _, i := range r.store.Items(dispatch.StatePrefix + string(j.ID)) {
				if len(i.Value) > 9_000 {
					return
				}
			}
		}
		t.Error("the progress isn't stored")
	})
}
