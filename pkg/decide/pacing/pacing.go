// Package pacing decides how fast the filling tasks of one host may work. It
// answers serving tasks whose tail latency rises within seconds when their
// own load or that of a neighbour does: the filling work that disturbs them
// gives way first, and comes back as far as the tails allow.
package pacing

import (
	"time"

	"github.com/sesamestream/sesamestream/pkg/batch"
	"github.com/sesamestream/sesamestream/pkg/decide/interfere"
)

const (
	// stepEvery is the time between two steps: each has new figures.
	stepEvery = batch.LoadWindow
	// high is the share of the target above which filling tasks give way.
	high = 0.85
	// wanted is the share of the target that they give way to, and come back to.
	wanted = 0.65
	// over is how long a tail may be above its target until all filling tasks
	// are halted, also those that aren't known to disturb it: a quarter of the
	// time in which the harm counts, as a look, the order and the tail itself
	// take up to two seconds more.
	over = time.Second
	// nearly is the share of the target that counts as above it, as the figures are rough.
	nearly = 0.95
	// hovers is how long a tail may be above its target now and again until the
	// same is done: with what it takes to follow, still in time.
	hovers = 1500 * time.Millisecond
	// calmLooks is how many looks in a row have to show a tail below its target
	// until it no longer hovers: a single rough figure may be too low.
	calmLooks = 2
	// settle is how long a tail takes to follow a change of pace.
	settle = 900 * time.Millisecond
	// giveWay is the factor of a step back where the disturber, or how much is missing, isn't known.
	giveWay = 0.4
	// comeBack is the largest step forth in percent.
	comeBack = 50
	// least is the pace in percent below which a task is halted.
	least = 8
	// full is the pace of a task that starts.
	full = 100
	// idleShare is the share of its target taken for the least tail of a victim of which nothing was told.
	idleShare = 0.2
	// matters is the part of a victim's room below which a task counts as no disturber.
	matters = 0.02
	// obeyed is how long after an order the use of a run shows it: its effect and a whole window.
	obeyed = 1200 * time.Millisecond
	// astrayFactor and astraySlack say how much more than its pace a run may use, as the figures are rough.
	astrayFactor = 1.6
	astraySlack  = 150
	// guess is the share that a halted task is taken to come back with.
	guess = 0.45
)

// A RunSample is a run as the worker lists it, with what is known of its step.
type RunSample struct {
	Task   batch.Task
	Number int
	// TailLatency is the tail latency of a run that serves.
	TailLatency time.Duration
	// LatencyTarget bounds Tail; 0 where the run doesn't serve.
	LatencyTarget time.Duration
	BestEffort    bool
	Image         string
	// UsedMilliCPU is the processor time in use, Need what the run asks for, in thousandths of a core.
	UsedMilliCPU      int
	RequestedMilliCPU int
	// Adopted runs were there before this process; their pace isn't known.
	Adopted bool
}

// A PaceChange sets the pace of a run.
type PaceChange struct {
	Task    batch.Task
	Number  int
	Percent int
	// WorstTailShare is the highest share of its target that a tail has.
	WorstTailShare float64
}

type run struct {
	task   batch.Task
	number int
}

// A Machine paces the runs of one worker.
type Machine struct {
	// InterferenceWeight returns how much of its room a victim loses to a share of a
	// disturber, if that is known.
	InterferenceWeight func(victim, disturber string) (weight float64, known bool)
	// IdleTail returns the least tail of a victim, or 0.
	IdleTail func(victim string) time.Duration

	paces map[run]int
	// set is when a run was told its pace last.
	set map[run]time.Time
	// above is since when a tail is over its target, hover since when it was so
	// now and again, and calm how many looks in a row it was not.
	above, hover map[run]time.Time
	calm         map[run]int
	// cut is when the tasks beside a victim gave way last.
	cut  map[run]time.Time
	last time.Time
}

// Pace returns the pace of a run in percent.
func (m *Machine) Pace(t batch.Task, number int) int {
	if p, ok := m.paces[run{t, number}]; ok {
		return p
	}
	return full
}

// Throttling reports whether filling tasks are held back.
func (m *Machine) Throttling() bool {
	for _, p := range m.paces {
		if p < full {
			return true
		}
	}
	return false
}

func (m *Machine) weight(victim, disturber string) float64 {
	if m.InterferenceWeight != nil {
		if w, ok := m.InterferenceWeight(victim, disturber); ok {
			return w
		}
	}
	return interfere.PriorWeight
}

// room returns how much of its room v lacks now, and how much it may lack to
// be within a share of its target.
func (m *Machine) room(v RunSample, share float64) (has, may float64) {
	idle := time.Duration(0)
	if m.IdleTail != nil {
		idle = m.IdleTail(v.Image)
	}
	if idle <= 0 {
		idle = time.Duration(idleShare * float64(v.LatencyTarget))
	}
	return interfere.Occupancy(idle, v.TailLatency), interfere.Occupancy(idle, time.Duration(share*float64(v.LatencyTarget)))
}

// takes returns how much of v's room r takes.
func (m *Machine) takes(v, r RunSample) float64 {
	return m.weight(v.Image, r.Image) * float64(r.UsedMilliCPU) / interfere.MilliCPUPerShare
}

// Step takes the rows of a look and appends the changes that follow to out.
func (m *Machine) Step(now time.Time, rows []RunSample, out []PaceChange) []PaceChange {
	if now.Sub(m.last) < stepEvery {
		return out
	}
	m.last = now
	m.forget(rows)
	worst := 0.0
	// factors are what each run's pace is multiplied with.
	factors := map[run]float64{}
	for _, v := range rows {
		if v.LatencyTarget <= 0 || v.TailLatency <= 0 {
			continue
		}
		share := float64(v.TailLatency) / float64(v.LatencyTarget)
		worst = max(worst, share)
		m.watch(now, v, share)
		if share > high {
			m.relieve(now, v, rows, factors)
		}
	}
	for _, r := range rows {
		if !r.BestEffort {
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
		} else if old < full {
			p = m.forth(old, r, rows)
		}
		m.paces[k] = p
		if p != old || !ok && r.Adopted || m.astray(now, k, r, p) {
			m.set[k] = now
			out = append(out, PaceChange{Task: r.Task, Number: r.Number, Percent: p, WorstTailShare: worst})
		}
	}
	return out
}

// astray reports whether a run works faster than it was told to: an order
// given earlier may have been carried out after the last one.
func (m *Machine) astray(now time.Time, k run, r RunSample, pace int) bool {
	at, told := m.set[k]
	if !told || pace >= full || now.Sub(at) < obeyed {
		return false
	}
	return float64(r.UsedMilliCPU) > astrayFactor*float64(r.RequestedMilliCPU*pace)/full+astraySlack
}

func (m *Machine) forget(rows []RunSample) {
	there := map[run]bool{}
	for _, r := range rows {
		there[run{r.Task, r.Number}] = true
	}
	if m.paces == nil {
		m.paces = map[run]int{}
		m.above, m.cut, m.set = map[run]time.Time{}, map[run]time.Time{}, map[run]time.Time{}
		m.hover, m.calm = map[run]time.Time{}, map[run]int{}
	}
	for k := range m.paces {
		if !there[k] {
			delete(m.paces, k)
		}
	}
	for k := range m.calm {
		if !there[k] {
			delete(m.calm, k)
		}
	}
	for _, x := range []map[run]time.Time{m.above, m.hover, m.cut, m.set} {
		for k := range x {
			if !there[k] {
				delete(x, k)
			}
		}
	}
}

// watch notes since when a victim is over its target.
func (m *Machine) watch(now time.Time, v RunSample, share float64) {
	k := run{v.Task, v.Number}
	if share > nearly {
		m.calm[k] = 0
		begin(m.above, k, now)
		begin(m.hover, k, now)
		return
	}
	delete(m.above, k)
	if m.calm[k]++; m.calm[k] >= calmLooks {
		delete(m.hover, k)
	}
}

// begin notes since when something is so.
func begin(since map[run]time.Time, k run, now time.Time) {
	if _, ok := since[k]; !ok {
		since[k] = now
	}
}

// lasts reports whether something has been so for a time.
func lasts(since map[run]time.Time, k run, now time.Time, d time.Duration) bool {
	at, ok := since[k]
	return ok && now.Sub(at) >= d
}

// relieve makes those that disturb v give way, as far as its tail has to come down.
func (m *Machine) relieve(now time.Time, v RunSample, rows []RunSample, factors map[run]float64) {
	k := run{v.Task, v.Number}
	all := lasts(m.above, k, now, over) || lasts(m.hover, k, now, hovers)
	if now.Sub(m.cut[k]) < settle && !all {
		// What was done already isn't in the tail yet.
		for _, r := range rows {
			if r.BestEffort && m.takes(v, r) >= matters {
				factors[run{r.Task, r.Number}] = min(factorOf(factors, r), 1)
			}
		}
		return
	}
	total := 0.0
	for _, r := range rows {
		if r.BestEffort {
			total += m.takes(v, r)
		}
	}
	factor := giveWay
	if has, may := m.room(v, wanted); total > 0 {
		factor = max(1-(has-may)/total, 0)
		if has >= interfere.SaturatedOccupancy {
			// How much is missing can't be told from such a tail.
			factor = min(factor, giveWay)
		}
	}
	for _, r := range rows {
		if !r.BestEffort {
			continue
		}
		f := factor
		if all {
			f = 0
		} else if m.takes(v, r) < matters {
			continue
		}
		m.cut[k] = now
		factors[run{r.Task, r.Number}] = min(factorOf(factors, r), f)
	}
}

func factorOf(factors map[run]float64, r RunSample) float64 {
	if f, ok := factors[run{r.Task, r.Number}]; ok {
		return f
	}
	return 1
}

// forth returns the pace to come back to: as far as each victim has room for it, in steps.
func (m *Machine) forth(old int, r RunSample, rows []RunSample) int {
	// What the run uses at full pace is known from what it uses now.
	use := guess
	if old > 0 && r.UsedMilliCPU > 0 {
		use = float64(r.UsedMilliCPU) / interfere.MilliCPUPerShare * full / float64(old)
	}
	step := float64(comeBack)
	for _, v := range rows {
		if v.LatencyTarget <= 0 || v.TailLatency <= 0 {
			continue
		}
		takes := m.weight(v.Image, r.Image) * use
		if takes < matters {
			continue
		}
		has, may := m.room(v, wanted)
		if has >= may {
			return old
		}
		step = min(step, (may-has)/takes*full/2)
	}
	return min(old+int(step), full)
}
