package fleet_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/sesamestream/sesamestream/internal/control"
	"github.com/sesamestream/sesamestream/internal/kv/memory"
)

// loseMachine ends the worker and the process of a machine at the same moment.
func (p *process) loseMachine() {
	p.worker.Crash()
	p.kill()
}

// startLongTasks submits a job whose tasks fill half of the workers for 20 s.
func (r *rig) startLongTasks() {
	time.Sleep(10 * time.Second)
	r.history.ExtraDuration = 20 * time.Second
	hosts := 0
	for _, p := range r.procs {
		if p.host {
			hosts++
		}
	}
	r.submitWide(0, hosts/2)
	time.Sleep(2 * time.Second)
}

// checkLongTasksEnd waits until the tasks of startLongTasks have ended, also those that had to start again.
func (r *rig) checkLongTasksEnd() {
	time.Sleep(60 * time.Second)
	r.history.CheckFinalState(r.jobState)
	r.close()
}

// reconnect resets the connections of a host, and returns once the scheduler had time to
// receive the snapshot of the worker in the next session.
func (p *process) reconnect() {
	before := p.worker.Fence()
	p.rig.net.CloseConns(p.addr.Addr())
	for deadline := time.Now().Add(5 * time.Second); p.worker.Fence() <= before; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			p.rig.t.Errorf("%s has no session", p.name)
			return
		}
	}
	time.Sleep(10 * time.Millisecond)
}

// outageWithoutGrants is how long an outage of the store has to last until the leader grants no
// leases, if a machine was lost when it began.
const outageWithoutGrants = control.LeaderTTL + 300*time.Millisecond

// Tasks don't start elsewhere before the lease from an earlier session of their host is over,
// though the last session ends without a grant. The leader grants nothing in an outage of the
// store that begins with the loss of a machine (review/6, TWICE).
func TestLeaseOutlastsASessionWithoutGrant(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 1, 2, 6)
		r.startLongTasks()
		killed := r.procs[3:5]
		r.withStoreFaults(memory.Faults{Down: true}, func() {
			r.procs[2].loseMachine()
			time.Sleep(outageWithoutGrants)
			for _, p := range killed {
				p.reconnect()
				p.kill()
			}
		})
		time.Sleep(2 * time.Second)
		for _, p := range killed {
			p.start()
		}
		r.checkLongTasksEnd()
	})
}
