package schedule

import (
	"time"

	"github.com/sesamestream/sesamestream/pkg/batch"
)

// advice holds the answers of the policy service for one step.
type advice struct {
	tickets     map[batch.WorkerKey]grant
	denied      map[string]bool
	requestedAt time.Time
	// pending is set while a request has no answer, and stays set after a failed one.
	pending bool
}

// grant is a ticket to run tasks of a step on one worker.
type grant struct {
	ticket     string
	validUntil time.Time
}

const (
	// The policy service has not decided on the worker, or its ticket has expired.
	adviceUnknown = iota
	adviceDenied
	adviceGranted
)

const (
	// adviceRetryInterval is how long an unanswered request waits before it is sent again.
	// It is longer than the policy service takes to decide on 30 workers.
	adviceRetryInterval = 2 * time.Second
	// maxAdviceWorkers bounds the workers named in one request. The objective of a step counts as many.
	maxAdviceWorkers = 30
	// ticketExpiryMargin keeps a ticket from expiring on its way to the worker.
	ticketExpiryMargin = 500 * time.Millisecond
)

// decision returns whether the policy service allows the step on w.
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

// validTicket returns the unexpired ticket for w, or an empty string.
func (a *advice) validTicket(now time.Time, w *worker) string {
	if g, ok := a.tickets[w.Key()]; ok && now.Before(g.validUntil) {
		return g.ticket
	}
	return ""
}

// request adds a request for the workers to o, unless a recent one is unanswered.
func (a *advice) request(now time.Time, st *step, workerIDs []string, o *Orders) {
	if a.pending && now.Sub(a.requestedAt) < adviceRetryInterval {
		return
	}
	a.pending, a.requestedAt = true, now
	o.AdviceRequests = append(o.AdviceRequests, AdviceRequest{
		Job: st.job.ID, Occurrence: st.tasks[0].id.Occurrence, Step: st.index, Workers: workerIDs[:min(len(workerIDs), maxAdviceWorkers)],
	})
}

// DropTicket drops the ticket that a worker refused, so that the policy service is asked again.
func (s *Scheduler) DropTicket(k batch.WorkerKey, id batch.Task) {
	if t := s.findTask(id); t != nil {
		delete(t.step.advice.tickets, k)
	}
}

// HandleAdvice records the answer of the policy service to r, or that the request failed.
func (s *Scheduler) HandleAdvice(now time.Time, r AdviceRequest, tickets map[string]string, validFor time.Duration, failed bool) {
	j := s.jobs[r.Job]
	if j == nil || r.Occurrence >= len(j.occurrences) || r.Step >= len(j.Steps) {
		return
	}
	a := &j.occurrences[r.Occurrence].steps[r.Step].advice
	a.pending = failed
	if failed {
		return
	}
	if a.tickets == nil {
		a.tickets, a.denied = map[batch.WorkerKey]grant{}, map[string]bool{}
	}
	requested := map[string]bool{}
	for _, id := range r.Workers {
		requested[id] = true
	}
	for k, x := range s.workers {
		if !requested[x.ID] {
			continue
		}
		if t, ok := tickets[x.ID]; ok {
			a.tickets[k] = grant{t, now.Add(validFor - ticketExpiryMargin)}
		} else {
			a.denied[x.ID] = true
		}
	}
}
