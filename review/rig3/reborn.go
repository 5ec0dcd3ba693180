package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	// crashTime is how long a worker that crashes is down.
	crashTime = 4500 * time.Millisecond
	// lateTime is how long after its arrival the start is carried out.
	lateTime = 5200 * time.Millisecond
)

// playReborn has a worker leave a start unanswered, crash, and start again under its ID, before the start is carried out.
func playReborn(d *deployment, trouble bool) (bool, error) {
	j := d.newJob("quick", 1, 1, task{duration: 8 * time.Second, cpu: 1000, mem: 1000})
	var once sync.Once
	crashed := make(chan error, 1)
	if trouble {
		for _, w := range d.workers {
			w.firstHeartbeat = time.Second
			w.lateness = func(w *worker, name string) (late time.Duration) {
				if id, _ := parts(name); id != j.ID {
					return 0
				}
				once.Do(func() {
					late = lateTime
					go func() {
						time.Sleep(200 * time.Millisecond)
						d.record.print("worker %s: crashes", w.id)
						w.crash()
						time.Sleep(crashTime)
						d.record.print("worker %s: starts again", w.id)
						crashed <- w.start()
					}()
				})
				return late
			}
		}
	}
	if s := d.submit(0, j); s != http.StatusOK {
		return false, fmt.Errorf("%w: the job was answered %d", errCannotRun, s)
	}
	if trouble {
		if err := <-crashed; err != nil {
			return false, err
		}
	}
	time.Sleep(20 * time.Second)
	return d.noneTwice(), nil
}

// noneTwice reports whether no task had two runs at the same time on workers that were up.
func (d *deployment) noneTwice() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	held := true
	for i, a := range d.starts {
		for _, b := range d.starts[i+1:] {
			if a.task != b.task {
				continue
			}
			if end := d.endOf(a); end.After(b.at) {
				until := d.endOf(b)
				if end.Before(until) {
					until = end
				}
				d.record.print("broken: %s runs on %s (run %d) and on %s (run %d) for %.1f s", a.task, a.worker, a.number, b.worker, b.number, until.Sub(b.at).Seconds())
				held = false
			}
		}
	}
	return held
}

// endOf returns when the run of a start ended; now if it hasn't.
func (d *deployment) endOf(s event) time.Time {
	for _, e := range d.ends {
		if e.task == s.task && e.worker == s.worker && e.number == s.number && !e.at.Before(s.at) {
			return e.at
		}
	}
	return time.Now()
}
