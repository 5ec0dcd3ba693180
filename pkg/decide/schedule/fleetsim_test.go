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

// A fleetLoad is the size of a fleet and its load.
type fleetLoad struct {
	workers int
	// urgentRate and wideRate are jobs per second, urgentWidth and wideWidth their
	// mean numbers of tasks per step.
	urgentRate, wideRate   float64
	urgentWidth, wideWidth float64
	// servingJobs is the number of jobs of latency-critical tasks, of servingWidth tasks each.
	servingJobs, servingWidth int
	// victimImages and aggressorImages are the numbers of images of latency-critical
	// and best-effort tasks.
	victimImages, aggressorImages int
	// cpuFactor multiplies the processors of workers and tasks; 0 counts as 1.
	cpuFactor float64
	// lightWeight and heavyWeight are the ranges of the interference weights of a
	// quarter of 16 cores; zero ranges are those of pacingSim.
	lightWeight, heavyWeight [2]float64
	// slowWorkers makes some workers slow for some seconds.
	slowWorkers bool
	// knownWeights tells the scheduler all weights at the start.
	knownWeights bool
}

// milliCPU returns a processor time of the load, in thousandths of a core.
func (l fleetLoad) milliCPU(x float64) int {
	if l.cpuFactor > 0 {
		x *= l.cpuFactor
	}
	return int(x)
}

// The loads of a fleet of 70 workers and one of 240.
var (
	mediumFleet = fleetLoad{
		workers: mediumFleetWorkers, urgentRate: 13, wideRate: 2.3, urgentWidth: 10, wideWidth: 20,
		servingJobs: 10, servingWidth: 14, victimImages: 5, aggressorImages: 6,
	}
	largeFleet = fleetLoad{
		workers: 240, urgentRate: 15.6, wideRate: 3.9, urgentWidth: 13, wideWidth: 40,
		servingJobs: 47, servingWidth: 24, victimImages: 16, aggressorImages: 30,
	}
)

// scaledTo returns the load in proportion to another number of workers. The jobs'
// widths and the numbers of images stay.
func (l fleetLoad) scaledTo(workers int) fleetLoad {
	x := float64(workers) / float64(l.workers)
	l.workers, l.urgentRate, l.wideRate = workers, l.urgentRate*x, l.wideRate*x
	l.servingJobs = int(float64(l.servingJobs) * x)
	return l
}

// fleetSim simulates a fleet under load: workers of 16 cores that run
// latency-critical and best-effort tasks together, short urgent jobs, and wide
// best-effort jobs that use the remaining capacity.
type fleetSim struct {
	*harness
	load       fleetLoad
	random     *rand.Rand
	activeRuns map[batch.Task]timedRun
	workerKeys []batch.WorkerKey
	// starts counts the orders to start a run, passes the calls of Schedule.
	starts, passes, searches int
	jobsAdded                int
	// bestEffortPace is the pace of best-effort runs in percent.
	bestEffortPace int
	// submittedAt and completedAt are when each job arrived and completed.
	submittedAt, completedAt map[batch.JobID]time.Time
}

type timedRun struct {
	Start
	endsAt time.Time
}

const (
	mediumFleetWorkers = 70
	// simReportInterval is how often a host reports its runs.
	simReportInterval = 250 * time.Millisecond
	// fleetSimStep is the step of simulated time.
	fleetSimStep = 5 * time.Millisecond
)

func newMediumFleetSim(seed uint64) *fleetSim { return newFleetSim(seed, mediumFleet) }

func newFleetSim(seed uint64, l fleetLoad) *fleetSim {
	var ws []batch.Worker
	for i := range l.workers {
		ws = append(ws, testWorker(fmt.Sprintf("%02d", i), 16000))
	}
	return &fleetSim{
		harness: newHarness(ws...), load: l, bestEffortPace: 100, random: rand.New(rand.NewPCG(seed, 1)), activeRuns: map[batch.Task]timedRun{},
		submittedAt: map[batch.JobID]time.Time{}, completedAt: map[batch.JobID]time.Time{},
	}
}

// varied returns a random value with the mean x that varies by half of it.
func (g *fleetSim) varied(x float64) float64 { return x * (0.5 + g.random.Float64()) }

// poisson returns a Poisson distributed number with the mean x.
func (g *fleetSim) poisson(x float64) int {
	n := 0
	for p := g.random.Float64(); p > math.Exp(-x); p *= g.random.Float64() {
		n++
	}
	return n
}

// submitArrivals submits the jobs that arrive in one step at the given rates per second.
func (g *fleetSim) submitArrivals(urgentRate, wideRate float64) {
	dt := fleetSimStep.Seconds()
	for range g.poisson(urgentRate * dt) {
		g.submitJob("urgent", batch.Step{
			Count: int(g.varied(g.load.urgentWidth)), Need: batch.Resources{MilliCPU: int(g.varied(410)), MemoryMB: 300},
			Estimate: time.Duration(g.varied(0.8) * float64(time.Second)),
		})
	}
	for range g.poisson(wideRate * dt) {
		g.submitJob("wide", batch.Step{
			Count: int(g.varied(g.load.wideWidth)), Need: batch.Resources{MilliCPU: int(g.varied(1800)), MemoryMB: 600},
			Estimate: time.Duration(g.varied(2.7) * float64(time.Second)), BestEffort: true, Checkpoints: true,
			Image: fmt.Sprintf("fill-%d", g.random.IntN(g.load.aggressorImages)),
		})
	}
}

// submitJob adds a job of two like steps, the second of which depends on the first.
func (g *fleetSim) submitJob(queue string, first batch.Step) batch.JobID {
	second := first
	second.DependsOn = []int{0}
	j := testJob(fmt.Sprintf("%s%04d", queue, g.jobsAdded), queue, first, second)
	j.Accepted = g.now
	g.jobsAdded++
	g.submittedAt[j.ID] = g.now
	g.Add(g.now, j, nil, false)
	return j.ID
}

// addServingJobs adds jobs of latency-critical tasks.
func (g *fleetSim) addServingJobs(jobs int) {
	for i := range jobs {
		st := batch.Step{
			Count: g.load.servingWidth, Need: batch.Resources{MilliCPU: int(g.varied(3000)), MemoryMB: 500}, LongRunning: true,
			LatencyTarget: 50 * time.Millisecond, Image: fmt.Sprintf("serve-%d", i%g.load.victimImages), MaxPerWorker: 2,
		}
		g.Add(g.now, testJob(fmt.Sprintf("l%d", i), "urgent", st), nil, false)
	}
}

// makeAllPairsInterfere sets a high interference weight for every pair of images,
// so that most best-effort tasks wait or are throttled by their hosts.
func (g *fleetSim) makeAllPairsInterfere() {
	var es []interfere.Estimate
	idle := map[fleet.Kind]time.Duration{}
	for v := range g.load.victimImages {
		idle[fleet.Kind(fmt.Sprintf("serve-%d", v))] = 10 * time.Millisecond
		for d := range g.load.aggressorImages {
			es = append(es, interfere.Estimate{
				Pair:   interfere.Pair{Victim: fleet.Kind(fmt.Sprintf("serve-%d", v)), Aggressor: fleet.Kind(fmt.Sprintf("fill-%d", d))},
				Weight: 0.6, Evidence: 50,
			})
		}
	}
	g.LoadInterferenceEstimates(es, idle)
	g.bestEffortPace = 20
}

// simulate advances time by d, with jobs arriving at the given rates per second.
func (g *fleetSim) simulate(d time.Duration, urgentRate, wideRate float64) {
	for end := g.now.Add(d); g.now.Before(end); {
		g.submitArrivals(urgentRate, wideRate)
		g.endFinishedRuns()
		g.reportRuns()
		g.runSchedulePass()
		g.now = g.now.Add(fleetSimStep)
	}
}

func (g *fleetSim) endFinishedRuns() {
	for id, r := range g.activeRuns {
		if !g.now.Before(r.endsAt) {
			g.endRun(r.Start, batch.Done)
			delete(g.activeRuns, id)
			if s, _ := g.Progress(id.Job); s.State == batch.Completed {
				g.completedAt[id.Job] = g.now
			}
		}
	}
}

// reportRuns reports the runs of those workers whose reports are due in this step.
func (g *fleetSim) reportRuns() {
	if len(g.workerKeys) == 0 {
		for i := range g.load.workers {
			g.workerKeys = append(g.workerKeys, batch.WorkerKey{ID: fmt.Sprintf("%02d", i), StartTime: 1})
		}
	}
	const slots = int(simReportInterval / fleetSimStep)
	at := int(g.now.Sub(testStart)/fleetSimStep) % slots
	for i := at; i < len(g.workerKeys); i += slots {
		var rs []batch.Run
		for id, t := range g.workers[g.workerKeys[i]].tasks {
			r := batch.Run{Task: id, Number: t.run, ProgressPercent: 50, Pace: g.bestEffortPace}
			switch {
			case t.step.LongRunning:
				// A tail latency well below its target, with some variation.
				r.Load = 15 + g.random.IntN(10)
			case t.step.BestEffort:
				r.Load = t.step.Need.MilliCPU
			}
			rs = append(rs, r)
		}
		g.HandleProgress(g.now, g.workerKeys[i], rs, false)
	}
}

// runSchedulePass calls Schedule and carries out its orders.
func (g *fleetSim) runSchedulePass() {
	o := g.Schedule(g.now)
	g.passes++
	g.searches += o.Searches
	for _, s := range o.Starts {
		g.starts++
		g.confirmStart(s)
		if s.Step.LongRunning {
			continue
		}
		g.activeRuns[s.Task] = timedRun{s, g.now.Add(s.Step.Estimate)}
	}
	for _, s := range o.Stops {
		if r, ok := g.activeRuns[s.Task]; ok && r.Number == s.Number {
			g.endRun(r.Start, batch.Stopped)
			delete(g.activeRuns, s.Task)
		}
	}
}

// Under the load of the medium fleet no urgent job is late, since there is capacity for all.
func TestUrgentJobsOfMediumFleetAreInTime(t *testing.T) {
	g := NewWithT(t)
	f := newMediumFleetSim(1)
	f.addServingJobs(7)
	f.simulate(8*time.Second, 13, 2.3)
	late := 0
	for id, at := range f.submittedAt {
		end, ok := f.completedAt[id]
		if !ok {
			end = f.now
		}
		if id[0] == 'u' && end.Sub(at) > 3*time.Second+600*time.Millisecond {
			late++
		}
	}
	t.Logf("%d jobs, %d done, %d starts in %d passes, %d late", f.jobsAdded, len(f.completedAt), f.starts, f.passes, late)
	g.Expect(late).To(BeZero(), "urgent jobs that are late")
}

// Throttled tasks and tasks that fit nowhere cost few searches. At hundreds of
// events a second, a search for each such task on each pass takes more than a
// core: 2 to 3 ms a pass on bapei-sched-grown scale-1.
func TestUnplaceableTasksCostFewSearches(t *testing.T) {
	g := NewWithT(t)
	f := newMediumFleetSim(1)
	f.addServingJobs(10)
	f.makeAllPairsInterfere()
	f.simulate(10*time.Second, 13, 2.3)
	from, starts := f.searches, f.starts
	const seconds = 5
	f.simulate(seconds*time.Second, 13, 2.3)
	waiting := 0
	for _, j := range f.jobs {
		for _, o := range j.occurrences {
			for _, st := range o.steps {
				if st != nil && st.BestEffort && st.unfinished > 0 {
					waiting++
				}
			}
		}
	}
	// Each start takes a search, and each best-effort step as many as the intervals
	// between its searches allow.
	limit := (f.starts - starts) + seconds*waiting*int(time.Second/bestEffortInterval+time.Second/moveSearchInterval)
	t.Logf("%d searches, at most %d, %d starts, %d steps", f.searches-from, limit, f.starts-starts, waiting)
	g.Expect(f.searches - from).To(BeNumerically("<=", limit))
}

// BenchmarkMediumFleet measures the scheduler's processor time for one simulated
// second of the medium fleet.
func BenchmarkMediumFleet(b *testing.B) {
	for name, wide := range map[string]float64{"usual": 2.3, "burst": 6, "crowded": 2.3} {
		b.Run(name, func(b *testing.B) {
			f := newMediumFleetSim(1)
			f.addServingJobs(10)
			if name == "crowded" {
				f.makeAllPairsInterfere()
			}
			f.simulate(10*time.Second, 13, wide)
			from := f.starts
			for b.Loop() {
				f.simulate(time.Second, 13, wide)
			}
			b.ReportMetric(float64(f.starts-from)/float64(b.N), "starts/op")
		})
	}
}

// BenchmarkFleetSize measures the scheduler's processor time for one simulated
// second at several fleet sizes, with the load in proportion.
func BenchmarkFleetSize(b *testing.B) {
	for _, n := range []int{240, 1000, 3800} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			l := largeFleet.scaledTo(n)
			f := newFleetSim(1, l)
			f.addServingJobs(l.servingJobs)
			f.simulate(6*time.Second, l.urgentRate, l.wideRate)
			from, passes := f.starts, f.passes
			for b.Loop() {
				f.simulate(time.Second, l.urgentRate, l.wideRate)
			}
			b.ReportMetric(float64(f.starts-from)/float64(b.N), "starts/op")
			b.ReportMetric(b.Elapsed().Seconds()*1e6/float64(f.starts-from), "µs/start")
			b.ReportMetric(b.Elapsed().Seconds()*1e6/float64(f.passes-passes), "µs/pass")
		})
	}
}
