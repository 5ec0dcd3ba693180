package main

import (
	"time"
)

// playEnds kills the agent of a worker while more than 500 of its tasks end. The worker
// lists 500 ends at a time, so that the first list under the next agent leaves some out.
func playEnds(r *rig, trouble bool) error {
	entry, sides, err := r.deploy(1, "")
	if err != nil {
		return err
	}
	side := sides[0]
	const jobs, width, work = 20, 36, 6000
	var ids []string
	began := time.Now()
	for range jobs {
		id, err := r.submit(entry, job{Spec: "small tasks", Steps: []step{{Count: width, CPU: 20, MemMb: 16, EstDurationMs: work}}})
		if err != nil {
			return err
		}
		ids = append(ids, id)
		time.Sleep(40 * time.Millisecond)
	}
	r.note("all jobs are handed in after %.1f s", time.Since(began).Seconds())
	time.Sleep(time.Until(began.Add(work * time.Millisecond)))
	if trouble {
		side.kill()
		time.Sleep(restartDelay)
		if err := side.start(); err != nil {
			return err
		}
	}
	for _, id := range ids {
		if err := r.awaitState(entry, id, "completed", 30*time.Second); err != nil {
			r.note("%v", err)
		}
	}
	time.Sleep(2 * time.Second)
	r.note("ends: %v", r.ends)
	return nil
}
