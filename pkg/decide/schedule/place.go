package schedule

import (
	"math"
	"sort"
	"time"
)

// lateFactor is how many times its objective a job may take and still be of use, late.
const lateFactor = 3

// The tiers of waiting work, served in this order.
const (
	// tierInTime can end within its objective.
	tierInTime = iota
	// tierLate can end while late answers are still of use.
	tierLate
	// tierHopeless is done when nothing else wants the room.
	tierHopeless
)

// claim is a step with tasks that wait.
type claim struct {
	step     *step
	priority int
	tier     int
	slack    time.Duration
	// density is the value of the job against the work that is left.
	density float64
}

// Schedule decides what to start and stop now.
func (s *Scheduler) Schedule(now time.Time) Orders {
	var o Orders
	turn := now.Sub(s.filled) >= fillEvery
	if turn {
		s.filled = now
	}
	for _, c := range s.claims(now) {
		if !c.step.Fills || turn || !c.step.looked {
			c.step.looked = true
			s.serve(now, c, &o)
		}
	}
	if turn {
		s.move(now, &o)
		s.relocate(now, &o)
	}
	s.evacuate(now, &o)
	o.Stops = append(o.Stops, s.stops...)
	o.Suspicions = s.suspicions
	s.stops, s.suspicions = nil, nil
	return o
}

// claims returns the steps with waiting tasks, first the one to serve first.
func (s *Scheduler) claims(now time.Time) []claim {
	var cs []claim
	for id, j := range s.open {
		if j.state.Final() {
			delete(s.open, id)
			continue
		}
		if j.left == 0 || j.earlier {
			continue
		}
		q := s.terms(j)
		objective := time.Duration(q.Stretch*float64(j.chain)) + q.Objective
		mean := s.work[j.Queue].value()
		density := (0.3*mean + 0.7*j.total) / math.Max(j.remaining, 0.05*mean+1e-3)
		for _, o := range j.runs {
			if o.left == 0 {
				continue
			}
			begin := j.Accepted
			if begin.IsZero() {
				begin = j.arrived
			}
			if !o.due.IsZero() {
				if now.Before(o.due.Add(dueMargin)) {
					continue
				}
				begin = o.due
			}
			for _, st := range o.steps {
				if st.waiting == 0 || st.left == 0 || !st.ready() {
					continue
				}
				c := claim{step: st, priority: q.Priority, density: density}
				c.slack = begin.Add(objective).Sub(now) - st.ahead
				switch {
				case c.slack >= 0:
					c.tier = tierInTime
				case begin.Add(lateFactor*objective).Sub(now)-st.ahead >= 0:
					c.tier = tierLate
				default:
					c.tier = tierHopeless
				}
				cs = append(cs, c)
			}
		}
	}
	sort.Slice(cs, func(a, b int) bool {
		x, y := &cs[a], &cs[b]
		switch {
		case x.step.Lasting != y.step.Lasting:
			return x.step.Lasting
		case x.priority != y.priority:
			return x.priority < y.priority
		case x.tier != y.tier:
			return x.tier < y.tier
		case x.density != y.density:
			return x.density > y.density
		case x.step.job.ID != y.step.job.ID:
			return x.step.job.ID < y.step.job.ID
		case !x.step.at.due.Equal(y.step.at.due):
			return x.step.at.due.Before(y.step.at.due)
		}
		return x.step.index < y.step.index
	})
	return cs
}

// dueMargin keeps a timed start from being early on a clock that runs ahead.
const dueMargin = 100 * time.Millisecond

func (s *Scheduler) serve(now time.Time, c claim, o *Orders) {
	if c.step.Gang {
		s.serveGang(now, c, o)
		return
	}
	var x *search
	var r ranking
	for _, t := range c.step.tasks {
		if t.done || t.worker != nil || now.Before(t.again) {
			continue
		}
		if t.avoid != "" {
			// It has workers of its own to keep away from; the others change by its start.
			if w := s.place(now, c.step, t, o); w != nil {
				s.start(now, c, t, w, t.run+1, o)
				x = nil
			}
			continue
		}
		// Once something is at work, the rest of an impatient step is patient again.
		if x == nil || !x.patient {
			x = s.search(now, c.step, "", o)
			r = x.rank()
		}
		if len(r) == 0 {
			// What has no room for one has none for the like.
			return
		}
		s.start(now, c, t, r[0].worker, t.run+1, o)
		x.placed(&r)
	}
}

func (s *Scheduler) start(now time.Time, c claim, t *task, w *worker, run int, o *Orders) {
	room, left := w.room(), w.spare(now)
	saved := t.saved
	if c.step.Gang {
		saved = c.step.saved
	}
	first := !c.step.job.begun
	t.assign(w, run, now)
	c.step.run = max(c.step.run, run)
	o.Starts = append(o.Starts, Start{
		Key: w.Key(), Host: w.host, Task: t.id, Number: run, Saved: saved, Ticket: c.step.advice.ticket(now, w),
		Step: c.step.Step, Spec: c.step.job.Spec, First: first, Waited: now.Sub(c.step.job.arrived),
		Why: Reason{Tier: c.tier, Slack: c.slack, Room: room, Leftover: left},
	})
}

// serveGang starts all members at once or none.
func (s *Scheduler) serveGang(now time.Time, c claim, o *Orders) {
	run := c.step.run
	for _, t := range c.step.tasks {
		if t.done || t.worker != nil || now.Before(t.again) {
			return
		}
		run = max(run, t.run)
	}
	run++
	for _, rack := range s.racks(c.step) {
		var placed []*task
		for _, t := range c.step.tasks {
			w := s.placeOn(now, c.step, t, rack, o)
			if w == nil {
				break
			}
			// The room is taken for the trial, and given back where not all fit.
			t.assign(w, run, now)
			placed = append(placed, t)
		}
		if len(placed) == len(c.step.tasks) {
			for _, t := range placed {
				w := t.worker
				t.release()
				s.start(now, c, t, w, run, o)
			}
			return
		}
		begun := c.step.job.begun
		for _, t := range placed {
			t.release()
			t.run = run - 1
		}
		c.step.job.begun = begun
	}
}

// racks returns the racks to try for a gang; the empty one stands for any.
func (s *Scheduler) racks(st *step) []string {
	if !st.SameRack {
		return []string{""}
	}
	seen := map[string]bool{}
	var rs []string
	for _, w := range s.fleet {
		if r := w.Rack(); r != "" && !seen[r] {
			seen[r] = true
			rs = append(rs, r)
		}
	}
	sort.Strings(rs)
	return append(rs, "")
}

func (s *Scheduler) place(now time.Time, st *step, t *task, o *Orders) *worker {
	return s.placeOn(now, st, t, "", o)
}

// placeOn returns the best worker for t, of a rack where one is named.
func (s *Scheduler) placeOn(now time.Time, st *step, t *task, rack string, o *Orders) *worker {
	x := s.search(now, st, rack, o)
	careful := t.lastTry(x.queue) && now.Sub(t.failed) < doubtTime
	var best candidate
	x.each(func(w *worker, v float64) {
		switch {
		case w == t.worker:
			// A task that is looked at for a move goes elsewhere.
		case t.avoid != "" && w.Machine == t.avoid && len(s.fleet) > 1:
		case careful && w.health.doubted(now):
		default:
			if c := (candidate{w, v}); best.worker == nil || c.better(best) {
				best = c
			}
		}
	})
	return best.worker
}

// patience is how long filling work with nothing at work waits for a worker
// that it doesn't strain. Then one of its tasks goes where it strains least, and
// the host paces it: half the time in which a job has to have something running.
const patience = 1500 * time.Millisecond

// patienceOver reports whether the step has waited long enough with nothing at work.
func (s *step) patienceOver(now time.Time) bool {
	if s.waiting < s.left {
		s.idle = time.Time{}
		return false
	}
	if s.idle.IsZero() {
		s.idle = now
	}
	return now.Sub(s.idle) >= patience
}

// fillFloor is the least processor time that makes a filling task worth its start.
func fillFloor(st *step) int { return st.Need.MilliCPU / 2 }

// score is higher for a better worker; taken is the room that filling work takes there.
func (s *Scheduler) score(now time.Time, st *step, w *worker, taken float64) float64 {
	v := 0.0
	switch {
	case st.Fills:
		v = min(float64(w.spare(now))/float64(max(st.Need.MilliCPU, 1)), speedEnough) - strainCost*taken - openCost*s.openness(now, w)
	case st.Lasting:
		// Like tasks together, on as few workers as they fit: filling work
		// then finds workers where it disturbs few, or nobody.
		v = -float64(w.room().MilliCPU) / 1000
		for _, t := range w.tasks {
			if t.step.Lasting && t.step.Image == st.Image {
				v += alikeGain
				break
			}
		}
	default:
		v = float64(w.room().MilliCPU)/1000 + float64(min(w.spare(now), 0))/1000
		if !s.rules.spreadReserved {
			// Where serving tasks keep filling work away, reserved work costs it least.
			v -= closedGain * s.openness(now, w)
		}
	}
	if st.DataRack != "" && w.Rack() != st.DataRack {
		v -= farCost
	}
	return v
}

// The weights of a worker's merits.
const (
	// speedEnough is the spare processor time, in needs of the task, above which more is of no use.
	speedEnough = 2
	// strainCost weighs the room that serving tasks lose against the task's speed.
	strainCost = 4
	// openCost is below that of a strain that matters.
	openCost = 0.5
	// alikeGain is above the room of any worker, in cores, so that alike tasks come together first.
	alikeGain = 1000
	// closedGain is above that room too: workers that are open to filling work are taken last.
	closedGain = 100
	// farCost is higher: work away from its data takes half as long again.
	farCost = 1000
)

// fillEvery is how often places are looked for again for filling work that
// found none. What has changed by then shows in the tails only after a second.
const fillEvery = 50 * time.Millisecond
