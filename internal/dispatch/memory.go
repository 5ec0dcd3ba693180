package dispatch

import "time"

// memoryInterval is how often the memory of the jobs is measured; entries get it with their pongs.
const memoryInterval = 500 * time.Millisecond

// measureMemory measures what jobs take of the process.
func (d *Dispatcher) measureMemory(now time.Time) {
	if !d.loaded || d.JobMemory <= 0 {
		return
	}
	held, added := d.scheduler.Footprint()
	d.memory.Observe(now, held, added)
	entries := 0
	for _, s := range d.sessions {
		if !s.hello.Host && s.fence != 0 {
			entries++
		}
	}
	d.memoryReport = d.memory.Report(d.JobMemory, entries)
}
