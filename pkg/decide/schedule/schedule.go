// Package schedule decides which task runs on which worker and when. It handles a
// load in which short urgent jobs, wide best-effort jobs and long-running tasks
// share the same hosts, and in which workers join, leave, fail and stall while
// more work arrives than they can do.
//
// A Scheduler has no I/O and no clock: events and the time are its input, and
// Schedule returns its orders.
package schedule

import (
	"time"

	"github.com/sesamestream/sesamestream/pkg/batch"
	"github.com/sesamestream/sesamestream/pkg/decide/interfere"
)

// A Start is an order to start a run.
type Start struct {
	Key        batch.WorkerKey
	Host       string
	Task       batch.Task
	Number     int
	Checkpoint string
	Ticket     string
	Step       *batch.Step
	Spec       string
	// FirstOfJob is set on the first start of a job. QueueDelay is the time since the job was added.
	FirstOfJob bool
	QueueDelay time.Duration
	// Reason is logged with the start.
	Reason Reason
}

// A Reason holds the inputs of a placement decision.
type Reason struct {
	Tier  int
	Slack time.Duration
	// Free is the free capacity of the worker before the start.
	Free batch.Resources
	// SpareMilliCPU is the processor time that was left for best-effort tasks, in thousandths of a core.
	SpareMilliCPU int
}

// A Stop is an order to stop a run.
type Stop struct {
	Key    batch.WorkerKey
	Host   string
	Task   batch.Task
	Number int
	Reason string
}

// An AdviceRequest asks the policy service which of the workers may run a step.
type AdviceRequest struct {
	Job        batch.JobID
	Occurrence int
	Step       int
	Workers    []string
}

// Orders are the decisions of one call of Schedule.
type Orders struct {
	Starts []Start
	Stops  []Stop
	// AdviceRequests holds one request at most. The next one follows the call of HandleAdvice for it.
	AdviceRequests []AdviceRequest
	// HealthChanges are the workers whose quarantine started or ended.
	HealthChanges []HealthChange
	// Waits tell why long-running tasks have no worker.
	Waits []Wait
	// Yields tell why tasks were stopped for urgent work.
	Yields []Yield
	// Searches counts the searches over the workers.
	Searches int
}

// A Scheduler holds all jobs and workers. It must be used by one goroutine only.
type Scheduler struct {
	jobs map[batch.JobID]*job
	// earlyCancellations are the cancellations of jobs that weren't added yet, with their times.
	earlyCancellations map[batch.JobID]time.Time
	// openJobs are the jobs that weren't final in the last pass.
	openJobs map[batch.JobID]*job
	workers  map[batch.WorkerKey]*worker
	// workerList holds the same workers as a list for searches; the next search starts at nextSearchStart.
	workerList      []*worker
	nextSearchStart int
	// rankingBuffer is reused by rank.
	rankingBuffer candidateHeap
	queues        map[string]batch.Queue
	// evacuations are the data centres whose evacuation is requested.
	evacuations map[string]bool
	// evacuatedAt is when tasks to move out of these were last searched.
	evacuatedAt time.Time
	// evacuationMoveAt is when a task was last moved out; the next search begins with the worker nextEvacuated.
	evacuationMoveAt time.Time
	nextEvacuated    int
	// recovered is set once each host that may run tasks of an earlier scheduler has
	// connected or its wait limit is over.
	recovered    bool
	pendingStops []Stop
	// lateStarts are the tasks with a start that may still be carried out late.
	lateStarts []*task
	// healthChanges are returned by the next Schedule.
	healthChanges []HealthChange
	requests      adviceRequests
	dirtyJobs     map[batch.JobID]bool
	// bestEffortPassAt is when all pending best-effort steps were last placed.
	bestEffortPassAt time.Time
	// judgedAt is when the progress of runs was last compared with their peers.
	judgedAt time.Time
	// interference estimates which images interfere with which.
	interference interfere.OccupancyModel[*step]
	// holds keep room for waiting long-running tasks; heldAt is when room was last looked for.
	holds  []*hold
	heldAt time.Time
	// waitsReportedAt is when waiting tasks were last reported.
	waitsReportedAt time.Time
	// moves are the latency-critical tasks on their way to another worker; rearrangedAt is
	// when moves were last searched, nextMoveSource where the next search starts.
	moves          []*servingMove
	rearrangedAt   time.Time
	nextMoveSource int
	load           loadState
	// yields are the rooms that running tasks yield to urgent work; yieldedAt is when such tasks were last searched.
	yields []*roomYield
	// unplaced is what the waiting long-running tasks need, as of the last pass.
	unplaced  []unplacedNeed
	yieldedAt time.Time
	// addedBytes is the sum of the footprints of all jobs that were added.
	addedBytes int64
	variant    policyVariant
}

// policyVariant disables single rules, so that a replay can compare their effect.
type policyVariant struct {
	// delayMoves makes every throttled task wait for minThrottledTime before it is moved.
	delayMoves bool
	// arrivalOrder places equally urgent jobs in the order of their arrival, deadlineOrder in that of their slack.
	arrivalOrder, deadlineOrder bool
	// workOrder places equally urgent jobs by their remaining work with ageing, also the late
	// ones, and valueOrder by value per core-second, which late jobs have up to three objectives.
	workOrder, valueOrder bool
	// constantServingUse takes the same part of each reservation of latency-critical tasks for used.
	constantServingUse bool
	// keepArrangement leaves latency-critical tasks on their workers.
	keepArrangement bool
	// ignoreSlowWorkers takes no tail latency for that of a slow worker.
	ignoreSlowWorkers bool
	// ignoreCompatibility places reserved tasks by free capacity alone.
	ignoreCompatibility bool
	// noYields lets no running work yield, yieldByPriority finite work of lower priority whatever it costs.
	noYields, yieldByPriority bool
}

// New returns an empty scheduler.
func New() *Scheduler {
	return &Scheduler{
		jobs:               map[batch.JobID]*job{},
		earlyCancellations: map[batch.JobID]time.Time{},
		openJobs:           map[batch.JobID]*job{},
		workers:            map[batch.WorkerKey]*worker{},
		queues:             map[string]batch.Queue{},
		dirtyJobs:          map[batch.JobID]bool{},
		requests:           adviceRequests{wanting: map[*step]bool{}},
	}
}

// Configure sets the configuration in force.
func (s *Scheduler) Configure(c *batch.Config) {
	s.queues = c.Queues()
}

// HasQueue reports whether a queue is in the configuration in force.
func (s *Scheduler) HasQueue(queue string) bool {
	_, ok := s.queues[queue]
	return ok
}

// queueConfig returns the configuration of j's queue, or the one at j's acceptance if the queue was removed.
func (s *Scheduler) queueConfig(j *job) batch.Queue {
	if q, ok := s.queues[j.Queue]; ok {
		return q
	}
	return j.QueueConfig
}

// Add adds a job with its stored progress, if there is any. Tasks of a job from an
// earlier term may run on hosts that have not connected yet.
func (s *Scheduler) Add(now time.Time, b *batch.Job, p *Progress, fromEarlierTerm bool) {
	if s.jobs[b.ID] != nil {
		return
	}
	j := newJob(b)
	j.addedAt = now
	j.awaitsHosts = fromEarlierTerm && !s.recovered
	if p != nil {
		j.restore(p)
	}
	if !fromEarlierTerm {
		s.predict(now, j)
	}
	s.jobs[b.ID], s.openJobs[b.ID] = j, j
	s.addedBytes += j.footprint()
	if _, ok := s.earlyCancellations[b.ID]; ok {
		delete(s.earlyCancellations, b.ID)
		defer s.Cancel(now, b.ID)
	}
	if len(b.Steps) == 0 {
		// DropDescriptions has removed the description of the finished job.
		j.descriptionDropped = true
	}
}

// HasJob reports whether the job was added.
func (s *Scheduler) HasJob(id batch.JobID) bool { return s.jobs[id] != nil }

// Cancel ends a job; the next Schedule stops its runs. A job that isn't known yet
// ends as soon as it's added.
func (s *Scheduler) Cancel(now time.Time, id batch.JobID) {
	j := s.jobs[id]
	if j == nil {
		s.earlyCancellations[id] = now
		return
	}
	if j.state.Final() {
		return
	}
	j.finish(now, batch.Cancelled)
	j.finalStateStored = true
	s.dirtyJobs[id] = true
	s.stopJob(j, "cancelled")
}

// stopJob stops all runs of a job.
func (s *Scheduler) stopJob(j *job, reason string) {
	j.forEachRecord(func(t *task) {
		if t.worker != nil && !t.stopping {
			s.orderStop(t, reason)
		}
	})
}

// orderStop adds an order to stop the run of t, which the next Schedule returns.
func (s *Scheduler) orderStop(t *task, reason string) {
	t.stopping = true
	s.pendingStops = append(s.pendingStops, Stop{Key: t.worker.Key(), Host: t.worker.host, Task: t.id, Number: t.run, Reason: reason})
}

// FinishRecovery records that no unconnected host can run tasks of an earlier scheduler.
func (s *Scheduler) FinishRecovery() {
	s.recovered = true
	for _, j := range s.jobs {
		if !j.awaitsHosts {
			continue
		}
		j.awaitsHosts = false
		// A start that was never stored may have used the next run numbers.
		j.firstRun += maxUnrecordedStarts
		j.forEachRecord(func(t *task) {
			if t.worker == nil && !t.done {
				t.run += maxUnrecordedStarts
			}
		})
	}
}

// maxUnrecordedStarts bounds the starts of one task that an earlier scheduler may
// have made since it last stored the task: one per round trip within a flush interval.
const maxUnrecordedStarts = 16

// Recovered reports whether FinishRecovery was called.
func (s *Scheduler) Recovered() bool { return s.recovered }

// State returns the state of a job as reported to callers.
func (s *Scheduler) State(id batch.JobID) (batch.JobState, bool) {
	j := s.jobs[id]
	if j == nil {
		return "", false
	}
	if j.state.Final() && j.finalStateStored {
		return j.state, true
	}
	if j.started {
		return batch.Running, true
	}
	return batch.Queued, true
}

// PendingJobs returns how many jobs of a queue wait for their first start.
func (s *Scheduler) PendingJobs(queue string) int {
	n := 0
	for _, j := range s.openJobs {
		if j.Queue == queue && !j.started && !j.state.Final() {
			n++
		}
	}
	return n
}

// TakeDirty returns the jobs whose progress has to be stored and clears the list.
func (s *Scheduler) TakeDirty() []batch.JobID {
	ids := make([]batch.JobID, 0, len(s.dirtyJobs))
	for id := range s.dirtyJobs {
		ids = append(ids, id)
	}
	clear(s.dirtyJobs)
	return ids
}

// Progress returns the state of a job to be stored.
func (s *Scheduler) Progress(id batch.JobID) (*Progress, bool) {
	j := s.jobs[id]
	if j == nil {
		return nil, false
	}
	return j.progress(), true
}

// MarkStored records that the progress p of a job is stored.
func (s *Scheduler) MarkStored(id batch.JobID, p *Progress) {
	if j := s.jobs[id]; j != nil && p.State.Final() && p.State == j.state {
		j.finalStateStored = true
	}
}

// MarkDirty marks a job whose progress couldn't be stored, so that it is stored again.
func (s *Scheduler) MarkDirty(id batch.JobID) { s.dirtyJobs[id] = true }

// RemoveExpired removes the finished jobs that ended before the given time and have no runs left, and the
// cancellations from before it of jobs that were never added. It returns the IDs of all these jobs.
func (s *Scheduler) RemoveExpired(before time.Time) []batch.JobID {
	var ids []batch.JobID
	for id, at := range s.earlyCancellations {
		if at.Before(before) {
			delete(s.earlyCancellations, id)
			ids = append(ids, id)
		}
	}
	for id, j := range s.jobs {
		if j.state.Final() && j.finalStateStored && j.endedAt.Before(before) && !j.running() {
			ids = append(ids, id)
			delete(s.jobs, id)
		}
	}
	return ids
}

// DropDescriptions drops the descriptions of jobs that ended before the given time
// and have no runs left. It returns the jobs as they are now.
func (s *Scheduler) DropDescriptions(before time.Time) []*batch.Job {
	var jobs []*batch.Job
	for _, j := range s.jobs {
		if j.descriptionDropped || !j.state.Final() || !j.finalStateStored || !j.endedAt.Before(before) || j.running() {
			continue
		}
		j.Job = &batch.Job{ID: j.ID, Queue: j.Queue, Accepted: j.Accepted}
		j.descriptionDropped = true
		j.dropOccurrences()
		jobs = append(jobs, j.Job)
	}
	return jobs
}

// Job returns the description of a job.
func (s *Scheduler) Job(id batch.JobID) (*batch.Job, bool) {
	j := s.jobs[id]
	if j == nil {
		return nil, false
	}
	return j.Job, true
}
