// Package schedule decides which task runs on which worker and when. It
// answers a load in which short urgent jobs, wide jobs that take what is left
// and tasks that last share the same hosts, and in which workers come, go,
// fail and stand still while more work arrives than they can do.
//
// A Scheduler has no I/O and no clock: what happened and the time go in, the
// orders come out of Schedule.
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
	// FirstOfJob is set on the first start of a job, which Waited that long.
	FirstOfJob bool
	QueueDelay time.Duration
	// Reason is for the log: what the choice was made by.
	Reason Reason
}

// A Reason says what a placement was decided by.
type Reason struct {
	Tier  int
	Slack time.Duration
	// Free is what the worker had left before the start.
	Free batch.Resources
	// SpareMilliCPU is the processor time for filling work that was left, in thousandths of a core.
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

// A AdviceRequest asks the policy service about a step.
type AdviceRequest struct {
	Job        batch.JobID
	Occurrence int
	Step       int
	Workers    []string
}

// Orders is what Schedule decided.
type Orders struct {
	Starts         []Start
	Stops          []Stop
	AdviceRequests []AdviceRequest
	// HealthChanges tell of workers that were set aside, or are trusted again.
	HealthChanges []HealthChange
	// Searches counts how often all workers were looked through for a place.
	Searches int
}

// A Scheduler holds all jobs and workers. It's used by one goroutine.
type Scheduler struct {
	jobs map[batch.JobID]*job
	// openJobs are the jobs that weren't over when they were looked at last.
	openJobs map[batch.JobID]*job
	workers  map[batch.WorkerKey]*worker
	// workerList holds the same workers in a row, for searches; the next one begins at next.
	workerList      []*worker
	nextSearchStart int
	// rankingBuffer and starts are the memory of the last ranking and of the starts unseen, for the next ones.
	rankingBuffer candidateHeap
	startsBuffer  []recentStart
	queues        map[string]batch.Queue
	// recovered is set once each host that may run earlier work has been heard or waited out.
	recovered    bool
	pendingStops []Stop
	// healthChanges wait for the next Schedule.
	healthChanges []HealthChange
	dirtyJobs     map[batch.JobID]bool
	// meanWork is the mean meanWork of a queue's jobs.
	meanWork map[string]*runningMean
	// bestEffortPassAt is when filling work had its turn last.
	bestEffortPassAt time.Time
	// judgedAt is when runs were compared with their peers last.
	judgedAt time.Time
	// interference knows which images disturb which.
	interference interfere.Crowding
	variant      policyVariant
}

// policyVariant are choices that a replay can leave out, to compare with what was done before.
type policyVariant struct {
	// delayMoves has every held back task wait for some windows before it's moved.
	delayMoves bool
	// stepStartEffect takes the effect of a start to be in the tails whole after two windows.
	stepStartEffect bool
	// ignoreCompatibility places reserved work by room alone.
	ignoreCompatibility bool
}

// New returns an empty scheduler.
func New() *Scheduler {
	return &Scheduler{
		jobs:      map[batch.JobID]*job{},
		openJobs:  map[batch.JobID]*job{},
		workers:   map[batch.WorkerKey]*worker{},
		queues:    map[string]batch.Queue{},
		dirtyJobs: map[batch.JobID]bool{},
		meanWork:  map[string]*runningMean{},
	}
}

// runningMean is a running runningMean.
type runningMean struct {
	sum float64
	n   int
}

func (m *runningMean) add(v float64) { m.sum += v; m.n++ }

func (m *runningMean) value() float64 {
	if m == nil || m.n == 0 {
		return 1
	}
	return m.sum / float64(m.n)
}

// Configure takes the configuration in force.
func (s *Scheduler) Configure(c *batch.Config) {
	s.queues = c.Queues()
}

// HasQueue reports whether a queue is in the configuration in force.
func (s *Scheduler) HasQueue(queue string) bool {
	_, ok := s.queues[queue]
	return ok
}

// queueConfig returns the queue of j as configured now, or as it was when the queue is gone.
func (s *Scheduler) queueConfig(j *job) batch.Queue {
	if q, ok := s.queues[j.Queue]; ok {
		return q
	}
	return j.Terms
}

// Add takes a job in, with what is stored of its progress, if anything. The
// tasks of an earlier job may run on hosts that weren't heard yet.
func (s *Scheduler) Add(now time.Time, b *batch.Job, p *Progress, earlier bool) {
	if s.jobs[b.ID] != nil {
		return
	}
	j := newJob(b)
	j.addedAt = now
	j.awaitsHosts = earlier && !s.recovered
	if p != nil {
		j.restore(p)
	}
	s.jobs[b.ID], s.openJobs[b.ID] = j, j
	if len(b.Steps) == 0 {
		// Its description was dropped once it was over.
		j.descriptionDropped = true
		return
	}
	m := s.meanWork[b.Queue]
	if m == nil {
		m = &runningMean{}
		s.meanWork[b.Queue] = m
	}
	m.add(j.totalWork)
}

// HasJob reports whether the job was added.
func (s *Scheduler) HasJob(id batch.JobID) bool { return s.jobs[id] != nil }

// Cancel ends a job; its runs are stopped by the next Schedule.
func (s *Scheduler) Cancel(now time.Time, id batch.JobID) {
	j := s.jobs[id]
	if j == nil || j.state.Final() {
		return
	}
	j.finish(now, batch.Cancelled)
	j.finalStateStored = true
	s.dirtyJobs[id] = true
	s.stopJob(j, "cancelled")
}

func (s *Scheduler) stopJob(j *job, why string) {
	j.forEachTask(func(t *task) {
		if t.worker != nil && !t.stopping {
			s.orderStop(t, why)
		}
	})
}

func (s *Scheduler) orderStop(t *task, why string) {
	t.stopping = true
	s.pendingStops = append(s.pendingStops, Stop{Key: t.worker.Key(), Host: t.worker.host, Task: t.id, Number: t.run, Reason: why})
}

// FinishRecovery says that no host may run earlier work unheard.
func (s *Scheduler) FinishRecovery() {
	s.recovered = true
	for _, j := range s.jobs {
		if !j.awaitsHosts {
			continue
		}
		j.awaitsHosts = false
		j.forEachTask(func(t *task) {
			// A start that nobody noted may have used the next numbers.
			if t.worker == nil && !t.done {
				t.run += maxUnrecordedStarts
			}
		})
	}
}

// maxUnrecordedStarts is how many starts of one task an earlier scheduler may have
// made since its last record: one each round trip in the time of a flush.
const maxUnrecordedStarts = 16

// Recovered reports whether Settle was called.
func (s *Scheduler) Recovered() bool { return s.recovered }

// State returns what callers are told of a job.
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

// TakeDirty returns the jobs whose progress has to be stored, and forgets them.
func (s *Scheduler) TakeDirty() []batch.JobID {
	ids := make([]batch.JobID, 0, len(s.dirtyJobs))
	for id := range s.dirtyJobs {
		ids = append(ids, id)
	}
	clear(s.dirtyJobs)
	return ids
}

// Progress returns what is to be stored of a job.
func (s *Scheduler) Progress(id batch.JobID) (*Progress, bool) {
	j := s.jobs[id]
	if j == nil {
		return nil, false
	}
	return j.progress(), true
}

// MarkStored says that the progress of a job up to version is stored.
func (s *Scheduler) MarkStored(id batch.JobID, p *Progress) {
	if j := s.jobs[id]; j != nil && p.State.Final() && p.State == j.state {
		j.finalStateStored = true
	}
}

// MarkDirty marks a job whose progress couldn't be stored.
func (s *Scheduler) MarkDirty(id batch.JobID) { s.dirtyJobs[id] = true }

// RemoveExpired removes the jobs that ended before the time and returns them.
func (s *Scheduler) RemoveExpired(before time.Time) []batch.JobID {
	var ids []batch.JobID
	for id, j := range s.jobs {
		if j.state.Final() && j.finalStateStored && j.endedAt.Before(before) {
			ids = append(ids, id)
			delete(s.jobs, id)
		}
	}
	return ids
}

// DropDescriptions drops the descriptions of jobs that were over before the time and of
// which nothing runs any more, and returns what is left of them.
func (s *Scheduler) DropDescriptions(before time.Time) []*batch.Job {
	var jobs []*batch.Job
	for _, j := range s.jobs {
		if j.descriptionDropped || !j.state.Final() || !j.finalStateStored || !j.endedAt.Before(before) || j.running() {
			continue
		}
		j.Job = &batch.Job{ID: j.ID, Queue: j.Queue, Accepted: j.Accepted}
		j.occurrences, j.descriptionDropped = nil, true
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
