package fleet_test

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sesamestream/sesamestream/internal/gateway"
	"github.com/sesamestream/sesamestream/internal/kv/memory"
	"github.com/sesamestream/sesamestream/test/history"
)

// A question about a job is answered through each gateway by the scheduler, and leaves no trace of
// the job. Without a scheduler it isn't answered rather than wrongly.
func TestGatewayTellsWhereAJobWouldGo(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRigIn(t, 1, 2, 4, []string{"d", "e"})
		time.Sleep(5 * time.Second)
		r.requestEvacuation("d")
		time.Sleep(history.EvacuationBound)
		j := r.newJob(1)
		j.Steps = j.Steps[:1]
		j.Steps[0].Count, j.Steps[0].Need.MilliCPU = 3, 3000
		for _, p := range r.procs[:2] {
			x, err := p.gateway().Explain(t.Context(), j)
			if err != nil {
				t.Fatal(err)
			}
			s := x.Steps[0]
			reasons := map[string]int{}
			for _, e := range s.Exclusions {
				reasons[e.Reason]++
			}
			if x.Refused || len(s.Placements) != 2 || s.Placements[0].DataCentre != "e" || s.Waiting != 1 || reasons["evacuated"] != 2 || reasons["lacksCpu"] != 2 {
				t.Errorf("%s: %+v", p.name, x)
			}
		}
		if _, ok := r.jobState(j.ID); ok {
			t.Error("the job is known")
		}
		time.Sleep(time.Second)
		if n := r.history.StartCount(j.ID); n > 0 {
			t.Errorf("%d tasks have started", n)
		}
		r.withStoreFaults(memory.Faults{Down: true}, func() {
			time.Sleep(3 * time.Second)
			x, err := r.procs[0].gateway().Explain(t.Context(), j)
			if err != nil || !x.Refused || x.RetryAfterSeconds < 1 {
				t.Errorf("without the store: %+v, %v", x, err)
			}
		})
		time.Sleep(3 * time.Second)
		alone := r.procs[0]
		if alone == r.leader() {
			alone = r.procs[1]
		}
		r.setIsolated([]*process{alone}, true)
		time.Sleep(5 * time.Second)
		if x, err := alone.gateway().Explain(t.Context(), j); !errors.Is(err, gateway.ErrNoScheduler) {
			t.Errorf("without a scheduler: %+v, %v", x, err)
		}
		r.close()
	})
}
