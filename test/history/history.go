// Package history records what callers and workers of a deployment see, and
// tells a test of each promise that it breaks.
package history

import (
	"hash/fnv"
	"maps"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/sesamestream/sesamestream/internal/hostagent/standin"
	"github.com/sesamestream/sesamestream/pkg/batch"
)

// A History is what callers and workers saw. Its exported fields are set before use.
type History struct {
	t     testing.TB
	begin time.Time

	// FailPercent is how many of 100 first runs fail.
	FailPercent uint32
	// ExtraDuration is added to what a task takes.
	ExtraDuration time.Duration

	mu      sync.Mutex
	jobs    map[batch.JobID]*batch.Job
	answers map[batch.JobID][]string
	cancels map[batch.JobID]time.Time
	running map[batch.Task]map[*standin.Worker]int
	done    map[batch.Task]time.Time
	taken   map[batch.Task]bool
	starts  map[batch.JobID]int
}

// New returns an empty history of a deployment that began then.
func New(t testing.TB, begin time.Time) *History {
	return &History{
		t: t, begin: begin, jobs: map[batch.JobID]*batch.Job{}, answers: map[batch.JobID][]string{},
		cancels: map[batch.JobID]time.Time{}, running: map[batch.Task]map[*standin.Worker]int{},
		done: map[batch.Task]time.Time{}, taken: map[batch.Task]bool{}, starts: map[batch.JobID]int{},
	}
}

func (h *History) errorf(format string, args ...any) {
	h.t.Errorf("%.3f s: "+format, append([]any{time.Since(h.begin).Seconds()}, args...)...)
}

func hash(t batch.Task, run int) uint32 {
	f := fnv.New32a()
	_, _ = f.Write([]byte(t.String()))
	_, _ = f.Write([]byte{byte(run)})
	return f.Sum32()
}

// Duration returns how long a task works.
func (h *History) Duration(t batch.Task) time.Duration {
	return 200*time.Millisecond + time.Duration(hash(t, 0)%600)*time.Millisecond + h.ExtraDuration
}

// Fails reports whether a run fails.
func (h *History) Fails(t batch.Task, run int) bool {
	return h.FailPercent > 0 && run == 1 && hash(t, run)%100 < h.FailPercent
}

// Accepted notes that a job was accepted.
func (h *History) Accepted(j *batch.Job) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.jobs[j.ID] = j
	h.answers[j.ID] = append(h.answers[j.ID], "accepted")
}

// Refused notes that a caller was told that a job has not run.
func (h *History) Refused(id batch.JobID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.answers[id] = append(h.answers[id], "refused")
}

// OutcomeUnknown notes that a caller was told nothing for sure.
func (h *History) OutcomeUnknown(id batch.JobID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.answers[id] = append(h.answers[id], "open")
}

// CancelAcked notes that a job's cancelling was acknowledged.
func (h *History) CancelAcked(id batch.JobID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.cancels[id] = time.Now()
}

// RunStarted checks a start: one run at a time, none after a done run that was noted,
// none before the steps it waits for, none of a job that was only refused.
func (h *History) RunStarted(w *standin.Worker, t batch.Task, run int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.starts[t.Job]++
	for o, n := range h.running[t] {
		h.errorf("%s runs twice: run %d on %s and run %d on %s", t, n, o.Info.ID, run, w.Info.ID)
	}
	if h.running[t] == nil {
		h.running[t] = map[*standin.Worker]int{}
	}
	h.running[t][w] = run
	if h.taken[t] {
		h.errorf("%s starts as run %d after its end was noted", t, run)
	}
	if at, ok := h.cancels[t.Job]; ok && time.Since(at) > 3*time.Second {
		h.errorf("%s starts %v after the cancelling", t, time.Since(at))
	}
	j := h.jobs[t.Job]
	if j == nil {
		return
	}
	for _, a := range j.Steps[t.Step].DependsOn {
		for i := range j.Steps[a].Count {
			x := batch.Task{Job: t.Job, Occurrence: t.Occurrence, Step: a, Index: i}
			if h.done[x].IsZero() {
				h.errorf("%s starts before %s is done", t, x)
			}
		}
	}
}

// RunEnded notes the end of a run.
func (h *History) RunEnded(w *standin.Worker, e batch.End) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.running[e.Task], w)
	if e.How == batch.Done {
		h.done[e.Task] = time.Now()
	}
}

// EndsAcked notes the ends that the worker may forget.
func (h *History) EndsAcked(_ *standin.Worker, ends []batch.End) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, e := range ends {
		if e.How == batch.Done {
			h.taken[e.Task] = true
		}
	}
}

// CheckFinalState checks at the end that nothing was lost and that refusals were true.
func (h *History) CheckFinalState(state func(batch.JobID) (batch.JobState, bool)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for id, as := range h.answers {
		all := true
		for _, a := range as {
			all = all && a == "refused"
		}
		if all && h.starts[id] > 0 {
			h.errorf("job %s was refused each time, and ran", id)
		}
	}
	for id := range h.jobs {
		s, ok := state(id)
		_, cancelled := h.cancels[id]
		switch {
		case !ok:
			h.errorf("accepted job %s is lost", id)
		case cancelled && s.Final():
		case s != batch.Completed:
			h.errorf("job %s is %s at the end", id, s)
		}
	}
}

// DoneCount returns how many tasks were done.
func (h *History) DoneCount() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.done)
}

// StartCount returns how many runs of a job were started.
func (h *History) StartCount(id batch.JobID) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.starts[id]
}

// DoneTasks returns the tasks that were done.
func (h *History) DoneTasks() []batch.Task {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Collect(maps.Keys(h.done))
}
