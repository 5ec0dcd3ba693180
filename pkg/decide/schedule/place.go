package schedule

import (
	"math"
	"sort"
	"time"
)

// usefulLateFactor is how many times its objective a job may take and still be of use, late.
const usefulLateFactor = 3

// The tiers of waiting work, served in this order.
const (
	// tierInTime can end within its objective.
	tierInTime = iota
	// tierLate can end while late answers are still of use.
	tierLate
	// tierTooLate is done when nothing else wants the room.
	tierTooLate
)

// pendingStep is a step with tasks that wait.
type pendingStep struct {
	step     *step
	priority int
	tier     int
	slack    time.Duration
	// valueDensity is the value of the job against the work that is left.
	valueDensity float64
}

// Schedule decides what to start and stop now.
func (s *Scheduler) Schedule(now time.Time) Orders {
	var o Orders
	turn := now.Sub(s.bestEffortPassAt) >= bestEffortInterval
	if turn {
		s.bestEffortPassAt = now
	}
	for _, c := range s.pendingSteps(now) {
		if !c.step.Fills || turn || !c.step.searched {
			c.step.searched = true
			s.placeStep(now, c, &o)
		}
	}
	if turn {
		s.moveThrottled(now, &o)
		s.relocateStragglers(now, &o)
	}
	s.evacuate(now, &o)
	o.Stops = append(o.Stops, s.pendingStops...)
	o.HealthChanges = s.healthChanges
	s.pendingStops, s.healthChanges = nil, nil
	return o
}

// pendingSteps returns the steps with waiting tasks, first the one to serve first.
func (s *Scheduler) pendingSteps(now time.Time) []pendingStep {
	var cs []pendingStep
	for id, j := range s.openJobs {
		if j.state.Final() {
			delete(s.openJobs, id)
			continue
		}
		if j.unfinished == 0 || j.awaitsHosts {
			continue
		}
		q := s.queueConfig(j)
		objective := time.Duration(q.Stretch*float64(j.criticalPath)) + q.Objective
		mean := s.meanWork[j.Queue].value()
		density := (0.3*mean + 0.7*j.totalWork) / math.Max(j.remainingWork, 0.05*mean+1e-3)
		for _, o := range j.occurrences {
			if o.unfinished == 0 {
				continue
			}
			begin := j.Accepted
			if begin.IsZero() {
				begin = j.addedAt
			}
			if !o.startAt.IsZero() {
				if now.Before(o.startAt.Add(timedStartMargin)) {
					continue
				}
				begin = o.startAt
			}
			for _, st := range o.steps {
				if st.unassigned == 0 || st.unfinished == 0 || !st.ready() {
					continue
				}
				c := pendingStep{step: st, priority: q.Priority, valueDensity: density}
				c.slack = begin.Add(objective).Sub(now) - st.pathToEnd
				switch {
				case c.slack >= 0:
					c.tier = tierInTime
				case begin.Add(usefulLateFactor*objective).Sub(now)-st.pathToEnd >= 0:
					c.tier = tierLate
				default:
					c.tier = tierTooLate
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
		case x.valueDensity != y.valueDensity:
			return x.valueDensity > y.valueDensity
		case x.step.job.ID != y.step.job.ID:
			return x.step.job.ID < y.step.job.ID
		case !x.step.occurrence.startAt.Equal(y.step.occurrence.startAt):
			return x.step.occurrence.startAt.Before(y.step.occurrence.startAt)
		}
		return x.step.index < y.step.index
	})
	return cs
}

// timedStartMargin keeps a timed start from being early on a clock that runs ahead.
const timedStartMargin = 100 * time.Millisecond

func (s *Scheduler) placeStep(now time.Time, c pendingStep, o *Orders) {
	if c.step.Gang {
		s.placeGang(now, c, o)
		return
	}
	var x *search
	var r candidateHeap
	for _, t := range c.step.tasks {
		if t.done || t.worker != nil || now.Before(t.retryAt) {
			continue
		}
		if t.avoidMachine != "" {
			// It has workers of its own to keep away from; the others change by its start.
			if w := s.findWorker(now, c.step, t, o); w != nil {
				s.orderStart(now, c, t, w, t.run+1, o)
				x = nil
			}
			continue
		}
		// Once something is at work, the rest of an impatient step is patient again.
		if x == nil || !x.limitInterference {
			x = s.newSearch(now, c.step, "", o)
			r = x.rank()
		}
		if len(r) == 0 {
			// What has no room for one has none for the like.
			return
		}
		s.orderStart(now, c, t, r[0].worker, t.run+1, o)
		x.updateFirst(&r)
	}
}

func (s *Scheduler) orderStart(now time.Time, c pendingStep, t *task, w *worker, run int, o *Orders) {
	room, left := w.freeResources(), w.spareMilliCPU(now)
	saved := t.checkpoint
	if c.step.Gang {
		saved = c.step.checkpoint
	}
	first := !c.step.job.started
	t.assign(w, run, now)
	c.step.lastRun = max(c.step.lastRun, run)
	o.Starts = append(o.Starts, Start{
		Key: w.Key(), Host: w.host, Task: t.id, Number: run, Checkpoint: saved, Ticket: c.step.advice.validTicket(now, w),
		Step: c.step.Step, Spec: c.step.job.Spec, FirstOfJob: first, QueueDelay: now.Sub(c.step.job.addedAt),
		Reason: Reason{Tier: c.tier, Slack: c.slack, Free: room, SpareMilliCPU: left},
	})
}

// placeGang starts all members at once or none.
func (s *Scheduler) placeGang(now time.Time, c pendingStep, o *Orders) {
	run := c.step.lastRun
	for _, t := range c.step.tasks {
		if t.done || t.worker != nil || now.Before(t.retryAt) {
			return
		}
		run = max(run, t.run)
	}
	run++
	for _, rack := range s.candidateRacks(c.step) {
		var placed []*task
		for _, t := range c.step.tasks {
			w := s.findWorkerInRack(now, c.step, t, rack, o)
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
				s.orderStart(now, c, t, w, run, o)
			}
			return
		}
		begun := c.step.job.started
		for _, t := range placed {
			t.release()
			t.run = run - 1
		}
		c.step.job.started = begun
	}
}

// candidateRacks returns the candidateRacks to try for a gang; the empty one stands for any.
func (s *Scheduler) candidateRacks(st *step) []string {
	if !st.SameRack {
		return []string{""}
	}
	seen := map[string]bool{}
	var rs []string
	for _, w := range s.workerList {
		if r := w.Rack(); r != "" && !seen[r] {
			seen[r] = true
			rs = append(rs, r)
		}
	}
	sort.Strings(rs)
	return append(rs, "")
}

func (s *Scheduler) findWorker(now time.Time, st *step, t *task, o *Orders) *worker {
	return s.findWorkerInRack(now, st, t, "", o)
}

// findWorkerInRack returns the best worker for t, of a rack where one is named.
func (s *Scheduler) findWorkerInRack(now time.Time, st *step, t *task, rack string, o *Orders) *worker {
	x := s.newSearch(now, st, rack, o)
	careful := t.onLastAttempt(x.queue) && now.Sub(t.failedAt) < recentFailureWindow
	var best candidate
	x.forEachCandidate(func(w *worker, v float64) {
		switch {
		case w == t.worker:
			// A task that is looked at for a move goes elsewhere.
		case t.avoidMachine != "" && w.Machine == t.avoidMachine && len(s.workerList) > 1:
		case careful && w.health.failedRecently(now):
		default:
			if c := (candidate{w, v}); best.worker == nil || c.better(best) {
				best = c
			}
		}
	})
	return best.worker
}

// bestEffortWaitLimit is how long filling work with nothing at work waits for a worker
// that it doesn't strain. Then one of its tasks goes where it strains least, and
// the host paces it: half the time in which a job has to have something running.
const bestEffortWaitLimit = 1500 * time.Millisecond

// waitLimitReached reports whether the step has waited long enough with nothing at work.
func (s *step) waitLimitReached(now time.Time) bool {
	if s.unassigned < s.unfinished {
		s.idleSince = time.Time{}
		return false
	}
	if s.idleSince.IsZero() {
		s.idleSince = now
	}
	return now.Sub(s.idleSince) >= bestEffortWaitLimit
}

// minBestEffortCPU is the least processor time that makes a filling task worth its start.
func minBestEffortCPU(st *step) int { return st.Need.MilliCPU / 2 }

// score is higher for a better worker; taken is the room that filling work takes there.
func (s *Scheduler) score(now time.Time, st *step, w *worker, taken float64) float64 {
	v := 0.0
	switch {
	case st.Fills:
		v = min(float64(w.spareMilliCPU(now))/float64(max(st.Need.MilliCPU, 1)), maxUsefulSpareRatio) - interferenceCost*taken - bestEffortCompatibilityCost*s.compatibility(now, w)
	case st.Lasting:
		// Like tasks together, on as few workers as they fit: filling work
		// then finds workers where it disturbs few, or nobody.
		v = -float64(w.freeResources().MilliCPU) / 1000
		for _, t := range w.tasks {
			if t.step.Lasting && t.step.Image == st.Image {
				v += sameImageGain
				break
			}
		}
	default:
		v = float64(w.freeResources().MilliCPU)/1000 + float64(min(w.spareMilliCPU(now), 0))/1000
		if !s.variant.ignoreCompatibility {
			// Where serving tasks keep filling work away, reserved work costs it least.
			v -= reservedCompatibilityCost * s.compatibility(now, w)
		}
	}
	if st.DataRack != "" && w.Rack() != st.DataRack {
		v -= remoteDataCost
	}
	return v
}

// The weights of a worker's merits.
const (
	// maxUsefulSpareRatio is the spare processor time, in needs of the task, above which more is of no use.
	maxUsefulSpareRatio = 2
	// interferenceCost weighs the room that serving tasks lose against the task's speed.
	interferenceCost = 4
	// bestEffortCompatibilityCost is below that of a strain that matters.
	bestEffortCompatibilityCost = 0.5
	// sameImageGain is above the room of any worker, in cores, so that alike tasks come together first.
	sameImageGain = 1000
	// reservedCompatibilityCost is above that room too: workers that are open to filling work are taken last.
	reservedCompatibilityCost = 100
	// remoteDataCost is higher: work away from its data takes half as long again.
	remoteDataCost = 1000
)

// bestEffortInterval is how often places are looked for again for filling work that
// found none. What has changed by then shows in the tails only after a second.
const bestEffortInterval = 50 * time.Millisecond
