package schedule

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sesamestream/sesamestream/pkg/batch"
	"github.com/sesamestream/sesamestream/pkg/decide/overload"
)

// An admissionPolicy decides which jobs are refused in a replay.
type admissionPolicy string

const (
	refuseNone       admissionPolicy = "none"
	refuseByLength   admissionPolicy = "length"
	refuseByEstimate admissionPolicy = "estimate"
	// maxQueueLength is the number of waiting jobs of a queue from which refuseByLength refuses:
	// about two seconds of the usual load.
	maxQueueLength = 25
)

// An overloadPhase multiplies the usual rates of arrivals.
type overloadPhase struct {
	lasts        time.Duration
	urgent, wide float64
	// lost is the part of the workers that is out of reach.
	lost float64
}

// The loads of the requirements for too little room, and the usual one.
var overloadPhases = map[string][]overloadPhase{
	"usual":       {{lasts: 24 * time.Second, urgent: 1, wide: 1}},
	"flood":       {{lasts: 4 * time.Second, urgent: 1, wide: 1}, {lasts: 12 * time.Second, urgent: 3, wide: 3}, {lasts: 16 * time.Second, urgent: 1, wide: 1}},
	"largeFirst":  {{lasts: 4 * time.Second, urgent: 1, wide: 6}, {lasts: 12 * time.Second, urgent: 4, wide: 6}, {lasts: 16 * time.Second, urgent: 1, wide: 1}},
	"lostWorkers": {{lasts: 4 * time.Second, urgent: 1, wide: 1}, {lasts: 12 * time.Second, urgent: 2, wide: 2, lost: 1. / 3}, {lasts: 16 * time.Second, urgent: 1, wide: 1}},
}

const (
	admissionWorkers    = 24
	admissionUrgentRate = 13
	admissionWideRate   = 0.25
	// admissionSimStep is the step of simulated time.
	admissionSimStep = 20 * time.Millisecond
	// uselessAfter is how many objectives after its submission the end of a job is of no use.
	uselessAfter = 3
)

// admissionCaller is a caller with its job.
type admissionCaller struct {
	job         *batch.Job
	submittedAt time.Time
	objective   time.Duration
	work        float64
	accepted    bool
	refusals    int
	retryAt     time.Time
	gaveUp      bool
	doneAt      time.Time
}

// admissionSim is a fleet with callers, a gateway that decides by the last summary, and workers that get lost.
type admissionSim struct {
	*fleetSim
	policy admissionPolicy
	// reports draws what workers report, so that all policies see the same arrivals.
	reports *rand.Rand
	callers []*admissionCaller
	byJob   map[batch.JobID]*admissionCaller
	summary *overload.Summary
	pongAt  time.Time
	// lost is the number of workers out of reach, since lostAt.
	lost   int
	lostAt time.Time
}

func newAdmissionSim(seed uint64, p admissionPolicy, v policyVariant) *admissionSim {
	l := fleetLoad{workers: admissionWorkers, servingWidth: 14, victimImages: 2, aggressorImages: 4}
	m := &admissionSim{fleetSim: newFleetSim(seed, l), policy: p, byJob: map[batch.JobID]*admissionCaller{}}
	m.variant = v
	m.random, m.reports = rand.New(rand.NewPCG(seed, 2)), rand.New(rand.NewPCG(seed, 3))
	for i := range 2 {
		st := batch.Step{
			Count: 14, Need: batch.Resources{MilliCPU: 6400, MemoryMB: 500}, LongRunning: true, LatencyTarget: 50 * time.Millisecond,
			Image: fmt.Sprintf("serve-%d", i), MaxPerWorker: 2,
		}
		m.Add(m.now, testJob(fmt.Sprintf("l%d", i), "urgent", st), nil, false)
	}
	return m
}

// arrive adds the callers that arrive in one step.
func (m *admissionSim) arrive(p overloadPhase) {
	dt := admissionSimStep.Seconds()
	for range m.poisson(admissionUrgentRate * p.urgent * dt) {
		st := batch.Step{
			Count: max(1, int(m.varied(10))), Need: batch.Resources{MilliCPU: int(m.varied(650)), MemoryMB: 300},
			Estimate: time.Duration(m.varied(0.64) * float64(time.Second)),
		}
		m.call("urgent", st, m.random.Float64() < 0.6)
	}
	for range m.poisson(admissionWideRate * p.wide * dt) {
		st := batch.Step{
			Count: int(m.varied(20)), Need: batch.Resources{MilliCPU: int(m.varied(3500)), MemoryMB: 600}, BestEffort: true, Checkpoints: true,
			Estimate: time.Duration(m.varied(2.7) * float64(time.Second)), Image: fmt.Sprintf("fill-%d", m.random.IntN(4)),
		}
		m.call("wide", st, true)
	}
}

// call adds a caller with a job of one step or two like ones.
func (m *admissionSim) call(queue string, first batch.Step, two bool) {
	steps := []batch.Step{first}
	if two {
		second := first
		second.DependsOn = []int{0}
		steps = append(steps, second)
	}
	j := testJob(fmt.Sprintf("%s%04d", queue, len(m.callers)), queue, steps...)
	c := &admissionCaller{job: j, submittedAt: m.now, retryAt: m.now, objective: overload.Objective(m.queues[queue], criticalPath(j)), work: totalWork(j)}
	m.callers = append(m.callers, c)
	m.byJob[j.ID] = c
}

// submit submits the jobs of the callers whose time has come.
func (m *admissionSim) submit() {
	for _, c := range m.callers {
		if c.accepted || c.gaveUp || m.now.Before(c.retryAt) {
			continue
		}
		if after, refused := m.refuses(c); refused {
			c.refusals++
			c.retryAt = m.now.Add(after)
			c.gaveUp = c.retryAt.Sub(c.submittedAt) > uselessAfter*c.objective
			continue
		}
		c.accepted = true
		c.job.Accepted = m.now
		if m.policy == refuseByEstimate {
			c.job.Accepted = c.submittedAt
		}
		m.Add(m.now, c.job, nil, false)
	}
}

// refuses decides as a gateway does.
func (m *admissionSim) refuses(c *admissionCaller) (time.Duration, bool) {
	switch m.policy {
	case refuseByLength:
		return time.Second, m.PendingJobs(c.job.Queue) > maxQueueLength
	case refuseByEstimate:
		x := overload.Job{Job: c.job}
		if c.refusals > 0 {
			x.Waited = m.now.Sub(c.submittedAt)
		}
		d := overload.Decide(m.now, m.summary, m.queues[c.job.Queue], x)
		return d.RetryAfter, d.Refuse
	}
	return 0, false
}

// loseWorkers puts a part of the workers out of reach, and removes them once their leases have ended.
func (m *admissionSim) loseWorkers(part float64) {
	n := int(part * admissionWorkers)
	const leaseEnd = 3 * time.Second
	switch {
	case n > 0 && m.lost == 0:
		m.lost, m.lostAt = n, m.now
		for i := range n {
			m.MarkUnresponsive(fmt.Sprintf("host-%02d", i))
		}
	case n == 0 && m.lost > 0:
		for i := range m.lost {
			m.SyncWorker(m.now, fmt.Sprintf("host-%02d", i), testWorker(fmt.Sprintf("%02d", i), 16000), nil, nil)
		}
		m.lost = 0
	case n > 0 && m.now.Sub(m.lostAt) == leaseEnd:
		for i := range n {
			k := batch.WorkerKey{ID: fmt.Sprintf("%02d", i), StartTime: 1}
			for id, r := range m.activeRuns {
				if r.Key == k {
					delete(m.activeRuns, id)
				}
			}
			m.RemoveWorker(k)
		}
	}
}

// play plays the phases and 20 s without arrivals.
func (m *admissionSim) play(phases []overloadPhase) admissionOutcome {
	m.simulate(2*time.Second, 0, 0)
	for _, p := range append(slices.Clone(phases), overloadPhase{lasts: 20 * time.Second}) {
		for end := m.now.Add(p.lasts); m.now.Before(end); {
			m.loseWorkers(p.lost)
			m.arrive(p)
			if m.now.Sub(m.pongAt) >= 500*time.Millisecond {
				m.pongAt = m.now
				m.summary = m.LoadSummary(m.now)
			}
			m.submit()
			m.endInOrder()
			m.reportReachable()
			m.runSchedulePass()
			m.now = m.now.Add(admissionSimStep)
		}
	}
	for id, at := range m.completedAt {
		if c := m.byJob[id]; c != nil {
			c.doneAt = at
		}
	}
	return m.outcome()
}

// endInOrder ends the runs that are done in the order of their names, so that a seed always gives the same.
func (m *admissionSim) endInOrder() {
	var ended []Start
	for _, r := range m.activeRuns {
		if !m.now.Before(r.endsAt) {
			ended = append(ended, r.Start)
		}
	}
	slices.SortFunc(ended, func(a, b Start) int { return compareTasks(a.Task, b.Task) })
	for _, x := range ended {
		m.endRun(x, batch.Done)
		delete(m.activeRuns, x.Task)
		if s, _ := m.Progress(x.Task.Job); s.State == batch.Completed {
			m.completedAt[x.Task.Job] = m.now
		}
	}
}

// reportReachable reports the runs of the workers in reach whose reports are due, in the order of their names.
func (m *admissionSim) reportReachable() {
	const slots = int(simReportInterval / admissionSimStep)
	at := int(m.now.Sub(testStart)/admissionSimStep) % slots
	for i := max(at, (m.lost+slots-1-at)/slots*slots+at); i < admissionWorkers; i += slots {
		k := batch.WorkerKey{ID: fmt.Sprintf("%02d", i), StartTime: 1}
		var rs []batch.Run
		for _, t := range m.workers[k].tasksInOrder() {
			r := batch.Run{Task: t.id, Number: t.run, ProgressPercent: 50, Pace: m.bestEffortPace}
			switch {
			case t.step.LongRunning:
				r.Load = 15 + m.reports.IntN(10)
			case t.step.BestEffort:
				r.Load = t.step.Need.MilliCPU
			}
			rs = append(rs, r)
		}
		m.HandleProgress(m.now, k, rs, false)
	}
}

// admissionOutcome is what callers see.
type admissionOutcome struct {
	urgent, wide kindOutcome
}

// kindOutcome is what the callers of one kind see: how many jobs there were, how many completed
// within their objective and within use since they were first submitted (inTime, ofUse) and
// since they were accepted, and how many others were refused or accepted in vain.
type kindOutcome struct {
	jobs, inTime, ofUse, inTimeAccepted, useAccepted, refused, inVain int
	// toldAfter is the mean time until callers of unserved jobs know, in seconds.
	toldAfter float64
	// largest and largestOfUse are the largest tenth of the jobs.
	largest, largestOfUse int
}

func (k kindOutcome) String() string {
	return fmt.Sprintf("%4d jobs, in time %.3f (%.3f since accepted), of use %.3f (%.3f), refused %.3f, in vain %.3f, told after %.1f s, largest tenth of use %.3f",
		k.jobs, k.part(k.inTime), k.part(k.inTimeAccepted), k.part(k.ofUse), k.part(k.useAccepted), k.part(k.refused), k.part(k.inVain), k.toldAfter, float64(k.largestOfUse)/float64(max(k.largest, 1)))
}

func (k kindOutcome) part(n int) float64 { return float64(n) / float64(max(k.jobs, 1)) }

func (m *admissionSim) outcome() admissionOutcome {
	return admissionOutcome{m.kind("urgent"), m.kind("wide")}
}

func (m *admissionSim) kind(queue string) kindOutcome {
	var cs []*admissionCaller
	for _, c := range m.callers {
		if c.job.Queue == queue {
			cs = append(cs, c)
		}
	}
	slices.SortFunc(cs, func(a, b *admissionCaller) int {
		switch {
		case a.work > b.work:
			return -1
		case a.work < b.work:
			return 1
		}
		return 0
	})
	k := kindOutcome{jobs: len(cs), largest: len(cs) / 10}
	unserved := 0
	for i, c := range cs {
		took := c.doneAt.Sub(c.submittedAt)
		if !c.doneAt.IsZero() && c.doneAt.Sub(c.retryAt) <= c.objective {
			k.inTimeAccepted++
		}
		if !c.doneAt.IsZero() && c.doneAt.Sub(c.retryAt) <= uselessAfter*c.objective {
			k.useAccepted++
		}
		switch {
		case !c.doneAt.IsZero() && took <= uselessAfter*c.objective:
			k.ofUse++
			if took <= c.objective {
				k.inTime++
			}
			if i < k.largest {
				k.largestOfUse++
			}
			continue
		case !c.accepted:
			k.refused++
		default:
			k.inVain++
			unserved++
			k.toldAfter += (uselessAfter * c.objective).Seconds()
			continue
		}
		unserved++
	}
	k.toldAfter /= float64(max(unserved, 1))
	return k
}

// add adds the outcome of another seed.
func (k *kindOutcome) add(o kindOutcome) {
	k.jobs += o.jobs
	k.inTime += o.inTime
	k.ofUse += o.ofUse
	k.inTimeAccepted += o.inTimeAccepted
	k.useAccepted += o.useAccepted
	k.refused += o.refused
	k.inVain += o.inVain
	k.largest += o.largest
	k.largestOfUse += o.largestOfUse
	k.toldAfter += o.toldAfter
}

// admissionSeeds are the seeds of each row of the replay. With fewer the largest tenth of the
// large jobs are less than ten jobs.
var admissionSeeds = []uint64{1, 2, 3, 4, 5, 6}

// playAdmission plays a load with each seed.
func playAdmission(load string, p admissionPolicy, v policyVariant) admissionOutcome {
	var sum admissionOutcome
	for _, seed := range admissionSeeds {
		o := newAdmissionSim(seed, p, v).play(overloadPhases[load])
		sum.urgent.add(o.urgent)
		sum.wide.add(o.wide)
	}
	sum.urgent.toldAfter /= float64(len(admissionSeeds))
	sum.wide.toldAfter /= float64(len(admissionSeeds))
	return sum
}

// Under too much load a scheduler that accepts every job lets the large ones wait until they
// are of no use, and doesn't tell their callers. By the estimate no fewer urgent jobs are
// served, fewer are accepted in vain, and large jobs aren't given up for it.
func TestCallersAreBetterOffByEstimate(t *testing.T) {
	for _, load := range []string{"flood", "largeFirst", "lostWorkers"} {
		t.Run(load, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			none, est := playAdmission(load, refuseNone, policyVariant{}), playAdmission(load, refuseByEstimate, policyVariant{})
			t.Logf("none     urgent %v", none.urgent)
			t.Logf("estimate urgent %v", est.urgent)
			t.Logf("none     wide   %v", none.wide)
			t.Logf("estimate wide   %v", est.wide)
			n, e := none.urgent, est.urgent
			g.Expect(e.part(e.inTimeAccepted)).To(BeNumerically(">=", n.part(n.inTimeAccepted)), "urgent jobs within their objective since their acceptance")
			g.Expect(e.part(e.ofUse)).To(BeNumerically(">=", n.part(n.ofUse)), "urgent jobs of use")
			g.Expect(2*e.part(e.inVain)).To(BeNumerically("<=", n.part(n.inVain)+0.02), "urgent jobs accepted in vain")
			g.Expect(e.toldAfter).To(BeNumerically("<", n.toldAfter), "time until callers know that a job isn't served")
			for _, k := range []kindOutcome{est.urgent, est.wide} {
				if k.largest > 0 {
					g.Expect(2*float64(k.largestOfUse)/float64(k.largest)).To(BeNumerically(">=", k.part(k.ofUse)), "the largest tenth")
				}
			}
		})
	}
}

// At the usual load, in which urgent jobs wait for moments and best-effort jobs for seconds, nothing is refused.
func TestNothingIsRefusedAtUsualLoad(t *testing.T) {
	g := NewWithT(t)
	for _, seed := range admissionSeeds {
		m := newAdmissionSim(seed, refuseByEstimate, policyVariant{})
		m.play(overloadPhases["usual"])
		for _, c := range m.callers {
			g.Expect(c.refusals).To(BeZero(), string(c.job.ID))
		}
	}
}

// TestAdmissionTable prints the table of docs/design/admission.md: each load under each refusal and order.
func TestAdmissionTable(t *testing.T) {
	if os.Getenv("ADMISSION_TABLE") == "" {
		t.Skip("set ADMISSION_TABLE to print the table")
	}
	variants := []struct {
		name string
		v    policyVariant
	}{
		{"arrival", policyVariant{arrivalOrder: true}}, {"deadline", policyVariant{deadlineOrder: true}},
		{"work", policyVariant{workOrder: true}}, {"value", policyVariant{valueOrder: true}}, {"tiers", policyVariant{}},
	}
	for _, load := range []string{"usual", "flood", "largeFirst", "lostWorkers"} {
		for _, v := range variants {
			for _, p := range []admissionPolicy{refuseNone, refuseByLength, refuseByEstimate} {
				t.Run(load+" "+v.name+" "+string(p), func(t *testing.T) {
					t.Parallel()
					o := playAdmission(load, p, v.v)
					t.Logf("| %s | %s | %s | %s |", load, v.name, p, o.urgent.row())
					t.Logf("| %s | %s | %s | %s | wide", load, v.name, p, o.wide.row())
				})
			}
		}
	}
}

// row returns the outcome as cells of a table.
func (k kindOutcome) row() string {
	return fmt.Sprintf("%.3f | %.3f | %.3f | %.3f | %.3f | %.1f | %.2f", k.part(k.inTime), k.part(k.inTimeAccepted), k.part(k.ofUse), k.part(k.refused),
		k.part(k.inVain), k.toldAfter, float64(k.largestOfUse)/float64(max(k.largest, 1))/max(k.part(k.ofUse), 0.001))
}

// The scheduler computes the summary a few times a second, beside passes of 5 ms at most.
func BenchmarkLoadSummary(b *testing.B) {
	for _, n := range []int{11, 76, 240, 1000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			f := newLoadedFleet(n)
			b.ReportMetric(float64(len(f.openJobs)), "jobs")
			for b.Loop() {
				f.newLoadSummary(f.now)
			}
		})
	}
}

// An admission decision takes under 50 us on the busiest gateway.
func BenchmarkDecideAdmission(b *testing.B) {
	for _, n := range []int{11, 76, 240, 1000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			f := newLoadedFleet(n)
			sum := f.newLoadSummary(f.now)
			st := testStep(20, 20000)
			second := st
			second.DependsOn = []int{0}
			j := overload.Job{Job: testJob("0123456789abcdef", "urgent", st, second)}
			if d := overload.Decide(f.now, sum, f.queues["urgent"], j); d.Estimate.Alone == 0 {
				b.Fatalf("decided without an estimate: %+v", d)
			}
			for b.Loop() {
				overload.Decide(f.now, sum, f.queues["urgent"], j)
			}
		})
	}
}

// newLoadedFleet returns a fleet with more load than it can serve.
func newLoadedFleet(workers int) *fleetSim {
	l := largeFleet.scaledTo(workers)
	f := newFleetSim(1, l)
	f.addServingJobs(l.servingJobs)
	f.simulate(3*time.Second, 6*l.urgentRate, 3*l.wideRate)
	return f
}
