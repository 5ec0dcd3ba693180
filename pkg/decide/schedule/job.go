package schedule

import (
	"slices"
	"time"

	"github.com/sesamestream/sesamestream/pkg/batch"
	"github.com/sesamestream/sesamestream/pkg/decide/straggle"
)

// job is a job with what has become of it.
type job struct {
	*batch.Job
	arrived time.Time
	state   batch.JobState
	ended   time.Time
	// stored is set once the final state is in the store.
	stored bool
	// shrunk jobs are over, and known by their ID and state only.
	shrunk bool
	// begun is set once a task has started.
	begun bool
	// earlier jobs may run on hosts that weren't heard yet.
	earlier bool
	// failedOn is the machine on which a task of it failed first.
	failedOn string
	runs     []*occurrence
	// left counts the tasks that aren't done.
	left int
	// total is the estimated work of the job, remaining what is left of it, in core-seconds.
	total, remaining float64
	// chain is the estimated time of its longest chain of steps.
	chain time.Duration
}

// occurrence is one run of all steps.
type occurrence struct {
	due   time.Time
	steps []*step
	left  int
}

// step is one step of an occurrence.
type step struct {
	*batch.Step
	job   *job
	at    *occurrence
	index int
	// ahead is the estimated time from its start to the end of the occurrence.
	ahead time.Duration
	tasks []*task
	left  int
	// waiting counts the tasks that have no worker and aren't done.
	waiting int
	// counts is how many tasks a worker has, where MaxPerWorker bounds it.
	counts map[*worker]int
	// run is the number of the newest run of a gang.
	run      int
	failures []int
	saved    string
	advice   advice
	// idle is since when it's ready and none of its tasks has a worker.
	idle time.Time
	// looked is set once a place was looked for, for all tasks that wait.
	looked bool
	// moved is when a place to move one of its tasks to was looked for last.
	moved time.Time
	// peers are the times that its tasks took.
	peers straggle.Peers
}

// task is one task of an occurrence.
type task struct {
	id       batch.Task
	step     *step
	done     bool
	run      int
	failures []int
	saved    string
	worker   *worker
	tail     tail
	// slow is since when the host holds the task back; zero where it doesn't.
	slow time.Time
	// unmoved is until when it stays where it is.
	unmoved  time.Time
	started  time.Time
	there    bool
	stopping bool
	percent  int
	// seen is when the worker listed its progress first, and from which percent
	// on; rose is when it rose last, and told when it was listed last.
	seen, rose, told time.Time
	from             int
	// given counts the runs that were given up as their worker held them up.
	given int
	// avoid is the machine on which it failed or stood still last.
	avoid string
	// failed is when it failed last.
	failed time.Time
	// again is when it may be tried again.
	again time.Time
}

func newJob(b *batch.Job) *job {
	j := &job{Job: b, state: batch.Queued}
	for k := range b.Occurrences() {
		o := &occurrence{}
		if b.Repeat > 0 {
			o.due = b.Start.Add(time.Duration(k) * b.Interval)
		}
		for i := range b.Steps {
			st := &step{Step: &b.Steps[i], job: j, at: o, index: i, ahead: ahead(b, i), left: b.Steps[i].Count, waiting: b.Steps[i].Count}
			if st.MaxPerWorker > 0 {
				st.counts = map[*worker]int{}
			}
			for n := range st.Count {
				st.tasks = append(st.tasks, &task{id: batch.Task{Job: b.ID, Occurrence: k, Step: i, Index: n}, step: st})
			}
			o.steps = append(o.steps, st)
			o.left += st.Count
		}
		j.runs = append(j.runs, o)
		j.left += o.left
	}
	j.total = totalWork(b)
	j.remaining = j.total
	j.chain = chain(b)
	return j
}

// chain returns the estimated time of the longest chain of steps.
func chain(b *batch.Job) time.Duration {
	ends := make([]time.Duration, len(b.Steps))
	var longest time.Duration
	for i, s := range b.Steps {
		var begin time.Duration
		for _, a := range s.After {
			begin = max(begin, ends[a])
		}
		ends[i] = begin + s.Estimate
		longest = max(longest, ends[i])
	}
	return longest
}

// work returns the estimated core-seconds of one task.
func work(s *batch.Step) float64 {
	return float64(s.Need.MilliCPU) / 1000 * s.Estimate.Seconds()
}

// totalWork returns the estimated core-seconds of a job.
func totalWork(b *batch.Job) float64 {
	w := 0.0
	for i := range b.Steps {
		w += work(&b.Steps[i]) * float64(b.Steps[i].Count)
	}
	return w * float64(b.Occurrences())
}

// ahead returns the estimated time from the start of a step to the end of its occurrence.
func ahead(b *batch.Job, step int) time.Duration {
	ends := make([]time.Duration, len(b.Steps))
	ends[step] = b.Steps[step].Estimate
	longest := ends[step]
	for i := step + 1; i < len(b.Steps); i++ {
		for _, a := range b.Steps[i].After {
			if ends[a] > 0 {
				ends[i] = max(ends[i], ends[a]+b.Steps[i].Estimate)
			}
		}
		longest = max(longest, ends[i])
	}
	return longest
}

func (j *job) each(f func(*task)) {
	for _, o := range j.runs {
		for _, s := range o.steps {
			for _, t := range s.tasks {
				f(t)
			}
		}
	}
}

func (j *job) find(id batch.Task) *task {
	if id.Occurrence >= len(j.runs) || id.Step >= len(j.Steps) || id.Index >= j.Steps[id.Step].Count {
		return nil
	}
	return j.runs[id.Occurrence].steps[id.Step].tasks[id.Index]
}

func (j *job) finish(now time.Time, s batch.JobState) {
	j.state, j.ended = s, now
}

// running reports whether a worker has a task of the job.
func (j *job) running() bool {
	any := false
	j.each(func(t *task) { any = any || t.worker != nil })
	return any
}

// ready reports whether the steps that s waits for are done.
func (s *step) ready() bool {
	for _, a := range s.After {
		if s.at.steps[a].left > 0 {
			return false
		}
	}
	return true
}

// complete marks a task as done.
func (t *task) complete() {
	if t.done {
		return
	}
	t.done = true
	if t.worker == nil {
		t.step.waiting--
	}
	t.step.left--
	t.step.at.left--
	t.step.job.left--
	t.step.job.remaining -= work(t.step.Step)
}

// assign puts the task on a worker.
func (t *task) assign(w *worker, run int, now time.Time) {
	if t.worker == nil && !t.done {
		t.step.waiting--
	}
	t.worker, t.run, t.started = w, run, now
	t.there, t.stopping, t.percent, t.slow = false, false, 0, time.Time{}
	t.seen, t.rose, t.told, t.from = time.Time{}, time.Time{}, time.Time{}, 0
	w.take(t)
	if t.step.counts != nil {
		t.step.counts[w]++
	}
	t.step.job.begun = true
}

// release takes the task from its worker.
func (t *task) release() {
	w := t.worker
	if w == nil {
		return
	}
	w.free(t)
	if t.step.counts != nil {
		if t.step.counts[w]--; t.step.counts[w] == 0 {
			delete(t.step.counts, w)
		}
	}
	t.worker, t.there, t.stopping = nil, false, false
	if !t.done {
		t.step.waiting++
		t.step.looked = false
	}
}

// A Progress is what the store holds of a job beside its description.
type Progress struct {
	State batch.JobState `json:"state,omitempty"`
	Ended time.Time      `json:"ended,omitzero"`
	Tasks []TaskProgress `json:"tasks,omitempty"`
}

// A TaskProgress is what the store holds of a task that has run.
type TaskProgress struct {
	Occurrence int  `json:"k,omitempty"`
	Step       int  `json:"step,omitempty"`
	Index      int  `json:"index,omitempty"`
	Done       bool `json:"done,omitempty"`
	Run        int  `json:"run,omitempty"`
	// Failures are the numbers of the runs that failed.
	Failures []int  `json:"failures,omitempty"`
	Saved    string `json:"saved,omitempty"`
}

func (j *job) progress() *Progress {
	p := &Progress{Ended: j.ended}
	if j.state.Final() {
		// A job that is over needs nothing else.
		p.State = j.state
		return p
	}
	if j.begun {
		p.State = batch.Running
	}
	j.each(func(t *task) {
		if t.run == 0 && !t.done {
			return
		}
		p.Tasks = append(p.Tasks, TaskProgress{
			Occurrence: t.id.Occurrence, Step: t.id.Step, Index: t.id.Index,
			Done: t.done, Run: t.run, Failures: t.failures, Saved: t.saved,
		})
	})
	return p
}

func (j *job) load(p *Progress) {
	if p.State.Final() {
		j.state, j.ended, j.stored, j.begun = p.State, p.Ended, true, true
		return
	}
	j.begun = p.State == batch.Running
	for _, x := range p.Tasks {
		t := j.find(batch.Task{Job: j.ID, Occurrence: x.Occurrence, Step: x.Step, Index: x.Index})
		if t == nil {
			continue
		}
		t.run, t.failures, t.saved = x.Run, x.Failures, x.Saved
		t.step.run = max(t.step.run, x.Run)
		if t.step.Gang {
			for _, r := range x.Failures {
				t.step.failures = insert(t.step.failures, r)
			}
			if x.Saved != "" {
				t.step.saved = x.Saved
			}
		}
		if x.Done {
			t.complete()
		}
	}
}

// insert adds a run to those that failed, once.
func insert(runs []int, run int) []int {
	if slices.Contains(runs, run) {
		return runs
	}
	return append(runs, run)
}

// attempts returns how many runs of the task, or of its gang, have failed.
func (t *task) attempts() int {
	if t.step.Gang {
		return len(t.step.failures)
	}
	return len(t.failures)
}

// lastTry reports whether the next failure of the task ends its job.
func (t *task) lastTry(q batch.Queue) bool {
	n := t.attempts()
	return n > 0 && !t.step.Lasting && n+1 >= q.MaxAttempts
}

// works reports whether a task of the job was done.
func (j *job) works() bool {
	total := 0
	for i := range j.Steps {
		total += j.Steps[i].Count
	}
	return j.left < total*j.Occurrences()
}
