package main

import (
	"fmt"
	"time"
)

// starvedLasting loses the worker of a task that lasts while batch jobs keep the other
// workers full. It is broken if the task is not at work from 6 s to 9 s after the loss.
func starvedLasting(r *rig, trouble bool) (bool, error) {
	const (
		workers = 8
		// restartBound is how long a task that lasts may be away, idle how long nothing may run then.
		restartBound = 6 * time.Second
		idle         = 3 * time.Second
		// interval is the time between two batch jobs.
		interval = 500 * time.Millisecond
		work     = 2500 * time.Millisecond
		load     = 40 * time.Second
	)
	r.load.uneven = true
	var ws []*worker
	for i := range workers {
		ws = append(ws, &worker{id: fmt.Sprintf("i-%02x00000000", i+16), capacity: need{16000, 62500}})
	}
	if err := r.startMachines(2, ws...); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	lasting := fmt.Sprintf("%016x", 0xf001)
	if err := r.submit(lasting, step{Count: 1, CPU: 5100, MemMb: 6400, LongRunning: true}, 0); err != nil {
		return false, err
	}
	time.Sleep(time.Second)
	lostAt := time.Duration(0)
	away := false
	begin := r.rec.now()
	for n := 0; r.rec.now()-begin < load; n++ {
		next := time.Now().Add(interval)
		if err := r.submit(fmt.Sprintf("%016x", 0xf100+n), step{Count: 36, CPU: 720, MemMb: 960, EstDurationMs: work.Milliseconds()}, work); err != nil {
			return false, err
		}
		if r.rec.now()-begin > 15*time.Second && lostAt == 0 {
			lostAt, away = r.rec.now(), true
			if trouble {
				for _, w := range ws {
					if w.has(lasting + ".0.0.0") {
						w.fallSilent()
					}
				}
			}
		}
		since := r.rec.now() - lostAt
		if lostAt > 0 && since > restartBound && since < restartBound+idle {
			away = away && !r.history.running(lasting)
		}
		time.Sleep(time.Until(next))
	}
	run, done := r.history.count()
	r.rec.printf("%d tasks have run, %d are done; the lasting task has begun %d times", run, done, r.history.startCount(lasting))
	if away {
		r.rec.printf("CHECK %s lasts, and nothing of it runs from %v to %v after the loss of its worker", lasting, restartBound, restartBound+idle)
	}
	return away, nil
}
