package schedule

import (
	"flag"
	"fmt"
	"maps"
	"slices"
	"time"

	"pgregory.net/rapid"

	"github.com/sesamestream/sesamestream/pkg/batch"
)

func init() {
	_ = flag.Set("rapid.seed", "7")
	_ = flag.Set("rapid.checks", "60")
}

const (
	// simLongRunningWarmUp is how long a long-running run takes until it is at work.
	simLongRunningWarmUp = 300 * time.Millisecond
	// simFailureDelay is how long a run lasts that fails by itself.
	simFailureDelay = 200 * time.Millisecond
	// simGangPatience is how long a run of a gang waits for the others.
	simGangPatience = time.Second
	// simTicketValidity is how long a ticket of the policy service holds.
	simTicketValidity = 3 * time.Second
)

// modelRun is a run that really exists on a worker.
type modelRun struct {
	number            int
	step              *batch.Step
	startedAt, endsAt time.Time
	how               batch.EndKind
}

// simStart is a start whose outcome the scheduler hasn't been told.
type simStart struct {
	Start
	running bool
}

// simWorker is a worker as it really is.
type simWorker struct {
	batch.Worker
	// connected is set while the scheduler hears of the worker and its orders arrive.
	connected bool
	runs      map[batch.Task]*modelRun
	// numbers are the highest run numbers seen.
	numbers map[batch.Task]int
	// unacked are the ends that the worker still lists.
	unacked []batch.End
	seq     int64
	// unanswered are the starts without an answer.
	unanswered []simStart
	// failing workers fail all they start, slow ones take five times as long.
	failing, slow bool
}

func (w *simWorker) hostName() string { return "host-" + w.ID }

// used returns the resources that the runs on w reserve.
func (w *simWorker) used() batch.Resources {
	var r batch.Resources
	for _, x := range w.runs {
		r = r.Plus(reservation(x.step))
	}
	return r
}

// listed returns the runs and the unacknowledged ends as w lists them.
func (w *simWorker) listed(now time.Time) ([]batch.Run, []batch.End) {
	var rs []batch.Run
	for id, x := range w.runs {
		rs = append(rs, batch.Run{Task: id, Number: x.number, ProgressPercent: x.percent(now)})
	}
	slices.SortFunc(rs, func(a, b batch.Run) int { return compareTasks(a.Task, b.Task) })
	return rs, slices.Clone(w.unacked)
}

func compareTasks(a, b batch.Task) int {
	x, y := a.String(), b.String()
	switch {
	case x < y:
		return -1
	case x > y:
		return 1
	}
	return 0
}

func (x *modelRun) percent(now time.Time) int {
	age := now.Sub(x.startedAt)
	if x.step.LongRunning {
		if age >= simLongRunningWarmUp {
			return atWorkPercent
		}
		return 0
	}
	return int(min(99, 100*age/max(x.endsAt.Sub(x.startedAt), 1)))
}

// simJob is a job as its caller and the store know it.
type simJob struct {
	*batch.Job
	cancelled bool
	// failsAlways makes each of its runs fail.
	failsAlways bool
	// stored is the stored progress.
	stored *Progress
	// denied are the workers on which the policy service allows it no task.
	denied map[string]bool
}

// simWorld holds a scheduler and what really happens on its workers, which is kept apart
// from what the scheduler counts.
type simWorld struct {
	*harness
	t       *rapid.T
	workers []*simWorker
	jobs    map[batch.JobID]*simJob
	// calm is set once nothing goes wrong any more.
	calm bool
	// lastRunAt is when a long-running task last ran, or was added.
	lastRunAt map[batch.Task]time.Time
	// startsOf counts the starts that were ordered, by job and by worker.
	startsOf     map[batch.JobID]int
	startsOn     map[string]int
	jobsOn       map[string]map[batch.JobID]bool
	unsentAdvice []AdviceRequest
	// evacuated are the data centres whose evacuation is requested, nil where the world has no such requests.
	evacuated map[string]bool
}

func newSimWorld(t *rapid.T) *simWorld {
	return &simWorld{
		harness: newSimHarness(), t: t, jobs: map[batch.JobID]*simJob{}, lastRunAt: map[batch.Task]time.Time{},
		startsOf: map[batch.JobID]int{}, startsOn: map[string]int{}, jobsOn: map[string]map[batch.JobID]bool{},
	}
}

// newSimHarness returns a harness with a queue of advised jobs besides the usual ones.
func newSimHarness() *harness {
	f := newHarness()
	f.Configure(&batch.Config{Routes: []batch.Route{
		{Queue: batch.Queue{Name: "urgent", Service: "s", MaxAttempts: 2, Stretch: 1.5, Objective: 600 * time.Millisecond}},
		{Queue: batch.Queue{Name: "wide", Service: "s", Priority: 2, MaxAttempts: 3, Stretch: 2, Objective: time.Second}},
		{Queue: batch.Queue{Name: "advised", Service: "s", Priority: 1, MaxAttempts: 2, Stretch: 2, Objective: time.Second, Advised: true}},
	}})
	return f
}

// chance draws whether something happens that does so in a percentage of cases.
func (m *simWorld) chance(label string, percent int) bool {
	return rapid.IntRange(1, 100).Draw(m.t, label) > 100-percent
}

// simDraw draws one of xs.
func simDraw[T any](m *simWorld, label string, xs ...T) T {
	return xs[rapid.IntRange(0, len(xs)-1).Draw(m.t, label)]
}

// check fails the example if the accounts of the scheduler are wrong.
func (m *simWorld) check(event string) {
	if err := checkAccounts(m.Scheduler); err != nil {
		m.t.Fatalf("after %s: %v", event, err)
	}
}

// addWorker adds a worker.
func (m *simWorld) addWorker(b batch.Worker) *simWorker {
	b.DataCentre = []string{"d", "e"}[len(m.workers)%2]
	w := &simWorker{Worker: b, runs: map[batch.Task]*modelRun{}, numbers: map[batch.Task]int{}}
	m.workers = append(m.workers, w)
	m.sync(w, false)
	return w
}

// drawWorkers adds random workers.
func (m *simWorld) drawWorkers() {
	for range rapid.IntRange(1, 4).Draw(m.t, "workers") {
		m.drawWorker()
	}
}

// drawWorker adds a random worker.
func (m *simWorld) drawWorker() {
	id := fmt.Sprint(len(m.workers) + 1)
	b := testWorker(id, simDraw(m, "capacity", 4000, 1000, 2000, 8000), simDraw(m, "rack", "r1-1", "r1-2"))
	if m.chance("gpu", 30) {
		b.Labels = append(b.Labels, "gpu")
	}
	if m.chance("shared machine", 30) {
		b.Machine = "shared"
	}
	m.addWorker(b)
}

// sync lets the scheduler record the worker as it really is, under a new fence.
func (m *simWorld) sync(w *simWorker, listTwice bool) {
	w.connected = true
	// Starts without an answer are void unless they were carried out.
	w.unanswered = nil
	runs, ends := w.listed(m.now)
	if listTwice {
		runs = append(runs, runs...)
	}
	m.SyncWorker(m.now, w.hostName(), w.Worker, runs, ends)
	m.check("sync")
}

// addJob adds a job.
func (m *simWorld) addJob(j *simJob) {
	j.Accepted = m.now
	m.jobs[j.ID] = j
	j.stored = &Progress{}
	m.Add(m.now, j.Job, nil, false)
	for i := range j.Steps {
		for n := range j.Steps[i].Count {
			if j.Steps[i].LongRunning {
				m.lastRunAt[batch.Task{Job: j.ID, Step: i, Index: n}] = m.now
			}
		}
	}
	m.check("add")
}

// drawJob adds a random job.
func (m *simWorld) drawJob(endless bool) *simJob {
	j := &simJob{denied: map[string]bool{}}
	queue := simDraw(m, "queue", "urgent", "wide", "advised")
	var steps []batch.Step
	for i := range rapid.IntRange(1, 2).Draw(m.t, "steps") {
		st := testStep(rapid.IntRange(1, 3).Draw(m.t, "count"), simDraw(m, "cpu", 500, 250, 1000, 2000))
		if m.chance("label", 20) {
			st.RequiredLabel = "gpu"
		}
		st.MaxPerWorker = simDraw(m, "max", 0, 0, 1, 2)
		if endless {
			st.LongRunning, st.Image, st.MaxUnavailable = true, simDraw(m, "image", "x", "y"), 1
			if m.chance("target", 50) {
				st.LatencyTarget = 50 * time.Millisecond
			}
		} else {
			st.Estimate = simDraw(m, "duration", time.Second, 300*time.Millisecond, 3*time.Second)
			switch simDraw(m, "kind", 0, 1, 2, 3) {
			case 1:
				st.Gang = true
				st.SameRack = m.chance("same rack", 50)
				st.MaxPerWorker = 0
			case 2:
				st.BestEffort, st.Image = true, simDraw(m, "image", "p", "q")
				st.Checkpoints = m.chance("checkpoints", 50)
			case 3:
				st.DataRack = "r1-1"
			}
			if i > 0 && m.chance("after", 50) {
				st.DependsOn = []int{0}
			}
		}
		steps = append(steps, st)
	}
	if queue == "advised" {
		for _, w := range m.workers {
			if m.chance("denied", 20) {
				j.denied[w.ID] = true
			}
		}
	}
	j.Job = testJob(fmt.Sprintf("j%02d", len(m.jobs)), queue, steps...)
	m.addJob(j)
	return j
}

// workerByKey returns the worker with a key, or nil.
func (m *simWorld) workerByKey(k batch.WorkerKey) *simWorker {
	i := slices.IndexFunc(m.workers, func(w *simWorker) bool { return w.Key() == k })
	if i < 0 {
		return nil
	}
	return m.workers[i]
}

// pass lets time pass, workers report, and the scheduler order.
func (m *simWorld) pass(d time.Duration) {
	m.now = m.now.Add(d)
	m.runWorkers()
	o := m.Schedule(m.now)
	m.check("schedule")
	for _, x := range o.Stops {
		m.checkEvacuationStop(x)
		w := m.workerByKey(x.Key)
		if w == nil || !w.connected {
			continue
		}
		if r := w.runs[x.Task]; r != nil && r.number == x.Number && (r.endsAt.IsZero() || r.endsAt.After(m.now)) {
			r.endsAt, r.how = m.now.Add(100*time.Millisecond), batch.Stopped
		}
		w.numbers[x.Task] = max(w.numbers[x.Task], x.Number)
	}
	for _, x := range o.Starts {
		if m.evacuated[m.workers[slices.IndexFunc(m.workers, func(w *simWorker) bool { return w.ID == x.Key.ID })].DataCentre] {
			m.t.Fatalf("%v starts on worker %s, whose data centre is evacuated", x.Task, x.Key.ID)
		}
		m.startsOf[x.Task.Job]++
		m.startsOn[x.Key.ID]++
		if m.jobsOn[x.Key.ID] == nil {
			m.jobsOn[x.Key.ID] = map[batch.JobID]bool{}
		}
		m.jobsOn[x.Key.ID][x.Task.Job] = true
		m.handleOrder(x)
	}
	m.unsentAdvice = append(m.unsentAdvice, o.AdviceRequests...)
	for _, r := range m.unsentAdvice {
		if !m.calm && m.chance("advice lost", 20) {
			continue
		}
		j := m.jobs[r.Job]
		tickets := map[string]string{}
		for _, id := range r.Workers {
			if !j.denied[id] {
				tickets[id] = "t"
			}
		}
		m.HandleAdvice(m.now, r, tickets, simTicketValidity, !m.calm && m.chance("advice failed", 20))
	}
	m.unsentAdvice = nil
	m.noteRuns()
}

// noteRuns records which long-running tasks run.
func (m *simWorld) noteRuns() {
	for _, w := range m.workers {
		for id, r := range w.runs {
			if r.step.LongRunning {
				m.lastRunAt[id] = m.now
			}
		}
	}
}

// handleOrder carries out a start, or not.
func (m *simWorld) handleOrder(x Start) {
	w := m.workerByKey(x.Key)
	if w == nil || !w.connected {
		return
	}
	answer := func(refused, unhealthy, oldRun bool) {
		m.HandleStartResult(m.now, x.Key, x.Task, x.Number, refused, unhealthy, oldRun)
		m.check("start result")
	}
	switch {
	case w.Draining:
		answer(true, false, false)
		return
	case x.Number <= w.numbers[x.Task]:
		answer(true, false, true)
		return
	case w.runs[x.Task] != nil || !reservation(x.Step).Fits(w.Capacity.Minus(w.used())):
		answer(true, false, false)
		return
	}
	outcome := 0
	if !m.calm {
		outcome = simDraw(m, "outcome", 0, 0, 0, 0, 0, 1, 2, 3, 4)
	}
	switch outcome {
	case 1: // leaseOver, fenced
		answer(true, false, false)
	case 2: // unhealthy, noAnswer
		answer(true, true, false)
	case 3:
		w.unanswered = append(w.unanswered, simStart{Start: x})
	case 4:
		m.carryOut(w, x)
		w.unanswered = append(w.unanswered, simStart{Start: x, running: true})
	default:
		m.carryOut(w, x)
		answer(false, false, false)
	}
}

// carryOut starts a run on w.
func (m *simWorld) carryOut(w *simWorker, x Start) {
	r := &modelRun{number: x.Number, step: x.Step, startedAt: m.now}
	w.numbers[x.Task] = x.Number
	w.runs[x.Task] = r
	switch {
	case w.failing || m.jobs[x.Task.Job].failsAlways:
		r.endsAt, r.how = m.now.Add(simFailureDelay), batch.Failed
	case !x.Step.LongRunning:
		d := x.Step.Estimate
		if w.slow {
			d *= 5
		}
		r.endsAt, r.how = m.now.Add(d), batch.Done
	}
}

// end ends a run on w; the scheduler hears of it if w is connected.
func (m *simWorld) end(w *simWorker, id batch.Task, how batch.EndKind) {
	w.seq++
	e := batch.End{Seq: w.seq, Task: id, Number: w.runs[id].number, How: how}
	delete(w.runs, id)
	w.unacked = append(w.unacked, e)
	if w.connected {
		m.HandleEnds(m.now, w.Key(), []batch.End{e})
		m.check("end")
	}
}

// runWorkers ends the runs that are due and reports the progress of the others.
func (m *simWorld) runWorkers() {
	for _, w := range m.workers {
		for _, id := range slices.SortedFunc(maps.Keys(w.runs), compareTasks) {
			r := w.runs[id]
			if r.step.Gang && m.now.Sub(r.startedAt) > simGangPatience && m.gangIncomplete(id, r) {
				m.end(w, id, batch.GangIncomplete)
				continue
			}
			if !r.endsAt.IsZero() && !m.now.Before(r.endsAt) {
				m.end(w, id, r.how)
			}
		}
		if w.connected {
			runs, _ := w.listed(m.now)
			m.HandleProgress(m.now, w.Key(), runs, false)
		}
	}
	m.check("progress")
}

// gangIncomplete reports whether another task of the gang neither runs nor has ended done under the same number.
func (m *simWorld) gangIncomplete(id batch.Task, r *modelRun) bool {
	for n := range r.step.Count {
		o := id
		o.Index = n
		if !slices.ContainsFunc(m.workers, func(w *simWorker) bool {
			x := w.runs[o]
			return x != nil && x.number == r.number || slices.ContainsFunc(w.unacked, func(e batch.End) bool {
				return e.Task == o && e.Number == r.number && e.How == batch.Done
			})
		}) {
			return true
		}
	}
	return false
}

// drawRun returns a random run.
func (m *simWorld) drawRun() (*simWorker, batch.Task) {
	w := m.drawnWorker()
	ids := slices.SortedFunc(maps.Keys(w.runs), compareTasks)
	if len(ids) == 0 {
		return w, batch.Task{}
	}
	return w, simDraw(m, "run", ids...)
}

// simEvents are the kinds of random events.
var simEvents = []simEvent{
	{"add a job", func(m *simWorld) { m.drawJob(m.chance("long-running", 30)) }},
	{"end a run", func(m *simWorld) {
		if w, id := m.drawRun(); id.Job != "" {
			m.end(w, id, simDraw(m, "how", batch.Failed, batch.Stopped, batch.Lapsed))
		}
	}},
	{"failing worker", func(m *simWorld) { w := m.drawnWorker(); w.failing = !w.failing }},
	{"worker that has failed all", (*simWorld).failRuns},
	{"slow worker", func(m *simWorld) { w := m.drawnWorker(); w.slow = !w.slow }},
	{"break contact", (*simWorld).breakContact},
	{"lose a worker", func(m *simWorld) { m.lapse(m.drawnWorker()) }},
	{"replace a worker", (*simWorld).replaceWorker},
	{"resume a worker", func(m *simWorld) { m.sync(m.drawnWorker(), m.chance("listed twice", 30)) }},
	{"toggle a drain", (*simWorld).toggleDrain},
	{"resolve starts", (*simWorld).resolveStarts},
	{"move a task", (*simWorld).moveTask},
	{"cancel a job", (*simWorld).cancelJob},
	{"store", (*simWorld).store},
	{"take over", (*simWorld).takeOver},
	{"drop descriptions", func(m *simWorld) { m.DropDescriptions(m.now.Add(-time.Second)) }},
	{"remove expired jobs", func(m *simWorld) {
		for _, id := range m.RemoveExpired(m.now.Add(-2 * time.Second)) {
			m.jobs[id].cancelled, m.jobs[id].stored = true, nil
		}
	}},
}

// simEvent is a kind of random event.
type simEvent struct {
	name string
	do   func(*simWorld)
}

// drawnWorker returns a random worker.
func (m *simWorld) drawnWorker() *simWorker { return simDraw(m, "worker", m.workers...) }

// failRuns lets all runs of a worker fail.
func (m *simWorld) failRuns() {
	w := m.drawnWorker()
	for _, id := range slices.SortedFunc(maps.Keys(w.runs), compareTasks) {
		m.end(w, id, batch.Failed)
	}
}

// breakContact lets the scheduler lose a host, whose runs go on.
func (m *simWorld) breakContact() {
	w := m.drawnWorker()
	w.connected = false
	m.MarkUnresponsive(w.hostName())
	m.check("mark unresponsive")
}

// lapse lets the lease of a worker run out, which ends its runs.
func (m *simWorld) lapse(w *simWorker) {
	w.connected = false
	m.MarkUnresponsive(w.hostName())
	for _, id := range slices.SortedFunc(maps.Keys(w.runs), compareTasks) {
		m.end(w, id, batch.Lapsed)
	}
	w.unanswered = nil
	m.RemoveWorker(w.Key())
	m.check("remove worker")
}

// replaceWorker lets a worker come back as a new incarnation, which may carry out a start meant for the former.
func (m *simWorld) replaceWorker() {
	w := m.drawnWorker()
	old := w.Key()
	var carried *simStart
	for _, x := range w.unanswered {
		if !x.running && m.chance("carried out", 50) {
			carried = &x
		}
	}
	w.StartTime++
	w.runs, w.unacked, w.seq = map[batch.Task]*modelRun{}, nil, 0
	w.numbers, w.unanswered = map[batch.Task]int{}, nil
	w.Draining = false
	if carried != nil && m.jobs[carried.Task.Job] != nil {
		m.carryOut(w, carried.Start)
	}
	m.sync(w, false)
	if m.chance("late", 50) {
		m.pass(100 * time.Millisecond)
	}
	m.RemoveWorker(old)
	m.check("remove earlier incarnation")
}

func (m *simWorld) toggleDrain() {
	w := m.drawnWorker()
	w.Draining = !w.Draining
	w.DrainRemaining = 3 * time.Second
	if w.connected {
		m.UpdateWorker(m.now, w.Worker)
	}
	m.check("update worker")
}

// resolveStarts lets the hosts find out what became of the starts without an answer.
func (m *simWorld) resolveStarts() {
	for _, w := range m.workers {
		if !w.connected {
			continue
		}
		xs := w.unanswered
		w.unanswered = nil
		for _, x := range xs {
			w.numbers[x.Task] = max(w.numbers[x.Task], x.Number)
			r := w.runs[x.Task]
			if r != nil && r.number == x.Number {
				// The host has sent a stop.
				r.endsAt, r.how = m.now.Add(100*time.Millisecond), batch.Stopped
			}
			m.HandleStartResult(m.now, x.Key, x.Task, x.Number, !x.running, !x.running, false)
			m.check("late start result")
		}
	}
}

// moveTask moves a long-running task as rearrange does.
func (m *simWorld) moveTask() {
	w, id := m.drawRun()
	t := m.findTask(id)
	if t == nil || t.worker == nil || t.worker.Key() != w.Key() || !t.step.LongRunning || !t.mayBeAway() {
		return
	}
	to := m.findWorker(m.now, t.step, t, &Orders{})
	if to == nil {
		return
	}
	m.moveServing(m.now, t, to, "test")
	m.check("move")
}

func (m *simWorld) cancelJob() {
	ids := slices.Sorted(maps.Keys(m.jobs))
	if len(ids) == 0 {
		return
	}
	j := m.jobs[simDraw(m, "job", ids...)]
	if j.stored == nil {
		return
	}
	j.cancelled = true
	m.Cancel(m.now, j.ID)
	if p, ok := m.Progress(j.ID); ok {
		j.stored = p
	}
	m.check("cancel")
}

// store stores the progress of all jobs, after which the workers forget the ends that were reported.
func (m *simWorld) store() {
	for _, id := range m.TakeDirty() {
		j := m.jobs[id]
		if p, ok := m.Progress(id); ok {
			j.stored = p
			m.MarkStored(id, p)
		}
	}
	for _, w := range m.workers {
		if w.connected {
			w.unacked = nil
		}
	}
	m.check("store")
}

// takeOver replaces the scheduler by a new one, to which the connected workers report what they run.
func (m *simWorld) takeOver() {
	next := newSimHarness()
	next.now, next.recovered = m.now, false
	next.SetEvacuations(slices.Sorted(maps.Keys(m.evacuated)))
	m.harness = next
	for _, id := range slices.Sorted(maps.Keys(m.jobs)) {
		if j := m.jobs[id]; j.stored != nil {
			m.Add(m.now, j.Job, j.stored, true)
		}
	}
	for _, w := range m.workers {
		if w.connected {
			m.sync(w, m.chance("twice", 10))
			if m.chance("pass", 20) {
				m.pass(100 * time.Millisecond)
			}
		}
	}
	for _, w := range m.workers {
		if !w.connected {
			m.lapse(w)
		}
	}
	m.FinishRecovery()
	m.check("finish recovery")
}

// trouble plays random events.
func (m *simWorld) trouble() {
	m.drawWorkers()
	for range rapid.IntRange(1, 3).Draw(m.t, "long-running jobs") {
		m.drawJob(true)
	}
	for range rapid.IntRange(0, 40).Draw(m.t, "events") {
		events := simEvents
		if m.evacuated != nil {
			events = evacuationEvents
		}
		e := simDraw(m, "event", events...)
		m.t.Log(m.now.Sub(testStart), e.name)
		e.do(m)
		m.check(e.name)
		m.pass(simDraw(m, "after", 100*time.Millisecond, 0, 400*time.Millisecond, 1500*time.Millisecond))
	}
}

// calmDown ends all trouble. Workers without contact come back or are lost.
func (m *simWorld) calmDown() {
	m.calm = true
	for _, w := range m.workers {
		w.failing, w.slow = false, false
		for _, r := range w.runs {
			if r.how == batch.Failed && r.endsAt.After(m.now) {
				r.how = batch.Stopped
			}
		}
		switch {
		case w.connected:
		case m.chance("stays away", 30):
			m.lapse(w)
		default:
			m.sync(w, false)
		}
	}
	m.resolveStarts()
}

// checkAccounts compares what the scheduler counts with what its tasks, unassigned runs and moves add up to.
func checkAccounts(s *Scheduler) error {
	if len(s.workers) != len(s.workerList) {
		return fmt.Errorf("%d workers, %d in the list", len(s.workers), len(s.workerList))
	}
	for k, w := range s.workers {
		var reserved batch.Resources
		serving, bestEffort, victims, bestEfforts := 0, 0, 0, 0
		for id, t := range w.tasks {
			if t.worker != w || t.id != id {
				return fmt.Errorf("worker %v lists task %v that is assigned elsewhere", k, id)
			}
			reserved = reserved.Plus(reservation(t.step.Step))
			if t.step.LatencyTarget > 0 {
				victims++
				if !slices.Contains(w.victims, t) {
					return fmt.Errorf("worker %v: %v isn't among its latency-critical tasks", k, id)
				}
			}
			switch {
			case t.step.BestEffort:
				bestEfforts++
				bestEffort += t.step.Need.MilliCPU
			case t.step.LongRunning:
				serving += t.step.Need.MilliCPU
			}
		}
		for _, r := range w.unassignedRuns {
			reserved = reserved.Plus(reservation(r.Step))
		}
		for _, x := range s.moves {
			if x.to == w {
				reserved = reserved.Plus(reservation(x.task.step.Step))
			}
		}
		if w.reserved != reserved || w.servingMilliCPU != serving || w.bestEffortMilliCPU != bestEffort ||
			len(w.victims) != victims || len(w.bestEffort) != bestEfforts {
			return fmt.Errorf("worker %v counts %+v, %d, %d, %d victims, %d best-effort; its tasks add up to %+v, %d, %d, %d, %d", k,
				w.reserved, w.servingMilliCPU, w.bestEffortMilliCPU, len(w.victims), len(w.bestEffort), reserved, serving, bestEffort, victims, bestEfforts)
		}
	}
	for id, j := range s.jobs {
		jobUnfinished := (j.Occurrences() - j.nextOccurrence) * j.tasksPerOccurrence()
		openTasks, waiting, records, slots, steps := 0, 0, 0, 0, 0
		for _, o := range j.occurrences {
			unfinished, assigned := 0, 0
			for i, st := range o.steps {
				if st == nil {
					unfinished += j.Steps[i].Count
					continue
				}
				steps++
				slots += len(st.tasks)
				stepUnfinished, unassigned := 0, 0
				perWorker := map[*worker]int{}
				for _, w := range s.workerList {
					for _, r := range w.unassignedRuns {
						if r == st {
							perWorker[w]++
						}
					}
				}
				for _, t := range st.tasks {
					if t == nil {
						stepUnfinished++
						unassigned++
						continue
					}
					if t == doneTask {
						continue
					}
					records++
					if t.worker != nil {
						assigned++
						if s.workers[t.worker.Key()] != t.worker || t.worker.tasks[t.id] != t {
							return fmt.Errorf("task %v is assigned to worker %v, which doesn't list it", t.id, t.worker.Key())
						}
						perWorker[t.worker]++
					}
					if !t.done {
						stepUnfinished++
						if t.worker == nil {
							unassigned++
						}
					}
				}
				unfinished += stepUnfinished
				if st.unfinished != stepUnfinished || st.unassigned != unassigned {
					return fmt.Errorf("step %d of job %s counts %d unfinished, %d unassigned, not %d, %d", st.index, id, st.unfinished, st.unassigned, stepUnfinished, unassigned)
				}
				if st.MaxPerWorker > 0 && !maps.Equal(perWorker, st.tasksPerWorker) {
					return fmt.Errorf("step %d of job %s counts its tasks by worker as %v, not %v", st.index, id, st.tasksPerWorker, perWorker)
				}
			}
			jobUnfinished += unfinished
			openTasks += unfinished
			if !o.started {
				waiting++
			}
			if o.assigned != assigned || unfinished+assigned == 0 && !j.descriptionDropped {
				return fmt.Errorf("job %s counts %d tasks with a worker in an occurrence with %d, and %d unfinished", id, o.assigned, assigned, unfinished)
			}
			if o.unfinished != unfinished {
				return fmt.Errorf("job %s counts %d unfinished tasks of an occurrence, not %d", id, o.unfinished, unfinished)
			}
		}
		if !j.descriptionDropped && (j.openTasks != openTasks || j.waitingOccurrences != waiting || j.records != records || j.slots != slots || j.openSteps != steps) {
			return fmt.Errorf("job %s counts %d open tasks, %d waiting occurrences, %d records, %d slots, %d steps, not %d, %d, %d, %d, %d", id,
				j.openTasks, j.waitingOccurrences, j.records, j.slots, j.openSteps, openTasks, waiting, records, slots, steps)
		}
		if !j.descriptionDropped && j.unfinished != jobUnfinished {
			return fmt.Errorf("job %s counts %d unfinished tasks, not %d", id, j.unfinished, jobUnfinished)
		}
	}
	return nil
}
