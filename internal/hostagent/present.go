package hostagent

import (
	"math"
	"time"

	"github.com/sesamestream/sesamestream/internal/eventlog"
	"github.com/sesamestream/sesamestream/internal/link"
	"github.com/sesamestream/sesamestream/pkg/batch"
)

// present is a run that the worker said it has.
type present struct {
	number int
	// since is from when all its lists have to name the run, by Steady.
	since time.Duration
}

// notYet is the since of a start that wasn't answered.
const notYet = time.Duration(math.MaxInt64)

// wholeList is how many ends a list holds; one that is full may leave some out.
const wholeList = 500

// ordered notes a start that is about to be sent.
func (h *held) ordered(t batch.Task, run int) {
	h.there[t] = present{run, notYet}
}

// confirmed notes that the worker has a run, unless its end was listed meanwhile.
func (h *held) confirmed(t batch.Task, run int) {
	if p, ok := h.there[t]; ok && p.number == run {
		h.there[t] = present{run, h.agent.Steady()}
	}
}

// absent notes that the worker doesn't have a run.
func (h *held) absent(t batch.Task, run int) {
	if h.there[t].number == run {
		delete(h.there, t)
	}
}

// adopt takes the runs of a snapshot as those that the worker has.
func (h *held) adopt(running []batch.Run) {
	h.there = map[batch.Task]present{}
	for _, r := range running {
		h.there[r.Task] = present{r.Number, h.agent.Steady()}
	}
}

// reconcile compares a list that was asked for at a time with the runs that the
// worker said it has. A run that is neither at work nor over has an end that
// was forgotten before it was seen, as by a call to the life before this one
// that came late; the scheduler then starts the task again.
func (h *held) reconcile(asked time.Duration, l RunLists) {
	listed := map[batch.Task]int{}
	for _, r := range l.Running {
		listed[r.Task] = r.Number
	}
	for _, e := range l.Ended {
		if p, ok := h.there[e.Task]; ok && p.number <= e.Number {
			delete(h.there, e.Task)
		}
	}
	if l.Malformed > 0 || len(l.Ended) >= wholeList {
		return
	}
	for t, p := range h.there {
		if p.since >= asked || listed[t] >= p.number {
			continue
		}
		delete(h.there, t)
		k := h.info.Key()
		h.agent.Log.Warning(eventlog.RunRefused).Str("job", string(t.Job)).Str("task", t.String()).Int("run", p.number).
			Str("worker", k.ID).Str("why", string(link.RefusedRunMissing)).Msg("")
		h.agent.Send(link.Message{StartResult: &link.StartResult{Key: k, Task: t, Number: p.number, Refusal: link.RefusedRunMissing}})
	}
}
