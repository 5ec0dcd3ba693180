// Package pacing decides how fast the filling tasks of one host may work. It
// answers serving tasks whose tail latency rises within seconds when their
// own load or that of a neighbour does: the filling work that disturbs them
// gives way first, and comes back as far as the tails allow.
package pacing

import (
	"math"
	"time"

	"github.com/sesamestream/sesamestream/pkg/batch"
)

const (
	// stepEvery is the window over which a worker measures a tail.
	stepEvery = 500 * time.Millisecond
	// high is the share of the target above which filling tasks give way.
	high = 0.75
	// wanted is the share of the target that they give way to.
	wanted = 0.55
	// low is the share of the target below which they come back.
	low = 0.55
	// over is how long a tail may be above its target until all filling tasks
	// give way, also those that aren't known to disturb it; a quarter of the
	// shortest time in which the harm counts.
	over = time.Second
	// giveWay is the factor of a step back where the disturber isn't known.
	giveWay = 0.4
	// comeBack is the largest step forth in percent.
	comeBack = 35
	// least is the pace in percent below which a task is halted.
	least = 8
	// full is the pace of a task that starts.
	full = 100
	// unit is the processor time of a share of 1, in thousandths of a core.
	unit = 4000
	// prior and sure weigh a pair of which little is known, as at placement.
	prior = 0.6
	sure  = 0.4
	// matters is the growth of a tail's logarithm below which a task counts as no disturber.
	matters = 0.03
)

// A Row is a run as the worker lists it, with what is known of its step.
type Row struct {
	Task   batch.Task
	Number int
	// Tail is the tail latency of a run that serves.
	Tail time.Duration
	// Target bounds Tail; 0 where the run doesn't serve.
	Target time.Duration
	Fills  bool
	Image  string
	// MilliCPU is the processor time in use, in thousandths of a core.
	MilliCPU int
}

// A Change sets the pace of a run.
type Change struct {
	Task    batch.Task
	Number  int
	Percent int
	// Worst is the highest share of its target that a tail has.
	Worst float64
}

type run struct {
	task   batch.Task
	number int
}

// A Machine paces the runs of one worker.
type Machine struct {
	// Pressure returns by how much the logarithm of a victim's tail grows with
	// a share of a disturber, and the evidence for it.
	Pressure func(victim, disturber string) (weight, evidence float64)

	paces map[run]int
	// above is since when a tail is over its target.
	above map[run]time.Time
	last  time.Time
}

// Squeezed reports whether filling tasks are held back.
func (m *Machine) Squeezed() bool {
	for _, p := range m.paces {
		if p < full {
			return true
		}
	}
	return false
}

func (m *Machine) weight(victim, disturber string) float64 {
	w, e := 0.0, 0.0
	if m.Pressure != nil {
		w, e = m.Pressure(victim, disturber)
	}
	return (w*e + prior*sure) / (e + sure)
}

// Step takes the rows of a look and appends the changes that follow to out.
func (m *Machine) Step(now time.Time, rows []Row, out []Change) []Change {
	if now.Sub(m.last) < stepEvery {
		return out
	}
	m.last = now
	m.forget(rows)
	worst := 0.0
	// factors are what each run's pace is multiplied with, room how far it may come back.
	factors := map[run]float64{}
	room := math.Inf(1)
	for _, v := range rows {
		if v.Target <= 0 || v.Tail <= 0 {
			continue
		}
		share := float64(v.Tail) / float64(v.Target)
		worst = max(worst, share)
		m.watch(now, v, share)
		if share > high {
			m.relieve(now, v, share, rows, factors)
		}
		room = min(room, math.Log(wanted/share))
	}
	for _, r := range rows {
		if !r.Fills {
			continue
		}
		k := run{r.Task, r.Number}
		old, ok := m.paces[k]
		if !ok {
			old = full
		}
		p := old
		if f, ok := factors[k]; ok {
			if p = int(float64(old) * f); p < least {
				p = 0
			}
		} else if worst < low && old < full {
			p = m.forth(old, r, rows, room)
		}
		m.paces[k] = p
		if p != old {
			out = append(out, Change{Task: r.Task, Number: r.Number, Percent: p, Worst: worst})
		}
	}
	return out
}

func (m *Machine) forget(rows []Row) {
	there := map[run]bool{}
	for _, r := range rows {
		there[run{r.Task, r.Number}] = true
	}
	if m.paces == nil {
		m.paces, m.above = map[run]int{}, map[run]time.Time{}
	}
	for k := range m.paces {
		if !there[k] {
			delete(m.paces, k)
		}
	}
	for k := range m.above {
		if !there[k] {
			delete(m.above, k)
		}
	}
}

// watch notes since when a victim is over its target.
func (m *Machine) watch(now time.Time, v Row, share float64) {
	k := run{v.Task, v.Number}
	if share <= 1 {
		delete(m.above, k)
	} else if _, ok := m.above[k]; !ok {
		m.above[k] = now
	}
}

// relieve makes those that disturb v give way, as far as its tail has to come down.
func (m *Machine) relieve(now time.Time, v Row, share float64, rows []Row, factors map[run]float64) {
	total := 0.0
	for _, r := range rows {
		if r.Fills {
			total += m.weight(v.Image, r.Image) * float64(r.MilliCPU) / unit
		}
	}
	factor := giveWay
	if need := math.Log(share / wanted); total > 0 {
		factor = max(1-need/total, 0)
	}
	since, above := m.above[run{v.Task, v.Number}]
	all := above && now.Sub(since) >= over
	for _, r := range rows {
		if !r.Fills {
			continue
		}
		f := factor
		if m.weight(v.Image, r.Image)*float64(r.MilliCPU)/unit < matters {
			if !all {
				continue
			}
			f = giveWay
		}
		if all {
			f = min(f, giveWay)
		}
		k := run{r.Task, r.Number}
		if old, ok := factors[k]; !ok || f < old {
			factors[k] = f
		}
	}
}

// forth returns the pace to come back to: a step, less where its growth would take a tail too far.
func (m *Machine) forth(old int, r Row, rows []Row, room float64) int {
	heaviest := 0.0
	for _, v := range rows {
		if v.Target > 0 {
			heaviest = max(heaviest, m.weight(v.Image, r.Image))
		}
	}
	step := comeBack
	// What the run uses at full pace is known from what it uses now.
	use := float64(r.MilliCPU) / unit
	if old > 0 {
		use = use * full / float64(old)
	} else {
		use = 0.5
	}
	if grow := heaviest * use; grow > 0 && !math.IsInf(room, 1) {
		step = min(step, int(room/grow*full/2))
	}
	return min(old+max(step, least), full)
}
