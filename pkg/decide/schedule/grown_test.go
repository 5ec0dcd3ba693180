package schedule

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sesamestream/sesamestream/pkg/batch"
	"github.com/sesamestream/sesamestream/pkg/decide/interfere"
	"github.com/sesamestream/sesamestream/pkg/fleet"
)

// A fleetLoad is a load that grows with the fleet.
type fleetLoad struct {
	workers int
	// urgent and wide are jobs a second, of that many tasks a step.
	urgent, wide           float64
	urgentWidth, wideWidth float64
	// serving is how many jobs of tasks that last there are, of servingWidth each.
	serving, servingWidth int
	// victims and disturbers are how many images serve and fill.
	victims, disturbers int
}

// grownFleet is 70 workers, largeFleet 240; more workers get as much more of what the large one has.
var (
	grownFleet = fleetLoad{
		workers: grownWorkers, urgent: 13, wide: 2.3, urgentWidth: 10, wideWidth: 20,
		serving: 10, servingWidth: 14, victims: 5, disturbers: 6,
	}
	largeFleet = fleetLoad{
		workers: 240, urgent: 15.6, wide: 3.9, urgentWidth: 13, wideWidth: 40,
		serving: 47, servingWidth: 24, victims: 16, disturbers: 30,
	}
)

// at returns the load of the large fleet at another number of workers.
func (l fleetLoad) at(workers int) fleetLoad {
	x := float64(workers) / float64(l.workers)
	l.workers, l.urgent, l.wide = workers, l.urgent*x, l.wide*x
	l.serving = int(float64(l.serving) * x)
	return l
}

// grown plays a fleet's load: workers of 16 cores that serve and fill at once,
// short urgent jobs and wide ones that take what is left.
type grown struct {
	*bench
	load   fleetLoad
	random *rand.Rand
	alive  map[batch.Task]playedRun
	keys   []batch.WorkerKey
	// starts counts the orders to start, passes the calls of Schedule.
	starts, passes, searches int
	added                    int
	// pace is that of filling runs, in percent.
	pace int
	// begun and ended tell when a job came and was complete.
	begun, ended map[batch.JobID]time.Time
}

type playedRun struct {
	Start
	ends time.Time
}

const (
	grownWorkers = 70
	// grownLook is how often a host tells of its worker.
	grownLook = 250 * time.Millisecond
	// grownStep is the time between two events of the whole fleet.
	grownStep = 5 * time.Millisecond
)

func newGrown(seed uint64) *grown { return newFleet(seed, grownFleet) }

func newFleet(seed uint64, l fleetLoad) *grown {
	var ws []batch.Worker
	for i := range l.workers {
		ws = append(ws, aWorker(fmt.Sprintf("%02d", i), 16000))
	}
	return &grown{
		bench: newBench(ws...), load: l, pace: 100, random: rand.New(rand.NewPCG(seed, 1)), alive: map[batch.Task]playedRun{},
		begun: map[batch.JobID]time.Time{}, ended: map[batch.JobID]time.Time{},
	}
}

// about returns a figure that is x in the mean and varies by half.
func (g *grown) about(x float64) float64 { return x * (0.5 + g.random.Float64()) }

// poisson returns how many of something come that comes x times in the mean.
func (g *grown) poisson(x float64) int {
	n := 0
	for p := g.random.Float64(); p > math.Exp(-x); p *= g.random.Float64() {
		n++
	}
	return n
}

// arrive lets jobs come at their rates, in jobs a second.
func (g *grown) arrive(urgent, wide float64) {
	dt := grownStep.Seconds()
	for range g.poisson(urgent * dt) {
		g.add("urgent", batch.Step{
			Count: int(g.about(g.load.urgentWidth)), Need: batch.Resources{MilliCPU: int(g.about(410)), MemoryMB: 300},
			Estimate: time.Duration(g.about(0.8) * float64(time.Second)),
		})
	}
	for range g.poisson(wide * dt) {
		g.add("wide", batch.Step{
			Count: int(g.about(g.load.wideWidth)), Need: batch.Resources{MilliCPU: int(g.about(1800)), MemoryMB: 600},
			Estimate: time.Duration(g.about(2.7) * float64(time.Second)), BestEffort: true, Checkpoints: true,
			Image: fmt.Sprintf("fill-%d", g.random.IntN(g.load.disturbers)),
		})
	}
}

func (g *grown) add(queue string, first batch.Step) batch.JobID {
	second := first
	second.DependsOn = []int{0}
	j := aJob(fmt.Sprintf("%s%04d", queue, g.added), queue, first, second)
	j.Accepted = g.now
	g.added++
	g.begun[j.ID] = g.now
	g.Add(g.now, j, nil, false)
	return j.ID
}

// lasting adds jobs of tasks that serve.
func (g *grown) lasting(jobs int) {
	for i := range jobs {
		st := batch.Step{
			Count: g.load.servingWidth, Need: batch.Resources{MilliCPU: int(g.about(3000)), MemoryMB: 500}, LongRunning: true,
			LatencyTarget: 50 * time.Millisecond, Image: fmt.Sprintf("serve-%d", i%g.load.victims), MaxPerWorker: 2,
		}
		g.Add(g.now, aJob(fmt.Sprintf("l%d", i), "urgent", st), nil, false)
	}
}

// crowd makes every pair of images disturb: most filling work waits, or is held back by its host.
func (g *grown) crowd() {
	var es []interfere.Estimate
	idle := map[fleet.Kind]time.Duration{}
	for v := range g.load.victims {
		idle[fleet.Kind(fmt.Sprintf("serve-%d", v))] = 10 * time.Millisecond
		for d := range g.load.disturbers {
			es = append(es, interfere.Estimate{
				Pair:   interfere.Pair{Victim: fleet.Kind(fmt.Sprintf("serve-%d", v)), Aggressor: fleet.Kind(fmt.Sprintf("fill-%d", d))},
				Weight: 0.6, Evidence: 50,
			})
		}
	}
	g.LoadInterferenceEstimates(es, idle)
	g.pace = 20
}

// play lets time pass under a load.
func (g *grown) play(d time.Duration, urgent, wide float64) {
	for end := g.now.Add(d); g.now.Before(end); {
		g.arrive(urgent, wide)
		g.finish()
		g.report()
		g.pass()
		g.now = g.now.Add(grownStep)
	}
}

func (g *grown) finish() {
	for id, r := range g.alive {
		if !g.now.Before(r.ends) {
			g.end(r.Start, batch.Done)
			delete(g.alive, id)
			if s, _ := g.Progress(id.Job); s.State == batch.Completed {
				g.ended[id.Job] = g.now
			}
		}
	}
}

// report tells of the workers whose turn it is.
func (g *grown) report() {
	if len(g.keys) == 0 {
		for i := range g.load.workers {
			g.keys = append(g.keys, batch.WorkerKey{ID: fmt.Sprintf("%02d", i), StartTime: 1})
		}
	}
	const slots = int(grownLook / grownStep)
	at := int(g.now.Sub(begin)/grownStep) % slots
	for i := at; i < len(g.keys); i += slots {
		var rs []batch.Run
		for id, t := range g.workers[g.keys[i]].tasks {
			r := batch.Run{Task: id, Number: t.run, ProgressPercent: 50, Pace: g.pace}
			switch {
			case t.step.LongRunning:
				// A tail well below its target, with some swing.
				r.Load = 15 + g.random.IntN(10)
			case t.step.BestEffort:
				r.Load = t.step.Need.MilliCPU
			}
			rs = append(rs, r)
		}
		g.HandleProgress(g.now, g.keys[i], rs, false)
	}
}

func (g *grown) pass() {
	o := g.Schedule(g.now)
	g.passes++
	g.searches += o.Searches
	for _, s := range o.Starts {
		g.starts++
		g.there(s)
		if s.Step.LongRunning {
			continue
		}
		g.alive[s.Task] = playedRun{s, g.now.Add(s.Step.Estimate)}
	}
	for _, s := range o.Stops {
		if r, ok := g.alive[s.Task]; ok && r.Number == s.Number {
			g.end(r.Start, batch.Stopped)
			delete(g.alive, s.Task)
		}
	}
}

// Under the grown load all work goes on, and no job with room waits long.
func TestGrownLoadIsServed(t *testing.T) {
	g := NewWithT(t)
	f := newGrown(1)
	f.lasting(7)
	f.play(8*time.Second, 13, 2.3)
	late := 0
	for id, at := range f.begun {
		end, ok := f.ended[id]
		if !ok {
			end = f.now
		}
		if id[0] == 'u' && end.Sub(at) > 3*time.Second+600*time.Millisecond {
			late++
		}
	}
	t.Logf("%d jobs, %d done, %d starts in %d passes, %d late", f.added, len(f.ended), f.starts, f.passes, late)
	g.Expect(late).To(BeZero(), "urgent jobs find room at once")
}

// Work that is held back or has no place costs few searches: with hundreds of
// events a second, a search for each of them on each pass took more than a core
// (seen: bapei-sched-grown scale-1, 2 to 3 ms a pass).
func TestCrowdedLoadCostsFewSearches(t *testing.T) {
	g := NewWithT(t)
	f := newGrown(1)
	f.lasting(10)
	f.crowd()
	f.play(10*time.Second, 13, 2.3)
	from, starts := f.searches, f.starts
	const seconds = 5
	f.play(seconds*time.Second, 13, 2.3)
	waiting := 0
	for _, j := range f.jobs {
		for _, o := range j.occurrences {
			for _, st := range o.steps {
				if st.BestEffort && st.unfinished > 0 {
					waiting++
				}
			}
		}
	}
	// Each start takes a search, and each step that fills as many as it has turns.
	most := (f.starts - starts) + seconds*waiting*int(time.Second/bestEffortInterval+time.Second/moveSearchInterval)
	t.Logf("%d searches, at most %d, %d starts, %d steps", f.searches-from, most, f.starts-starts, waiting)
	g.Expect(f.searches - from).To(BeNumerically("<=", most))
}

// BenchmarkGrownLoad tells what one second of the grown deployment costs the scheduler.
func BenchmarkGrownLoad(b *testing.B) {
	for name, wide := range map[string]float64{"usual": 2.3, "burst": 6, "crowded": 2.3} {
		b.Run(name, func(b *testing.B) {
			f := newGrown(1)
			f.lasting(10)
			if name == "crowded" {
				f.crowd()
			}
			f.play(10*time.Second, 13, wide)
			from := f.starts
			for b.Loop() {
				f.play(time.Second, 13, wide)
			}
			b.ReportMetric(float64(f.starts-from)/float64(b.N), "starts/op")
		})
	}
}

// BenchmarkFleetSize tells what one second of a load that grows with the fleet costs the scheduler.
func BenchmarkFleetSize(b *testing.B) {
	for _, n := range []int{240, 1000, 3800} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			l := largeFleet.at(n)
			f := newFleet(1, l)
			f.lasting(l.serving)
			f.play(6*time.Second, l.urgent, l.wide)
			from, passes := f.starts, f.passes
			for b.Loop() {
				f.play(time.Second, l.urgent, l.wide)
			}
			b.ReportMetric(float64(f.starts-from)/float64(b.N), "starts/op")
			b.ReportMetric(b.Elapsed().Seconds()*1e6/float64(f.starts-from), "µs/start")
			b.ReportMetric(b.Elapsed().Seconds()*1e6/float64(f.passes-passes), "µs/pass")
		})
	}
}
