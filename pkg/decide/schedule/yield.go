package schedule

import (
	"cmp"
	"slices"
	"time"

	"github.com/sesamestream/sesamestream/pkg/batch"
)

// Long-running tasks reserve nearly all processors and use under half of them, so under a
// burst urgent finite tasks wait for the little that is left. Running work then yields room
// to steps that would miss their objective: finite tasks of queues of lower priority, and
// long-running tasks within the number that their caller allows to be unavailable. The
// least work that is lost for the room goes first, and nothing yields that frees less than
// it costs.

const (
	// yieldInterval is the time between two searches for work that yields.
	yieldInterval = 250 * time.Millisecond
	// maxYieldSearches bounds the needs for which one of them looks, as each compares all workers.
	maxYieldSearches = 2
	// yieldRetryInterval is how long a step for which nothing can yield isn't searched again.
	yieldRetryInterval = time.Second
	// yieldPatience is how long a step waits for room that others free by themselves.
	yieldPatience = 250 * time.Millisecond
	// maxLateness bounds how late a step may be that others yield to, as a multiple of the
	// objective. The callers of later ones have no use for the results any more.
	maxLateness = 2
	// maxYieldTime is how long room is kept for a need at most. The task that yielded has to
	// run again within 6 s, of which the ends of the tasks in its room take up to two.
	maxYieldTime = 3 * time.Second
	// maxYieldUse bounds the estimate of a task that may take the room of a long-running one: the
	// rest of the 6 s after maxYieldTime and the stop and start of the task that yielded.
	maxYieldUse = 2 * time.Second
	// yieldStopLimit is how long a stop may take to be carried out until its room isn't counted on any more.
	yieldStopLimit = time.Second
	// workersPerYield is the number of workers for each of which one may have work that yields at a time.
	workersPerYield = 8
	// maxYieldTasks bounds the tasks of one worker that yield at once.
	maxYieldTasks = 4
	// minYieldPause is the time from the first stop of a task to the earliest next one. It
	// doubles with each, up to maxYieldPause.
	minYieldPause = 20 * time.Second
	maxYieldPause = 5 * time.Minute
	// maxFiniteYields bounds how often a finite task yields, as each time may cost all of its work.
	maxFiniteYields = 2
	// absenceLoss is the share of a long-running task's work that is lost while it's away. The
	// other tasks of the step do the rest: a caller that allows tasks to be away provides for that.
	absenceLoss = 0.5
	// restartTime is how long a long-running task takes to be at work again besides its time without a worker.
	restartTime = time.Second
	// checkpointAge is the work that a task with checkpoints loses at most when it's stopped.
	checkpointAge = 500 * time.Millisecond
)

// yieldReason is the logged reason of a stop.
const yieldReason = "yields to urgent work"

// A YieldKind is the kind of a task that yields.
type YieldKind string

// The kinds of tasks that yield.
const (
	YieldCheckpoints YieldKind = "checkpoints"
	YieldFinite      YieldKind = "finite"
	YieldBestEffort  YieldKind = "bestEffort"
	YieldLongRunning YieldKind = "endless"
)

// A Yield tells why a task was stopped for urgent work.
type Yield struct {
	Task   batch.Task
	Worker string
	Kind   YieldKind
	// Need and NeedStep are the job and the step that the room is for, Slack its time until it misses its objective.
	Need     batch.JobID
	NeedStep int
	Slack    time.Duration
	// MissingMilliCPU is what was missing for the need and the work before it, FreedMilliCPU what the stop frees.
	MissingMilliCPU, FreedMilliCPU int
	// LostWork is the work that the stop is expected to cost, GainedWork what the need can do
	// earlier in the room of all tasks of the worker that yield with this one, in core-seconds.
	LostWork, GainedWork float64
}

// A roomYield is the room on a worker that tasks yield to finite work of a priority. The
// tasks aren't started again and nothing else is started there while it lasts.
type roomYield struct {
	worker    *worker
	tasks     []*task
	priority  int
	orderedAt time.Time
	// frees are the resources of the tasks.
	frees batch.Resources
	// hasLongRunning is set if one of the tasks is long-running, and needs the room back in time.
	hasLongRunning bool
}

// refuses reports whether a task of st, whose queue has the given priority, may not be started beside the room.
func (y *roomYield) refuses(st *step, priority int) bool {
	switch {
	case y == nil:
		return false
	case st.LongRunning:
		return true
	case y.hasLongRunning && !st.BestEffort && st.Estimate > maxYieldUse:
		return true
	case st.BestEffort:
		// The memory that was freed is kept too.
		return priority > y.priority && y.worker.freeResources().MemoryMB-st.Need.MemoryMB < y.frees.MemoryMB
	}
	return priority > y.priority
}

// yieldNeed is a step that would miss its objective for want of room.
type yieldNeed struct {
	pendingStep
	task *task
	// missing is the processor time that the step and those before it lack, in thousandths of a core.
	missing int
	// work is the estimated work of the step and of those before it, in core-seconds.
	work float64
	// capacity is the processor time that finite work has, in cores.
	capacity float64
}

// useTime returns how long the need can use room that is added.
func (n *yieldNeed) useTime(milliCPU int) time.Duration {
	seconds := n.work / max(n.capacity+float64(milliCPU)/1000, 0.001)
	return time.Duration(min(seconds, maxYieldTime.Seconds()) * float64(time.Second))
}

// yieldPlan is a choice of tasks of a worker to stop for a need.
type yieldPlan struct {
	worker  *worker
	victims []yieldVictim
	frees   batch.Resources
	// usable is the processor time that the need can use of the room, in thousandths of a core.
	usable int
	// lost is the work lost, gained the work that the need can do in the room earlier, in core-seconds.
	lost, gained float64
}

// better reports whether p loses less work for each core freed than q.
func (p *yieldPlan) better(q *yieldPlan) bool {
	a, b := p.lost*float64(q.usable), q.lost*float64(p.usable)
	return a < b || a == b && p.worker.ID < q.worker.ID
}

// yieldVictim is a task that may be stopped.
type yieldVictim struct {
	task  *task
	kind  YieldKind
	frees batch.Resources
	lost  float64
	// priority is that of its queue.
	priority int
}

// yieldRoom ends yields that are over, and stops running work for the finite steps that
// would miss their objective for want of room.
func (s *Scheduler) yieldRoom(now time.Time, endless, pending []pendingStep, o *Orders) {
	// Until all hosts have connected, neither the capacity nor what is at work is known.
	due := !s.variant.noYields && s.recovered && now.Sub(s.yieldedAt) >= yieldInterval
	if !due && len(s.yields) == 0 {
		return
	}
	s.unplaced = s.unplacedEndless(endless, s.unplaced[:0])
	s.endYields(now, pending)
	if !due {
		return
	}
	s.yieldedAt = now
	searches := 0
	s.forEachYieldNeed(now, pending, func(n *yieldNeed) int {
		if searches == maxYieldSearches || len(s.yields) >= s.maxYields() {
			return 0
		}
		searches++
		freed := s.yieldTo(now, n, o)
		if freed == 0 {
			n.step.yieldFailedAt = now
		}
		return freed
	})
}

// unplacedNeed is what a long-running task that has no worker needs.
type unplacedNeed struct {
	service string
	need    batch.Resources
}

// unplacedEndless appends to out what the long-running tasks need that wait for room, without those that yielded theirs.
func (s *Scheduler) unplacedEndless(endless []pendingStep, out []unplacedNeed) []unplacedNeed {
	for _, c := range endless {
		for t := range c.step.records() {
			if t.worker == nil && t.yield == nil {
				out = append(out, unplacedNeed{s.queueConfig(c.step.job).Service, reservation(c.step.Step)})
				break
			}
		}
	}
	return out
}

// fitsUnplaced reports whether a long-running task that waits fits into free room of w. It is placed
// before finite work, so that such room isn't kept for others.
func (s *Scheduler) fitsUnplaced(w *worker, free batch.Resources) bool {
	return slices.ContainsFunc(s.unplaced, func(n unplacedNeed) bool { return n.service == w.Service && n.need.Fits(free) })
}

// maxYields returns on how many workers tasks may yield at a time.
func (s *Scheduler) maxYields() int {
	return (len(s.workerList) + workersPerYield - 1) / workersPerYield
}

// forEachYieldNeed calls f with the steps that would miss their objective. f returns the
// processor time that is freed.
func (s *Scheduler) forEachYieldNeed(now time.Time, pending []pendingStep, f func(*yieldNeed) int) {
	type account struct {
		work, capacity float64
		milliCPU       int
	}
	accounts := map[string]*account{}
	for _, c := range pending {
		if c.step.BestEffort || c.step.unassigned == 0 || c.step.Need.MilliCPU == 0 {
			continue
		}
		if c.step.waitsSince.IsZero() {
			c.step.waitsSince = now
		}
		tasks, first := c.step.unyielded()
		if tasks == 0 {
			continue
		}
		service := s.queueConfig(c.step.job).Service
		a := accounts[service]
		if a == nil {
			a = &account{capacity: s.finiteCapacity(now, service)}
			accounts[service] = a
		}
		a.work += float64(tasks) * taskWork(c.step.Step)
		a.milliCPU += tasks * c.step.Need.MilliCPU
		if c.step.Gang || now.Sub(c.step.waitsSince) < yieldPatience || now.Sub(c.step.yieldFailedAt) < yieldRetryInterval ||
			c.slack < -maxLateness*c.objective {
			continue
		}
		// Half of an estimate is what the running tasks have left on average. Nothing is done sooner than after one.
		available := max(c.slack+c.step.Estimate/2, c.step.Estimate, time.Millisecond)
		n := yieldNeed{pendingStep: c, task: first, work: a.work, capacity: a.capacity}
		n.missing = min(int(1000*(a.work/available.Seconds()-a.capacity)), a.milliCPU)
		if n.missing < c.step.Need.MilliCPU {
			continue
		}
		a.capacity += float64(f(&n)) / 1000
	}
}

// unyielded returns how many tasks of the step wait that never yielded themselves, and the
// first of them. What yields never makes others yield.
func (s *step) unyielded() (n int, first *task) {
	n = s.unassigned
	for t := range s.records() {
		if t.worker == nil && !t.done && t.yields > 0 {
			n--
		}
	}
	if n == 0 {
		return 0, nil
	}
	for t := range s.waiting() {
		if t.yields == 0 {
			return n, t
		}
	}
	return 0, nil
}

// finiteCapacity returns the processor time that finite reserved work has on the workers of
// a service, in cores: what it uses, and the room that is kept for it.
func (s *Scheduler) finiteCapacity(now time.Time, service string) float64 {
	milliCPU := 0
	for _, w := range s.workerList {
		if w.Service != service || w.refusesTasks(now) != eligible {
			continue
		}
		milliCPU += w.reserved.MilliCPU - w.servingMilliCPU
		if w.yield != nil {
			// The tasks that haven't been stopped yet are counted as gone.
			milliCPU += max(0, w.freeResources().MilliCPU)
			for _, t := range w.yield.tasks {
				if t.worker == w && t.step.LongRunning {
					milliCPU += t.step.Need.MilliCPU
				}
			}
		}
	}
	return float64(milliCPU) / 1000
}

// yieldTo stops work for a need until nothing is missing, and returns the processor time that is freed.
func (s *Scheduler) yieldTo(now time.Time, n *yieldNeed, o *Orders) int {
	o.Searches++
	x := s.newSearch(now, n.step, "", o)
	x.ignoreRoom = true
	var plans []*yieldPlan
	for _, w := range s.workerList {
		if w.yield != nil || w.hold != nil || w.outOfReach() || w.Service != x.queue.Service || lacking(x.reservation, w.freeResources()) == eligible {
			continue
		}
		if p := s.planYield(now, n, w, x.reservation); p != nil && x.exclude(n.task, w) == eligible && !s.isMoveTarget(w) {
			plans = append(plans, p)
		}
	}
	slices.SortFunc(plans, func(a, b *yieldPlan) int {
		switch {
		case a.better(b):
			return -1
		case b.better(a):
			return 1
		}
		return 0
	})
	freed := 0
	for _, p := range plans {
		if freed >= n.missing || len(s.yields) >= s.maxYields() {
			break
		}
		// The stops before this one have changed what is missing and how many of a step are away.
		rest := *n
		rest.missing -= freed
		rest.capacity += float64(freed) / 1000
		if q := s.planYield(now, &rest, p.worker, x.reservation); q != nil {
			s.orderYield(now, &rest, q, o)
			freed += q.usable
		}
	}
	return freed
}

// isMoveTarget reports whether room is kept on w for a task that is moved there.
func (s *Scheduler) isMoveTarget(w *worker) bool {
	return slices.ContainsFunc(s.moves, func(m *servingMove) bool { return m.to == w })
}

// planYield returns the tasks of w to stop, so that a task of the need fits there, with the
// least work lost. It returns nil if there are none or if that frees less than it costs.
func (s *Scheduler) planYield(now time.Time, n *yieldNeed, w *worker, need batch.Resources) *yieldPlan {
	free := w.freeResources()
	var vs []yieldVictim
	for _, t := range w.tasks {
		if v, ok := s.yieldVictim(now, n, t); ok {
			vs = append(vs, v)
		}
	}
	if len(vs) == 0 {
		return nil
	}
	s.sortVictims(vs, lacking(need, free))
	p := &yieldPlan{worker: w}
	for _, v := range vs {
		if !relieves(v.frees, need, free.Plus(p.frees)) || !v.task.mayYieldWith(p.victims) {
			continue
		}
		p.victims, p.frees = append(p.victims, v), p.frees.Plus(v.frees)
		if need.Fits(free.Plus(p.frees)) || len(p.victims) == maxYieldTasks {
			break
		}
	}
	p.dropSuperfluous(need, free)
	if !need.Fits(free.Plus(p.frees)) || s.fitsUnplaced(w, free.Plus(p.frees)) {
		return nil
	}
	useTime := n.useTime(p.frees.MilliCPU)
	for _, v := range p.victims {
		p.lost += v.lost
		if !v.task.step.LongRunning {
			// The room would be free anyway once the task ends.
			useTime = min(useTime, v.task.remainingTime(now))
		}
	}
	p.usable = min(free.MilliCPU+p.frees.MilliCPU, n.missing)
	p.gained = float64(p.usable) / 1000 * useTime.Seconds()
	if p.lost > p.gained && !s.variant.yieldByPriority {
		return nil
	}
	return p
}

// dropSuperfluous takes out of the plan what the others make unnecessary.
func (p *yieldPlan) dropSuperfluous(need, free batch.Resources) {
	for i := len(p.victims) - 1; i >= 0; i-- {
		if rest := p.frees.Minus(p.victims[i].frees); need.Fits(free.Plus(rest)) {
			p.frees, p.victims = rest, slices.Delete(p.victims, i, i+1)
		}
	}
}

// relieves reports whether freed resources include some that are lacking.
func relieves(frees, need, free batch.Resources) bool {
	return need.MilliCPU > free.MilliCPU && frees.MilliCPU > 0 || need.MemoryMB > free.MemoryMB && frees.MemoryMB > 0 ||
		need.GPU > free.GPU && frees.GPU > 0
}

// sortVictims orders tasks by the work lost for what lacks, those with checkpoints first.
func (s *Scheduler) sortVictims(vs []yieldVictim, lacks exclusion) {
	amount := func(r batch.Resources) float64 {
		switch lacks {
		case lacksMemory:
			return float64(r.MemoryMB)
		case lacksGPU:
			return float64(r.GPU)
		}
		return float64(r.MilliCPU)
	}
	slices.SortFunc(vs, func(a, b yieldVictim) int {
		if s.variant.yieldByPriority && a.priority != b.priority {
			return cmp.Compare(b.priority, a.priority)
		}
		if !s.variant.yieldByPriority {
			if x, y := a.kind == YieldCheckpoints, b.kind == YieldCheckpoints; x != y {
				if x {
					return -1
				}
				return 1
			}
			if c := cmp.Compare(a.lost*amount(b.frees), b.lost*amount(a.frees)); c != 0 {
				return c
			}
		}
		x, y := a.task.id, b.task.id
		return cmp.Or(cmp.Compare(x.Job, y.Job), cmp.Compare(x.Occurrence, y.Occurrence), cmp.Compare(x.Step, y.Step), cmp.Compare(x.Index, y.Index))
	})
}

// yieldVictim returns what stopping t costs, and whether it may be stopped for the need.
func (s *Scheduler) yieldVictim(now time.Time, n *yieldNeed, t *task) (yieldVictim, bool) {
	st := t.step
	v := yieldVictim{task: t, kind: YieldFinite, frees: reservation(st.Step), priority: s.queueConfig(st.job).Priority}
	if t.stopping || !t.confirmed || st.Gang || t.yield != nil || now.Before(t.yieldNotBefore) {
		return v, false
	}
	age := now.Sub(t.startedAt)
	cores := float64(st.Need.MilliCPU) / 1000
	if st.LongRunning {
		if s.variant.yieldByPriority || v.priority < n.priority || age < minServingTime || n.step.Estimate > maxYieldUse || !t.mayYield() {
			return v, false
		}
		v.kind = YieldLongRunning
		v.lost = absenceLoss * defaultLoad * cores * (n.useTime(st.Need.MilliCPU) + restartTime).Seconds()
		return v, true
	}
	if v.priority <= n.priority || t.yields >= maxFiniteYields || !s.variant.yieldByPriority && t.remainingTime(now) <= max(n.slack, yieldStopLimit) {
		return v, false
	}
	v.lost = cores * age.Seconds()
	switch {
	case st.Checkpoints:
		v.kind, v.lost = YieldCheckpoints, cores*min(age, checkpointAge).Seconds()
	case st.BestEffort:
		v.kind = YieldBestEffort
	}
	return v, true
}

// mayYield reports whether the long-running task may be unavailable besides those that are.
func (t *task) mayYield() bool { return t.step.countAway(t) < t.step.maxAway() }

// maxAway returns how many long-running tasks of the step may be unavailable at once through
// the scheduler's doing. Most callers state no limit; then it's one, as for moves.
func (s *step) maxAway() int { return max(s.MaxUnavailable, 1) }

// mayYieldWith reports whether t may still yield if the chosen tasks do.
func (t *task) mayYieldWith(chosen []yieldVictim) bool {
	if !t.step.LongRunning {
		return true
	}
	away := t.step.countAway(t)
	for _, v := range chosen {
		if v.task.step == t.step {
			away++
		}
	}
	return away < t.step.maxAway()
}

// countAway returns how many tasks of the step besides t aren't at work, for any cause.
func (s *step) countAway(t *task) int {
	n := 0
	for x := range s.records() {
		if x != t && (x.worker == nil || x.stopping || !x.confirmed || x.percent < atWorkPercent || x.worker.outOfReach()) {
			n++
		}
	}
	return n
}

// orderYield stops the tasks of a plan and keeps their room for the need.
func (s *Scheduler) orderYield(now time.Time, n *yieldNeed, p *yieldPlan, o *Orders) {
	y := &roomYield{worker: p.worker, priority: n.priority, orderedAt: now, frees: p.frees}
	for _, v := range p.victims {
		t := v.task
		t.yields++
		t.yield = y
		t.yielding = true
		t.yieldNotBefore = now.Add(yieldPause(t.yields))
		y.tasks = append(y.tasks, t)
		y.hasLongRunning = y.hasLongRunning || t.step.LongRunning
		s.orderStop(t, yieldReason)
		o.Yields = append(o.Yields, Yield{
			Task: t.id, Worker: p.worker.ID, Kind: v.kind, Need: n.step.job.ID, NeedStep: n.step.index, Slack: n.slack,
			MissingMilliCPU: n.missing, FreedMilliCPU: v.frees.MilliCPU, LostWork: v.lost, GainedWork: p.gained,
		})
	}
	p.worker.yield = y
	s.yields = append(s.yields, y)
}

// yieldPause returns how long a task isn't stopped again after it has yielded n times.
func yieldPause(n int) time.Duration {
	d := minYieldPause
	for range n - 1 {
		if d = 2 * d; d >= maxYieldPause {
			return maxYieldPause
		}
	}
	return d
}

// endYields ends the yields that are over.
func (s *Scheduler) endYields(now time.Time, pending []pendingStep) {
	if len(s.yields) == 0 {
		return
	}
	first, waits := firstWaitingPriority(pending)
	s.yields = slices.DeleteFunc(s.yields, func(y *roomYield) bool {
		if waits && first <= y.priority && s.keepsRoom(now, y) {
			return false
		}
		s.endYield(now, y)
		return true
	})
}

// firstWaitingPriority returns the highest priority of the steps that wait for room that they reserve.
func firstWaitingPriority(pending []pendingStep) (int, bool) {
	for _, c := range pending {
		if !c.step.BestEffort && c.step.unassigned > 0 {
			return c.priority, true
		}
	}
	return 0, false
}

// keepsRoom reports whether y still frees room that may be used.
func (s *Scheduler) keepsRoom(now time.Time, y *roomYield) bool {
	age := now.Sub(y.orderedAt)
	if age >= maxYieldTime || s.workers[y.worker.Key()] != y.worker || y.worker.refusesTasks(now) != eligible {
		return false
	}
	if s.fitsUnplaced(y.worker, y.worker.freeResources()) {
		return false
	}
	if age < yieldStopLimit {
		return true
	}
	return !slices.ContainsFunc(y.tasks, func(t *task) bool { return t.worker == y.worker && t.stopping })
}

// endYield gives the room up. A long-running task that yielded gets it back before others
// as soon as the tasks in it end.
func (s *Scheduler) endYield(now time.Time, y *roomYield) {
	y.worker.yield = nil
	for _, t := range y.tasks {
		t.yield = nil
	}
	for _, t := range y.tasks {
		if !t.step.LongRunning || t.worker != nil || t.hold != nil || y.worker.hold != nil || s.workers[y.worker.Key()] != y.worker {
			continue
		}
		if at, ok := y.worker.freeAt(now, reservation(t.step.Step)); ok {
			h := &hold{task: t, worker: y.worker, readyAt: at}
			t.hold, y.worker.hold = h, h
			s.holds = append(s.holds, h)
		}
	}
}

// yieldGivenUp reports whether the run of t was stopped only for a yield that is over.
func (t *task) yieldGivenUp() bool {
	return t.yielding && t.yield == nil && !t.done && !t.step.job.state.Final()
}
