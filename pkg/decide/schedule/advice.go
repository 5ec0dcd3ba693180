package schedule

import (
	"time"

	"github.com/sesamestream/sesamestream/pkg/batch"
)

// advice is what the policy service said of a step.
type advice struct {
	tickets map[batch.WorkerKey]grant
	denied  map[string]bool
	asked   time.Time
	waiting bool
}

type grant struct {
	ticket string
	until  time.Time
}

const (
	adviceUnknown = iota
	adviceNo
	adviceYes
)

const (
	// advicePause is how long an unanswered question waits before it's asked again; above the decision's time on 30 workers.
	advicePause = 2 * time.Second
	// adviceBatch is how many workers one question names: as many as the objective of a step counts.
	adviceBatch = 30
	// ticketMargin keeps a ticket from ending on its way to the worker.
	ticketMargin = 500 * time.Millisecond
)

func (a *advice) answer(now time.Time, w *worker) int {
	if g, ok := a.tickets[w.Key()]; ok {
		if now.Before(g.until) {
			return adviceYes
		}
		return adviceUnknown
	}
	if a.denied[w.ID] {
		return adviceNo
	}
	return adviceUnknown
}

func (a *advice) ticket(now time.Time, w *worker) string {
	if g, ok := a.tickets[w.Key()]; ok && now.Before(g.until) {
		return g.ticket
	}
	return ""
}

func (a *advice) ask(now time.Time, st *step, ids []string, o *Orders) {
	if a.waiting && now.Sub(a.asked) < advicePause {
		return
	}
	a.waiting, a.asked = true, now
	o.Wants = append(o.Wants, Want{
		Job: st.job.ID, Occurrence: st.tasks[0].id.Occurrence, Step: st.index, Workers: ids[:min(len(ids), adviceBatch)],
	})
}

// Advised takes in an answer of the policy service, or that there was none.
func (s *Scheduler) Advised(now time.Time, w Want, tickets map[string]string, valid time.Duration, failed bool) {
	j := s.jobs[w.Job]
	if j == nil || w.Occurrence >= len(j.runs) || w.Step >= len(j.Steps) {
		return
	}
	a := &j.runs[w.Occurrence].steps[w.Step].advice
	a.waiting = failed
	if failed {
		return
	}
	if a.tickets == nil {
		a.tickets, a.denied = map[batch.WorkerKey]grant{}, map[string]bool{}
	}
	asked := map[string]bool{}
	for _, id := range w.Workers {
		asked[id] = true
	}
	for k, x := range s.workers {
		if !asked[x.ID] {
			continue
		}
		if t, ok := tickets[x.ID]; ok {
			a.tickets[k] = grant{t, now.Add(valid - ticketMargin)}
		} else {
			a.denied[x.ID] = true
		}
	}
}
