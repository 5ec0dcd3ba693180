package main

import (
	"fmt"
	"net/http"
	"time"
)

const (
	// finish is the bound finish_s.
	finish = 14 * time.Second
	// idleBound is for how long a job may have nothing running beside free capacity.
	idleBound = 3 * time.Second
)

// playRecurring submits a job that is due each hour of a year, kills the scheduler before the first
// time, and then sends small jobs.
func playRecurring(d *deployment, trouble bool) (bool, error) {
	yearly := d.newJob("wide", 1, 5, task{duration: time.Second, cpu: 240, mem: 100})
	yearly.Body["startAtMs"] = time.Now().Add(20 * time.Second).UnixMilli()
	yearly.Body["intervalMs"] = time.Hour.Milliseconds()
	yearly.Body["repeatCount"] = 365 * 24
	if s := d.submit(0, yearly); s != http.StatusOK {
		return false, fmt.Errorf("%w: the recurring job was answered %d", errCannotRun, s)
	}
	time.Sleep(5 * time.Second)
	if trouble {
		if err := d.killScheduler(); err != nil {
			return false, err
		}
	}
	time.Sleep(10 * time.Second)
	var small []*job
	for i := range 200 {
		j := d.newJob("quick", 1, 20, task{duration: 300 * time.Millisecond, cpu: 240, mem: 100})
		if s := d.submit(i, j); s == http.StatusOK {
			small = append(small, j)
		}
		time.Sleep(200 * time.Millisecond)
	}
	d.record.print("small jobs accepted: %d", len(small))
	time.Sleep(finish)
	return d.nothingIdle(small), nil
}

// killScheduler kills the process that leads, and starts it again.
func (d *deployment) killScheduler() error {
	m := d.leader()
	if m == nil {
		return fmt.Errorf("%w: no process leads", errCannotRun)
	}
	d.record.print("kill of %s, which leads", m.name)
	m.kill()
	time.Sleep(500 * time.Millisecond)
	return d.startMachine(m)
}

// nothingIdle watches for idleBound and reports whether none of the jobs has tasks whose turn has
// come, nothing running, room for it twice over, and under half of all processors in use.
func (d *deployment) nothingIdle(jobs []*job) bool {
	idle := map[string]bool{}
	for _, j := range jobs {
		idle[j.ID] = !d.done(j)
	}
	room := true
	for end := time.Now().Add(idleBound + 500*time.Millisecond); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		used, total, free := 0, 0, 0
		for _, w := range d.workers {
			u, t := w.used()
			used, total, free = used+u, total+t, max(free, t-u)
			for _, id := range w.jobs() {
				delete(idle, id)
			}
		}
		for _, j := range jobs {
			if 2*j.Tasks[0].cpu*j.count() > total-used || 2*j.Tasks[0].cpu > free {
				delete(idle, j.ID)
			}
		}
		room = room && 2*used < total
	}
	held := true
	for i, j := range jobs {
		if !idle[j.ID] {
			continue
		}
		s := d.state(i, j)
		if room && s != "completed" && s != "failed" && s != "cancelled" {
			d.record.print("broken: job %s is %s; of %d tasks %d started, none runs, and the workers have room", j.ID, s, j.count(), len(d.startsOf(j.ID)))
			held = false
		}
	}
	unseen := 0
	for _, w := range d.workers {
		unseen += w.unseen()
	}
	d.record.print("ends that were not taken note of: %d", unseen)
	return held
}
