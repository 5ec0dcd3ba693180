package main

import (
	"fmt"
	"net/http"
	"time"
)

// playHeld has a task on each worker that takes longer than estimated, a lasting job that waits for
// their memory, a second one that takes what is free meanwhile, and then small jobs.
func playHeld(d *deployment, trouble bool) (bool, error) {
	const estimate = 3500 * time.Millisecond
	actual := estimate
	if trouble {
		actual = 6 * estimate
	}
	n := len(d.workers)
	long := d.newJob("wide", 1, n, task{duration: actual, cpu: 1000, mem: 30000})
	long.firstStep()["estDurationMs"] = estimate.Milliseconds()
	long.firstStep()["maxPerServer"] = 1
	first := d.newJob("quick", 1, n, task{cpu: 2000, mem: 40000})
	first.firstStep()["longRunning"] = true
	second := d.newJob("quick", 1, n, task{cpu: 1000, mem: 25000})
	second.firstStep()["longRunning"] = true
	for i, x := range []struct {
		job  *job
		wait time.Duration
	}{{long, 100 * time.Millisecond}, {first, 9 * time.Second}, {second, actual}} {
		if s := d.submit(i, x.job); s != http.StatusOK {
			return false, fmt.Errorf("%w: a job was answered %d", errCannotRun, s)
		}
		time.Sleep(x.wait)
	}
	var small []*job
	for i := range 6 {
		j := d.newJob("quick", 1, 2, task{duration: time.Second, cpu: 240, mem: 100})
		if s := d.submit(i, j); s == http.StatusOK {
			small = append(small, j)
		}
		time.Sleep(100 * time.Millisecond)
	}
	time.Sleep(finish)
	held := d.nothingIdle(small)
	for _, w := range d.workers {
		cpu, total := w.used()
		d.record.print("%s: %d of %d thousandths of a core in use", w.id, cpu, total)
	}
	return held, nil
}
