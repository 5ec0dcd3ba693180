package fleet_test

import (
	"hash/fnv"
	"sync"
	"testing"
	"time"

	"github.com/sesamestream/sesamestream/internal/hostagent/standin"
	"github.com/sesamestream/sesamestream/pkg/batch"
)

// history is what callers and workers saw; it tells what broke a promise.
type history struct {
	t     *testing.T
	begin time.Time

	mu       sync.Mutex
	jobs     map[batch.JobID]*batch.Job
	answers  map[batch.JobID][]string
	cancels  map[batch.JobID]time.Time
	running  map[batch.Task]map[*standin.Worker]int
	done     map[batch.Task]time.Time
	taken    map[batch.Task]bool
	starts   map[batch.JobID]int
	failRate uint32
	// longer is added to what a task takes.
	longer time.Duration
}

func newHistory(t *testing.T, begin time.Time) *history {
	return &history{
		t: t, begin: begin, jobs: map[batch.JobID]*batch.Job{}, answers: map[batch.JobID][]string{},
		cancels: map[batch.JobID]time.Time{}, running: map[batch.Task]map[*standin.Worker]int{},
		done: map[batch.Task]time.Time{}, taken: map[batch.Task]bool{}, starts: map[batch.JobID]int{},
	}
}

func (h *history) errorf(format string, args ...any) {
	h.t.Errorf("%.3f s: "+format, append([]any{time.Since(h.begin).Seconds()}, args...)...)
}

func hash(t batch.Task, run int) uint32 {
	f := fnv.New32a()
	_, _ = f.Write([]byte(t.String()))
	_, _ = f.Write([]byte{byte(run)})
	return f.Sum32()
}

func (h *history) duration(t batch.Task) time.Duration {
	return 200*time.Millisecond + time.Duration(hash(t, 0)%600)*time.Millisecond + h.longer
}

func (h *history) fails(t batch.Task, run int) bool {
	return h.failRate > 0 && run == 1 && hash(t, run)%100 < h.failRate
}

func (h *history) accepted(j *batch.Job) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.jobs[j.ID] = j
	h.answers[j.ID] = append(h.answers[j.ID], "accepted")
}

func (h *history) refused(id batch.JobID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.answers[id] = append(h.answers[id], "refused")
}

func (h *history) open(id batch.JobID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.answers[id] = append(h.answers[id], "open")
}

func (h *history) cancelled(id batch.JobID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.cancels[id] = time.Now()
}

// began checks a start: one run at a time, none after a done run that was noted,
// none before the steps it waits for, none of a job that was only refused.
func (h *history) began(w *standin.Worker, t batch.Task, run int) {
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
	for _, a := range j.Steps[t.Step].After {
		for i := range j.Steps[a].Count {
			x := batch.Task{Job: t.Job, Occurrence: t.Occurrence, Step: a, Index: i}
			if h.done[x].IsZero() {
				h.errorf("%s starts before %s is done", t, x)
			}
		}
	}
}

func (h *history) over(w *standin.Worker, e batch.End) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.running[e.Task], w)
	if e.How == batch.Done {
		h.done[e.Task] = time.Now()
	}
}

func (h *history) noted(_ *standin.Worker, ends []batch.End) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, e := range ends {
		if e.How == batch.Done {
			h.taken[e.Task] = true
		}
	}
}

// settled checks at the end that nothing was lost and that refusals were true.
func (h *history) settled(state func(batch.JobID) (batch.JobState, bool)) {
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
