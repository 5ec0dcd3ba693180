package schedule

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sesamestream/sesamestream/pkg/batch"
	"github.com/sesamestream/sesamestream/pkg/decide/interfere"
	"github.com/sesamestream/sesamestream/pkg/fleet"
)

// grown plays the grown deployment's load: 70 workers of 16 cores that serve
// and fill at once, short urgent jobs and wide ones that take what is left.
type grown struct {
	*bench
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

func newGrown(seed uint64) *grown {
	var ws []batch.Worker
	for i := range grownWorkers {
		ws = append(ws, aWorker(fmt.Sprintf("%02d", i), 16000))
	}
	return &grown{
		bench: newBench(ws...), pace: 100, random: rand.New(rand.NewPCG(seed, 1)), alive: map[batch.Task]playedRun{},
		begun: map[batch.JobID]time.Time{}, ended: map[batch.JobID]time.Time{},
	}
}

// about returns a figure that is x in the mean and varies by half.
func (g *grown) about(x float64) float64 { return x * (0.5 + g.random.Float64()) }

// arrive lets jobs come at their rates, in jobs a second.
func (g *grown) arrive(urgent, wide float64) {
	dt := grownStep.Seconds()
	if g.random.Float64() < urgent*dt {
		g.add("urgent", batch.Step{
			Count: int(g.about(10)), Need: batch.Resources{MilliCPU: int(g.about(410)), MemoryMB: 300},
			Estimate: time.Duration(g.about(0.8) * float64(time.Second)),
		})
	}
	if g.random.Float64() < wide*dt {
		g.add("wide", batch.Step{
			Count: int(g.about(20)), Need: batch.Resources{MilliCPU: int(g.about(1800)), MemoryMB: 600},
			Estimate: time.Duration(g.about(2.7) * float64(time.Second)), Fills: true, Checkpoints: true,
			Image: fmt.Sprintf("fill-%d", g.random.IntN(6)),
		})
	}
}

func (g *grown) add(queue string, first batch.Step) {
	second := first
	second.After = []int{0}
	j := aJob(fmt.Sprintf("%s%04d", queue, g.added), queue, first, second)
	j.Accepted = g.now
	g.added++
	g.begun[j.ID] = g.now
	g.Add(g.now, j, nil, false)
}

// lasting adds tasks that serve, 14 a job.
func (g *grown) lasting(jobs int) {
	for i := range jobs {
		st := batch.Step{
			Count: 14, Need: batch.Resources{MilliCPU: int(g.about(3000)), MemoryMB: 500}, Lasting: true,
			TailTarget: 50 * time.Millisecond, Image: fmt.Sprintf("serve-%d", i%5), MaxPerWorker: 2,
		}
		g.Add(g.now, aJob(fmt.Sprintf("l%d", i), "urgent", st), nil, false)
	}
}

// crowd makes every pair of images disturb: most filling work waits, or is held back by its host.
func (g *grown) crowd() {
	var es []interfere.Entry
	idle := map[fleet.Kind]time.Duration{}
	for v := range 5 {
		idle[fleet.Kind(fmt.Sprintf("serve-%d", v))] = 10 * time.Millisecond
		for d := range 6 {
			es = append(es, interfere.Entry{
				Pair:   interfere.Pair{Victim: fleet.Kind(fmt.Sprintf("serve-%d", v)), Disturber: fleet.Kind(fmt.Sprintf("fill-%d", d))},
				Weight: 0.6, Evidence: 50,
			})
		}
	}
	g.Learn(es, idle)
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
		for i := range grownWorkers {
			g.keys = append(g.keys, batch.WorkerKey{ID: fmt.Sprintf("%02d", i), Born: 1})
		}
	}
	const slots = int(grownLook / grownStep)
	at := int(g.now.Sub(begin)/grownStep) % slots
	for i := at; i < len(g.keys); i += slots {
		var rs []batch.Run
		for id, t := range g.workers[g.keys[i]].tasks {
			r := batch.Run{Task: id, Number: t.run, Percent: 50, Pace: g.pace}
			switch {
			case t.step.Lasting:
				// A tail well below its target, with some swing.
				r.Load = 15 + g.random.IntN(10)
			case t.step.Fills:
				r.Load = t.step.Need.MilliCPU
			}
			rs = append(rs, r)
		}
		g.Progressed(g.now, g.keys[i], rs, false)
	}
}

func (g *grown) pass() {
	o := g.Schedule(g.now)
	g.passes++
	g.searches += o.Searches
	for _, s := range o.Starts {
		g.starts++
		g.there(s)
		if s.Step.Lasting {
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
		for _, o := range j.runs {
			for _, st := range o.steps {
				if st.Fills && st.left > 0 {
					waiting++
				}
			}
		}
	}
	// Each start takes a search, and each step that fills as many as it has turns.
	most := (f.starts - starts) + seconds*waiting*int(time.Second/fillEvery+time.Second/movePause*4)
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
