package schedule

import (
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/sesamestream/sesamestream/pkg/batch"
)

// yieldLoad is a fleet of workers of 16 cores and its load at the ordinary rate. The urgent
// jobs, large best-effort jobs and long-running jobs are those of part 3 of the requirements.
type yieldLoad struct {
	workers                          int
	urgentRate, wideRate, middleRate float64
	// servingJobs are jobs of 14 tasks of 6.4 cores, of which maxUnavailable may be away.
	servingJobs, maxUnavailable int
}

// scarceFleet leaves urgent work a fifth of all processors, of which the ordinary load takes half.
var scarceFleet = yieldLoad{workers: 21, urgentRate: 4.6, wideRate: 0.8, servingJobs: 3, maxUnavailable: 1}

// yieldRun is a run as its worker has it.
type yieldRun struct {
	Start
	startedAt, endsAt time.Time
	how               batch.EndKind
}

// yieldSim replays a load in which urgent work has too little room.
type yieldSim struct {
	*harness
	load   yieldLoad
	random *rand.Rand
	runs   map[batch.Task]*yieldRun
	// cut are the workers without contact, with the ends that they keep.
	cut   map[string][]batch.End
	added int
	// submitted are the jobs, took is how long each took that is done.
	submitted map[batch.JobID]yieldJob
	took      map[batch.JobID]time.Duration
	// yields are all yields, yieldsAt their times by task.
	yields   []Yield
	yieldsAt map[batch.Task][]time.Time
	// away is the time that long-running tasks that had run weren't at work, longestAway the
	// longest, and mostAway the most tasks of one step at once.
	away, longestAway time.Duration
	awaySince         map[batch.Task]time.Time
	mostAway          int
	passTimes         []time.Duration
	lostWork          float64
	// afterPass is called with the orders of each pass.
	afterPass func(Orders)
}

type yieldJob struct {
	at        time.Time
	tasks     int
	objective time.Duration
}

const (
	yieldSimStep = 10 * time.Millisecond
	// yieldStopDelay and yieldWarmUp are how long a stop takes and how long a long-running task takes to be at work.
	yieldStopDelay = 150 * time.Millisecond
	yieldWarmUp    = 500 * time.Millisecond
)

func newYieldSim(seed uint64, l yieldLoad, v policyVariant) *yieldSim {
	var ws []batch.Worker
	for i := range l.workers {
		ws = append(ws, testWorker(fmt.Sprintf("%04d", i), 16000))
	}
	g := &yieldSim{
		harness: newHarness(ws...), load: l, random: rand.New(rand.NewPCG(seed, 3)), runs: map[batch.Task]*yieldRun{}, cut: map[string][]batch.End{},
		submitted: map[batch.JobID]yieldJob{}, took: map[batch.JobID]time.Duration{}, yieldsAt: map[batch.Task][]time.Time{}, awaySince: map[batch.Task]time.Time{},
	}
	g.variant = v
	g.Configure(&batch.Config{Routes: []batch.Route{
		{Queue: batch.Queue{Name: "urgent", Service: "s", MaxAttempts: 2, Stretch: 1.5, Objective: 600 * time.Millisecond}},
		{Queue: batch.Queue{Name: "middle", Service: "s", Priority: 1, MaxAttempts: 2, Stretch: 3, Objective: 5 * time.Second}},
		{Queue: batch.Queue{Name: "wide", Service: "s", Priority: 2, MaxAttempts: 2, Stretch: 3, Objective: 5 * time.Second}},
	}})
	for i := range l.servingJobs {
		st := batch.Step{
			Count: 14, Need: batch.Resources{MilliCPU: 6400, MemoryMB: 500}, LongRunning: true, LatencyTarget: 50 * time.Millisecond,
			Image: fmt.Sprintf("serve-%d", i), MaxPerWorker: 2, MaxUnavailable: l.maxUnavailable,
		}
		g.Add(g.now, testJob(string(servingJobID(i)), "urgent", st), nil, false)
	}
	return g
}

func servingJobID(i int) batch.JobID { return batch.JobID(fmt.Sprintf("l%03d", i)) }

func (g *yieldSim) varied(x float64) float64 { return x * (0.5 + g.random.Float64()) }

func (g *yieldSim) poisson(x float64) int {
	n := 0
	for p := g.random.Float64(); p > math.Exp(-x); p *= g.random.Float64() {
		n++
	}
	return n
}

// submit adds a job of a chain of like steps.
func (g *yieldSim) submit(queue string, steps int, first batch.Step) {
	ss := []batch.Step{first}
	for i := 1; i < steps; i++ {
		next := first
		next.DependsOn = []int{i - 1}
		ss = append(ss, next)
	}
	j := testJob(fmt.Sprintf("%s%05d", queue, g.added), queue, ss...)
	j.Accepted = g.now
	g.added++
	q := g.queues[queue]
	g.submitted[j.ID] = yieldJob{g.now, steps * first.Count, time.Duration(q.Stretch*float64(first.Estimate)*float64(steps)) + q.Objective}
	g.Add(g.now, j, nil, false)
}

func (g *yieldSim) submitArrivals(urgent, wide, middle float64) {
	dt := yieldSimStep.Seconds()
	for range g.poisson(urgent * g.load.urgentRate * dt) {
		steps := 1
		switch x := g.random.Float64(); {
		case x > 0.85:
			steps = 3
		case x > 0.55:
			steps = 2
		}
		g.submit("urgent", steps, batch.Step{
			Count: max(1, int(g.varied(10))), Need: batch.Resources{MilliCPU: int(g.varied(650)), MemoryMB: 200}, Estimate: time.Duration(g.varied(0.64) * float64(time.Second)),
		})
	}
	for range g.poisson(wide * g.load.wideRate * dt) {
		g.submit("wide", 2, batch.Step{
			Count: int(g.varied(20)), Need: batch.Resources{MilliCPU: int(g.varied(3500)), MemoryMB: 600}, Estimate: time.Duration(g.varied(2.7) * float64(time.Second)),
			BestEffort: true, Checkpoints: true, Image: "fill",
		})
	}
	for range g.poisson(middle * g.load.middleRate * dt) {
		g.submit("middle", 1, batch.Step{
			Count: int(g.varied(8)), Need: batch.Resources{MilliCPU: int(g.varied(1000)), MemoryMB: 300}, Estimate: time.Duration(g.varied(4) * float64(time.Second)),
			Checkpoints: g.random.IntN(2) == 0,
		})
	}
}

// simulate advances time by d, with jobs arriving at multiples of the ordinary rates.
func (g *yieldSim) simulate(d time.Duration, urgent, wide float64) {
	for end := g.now.Add(d); g.now.Before(end); g.now = g.now.Add(yieldSimStep) {
		g.submitArrivals(urgent, wide, 1)
		g.step()
	}
}

// step ends runs, reports progress and carries out the orders of a pass.
func (g *yieldSim) step() {
	for _, id := range g.sortedRuns() {
		r := g.runs[id]
		if r.endsAt.IsZero() || g.now.Before(r.endsAt) {
			continue
		}
		delete(g.runs, id)
		e := batch.End{Seq: 1, Task: id, Number: r.Number, How: r.how}
		if _, cut := g.cut[r.Key.ID]; cut {
			g.cut[r.Key.ID] = append(g.cut[r.Key.ID], e)
			continue
		}
		g.heard(r.Key, e)
	}
	if at := int(g.now.Sub(testStart) / yieldSimStep); at%25 == 0 {
		for _, w := range g.workerList {
			if _, cut := g.cut[w.ID]; !cut {
				g.HandleProgress(g.now, w.Key(), g.listed(w.Key()), false)
			}
		}
	}
	from := time.Now()
	o := g.Schedule(g.now)
	d := time.Since(from)
	g.passTimes = append(g.passTimes, d)
	for _, s := range o.Starts {
		r := &yieldRun{Start: s, startedAt: g.now, how: batch.Done}
		if !s.Step.LongRunning {
			r.endsAt = g.now.Add(s.Step.Estimate)
			if s.Step.BestEffort {
				// Best-effort tasks get about half of what they ask for.
				r.endsAt = g.now.Add(2 * s.Step.Estimate)
			}
		}
		g.runs[s.Task] = r
		g.confirmStart(s)
	}
	for _, s := range o.Stops {
		if r := g.runs[s.Task]; r != nil && r.Number == s.Number {
			if at := g.now.Add(yieldStopDelay); r.endsAt.IsZero() || r.endsAt.After(at) {
				r.endsAt, r.how = at, batch.Stopped
			}
		}
	}
	for _, y := range o.Yields {
		g.yields = append(g.yields, y)
		g.yieldsAt[y.Task] = append(g.yieldsAt[y.Task], g.now)
		g.lostWork += y.LostWork
	}
	g.noteAway()
	if g.afterPass != nil {
		g.afterPass(o)
	}
}

func (g *yieldSim) sortedRuns() []batch.Task {
	ids := make([]batch.Task, 0, len(g.runs))
	for id, r := range g.runs {
		if !r.endsAt.IsZero() && !g.now.Before(r.endsAt) {
			ids = append(ids, id)
		}
	}
	slices.SortFunc(ids, compareTasks)
	return ids
}

// heard tells the scheduler the end of a run.
func (g *yieldSim) heard(k batch.WorkerKey, e batch.End) {
	g.HandleEnds(g.now, k, []batch.End{e})
	if p, ok := g.Progress(e.Task.Job); ok && p.State == batch.Completed {
		if _, seen := g.took[e.Task.Job]; !seen {
			g.took[e.Task.Job] = g.now.Sub(g.submitted[e.Task.Job].at)
		}
	}
}

// listed returns the runs of a worker.
func (g *yieldSim) listed(k batch.WorkerKey) []batch.Run {
	var rs []batch.Run
	for id := range g.workers[k].tasks {
		r := g.runs[id]
		if r == nil || r.Key != k {
			continue
		}
		rs = append(rs, g.report(id, r))
	}
	slices.SortFunc(rs, func(a, b batch.Run) int { return compareTasks(a.Task, b.Task) })
	return rs
}

// report returns a run as its worker lists it.
func (g *yieldSim) report(id batch.Task, r *yieldRun) batch.Run {
	x := batch.Run{Task: id, Number: r.Number, Pace: 100}
	age := g.now.Sub(r.startedAt)
	switch {
	case r.Step.LongRunning:
		if age >= yieldWarmUp {
			x.ProgressPercent = 100
		}
		x.Load = 20
	case r.Step.BestEffort:
		x.ProgressPercent, x.Load = int(min(99, 50*age/max(r.Step.Estimate, 1))), r.Step.Need.MilliCPU/2
	default:
		x.ProgressPercent = int(min(99, 100*age/max(r.Step.Estimate, 1)))
	}
	return x
}

// noteAway records how long long-running tasks that have run aren't at work, apart from those whose worker is cut off.
func (g *yieldSim) noteAway() {
	for i := range g.load.servingJobs {
		n := 0
		for t := range g.jobs[servingJobID(i)].occurrences[0].steps[0].records() {
			if t.run == 0 {
				continue
			}
			r := g.runs[t.id]
			if r != nil && (r.Number > 1 || g.now.Sub(r.startedAt) >= yieldWarmUp) && g.now.Sub(r.startedAt) >= yieldWarmUp {
				delete(g.awaySince, t.id)
				continue
			}
			if r != nil && r.Number == 1 {
				continue
			}
			n++
			if g.awaySince[t.id].IsZero() {
				g.awaySince[t.id] = g.now
			}
			g.away += yieldSimStep
			g.longestAway = max(g.longestAway, g.now.Sub(g.awaySince[t.id]))
		}
		g.mostAway = max(g.mostAway, n)
	}
}

// cutOff lets the scheduler lose contact with a share of the workers.
func (g *yieldSim) cutOff(share float64) {
	for i := range int(share * float64(g.load.workers)) {
		id := fmt.Sprintf("%04d", i)
		g.cut[id] = []batch.End{}
		g.MarkUnresponsive("host-" + id)
	}
}

// rejoin ends all cuts.
func (g *yieldSim) rejoin() {
	for i := range g.load.workers {
		id := fmt.Sprintf("%04d", i)
		ends, ok := g.cut[id]
		if !ok {
			continue
		}
		delete(g.cut, id)
		g.sync(id)
		for _, e := range ends {
			g.heard(batch.WorkerKey{ID: id, StartTime: 1}, e)
		}
	}
}

// sync lets the scheduler record a worker with the runs that it has.
func (g *yieldSim) sync(id string) {
	w := testWorker(id, 16000)
	var rs []batch.Run
	for task, r := range g.runs {
		if r.Key == w.Key() {
			rs = append(rs, g.report(task, r))
		}
	}
	slices.SortFunc(rs, func(a, b batch.Run) int { return compareTasks(a.Task, b.Task) })
	g.SyncWorker(g.now, "host-"+id, w, rs, nil)
}

// takeOver replaces the scheduler by one that knows only the stored jobs and the workers.
// Stops that were ordered before are carried out all the same.
func (g *yieldSim) takeOver() {
	next := New()
	next.queues, next.variant = g.queues, g.variant
	for _, id := range slices.Sorted(maps.Keys(g.jobs)) {
		p, _ := g.Progress(id)
		next.Add(g.now, g.jobs[id].Job, p, true)
	}
	g.harness = &harness{Scheduler: next, now: g.now}
	for i := range g.load.workers {
		g.sync(fmt.Sprintf("%04d", i))
	}
	g.FinishRecovery()
	clear(g.yieldsAt)
}

// playDay plays the loads of the page, one after the other, and lets the rest be served.
func (g *yieldSim) playDay() {
	g.simulate(10*time.Second, 1, 1)
	g.simulate(12*time.Second, 3, 3)
	g.simulate(10*time.Second, 1, 1)
	g.simulate(4*time.Second, 1, 6)
	g.simulate(8*time.Second, 4, 6)
	g.simulate(12*time.Second, 1, 1)
	g.cutOff(1.0 / 3)
	g.simulate(6*time.Second, 2, 2)
	g.rejoin()
	g.simulate(12*time.Second, 1, 1)
	g.simulate(8*time.Second, 0, 0)
}

// yieldResult is what callers get.
type yieldResult struct {
	jobs, inTime, useful int
	// largest are the useful ones of the largest tenth, largestJobs their number.
	largest, largestJobs int
	mean, p90            time.Duration
}

func (g *yieldSim) result(queue string) yieldResult {
	var r yieldResult
	var all []time.Duration
	var sizes []int
	for id, j := range g.submitted {
		if string(id[:len(queue)]) == queue {
			sizes = append(sizes, j.tasks)
		}
	}
	slices.Sort(sizes)
	if len(sizes) == 0 {
		return r
	}
	limit := sizes[len(sizes)*9/10]
	var sum time.Duration
	for id, j := range g.submitted {
		if string(id[:len(queue)]) != queue {
			continue
		}
		r.jobs++
		d, ok := g.took[id]
		if !ok {
			d = 30 * time.Second
		}
		all = append(all, d)
		sum += min(d, 3*j.objective)
		if d <= j.objective {
			r.inTime++
		}
		useful := d <= 3*j.objective
		if useful {
			r.useful++
		}
		if j.tasks >= limit {
			r.largestJobs++
			if useful {
				r.largest++
			}
		}
	}
	slices.Sort(all)
	r.mean, r.p90 = sum/time.Duration(r.jobs), all[len(all)*9/10]
	return r
}

func (r yieldResult) String() string {
	return fmt.Sprintf("%d jobs, in time %.3f, within 3 objectives %.3f (largest tenth %.3f), mean %v, p90 %v", r.jobs,
		float64(r.inTime)/float64(r.jobs), float64(r.useful)/float64(r.jobs), float64(r.largest)/float64(max(1, r.largestJobs)), r.mean.Round(time.Millisecond), r.p90.Round(time.Millisecond))
}

func (r yieldResult) usefulShare() float64 { return float64(r.useful) / float64(max(1, r.jobs)) }
func (r yieldResult) largestShare() float64 {
	return float64(r.largest) / float64(max(1, r.largestJobs))
}
