package main

import "time"

const (
	// finish is the bound finish_s.
	finish = 14 * time.Second
	// idleBound is for how long a job may have nothing running beside free capacity.
	idleBound = 3 * time.Second
)

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
