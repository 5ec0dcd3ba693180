package schedule

import (
	"iter"
	"math"
	"time"

	"github.com/sesamestream/sesamestream/pkg/batch"
	"github.com/sesamestream/sesamestream/pkg/decide/interfere"
	"github.com/sesamestream/sesamestream/pkg/fleet"
)

const (
	// tailRoom is the share of its target that a tail may be expected to reach by a placement;
	// the rest is for the serving task's own load, which swings by half.
	tailRoom = 0.7
	// tailAge is how long a measured tail is believed.
	tailAge = 2 * time.Second
	// effectLag is how long a start isn't in the tails at all: until the next window is told.
	effectLag = batch.LoadWindow
	// effectAge is when nearly all of it is there, as tails follow it by a part each window.
	effectAge = 6 * batch.LoadWindow
	// follow is the part by which a tail follows a change of what works beside it, each window.
	follow = 0.5
	// unmeasured is the occupancy assumed of a serving task whose tail wasn't measured lately: the middle of its swing.
	unmeasured = 0.5
	// unmeasuredRoom is the occupancy that a victim may reach of which nothing was measured: targets are five times the least tail.
	unmeasuredRoom = 0.7
)

// tail is the last tail latency measured of a serving task.
type tail struct {
	value time.Duration
	at    time.Time
}

// alone returns what the tail of t would be with nothing that fills beside it:
// the tasks of a step share their load, so the least of them is the nearest.
func (t *task) alone(now time.Time) time.Duration {
	least := t.tail.value
	for _, o := range t.step.tasks {
		if o.worker != nil && o.tail.value > 0 && now.Sub(o.tail.at) <= 2*batch.LoadWindow {
			least = min(least, o.tail.value)
		}
	}
	return least
}

// learn takes in how the runs of a worker did in the last window.
func (s *Scheduler) learn(now time.Time, w *worker, runs []batch.Run) {
	if now.Sub(w.learned) < batch.LoadWindow*4/5 {
		return
	}
	w.learned = now
	beside := interfere.Shares{}
	for k, v := range w.shares {
		if v *= 1 - follow; v > 0.01 {
			beside[k] = v
		}
	}
	for _, r := range runs {
		t := w.tasks[r.Task]
		if t != nil && t.step.Fills && t.run == r.Number && t.step.Image != "" && r.Load > 0 {
			beside[fleet.Kind(t.step.Image)] += follow * float64(r.Load) / interfere.CrowdingUnit
		}
	}
	w.shares = beside
	for _, r := range runs {
		t := w.tasks[r.Task]
		if t == nil || t.run != r.Number || t.step.TailTarget <= 0 || r.Load <= 0 || now.Sub(t.started) < warmUp {
			continue
		}
		s.model.Observe(fleet.Kind(t.step.Image), t.tail.value, t.alone(now), beside)
	}
}

// warmUp is how long the tail of a serving task tells of its own start.
const warmUp = 2 * time.Second

// Pressures returns the best known pairs and the victims' least tails, for the next scheduler.
func (s *Scheduler) Pressures(now time.Time) interfere.Lesson {
	return interfere.Lesson{Entries: s.model.Entries(now, interfere.MaxPairs), Idle: s.model.Victims()}
}

// Beside returns what is known of the images that run beside each other on the workers of a host.
func (s *Scheduler) Beside(keys iter.Seq[batch.WorkerKey]) interfere.Lesson {
	l := interfere.Lesson{Idle: map[fleet.Kind]time.Duration{}}
	seen := map[interfere.Pair]bool{}
	for k := range keys {
		if w := s.workers[k]; w != nil && len(w.fills) > 0 {
			s.beside(w, &l, seen)
		}
	}
	return l
}

func (s *Scheduler) beside(w *worker, l *interfere.Lesson, seen map[interfere.Pair]bool) {
	for _, v := range w.victims {
		image := fleet.Kind(v.step.Image)
		if idle := s.model.Idle(image); idle > 0 {
			l.Idle[image] = idle
		}
		for _, f := range w.fills {
			p := interfere.Pair{Victim: image, Disturber: fleet.Kind(f.step.Image)}
			if seen[p] {
				continue
			}
			seen[p] = true
			l.Entries = append(l.Entries, interfere.Entry{Pair: p, Weight: float32(s.model.Weight(p.Victim, p.Disturber))})
		}
	}
}

// Learn takes in what the scheduler before knew of images.
func (s *Scheduler) Learn(entries []interfere.Entry, idle map[fleet.Kind]time.Duration) {
	s.model.Learn(entries, idle)
}

// strain returns whether each serving task of w is expected to stay within its
// room with st beside it, and how much of their rooms st takes together.
func (s *Scheduler) strain(now time.Time, w *worker, st *step) (fits bool, taken float64) {
	share := float64(st.Need.MilliCPU) / interfere.CrowdingUnit
	starts := s.unseen(now, w)
	fits = true
	for _, v := range w.victims {
		image := fleet.Kind(v.step.Image)
		mine := s.model.Weight(image, fleet.Kind(st.Image)) * share
		taken += mine
		if mine < harmless {
			continue
		}
		has := unmeasured
		if now.Sub(v.tail.at) < tailAge {
			has = s.model.Occupancy(image, v.tail.value)
		}
		for _, x := range starts {
			has += s.model.Weight(image, x.image) * x.share
		}
		may := unmeasuredRoom
		if s.model.Idle(image) > 0 {
			may = s.model.Occupancy(image, time.Duration(tailRoom*float64(v.step.TailTarget)))
		}
		if has+mine > may {
			fits = false
		}
	}
	return fits, taken
}

// unseenStart is the part of a start's share that the tails don't show yet.
type unseenStart struct {
	image fleet.Kind
	share float64
}

// unseen returns what has started on w lately. The slice is overwritten by the next call.
func (s *Scheduler) unseen(now time.Time, w *worker) []unseenStart {
	out := s.starts[:0]
	for _, t := range w.fills {
		age := now.Sub(t.started)
		if age >= effectAge {
			continue
		}
		part := math.Pow(1-follow, max(age-effectLag, 0).Seconds()/batch.LoadWindow.Seconds())
		if s.rules.startsSeenAtOnce {
			part = 0
			if age < 2*effectLag {
				part = 1
			}
		}
		out = append(out, unseenStart{fleet.Kind(t.step.Image), part * float64(t.step.Need.MilliCPU) / interfere.CrowdingUnit})
	}
	s.starts = out
	return out
}

// harmless is the part of a victim's room that a disturber may always take.
const harmless = 0.03

const (
	// heldBack is the pace in percent below which a filling task makes too little headway.
	heldBack = 50
	// movePause is how long a task that would lose its work is held back before
	// it's moved: two windows, as a tail that swings falls again.
	movePause = 800 * time.Millisecond
	// moveLook is the pause before another place is looked for, for tasks of one step.
	moveLook = 250 * time.Millisecond
	// lateLoss is the progress in percent from which a task without checkpoints stays where it is.
	lateLoss = 60
	// moveEvery keeps a task from being moved again and again: a stop and a start from a checkpoint take as long.
	moveEvery = time.Second
)

// held takes in the pace of a filling task.
func (t *task) held(now time.Time, pace int) {
	switch {
	case pace >= heldBack:
		t.slow = time.Time{}
	case t.slow.IsZero():
		t.slow = now
	}
}

// move stops filling tasks that are held back where another worker would let
// them work; they go on from what they saved. The last task of a step decides
// when it ends, so that a task that loses little by it is moved at once.
func (s *Scheduler) move(now time.Time, o *Orders) {
	for _, w := range s.fleet {
		if w.silent {
			continue
		}
		for _, t := range w.fills {
			if !t.movable(now, s.rules) {
				continue
			}
			if s.place(now, t.step, t, o) == nil {
				// What finds no place for one finds none for the like; both wait for the next look.
				t.step.moved = now
				continue
			}
			t.unmoved = now.Add(moveEvery)
			s.stop(t, "held back by serving tasks")
		}
	}
}

// movable reports whether a filling task is held back and may be stopped for that.
func (t *task) movable(now time.Time, r rules) bool {
	if t.slow.IsZero() || t.stopping || !t.there || t.step.Gang || now.Before(t.unmoved) || now.Sub(t.step.moved) < moveLook {
		return false
	}
	if t.step.Checkpoints && !r.waitToMove {
		return true
	}
	return now.Sub(t.slow) >= movePause && (t.step.Checkpoints || t.percent < lateLoss)
}

// openness returns how much of the filling work known wouldn't disturb what
// serves on w, from 0 to 1. Harmless work leaves the open workers to the rest.
func (s *Scheduler) openness(now time.Time, w *worker) float64 {
	if now.Sub(w.openAt) < openAge {
		return w.open
	}
	images := s.model.Disturbers()
	sum := 0.0
	for _, i := range images {
		grow := 0.0
		for _, v := range w.victims {
			grow = max(grow, s.model.Weight(fleet.Kind(v.step.Image), i))
		}
		sum += 1 - min(grow/openWeight, 1)
	}
	w.open, w.openAt = sum/float64(max(len(images), 1)), now
	return w.open
}

// openAge is how long the openness of a worker is kept while its victims stay: weights change over seconds.
const openAge = time.Second

// openWeight is the weight from which a worker is closed to a disturber: a task of it takes a fifth of the victim's room.
const openWeight = 0.4
