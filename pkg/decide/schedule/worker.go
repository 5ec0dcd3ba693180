package schedule

import (
	"slices"
	"time"

	"github.com/sesamestream/sesamestream/pkg/batch"
	"github.com/sesamestream/sesamestream/pkg/decide/interfere"
)

// worker is a worker with what runs on it.
type worker struct {
	batch.Worker
	host string
	// silent workers take no orders; what they run stays theirs.
	silent bool
	tasks  map[batch.Task]*task
	// strays are what runs take that nobody assigned, until their ends are listed.
	strays map[batch.Task]batch.Resources
	// victims are the tasks with a target for their tail, fills those that fill.
	victims, fills []*task
	// open is how open the worker is to filling work, as found at openAt.
	open   float64
	openAt time.Time
	used   batch.Resources
	// serving is the processor time reserved by tasks that last, in thousandths of a core.
	serving int
	// filling is the processor time asked for by tasks that fill.
	filling  int
	health   health
	leftover leftover
	// leaves is when a draining worker may be gone.
	leaves time.Time
	// shares is what filling images used lately, as the tails follow it.
	shares  interfere.Shares
	learned time.Time
}

// leftover learns how much processor time the filling tasks of a worker get.
type leftover struct {
	// seen is what they used while they wanted more, in thousandths of a core.
	seen int
	at   time.Time
}

// servingShare is the share of their reservation that serving tasks are
// expected to use where nothing was measured; their load swings about half.
const servingShare = 0.6

// leftoverAge is how long a measured leftover is believed; loads swing in 14 s or more.
const leftoverAge = 3 * time.Second

// spare returns the processor time that filling tasks may be promised.
func (w *worker) spare(now time.Time) int {
	other := w.used.MilliCPU - w.serving
	free := w.Room.MilliCPU - other - int(servingShare*float64(w.serving))
	if w.leftover.seen > 0 && now.Sub(w.leftover.at) < leftoverAge {
		free = w.leftover.seen
	}
	return free - w.filling
}

// before reports whether w is an earlier life of x.
func (w *worker) before(x *worker) bool { return w.ID == x.ID && w.Born < x.Born }

func (w *worker) room() batch.Resources { return w.Room.Minus(w.used) }

// need is what t takes of the worker's room.
func need(s *batch.Step) batch.Resources {
	n := s.Need
	if s.Fills {
		n.MilliCPU = 0
	}
	return n
}

func (w *worker) take(t *task) {
	w.tasks[t.id] = t
	w.used = w.used.Plus(need(t.step.Step))
	if t.step.TailTarget > 0 {
		w.victims = append(w.victims, t)
		w.openAt = time.Time{}
	}
	switch {
	case t.step.Fills:
		w.fills = append(w.fills, t)
		w.filling += t.step.Need.MilliCPU
	case t.step.Lasting:
		w.serving += t.step.Need.MilliCPU
	}
}

func (w *worker) free(t *task) {
	delete(w.tasks, t.id)
	w.used = w.used.Minus(need(t.step.Step))
	if i := slices.Index(w.victims, t); i >= 0 {
		w.victims = slices.Delete(w.victims, i, i+1)
		w.openAt = time.Time{}
	}
	switch {
	case t.step.Fills:
		if i := slices.Index(w.fills, t); i >= 0 {
			w.fills = slices.Delete(w.fills, i, i+1)
		}
		w.filling -= t.step.Need.MilliCPU
	case t.step.Lasting:
		w.serving -= t.step.Need.MilliCPU
	}
}

// stray counts a run that is to be stopped; it takes its room until its end is listed.
func (w *worker) stray(t *task) {
	if w.strays == nil {
		w.strays = map[batch.Task]batch.Resources{}
	}
	w.strays[t.id] = need(t.step.Step)
	w.used = w.used.Plus(w.strays[t.id])
}

// strayed gives the room of a stray back.
func (w *worker) strayed(t batch.Task) {
	if n, ok := w.strays[t]; ok {
		w.used = w.used.Minus(n)
		delete(w.strays, t)
	}
}

// takes reports whether the worker takes new work at all.
func (w *worker) takes(now time.Time) bool {
	if w.silent || w.Draining || w.health.aside(now) {
		return false
	}
	return !w.health.probing() || !w.probed()
}

// probed reports whether the worker has a run that tells whether it works again.
func (w *worker) probed() bool {
	for _, t := range w.tasks {
		if !t.step.Lasting && !t.started.Before(w.health.until) {
			return true
		}
	}
	return false
}
