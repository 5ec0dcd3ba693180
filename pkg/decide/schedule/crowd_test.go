package schedule

import (
	"fmt"
	"math"
	"slices"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sesamestream/sesamestream/pkg/batch"
	"github.com/sesamestream/sesamestream/pkg/decide/pacing"
	"github.com/sesamestream/sesamestream/pkg/fleet"
)

// crowd replays the load in which filling work is worth most and hardest to
// place: nearly all workers serve, the load of what serves swings, some images
// disturb some others much and most others little, and nobody knows which.
// The real scheduler and the real pacing of the hosts decide.
type crowd struct {
	*grown
	hosts map[batch.WorkerKey]*crowdHost
	// order holds the hosts in a row, so that a replay repeats.
	order []*crowdHost
	// weights is what a disturber with one unit takes of a victim's room.
	weights map[[2]string]float64
	// phases are those of the serving steps' loads, by job.
	phases map[batch.JobID]float64
	// harm is the time that tails were above their targets, served that of all serving tasks.
	harm, served time.Duration
	// stopped counts the runs of filling work that were stopped.
	stopped int
	// objective is by which time a job has to be done.
	objective map[batch.JobID]time.Duration
	wide      []batch.JobID
}

type crowdHost struct {
	key  batch.WorkerKey
	room int
	// at says when in a window it tells.
	at   int
	pace *pacing.Machine
	runs []*crowdRun
}

// find returns the run of a task, if it's there.
func (h *crowdHost) find(id batch.Task, number int) *crowdRun {
	for _, r := range h.runs {
		if r.Task == id && r.Number == number {
			return r
		}
	}
	return nil
}

type crowdRun struct {
	Start
	begins time.Time
	// left is the work that is left, in seconds at full speed, of whole.
	left, whole float64
	pace        int
	use         int
	tail        time.Duration
	stops       time.Time
}

const (
	crowdStep = 25 * time.Millisecond
	// serveTail is the tail of an idle serving task, serveTarget its bound.
	serveTail   = 10 * time.Millisecond
	serveTarget = 5 * serveTail
	// serveLoad is the load of a serving task in the mean; it swings by half.
	serveLoad   = 0.45
	servePeriod = 14 * time.Second
	stopTime    = 400 * time.Millisecond
	restoreTime = 600 * time.Millisecond
	saveEvery   = 1.0
)

func newCrowd(seed uint64, l fleetLoad) *crowd {
	c := &crowd{
		grown: newFleet(seed, l), hosts: map[batch.WorkerKey]*crowdHost{}, weights: map[[2]string]float64{},
		phases: map[batch.JobID]float64{}, objective: map[batch.JobID]time.Duration{},
	}
	for v := range l.victims {
		for d := range l.disturbers {
			w := 0.03 + 0.07*c.random.Float64()
			if c.random.Float64() < 0.4 {
				w = 0.3 + 0.4*c.random.Float64()
			}
			c.weights[[2]string{fmt.Sprintf("serve-%d", v), fmt.Sprintf("fill-%d", d)}] = w
		}
	}
	for i := range l.workers {
		room := 16000
		switch i % 3 {
		case 0:
			room = 24000
		case 1:
			room = 12500
		}
		k := batch.WorkerKey{ID: fmt.Sprintf("%03d", i), StartTime: 1}
		h := &crowdHost{key: k, room: room, at: i % int(batch.LoadWindow/crowdStep)}
		c.hosts[k] = h
		c.order = append(c.order, h)
		h.pace = &pacing.Machine{
			InterferenceWeight: func(v, d string) (float64, bool) {
				return c.interference.Weight(kindOf(v), kindOf(d)), true
			},
			IdleTail: func(v string) time.Duration { return c.interference.IdleTail(kindOf(v)) },
		}
	}
	c.Scheduler = newBench(c.fleetOf()...).Scheduler
	return c
}

func (c *crowd) fleetOf() []batch.Worker {
	var ws []batch.Worker
	for _, h := range c.order {
		ws = append(ws, aWorker(h.key.ID, h.room))
	}
	return ws
}

// serve adds jobs of tasks that last; half of them allow few on one worker.
func (c *crowd) serve(jobs int) {
	for i := range jobs {
		st := batch.Step{
			Count: int(c.about(float64(c.load.servingWidth))), Need: batch.Resources{MilliCPU: int(3200 * (0.75 + 0.5*c.random.Float64())), MemoryMB: 500},
			LongRunning: true, LatencyTarget: serveTarget, Image: fmt.Sprintf("serve-%d", c.random.IntN(c.load.victims)),
		}
		if i%2 == 0 {
			st.MaxPerWorker = 1 + c.random.IntN(2)
		}
		j := aJob(fmt.Sprintf("l%d", i), "urgent", st)
		c.phases[j.ID] = c.random.Float64()
		c.Add(c.now, j, nil, false)
	}
}

func (c *crowd) come(urgent, wide float64) {
	dt := crowdStep.Seconds()
	for range c.poisson(urgent * dt) {
		c.add("urgent", batch.Step{
			Count: max(int(c.about(c.load.urgentWidth)), 1), Need: batch.Resources{MilliCPU: int(c.about(690)), MemoryMB: 300},
			Estimate: time.Duration(c.about(float64(time.Second))),
		})
	}
	for range c.poisson(wide * dt) {
		d := c.about(2.7)
		id := c.add("wide", batch.Step{
			Count: max(int(c.about(c.load.wideWidth)), 1), Need: batch.Resources{MilliCPU: int(1800 * (0.7 + 0.6*c.random.Float64())), MemoryMB: 3200},
			// What is declared is far from what it takes.
			Estimate:   time.Duration(d * (0.5 + c.random.Float64()) * float64(time.Second)),
			BestEffort: true, Checkpoints: c.random.Float64() < 0.85, Image: fmt.Sprintf("fill-%d", c.random.IntN(c.load.disturbers)),
		})
		c.wide = append(c.wide, id)
		c.objective[id] = time.Duration((2*2*d + 1) * float64(time.Second))
	}
}

// play lets time pass under a load.
func (c *crowd) play(d time.Duration, urgent, wide float64) {
	for end := c.now.Add(d); c.now.Before(end); {
		c.come(urgent, wide)
		at := int(c.now.Sub(begin)/crowdStep) % int(batch.LoadWindow/crowdStep)
		for _, h := range c.order {
			c.work(h)
			if h.at == at {
				c.tell(h)
			}
		}
		c.pass()
		c.now = c.now.Add(crowdStep)
	}
}

// load returns the load of a serving task's step.
func (c *crowd) loadOf(id batch.JobID) float64 {
	turn := c.now.Sub(begin).Seconds()/servePeriod.Seconds() + c.phases[id]
	return serveLoad * (1 + 0.5*math.Sin(2*math.Pi*turn))
}

// work lets a step of time pass on a host.
func (c *crowd) work(h *crowdHost) {
	busy, wanted := 0.0, 0.0
	for _, r := range h.runs {
		switch {
		case r.Step.LongRunning:
			busy += float64(r.Step.Need.MilliCPU) * c.loadOf(r.Task.Job)
		case !r.Step.BestEffort:
			busy += float64(r.Step.Need.MilliCPU)
		case !c.now.Before(r.begins) && r.stops.IsZero():
			wanted += float64(r.Step.Need.MilliCPU*r.pace) / 100
		}
	}
	share := 1.0
	if wanted > 0 {
		share = min(max(float64(h.room)-busy, 0)/wanted, 1)
	}
	pressure := map[string]float64{}
	for _, r := range h.runs {
		if !r.Step.BestEffort {
			continue
		}
		r.use = 0
		if !c.now.Before(r.begins) && r.stops.IsZero() {
			r.use = int(float64(r.Step.Need.MilliCPU*r.pace) / 100 * share)
		}
		pressure[r.Step.Image] += float64(r.use) / 4000
	}
	h.runs = slices.DeleteFunc(h.runs, func(r *crowdRun) bool { return c.workOn(h, r, pressure) })
}

// workOn lets a step of time pass for one run, and returns whether it's over.
func (c *crowd) workOn(h *crowdHost, r *crowdRun, pressure map[string]float64) bool {
	switch {
	case r.Step.LongRunning:
		c.suffer(r, pressure)
		return false
	case !r.stops.IsZero():
		if c.now.Before(r.stops) {
			return false
		}
		c.HandleEnds(c.now, h.key, []batch.End{{Task: r.Task, Number: r.Number, How: batch.Stopped, Checkpoint: c.saved(r)}})
		return true
	case c.now.Before(r.begins):
		return false
	case r.Step.BestEffort:
		r.left -= crowdStep.Seconds() * float64(r.use) / float64(r.Step.Need.MilliCPU)
	default:
		r.left -= crowdStep.Seconds()
	}
	if r.left > 0 {
		return false
	}
	c.HandleEnds(c.now, h.key, []batch.End{{Task: r.Task, Number: r.Number, How: batch.Done}})
	if s, _ := c.Progress(r.Task.Job); s.State == batch.Completed {
		c.ended[r.Task.Job] = c.now
	}
	return true
}

// suffer moves the tail of a serving task, and counts what is above its target.
func (c *crowd) suffer(r *crowdRun, pressure map[string]float64) {
	taken := c.loadOf(r.Task.Job)
	for d, p := range pressure {
		taken += c.weights[[2]string{r.Step.Image, d}] * p
	}
	tail := 25 * serveTail
	if taken < 0.96 {
		tail = time.Duration(float64(serveTail) / (1 - taken))
	}
	// The figure is that of the last half second.
	r.tail += time.Duration(float64(tail-r.tail) * 2 * float64(crowdStep) / float64(batch.LoadWindow))
	c.served += crowdStep
	if tail > serveTarget {
		c.harm += crowdStep
	}
}

func (c *crowd) saved(r *crowdRun) string {
	if !r.Step.Checkpoints {
		return ""
	}
	return fmt.Sprintf("%g", r.whole-r.left)
}

// tell paces the host's runs and tells the scheduler of them.
func (c *crowd) tell(h *crowdHost) {
	var rows []pacing.RunSample
	var runs []batch.Run
	for _, r := range h.runs {
		id := r.Task
		b := batch.Run{Task: id, Number: r.Number, Pace: r.pace, ProgressPercent: 100}
		w := pacing.RunSample{Task: id, Number: r.Number, Image: r.Step.Image, LatencyTarget: r.Step.LatencyTarget, BestEffort: r.Step.BestEffort, RequestedMilliCPU: r.Step.Need.MilliCPU}
		if r.Step.LongRunning {
			b.Load = int(r.tail.Milliseconds())
			w.TailLatency = time.Duration(b.Load) * time.Millisecond
		} else {
			b.Load = r.use
			w.UsedMilliCPU = r.use
			b.ProgressPercent = int(100 * (r.whole - r.left) / r.whole)
			if done := r.whole - r.left; r.Step.Checkpoints && done >= saveEvery {
				b.Checkpoint = fmt.Sprintf("%g", math.Floor(done/saveEvery)*saveEvery)
			}
		}
		runs, rows = append(runs, b), append(rows, w)
	}
	for _, x := range h.pace.Step(c.now, rows, nil) {
		if r := h.find(x.Task, x.Number); r != nil {
			r.pace = x.Percent
		}
	}
	c.HandleProgress(c.now, h.key, runs, h.pace.Throttling())
}

// pass carries out what the scheduler decides.
func (c *crowd) pass() {
	o := c.Schedule(c.now)
	c.searches += o.Searches
	for _, x := range o.Starts {
		c.starts++
		r := &crowdRun{Start: x, pace: 100, begins: c.now, tail: serveTail}
		r.whole = c.truth(x)
		r.left = r.whole
		if x.Checkpoint != "" {
			var done float64
			if _, err := fmt.Sscanf(x.Checkpoint, "%g", &done); err == nil {
				r.left -= done
				r.begins = c.now.Add(restoreTime)
			}
		}
		h := c.hosts[x.Key]
		h.runs = append(h.runs, r)
		c.there(x)
	}
	for _, x := range o.Stops {
		if r := c.hosts[x.Key].find(x.Task, x.Number); r != nil {
			c.stopped++
			r.stops = c.now.Add(stopTime)
		}
	}
}

// truth returns how long a task really takes.
func (c *crowd) truth(x Start) float64 {
	if !x.Step.BestEffort {
		return x.Step.Estimate.Seconds()
	}
	d := (c.objective[x.Task.Job].Seconds() - 1) / 4
	// Tasks of a step differ a little.
	return d * (0.85 + 0.3*float64(x.Task.Index%7)/6)
}

// a crowdResult says what callers got.
type crowdResult struct {
	// filling is what the wide jobs earned of what they could, serving the share of the time that tails were as asked for.
	filling, serving float64
	stopped          int
}

func (r crowdResult) String() string {
	return fmt.Sprintf("filling work %.3f, serving tasks %.4f, %d runs stopped", r.filling, r.serving, r.stopped)
}

// playCrowd plays a load for some time and returns what callers got.
func playCrowd(seed uint64, l fleetLoad, r policyVariant) crowdResult {
	c := newCrowd(seed, l)
	c.variant = r
	c.serve(l.serving)
	c.load = l
	c.play(8*time.Second, l.urgent, l.wide)
	c.harm, c.served = 0, 0
	from := c.now
	c.play(25*time.Second, l.urgent, l.wide)
	until := c.now
	c.play(25*time.Second, l.urgent, 0)
	earned, all := 0.0, 0.0
	for _, id := range c.wide {
		at := c.begun[id]
		if at.Before(from) || at.After(until) {
			continue
		}
		all++
		end, ok := c.ended[id]
		switch took := end.Sub(at); {
		case !ok || took > 3*c.objective[id]:
		case took > c.objective[id]:
			earned += 0.15
		default:
			earned++
		}
	}
	return crowdResult{filling: earned / all, serving: 1 - float64(c.harm)/float64(c.served), stopped: c.stopped}
}

func kindOf(image string) fleet.Kind { return fleet.Kind(image) }

// crowdFleet is a third of the large fleet.
func crowdFleet() fleetLoad {
	l := largeFleet.at(80)
	l.victims, l.disturbers = 10, 18
	l.wide *= 0.7
	return l
}

// crowdTogether plays several seeds and returns what callers got in the mean.
func crowdTogether(t *testing.T, what string, seeds int, l fleetLoad, r policyVariant) crowdResult {
	t.Helper()
	all := make([]crowdResult, seeds)
	var g sync.WaitGroup
	for i := range seeds {
		g.Go(func() { all[i] = playCrowd(uint64(i+1), l, r) })
	}
	g.Wait()
	var mean crowdResult
	for _, x := range all {
		mean.filling += x.filling / float64(seeds)
		mean.serving += x.serving / float64(seeds)
		mean.stopped += x.stopped
	}
	t.Logf("%s: %v", what, mean)
	return mean
}

// Where serving tasks swing, filling work that's moved at once, and that finds
// its open workers free of reserved work, ends in time more often; the serving
// tasks lose nothing by it.
func TestCrowdedFillingWorkEndsInTime(t *testing.T) {
	g := NewWithT(t)
	l := crowdFleet()
	now := crowdTogether(t, "moved at once, reserved work packed", 4, l, policyVariant{})
	wait := crowdTogether(t, "moved after some windows", 4, l, policyVariant{delayMoves: true})
	both := crowdTogether(t, "and reserved work spread", 4, l, policyVariant{delayMoves: true, ignoreCompatibility: true})
	g.Expect(now.filling).To(BeNumerically(">", wait.filling))
	g.Expect(now.filling).To(BeNumerically(">", both.filling))
	g.Expect(now.serving).To(BeNumerically(">", both.serving-0.005))
}

// On a few workers, where jobs crowd onto the same ones, serving tasks are
// above their targets less where a start counts until the tails show it whole.
func TestStartsCountUntilTailsShowThem(t *testing.T) {
	g := NewWithT(t)
	l := smallCrowd()
	fades := crowdTogether(t, "fading", 12, l, policyVariant{})
	sudden := crowdTogether(t, "seen whole after two windows", 12, l, policyVariant{stepStartEffect: true})
	g.Expect(fades.serving).To(BeNumerically(">", sudden.serving))
	g.Expect(fades.filling).To(BeNumerically(">", sudden.filling))
}

// smallCrowd is a fleet of a dozen workers with few images.
func smallCrowd() fleetLoad {
	l := largeFleet.at(12)
	l.wide, l.wideWidth, l.urgent, l.urgentWidth = 1.0, 8, 3, 6
	l.serving, l.servingWidth = 8, 6
	l.victims, l.disturbers = 5, 9
	return l
}
