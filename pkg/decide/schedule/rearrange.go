package schedule

import (
	"math"
	"slices"
	"time"

	"github.com/sesamestream/sesamestream/pkg/fleet"
)

// Latency-critical tasks reserve nearly all processors, start before anything is
// known about their images, and stay for minutes. An image of best-effort tasks
// then finds hardly any worker where it may run if each has a latency-critical
// task that it interferes with. Once the weights are known, single latency-critical
// tasks are moved so that each best-effort image has open workers.

const (
	// rearrangeInterval is the time between two searches for moves.
	rearrangeInterval = time.Second
	// minMoveGain is the least gain of a move, in workers that it opens to all images.
	// A moved task is away for about a second.
	minMoveGain = 0.1
	// minServingTime is how long a latency-critical task stays on a worker before it is moved.
	minServingTime = 8 * time.Second
	// moveTimeout bounds how long room is kept for a moved task.
	moveTimeout = 2 * time.Second
	// workersPerMove is the number of workers for each of which one move may be ordered per search.
	workersPerMove = 64
	// maxMoveSources bounds the tasks that one search considers.
	maxMoveSources = 32
	// atWorkPercent is the progress in percent of a long-running task that is at work.
	atWorkPercent = 100
	// baseOpenShare is the share of all processors that counts as open to every image,
	// so that an image without any open worker doesn't outweigh all others.
	baseOpenShare = 0.03
)

// A servingMove is a latency-critical task on its way to another worker, which keeps room for it.
type servingMove struct {
	task  *task
	run   int
	to    *worker
	until time.Time
}

// room is the processor time of a worker that is open to best-effort images.
type room struct {
	// spare is the processor time that latency-critical tasks leave on average, in thousandths of a core.
	spare float64
	// images counts the latency-critical tasks by image.
	images map[fleet.Kind]int
	// open is the part of spare that is open to each best-effort image.
	open []float64
}

// arrangement is where latency-critical tasks leave processors to best-effort images.
type arrangement struct {
	aggressors []fleet.Kind
	// tolerance is the share, from 0 to 1, of full use by each best-effort image that
	// a latency-critical image tolerates.
	tolerance map[fleet.Kind][]float64
	rooms     map[*worker]*room
	// total is the processor time that is open to each best-effort image.
	total []float64
}

// newArrangement returns the present arrangement.
func (s *Scheduler) newArrangement() *arrangement {
	a := &arrangement{aggressors: s.interference.Aggressors(), tolerance: map[fleet.Kind][]float64{}, rooms: map[*worker]*room{}}
	a.total = make([]float64, len(a.aggressors))
	capacity := 0.0
	for _, w := range s.workerList {
		r := &room{images: map[fleet.Kind]int{}, spare: float64(w.Capacity.MilliCPU) - defaultLoad*float64(w.servingMilliCPU)}
		for _, v := range w.victims {
			image := fleet.Kind(v.step.Image)
			r.images[image]++
			if a.tolerance[image] == nil {
				a.tolerance[image] = s.toleranceOf(image, a.aggressors)
			}
		}
		r.open = a.openTo(r.spare, r.images, "")
		a.rooms[w] = r
		capacity += float64(w.Capacity.MilliCPU)
		for i, v := range r.open {
			a.total[i] += v
		}
	}
	for i := range a.total {
		a.total[i] += baseOpenShare * capacity
	}
	return a
}

// toleranceOf returns the tolerance of a latency-critical image for each best-effort image.
func (s *Scheduler) toleranceOf(image fleet.Kind, aggressors []fleet.Kind) []float64 {
	out := make([]float64, len(aggressors))
	for i, d := range aggressors {
		out[i] = tolerance(s.interference.Weight(image, d))
	}
	return out
}

// openTo returns the part of spare that is open to each best-effort image beside
// latency-critical tasks of some images. One of these may be left out.
func (a *arrangement) openTo(spare float64, images map[fleet.Kind]int, except fleet.Kind) []float64 {
	out := make([]float64, len(a.aggressors))
	for i := range out {
		out[i] = max(spare, 0)
	}
	for v := range images {
		if v == except {
			continue
		}
		for i, x := range a.tolerance[v] {
			out[i] = min(out[i], max(spare, 0)*x)
		}
	}
	return out
}

// gain returns what moving t to another worker gains, in workers that it opens to all images.
func (a *arrangement) gain(t *task, without []float64, to *worker) float64 {
	from, dest := a.rooms[t.worker], a.rooms[to]
	image := fleet.Kind(t.step.Image)
	spare := dest.spare - defaultLoad*float64(t.step.Need.MilliCPU)
	sum := 0.0
	for i, x := range a.tolerance[image] {
		after := max(spare, 0) * x
		if dest.spare > 0 {
			after = min(after, dest.open[i]/dest.spare*max(spare, 0))
		}
		change := without[i] - from.open[i] + after - dest.open[i]
		sum += math.Log(max(a.total[i]+change, 1) / a.total[i])
	}
	return sum / float64(len(a.aggressors)) * float64(len(a.rooms))
}

// rearrange stops latency-critical tasks that are worth moving to another worker.
func (s *Scheduler) rearrange(now time.Time, o *Orders) {
	if s.variant.keepArrangement || now.Sub(s.rearrangedAt) < rearrangeInterval || len(s.interference.Aggressors()) == 0 {
		return
	}
	s.rearrangedAt = now
	var sources []*task
	for n := 0; n <= len(s.workerList)/workersPerMove; n++ {
		a := s.newArrangement()
		if n == 0 {
			sources = s.moveSources(now, a)
		}
		t, to := s.bestMove(now, a, sources, o)
		if t == nil {
			return
		}
		s.moveServing(now, t, to, "another worker suits it better")
	}
}

// bestMove returns the move of one of the sources that gains most, or nil if none gains minMoveGain.
func (s *Scheduler) bestMove(now time.Time, a *arrangement, sources []*task, o *Orders) (best *task, to *worker) {
	most := minMoveGain
	for _, t := range sources {
		if !t.mayBeAway() {
			continue
		}
		from := a.rooms[t.worker]
		without := a.openTo(from.spare+defaultLoad*float64(t.step.Need.MilliCPU), from.images, fleet.Kind(t.step.Image))
		s.newSearch(now, t.step, "", o).forEachCandidate(func(w *worker, _ float64) {
			if w == t.worker {
				return
			}
			if g := a.gain(t, without, w); g > most {
				best, to, most = t, w, g
			}
		})
	}
	return best, to
}

// moveSources returns latency-critical tasks that may be moved. Moving one of
// several tasks of an image from a worker opens nothing, so these stay.
func (s *Scheduler) moveSources(now time.Time, a *arrangement) []*task {
	var out []*task
	for i := range s.workerList {
		w := s.workerList[(s.nextMoveSource+i)%len(s.workerList)]
		if w.outOfReach() {
			continue
		}
		for _, t := range w.victims {
			st := t.step
			if a.rooms[w].images[fleet.Kind(st.Image)] > 1 || !st.LongRunning || st.Gang || !t.confirmed || now.Sub(t.startedAt) < minServingTime {
				continue
			}
			out = append(out, t)
		}
		if len(out) >= maxMoveSources {
			s.nextMoveSource = (s.nextMoveSource + i + 1) % len(s.workerList)
			break
		}
	}
	return out
}

// mayBeAway reports whether the scheduler may stop t: all tasks of its step are at work.
func (t *task) mayBeAway() bool {
	for o := range t.step.records() {
		if o.worker == nil || o.stopping || !o.confirmed || o.percent < atWorkPercent {
			return false
		}
	}
	return true
}

// moveServing stops a latency-critical task and keeps room for it on another worker.
func (s *Scheduler) moveServing(now time.Time, t *task, to *worker, reason string) {
	s.moves = append(s.moves, &servingMove{task: t, run: t.run, to: to, until: now.Add(moveTimeout)})
	to.reserved = to.reserved.Plus(reservation(t.step.Step))
	t.moving = true
	s.orderStop(t, reason)
}

// moveGivenUp reports whether the run of t was stopped only for a move that was given up.
func (s *Scheduler) moveGivenUp(t *task) bool {
	return t.moving && !t.done && !t.step.job.state.Final() && !slices.ContainsFunc(s.moves, func(m *servingMove) bool { return m.task == t })
}

// takeMoveTarget returns the worker that keeps room for t, and gives the room up; nil if there is none.
func (s *Scheduler) takeMoveTarget(t *task) *worker {
	i := slices.IndexFunc(s.moves, func(m *servingMove) bool { return m.task == t })
	if i < 0 {
		return nil
	}
	to := s.moves[i].to
	s.endMove(i)
	return to
}

// dropMoves gives up the room of moves that have not ended in time, or of which either
// worker can't do its part any more.
func (s *Scheduler) dropMoves(now time.Time) {
	for i := len(s.moves) - 1; i >= 0; i-- {
		m := s.moves[i]
		if now.After(m.until) || m.task.step.job.state.Final() || m.task.run != m.run || !s.canMove(now, m) {
			s.endMove(i)
		}
	}
}

// canMove reports whether the target of a move may be given its task, and the stop, if it is
// still awaited, reaches its worker.
func (s *Scheduler) canMove(now time.Time, m *servingMove) bool {
	if s.workers[m.to.Key()] != m.to || m.to.refusesTasks(now) != eligible {
		return false
	}
	return m.task.worker == nil || !m.task.worker.outOfReach()
}

// endMove removes a move and gives up the room that was kept.
func (s *Scheduler) endMove(i int) {
	m := s.moves[i]
	m.to.reserved = m.to.reserved.Minus(reservation(m.task.step.Step))
	s.moves = slices.Delete(s.moves, i, i+1)
}

// placeMoved starts a moved task on the worker that keeps room for it, and reports whether it did.
func (s *Scheduler) placeMoved(now time.Time, c pendingStep, t *task, o *Orders) bool {
	w := s.takeMoveTarget(t)
	if w == nil || s.workers[w.Key()] != w {
		return false
	}
	x := s.newSearch(now, c.step, "", o)
	x.ignoreHold = true
	if _, e := x.evaluate(w); e != eligible {
		return false
	}
	s.orderStart(now, c, t, w, t.run+1, o)
	return true
}
