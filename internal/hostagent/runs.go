package hostagent

import (
	"math"
	"time"

	"github.com/sesamestream/sesamestream/internal/eventlog"
	"github.com/sesamestream/sesamestream/internal/link"
	"github.com/sesamestream/sesamestream/pkg/batch"
)

// knownRun is a run that the worker has reported, or that a start was sent for.
type knownRun struct {
	number int
	// listedFrom is the time, by Steady, from which every list that is asked for must contain the run.
	listedFrom time.Duration
}

// unconfirmed is the listedFrom value of a run whose start wasn't answered.
const unconfirmed = time.Duration(math.MaxInt64)

// maxListedEnds is the most ends that a list holds; a full list may leave some out.
const maxListedEnds = 500

// startOrdered records a start that is about to be sent.
func (h *workerHandle) startOrdered(t batch.Task, run int) {
	h.knownRuns[t] = knownRun{run, unconfirmed}
}

// runConfirmed records that the worker has a run, unless its end has been listed in the meantime.
func (h *workerHandle) runConfirmed(t batch.Task, run int) {
	if p, ok := h.knownRuns[t]; ok && p.number == run {
		h.knownRuns[t] = knownRun{run, h.agent.Steady()}
	}
}

// runAbsent records that the worker doesn't have a run.
func (h *workerHandle) runAbsent(t batch.Task, run int) {
	if h.knownRuns[t].number == run {
		delete(h.knownRuns, t)
	}
}

// setKnownRuns replaces the known runs by those of a snapshot.
func (h *workerHandle) setKnownRuns(running []batch.Run) {
	h.knownRuns = map[batch.Task]knownRun{}
	for _, r := range running {
		h.knownRuns[r.Task] = knownRun{r.Number, h.agent.Steady()}
	}
}

// reconcile compares the lists of a poll that was sent at polledAt with the known
// runs. The worker has forgotten the end of a run that is listed neither as
// running nor as ended, for example because a late call to the previous
// incarnation acknowledged it. Such a run is reported, and the scheduler starts the task again.
// Until the snapshot is acknowledged the scheduler may not have handled it, and takes neither
// such a report nor the ends.
func (h *workerHandle) reconcile(polledAt time.Duration, l RunLists) {
	if !h.snapshotAcked {
		return
	}
	listed := map[batch.Task]int{}
	for _, r := range l.Running {
		listed[r.Task] = r.Number
	}
	for _, e := range l.Ended {
		if p, ok := h.knownRuns[e.Task]; ok && p.number <= e.Number {
			delete(h.knownRuns, e.Task)
		}
	}
	if l.Malformed > 0 || len(l.Ended) >= maxListedEnds {
		return
	}
	for t, p := range h.knownRuns {
		if p.listedFrom >= polledAt || listed[t] >= p.number {
			continue
		}
		delete(h.knownRuns, t)
		k := h.info.Key()
		h.agent.Log.Warning(eventlog.RunRefused).Str("job", string(t.Job)).Str("task", t.String()).Int("run", p.number).
			Str("worker", k.ID).Str("why", string(link.RefusedRunMissing)).Msg("")
		h.agent.Send(link.Message{StartResult: &link.StartResult{Key: k, Task: t, Number: p.number, Refusal: link.RefusedRunMissing}})
	}
}
