package main

import (
	"time"
)

// killedAgents of ten is the share of herd_kill.
const killedAgents = 6

// playLease takes the store away for 4.1 s. A machine loses power at the same moment, so that
// the scheduler grants no leases. The hosts open new sessions, which get no grant. Most agents
// are killed in their second sessions, just before the store is back.
func playLease(r *rig, trouble bool) error {
	entry, sides, err := r.deploy(10, "")
	if err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	if _, err := r.submit(entry, job{Spec: "long tasks", Steps: []step{{Count: 20, CPU: 2000, MemMb: 1000, EstDurationMs: 20000}}}); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	lost, killed := sides[0], sides[1:1+killedAgents]
	// The next agents start just after a heartbeat of the workers, so that they know of these only 1.5 s later.
	began := lost.nextHeartbeat(4500 * time.Millisecond)
	at := func(d time.Duration) { time.Sleep(time.Until(began.Add(d))) }
	at(0)
	if trouble {
		for _, n := range r.nodes {
			n.setStoreBusy(true)
		}
		r.note("the store refuses all calls")
		lost.worker.crash()
		lost.kill()
		at(4050 * time.Millisecond)
		for _, n := range killed {
			n.kill()
		}
		at(4100 * time.Millisecond)
		for _, n := range r.nodes {
			n.setStoreBusy(false)
		}
		r.note("the store serves again")
		at(4050*time.Millisecond + restartDelay)
		for _, n := range killed {
			if err := n.start(); err != nil {
				return err
			}
		}
	}
	at(9 * time.Second)
	return nil
}

// nextHeartbeat returns a time that is d before a heartbeat of the machine's worker.
func (n *node) nextHeartbeat(d time.Duration) time.Time {
	n.mu.Lock()
	at := n.lastHeartbeat.Add(-d)
	n.mu.Unlock()
	for time.Until(at) < 100*time.Millisecond {
		at = at.Add(heartbeatInterval)
	}
	return at
}
