package fleet_test

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sesamestream/sesamestream/internal/kv/memory"
)

// cutDuringOutage makes the store fail for the given processes, cuts an island off before the
// outage is over, and heals it after cutFor. It cuts the island off again where cuts is 2.
func (r *rig) cutDuringOutage(f memory.Faults, failing, island []*process, outage time.Duration, cuts int) {
	const (
		lead   = 500 * time.Millisecond
		cutFor = 5500 * time.Millisecond
		pause  = 100 * time.Millisecond
	)
	for _, p := range failing {
		p.store.Set(f)
	}
	time.Sleep(outage - lead)
	r.setIsolated(island, true)
	time.Sleep(lead)
	for _, p := range failing {
		if !slices.Contains(island, p) {
			p.store.Set(memory.Faults{})
		}
	}
	time.Sleep(cutFor - lead)
	r.setIsolated(island, false)
	for range cuts - 1 {
		time.Sleep(pause)
		r.setIsolated(island, true)
		time.Sleep(cutFor)
		r.setIsolated(island, false)
	}
}

// A leader that is cut off with some hosts before an outage of the store is over starts tasks of
// the other hosts in its island once their leases, by its reckoning, have ended, though the next leader has
// renewed them: tasks run twice, or again after their ends were acknowledged (review/11, TWICE).
func TestLeaderCutOffDuringOutageStartsNothingTwice(t *testing.T) {
	for _, outage := range []time.Duration{1600 * time.Millisecond, 2500 * time.Millisecond, 3200 * time.Millisecond} {
		for name, f := range map[string]memory.Faults{"silent": {Down: true}, "busy": {Refuse: true}} {
			for _, leaderOnly := range []bool{false, true} {
				for cuts := 1; cuts <= 2; cuts++ {
					t.Run(fmt.Sprintf("%v %s, leader only %v, cuts %d", outage, name, leaderOnly, cuts), func(t *testing.T) {
						synctest.Test(t, func(t *testing.T) {
							r := newRigIn(t, uint64(outage)+uint64(cuts), 3, 6, []string{"d", "e", "f"})
							r.history.ExtraDuration = 1500 * time.Millisecond
							time.Sleep(5 * time.Second)
							wait := r.submitSteadily(100)
							time.Sleep(4 * time.Second)
							leader := r.leader()
							failing := r.procs
							if leaderOnly {
								failing = []*process{leader}
							}
							r.cutDuringOutage(f, failing, []*process{leader, r.procs[3], r.procs[6]}, outage, cuts)
							wait()
							time.Sleep(30 * time.Second)
							r.history.CheckFinalState(r.jobState)
							r.close()
						})
					})
				}
			}
		}
	}
}
