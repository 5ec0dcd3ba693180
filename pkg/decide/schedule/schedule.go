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
	Key    batch.WorkerKey
	Host   string
	Task   batch.Task
	Number int
	Saved  string
	Ticket string
	Step   *batch.Step
	Spec   string
	// First is set on the first start of a job, which Waited that long.
	First  bool
	Waited time.Duration
	// Why is for the log: what the choice was made by.
	Why Reason
}

// A Reason says what a placement was decided by.
type Reason struct {
	Tier  int
	Slack time.Duration
	// Room is what the worker had left before the start.
	Room batch.Resources
	// Leftover is the processor time for filling work that was left, in thousandths of a core.
	Leftover int
}

// A Stop is an order to stop a run.
type Stop struct {
	Key    batch.WorkerKey
	Host   string
	Task   batch.Task
	Number int
	Why    string
}

// A Want asks the policy service about a step.
type Want struct {
	Job        batch.JobID
	Occurrence int
	Step       int
	Workers    []string
}

// Orders is what Schedule decided.
type Orders struct {
	Starts []Start
	Stops  []Stop
	Wants  []Want
	// Suspicions tell of workers that were set aside, or are trusted again.
	Suspicions []Suspicion
	// Searches counts how often all workers were looked through for a place.
	Searches int
}

// A Scheduler holds all jobs and workers. It's used by one goroutine.
type Scheduler struct {
	jobs map[batch.JobID]*job
	// open are the jobs that weren't over when they were looked at last.
	open    map[batch.JobID]*job
	workers map[batch.WorkerKey]*worker
	// fleet holds the same workers in a row, for searches; the next one begins at next.
	fleet []*worker
	next  int
	// ranked and starts are the memory of the last ranking and of the starts unseen, for the next ones.
	ranked ranking
	starts []unseenStart
	queues map[string]batch.Queue
	// settled is set once each host that may run earlier work has been heard or waited out.
	settled bool
	stops   []Stop
	// suspicions wait for the next Schedule.
	suspicions []Suspicion
	dirty      map[batch.JobID]bool
	// work is the mean work of a queue's jobs.
	work map[string]*mean
	// filled is when filling work had its turn last.
	filled time.Time
	// judged is when runs were compared with their peers last.
	judged time.Time
	// model knows which images disturb which.
	model interfere.Crowding
	rules rules
}

// rules are choices that a replay can leave out, to compare with what was done before.
type rules struct {
	// waitToMove has every held back task wait for some windows before it's moved.
	waitToMove bool
	// startsSeenAtOnce takes the effect of a start to be in the tails whole after two windows.
	startsSeenAtOnce bool
	// spreadReserved places reserved work by room alone.
	spreadReserved bool
}

// New returns an empty scheduler.
func New() *Scheduler {
	return &Scheduler{
		jobs:    map[batch.JobID]*job{},
		open:    map[batch.JobID]*job{},
		workers: map[batch.WorkerKey]*worker{},
		queues:  map[string]batch.Queue{},
		dirty:   map[batch.JobID]bool{},
		work:    map[string]*mean{},
	}
}

// mean is a running mean.
type mean struct {
	sum float64
	n   int
}

func (m *mean) add(v float64) { m.sum += v; m.n++ }

func (m *mean) value() float64 {
	if m == nil || m.n == 0 {
		return 1
	}
	return m.sum / float64(m.n)
}

// Configure takes the configuration in force.
func (s *Scheduler) Configure(c *batch.Config) {
	s.queues = c.Queues()
}

// Serves reports whether a queue is in the configuration in force.
func (s *Scheduler) Serves(queue string) bool {
	_, ok := s.queues[queue]
	return ok
}

// terms returns the queue of j as configured now, or as it was when the queue is gone.
func (s *Scheduler) terms(j *job) batch.Queue {
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
	j.arrived = now
	j.earlier = earlier && !s.settled
	if p != nil {
		j.load(p)
	}
	s.jobs[b.ID], s.open[b.ID] = j, j
	if len(b.Steps) == 0 {
		// Its description was dropped once it was over.
		j.shrunk = true
		return
	}
	m := s.work[b.Queue]
	if m == nil {
		m = &mean{}
		s.work[b.Queue] = m
	}
	m.add(j.total)
}

// Knows reports whether the job was added.
func (s *Scheduler) Knows(id batch.JobID) bool { return s.jobs[id] != nil }

// Cancel ends a job; its runs are stopped by the next Schedule.
func (s *Scheduler) Cancel(now time.Time, id batch.JobID) {
	j := s.jobs[id]
	if j == nil || j.state.Final() {
		return
	}
	j.finish(now, batch.Cancelled)
	j.stored = true
	s.dirty[id] = true
	s.stopAll(j, "cancelled")
}

func (s *Scheduler) stopAll(j *job, why string) {
	j.each(func(t *task) {
		if t.worker != nil && !t.stopping {
			s.stop(t, why)
		}
	})
}

func (s *Scheduler) stop(t *task, why string) {
	t.stopping = true
	s.stops = append(s.stops, Stop{Key: t.worker.Key(), Host: t.worker.host, Task: t.id, Number: t.run, Why: why})
}

// Settle says that no host may run earlier work unheard.
func (s *Scheduler) Settle() {
	s.settled = true
	for _, j := range s.jobs {
		if !j.earlier {
			continue
		}
		j.earlier = false
		j.each(func(t *task) {
			// A start that nobody noted may have used the next numbers.
			if t.worker == nil && !t.done {
				t.run += unheardStarts
			}
		})
	}
}

// unheardStarts is how many starts of one task an earlier scheduler may have
// made since its last record: one each round trip in the time of a flush.
const unheardStarts = 16

// Settled reports whether Settle was called.
func (s *Scheduler) Settled() bool { return s.settled }

// State returns what callers are told of a job.
func (s *Scheduler) State(id batch.JobID) (batch.JobState, bool) {
	j := s.jobs[id]
	if j == nil {
		return "", false
	}
	if j.state.Final() && j.stored {
		return j.state, true
	}
	if j.begun {
		return batch.Running, true
	}
	return batch.Queued, true
}

// Pending returns how many jobs of a queue wait for their first start.
func (s *Scheduler) Pending(queue string) int {
	n := 0
	for _, j := range s.open {
		if j.Queue == queue && !j.begun && !j.state.Final() {
			n++
		}
	}
	return n
}

// Dirty returns the jobs whose progress has to be stored, and forgets them.
func (s *Scheduler) Dirty() []batch.JobID {
	ids := make([]batch.JobID, 0, len(s.dirty))
	for id := range s.dirty {
		ids = append(ids, id)
	}
	clear(s.dirty)
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

// Stored says that the progress of a job up to version is stored.
func (s *Scheduler) Stored(id batch.JobID, p *Progress) {
	if j := s.jobs[id]; j != nil && p.State.Final() && p.State == j.state {
		j.stored = true
	}
}

// Redo marks a job whose progress couldn't be stored.
func (s *Scheduler) Redo(id batch.JobID) { s.dirty[id] = true }

// Expired removes the jobs that ended before the time and returns them.
func (s *Scheduler) Expired(before time.Time) []batch.JobID {
	var ids []batch.JobID
	for id, j := range s.jobs {
		if j.state.Final() && j.stored && j.ended.Before(before) {
			ids = append(ids, id)
			delete(s.jobs, id)
		}
	}
	return ids
}

// Shrink drops the descriptions of jobs that were over before the time and of
// which nothing runs any more, and returns what is left of them.
func (s *Scheduler) Shrink(before time.Time) []*batch.Job {
	var jobs []*batch.Job
	for _, j := range s.jobs {
		if j.shrunk || !j.state.Final() || !j.stored || !j.ended.Before(before) || j.running() {
			continue
		}
		j.Job = &batch.Job{ID: j.ID, Queue: j.Queue, Accepted: j.Accepted}
		j.runs, j.shrunk = nil, true
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
