package schedule

import (
	"time"

	"github.com/sesamestream/sesamestream/pkg/batch"
)

// advice is what the policy service said of a step.
type advice struct {
	tickets     map[batch.WorkerKey]grant
	denied      map[string]bool
	requestedAt time.Time
	pending     bool
}

type grant struct {
	ticket     string
	validUntil time.Time
}

const (
	adviceUnknown = iota
	adviceDenied
	adviceGranted
)

const (
	// adviceRetryInterval is how long an unanswered question waits before it's asked again; above the decision's time on 30 workers.
	adviceRetryInterval = 2 * time.Second
	// maxAdviceWorkers is how many workers one question names: as many as the objective of a step counts.
	maxAdviceWorkers = 30
	// ticketExpiryMargin keeps a ticket from ending on its way to the worker.
	ticketExpiryMargin = 500 * time.Millisecond
)

func (a *advice) decision(now time.Time, w *worker) int {
	if g, ok := a.tickets[w.Key()]; ok {
		if now.Before(g.validUntil) {
			return adviceGranted
		}
		return adviceUnknown
	}
	if a.denied[w.ID] {
		return adviceDenied
	}
	return adviceUnknown
}

func (a *advice) validTicket(now time.Time, w *worker) string {
	if g, ok := a.tickets[w.Key()]; ok && now.Before(g.validUntil) {
		return g.ticket
	}
	return ""
}

func (a *advice) request(now time.Time, st *step, ids []string, o *Orders) {
	if a.pending && now.Sub(a.requestedAt) < adviceRetryInterval {
		return
	}
	a.pending, a.requestedAt = true, now
	o.AdviceRequests = append(o.AdviceRequests, AdviceRequest{
		Job: st.job.ID, Occurrence: st.tasks[0].id.Occurrence, Step: st.index, Workers: ids[:min(len(ids), maxAdviceWorkers)],
	})
}

// HandleAdvice takes in an answer of the policy service, or that there was none.
func (s *Scheduler) HandleAdvice(now time.Time, w AdviceRequest, tickets map[string]string, valid time.Duration, failed bool) {
	j := s.jobs[w.Job]
	if j == nil || w.Occurrence >= len(j.occurrences) || w.Step >= len(j.Steps) {
		return
	}
	a := &j.occurrences[w.Occurrence].steps[w.Step].advice
	a.pending = failed
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
			a.tickets[k] = grant{t, now.Add(valid - ticketExpiryMargin)}
		} else {
			a.denied[x.ID] = true
		}
	}
}
