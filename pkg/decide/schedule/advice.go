package schedule

import (
	"cmp"
	"slices"
	"time"

	"github.com/sesamestream/sesamestream/pkg/batch"
)

// advice holds the answers of the policy service for one step.
type advice struct {
	tickets map[batch.WorkerKey]grant
	denied  map[string]bool
	// wanted are the workers for which searches lacked a decision, wantedAt the time of the last of these searches.
	wanted   []string
	wantedAt time.Time
	// retryAt is the earliest time of the next request after a failed one.
	retryAt time.Time
}

// adviceRequests are the requests to the policy service. It serves one at a time for each calling machine, so one is
// under way at a time, and the next is chosen when that is answered: what waits here has no order that could get old.
type adviceRequests struct {
	// wanting are the steps that want a decision.
	wanting map[*step]bool
	// pending is the request under way, at most until giveUpAt; nil if there is none.
	pending  *AdviceRequest
	giveUpAt time.Time
	// failures counts the failed requests in a row; the next one is sent at pausedUntil at the earliest.
	failures    int
	pausedUntil time.Time
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

// AdviceTimeout is the time within which a request to the policy service has to be answered or counted as failed. It's
// longer than the service takes to decide on 30 workers.
const AdviceTimeout = 2 * time.Second

const (
	// adviceRetryInterval is how long a step waits after a failed request until it's asked about again.
	adviceRetryInterval = 2 * time.Second
	// minAdvicePause and maxAdvicePause bound the pause after a failed request, which doubles with each failure in a row.
	minAdvicePause = 50 * time.Millisecond
	maxAdvicePause = 800 * time.Millisecond
	// adviceWantLifetime is how long a search counts that has lacked a decision. Waiting steps, and tasks that
	// are to move, are searched for at least each second.
	adviceWantLifetime = 2 * time.Second
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

// want records the workers for which a search lacked a decision. Those of earlier passes don't count any more.
func (s *Scheduler) want(now time.Time, st *step, workerIDs []string) {
	a := &st.advice
	if !a.wantedAt.Equal(now) {
		a.wanted = a.wanted[:0]
	}
	for _, id := range workerIDs {
		if len(a.wanted) < maxAdviceWorkers && !slices.Contains(a.wanted, id) {
			a.wanted = append(a.wanted, id)
		}
	}
	a.wantedAt = now
	if len(a.wanted) > 0 {
		s.requests.wanting[st] = true
	}
}

// requestAdvice adds the next request to o, unless one is under way. It's about the first step in the order of
// placement that still needs a decision, and else about one with a task that is to move.
func (s *Scheduler) requestAdvice(now time.Time, pending []pendingStep, o *Orders) {
	r := &s.requests
	if len(r.wanting) == 0 || now.Before(r.pausedUntil) || r.pending != nil && now.Before(r.giveUpAt) {
		return
	}
	for st := range r.wanting {
		if st.unfinished == 0 || st.job.state.Final() || now.Sub(st.advice.wantedAt) > adviceWantLifetime {
			delete(r.wanting, st)
		}
	}
	waiting := map[*step]bool{}
	for _, c := range pending {
		waiting[c.step] = true
		if c.step.unassigned > 0 && r.wanting[c.step] && s.requestFor(now, c.step, o) {
			return
		}
	}
	var moving []*step
	for st := range r.wanting {
		if !waiting[st] {
			moving = append(moving, st)
		}
	}
	slices.SortFunc(moving, func(x, y *step) int {
		return cmp.Or(cmp.Compare(x.job.ID, y.job.ID), x.occurrence.startAt.Compare(y.occurrence.startAt), cmp.Compare(x.index, y.index))
	})
	for _, st := range moving {
		if s.requestFor(now, st, o) {
			return
		}
	}
}

// requestFor adds a request about the workers for which the step still needs a decision, and reports whether
// there are any.
func (s *Scheduler) requestFor(now time.Time, st *step, o *Orders) bool {
	if now.Before(st.advice.retryAt) {
		return false
	}
	undecided := map[string]bool{}
	for _, w := range s.workerList {
		if st.advice.decision(now, w) == adviceUnknown {
			undecided[w.ID] = true
		}
	}
	var ids []string
	for _, id := range st.advice.wanted {
		if undecided[id] {
			ids = append(ids, id)
		}
	}
	if len(ids) == 0 {
		delete(s.requests.wanting, st)
		return false
	}
	x := AdviceRequest{Job: st.job.ID, Occurrence: st.occurrence.index, Step: st.index, Workers: ids}
	s.requests.pending, s.requests.giveUpAt = &x, now.Add(2*AdviceTimeout)
	o.AdviceRequests = append(o.AdviceRequests, x)
	return true
}

// answered records the outcome of the request under way, if r is that.
func (q *adviceRequests) answered(now time.Time, r AdviceRequest, failed bool) {
	if p := q.pending; p == nil || p.Job != r.Job || p.Occurrence != r.Occurrence || p.Step != r.Step {
		return
	}
	q.pending = nil
	if !failed {
		q.failures = 0
		return
	}
	q.pausedUntil = now.Add(min(minAdvicePause<<min(q.failures, 8), maxAdvicePause))
	q.failures++
}

// DropTicket drops the ticket that a worker refused, so that the policy service is asked again.
func (s *Scheduler) DropTicket(k batch.WorkerKey, id batch.Task) {
	if t := s.findTask(id); t != nil {
		delete(t.step.advice.tickets, k)
	}
}

// HandleAdvice records the answer of the policy service to r, or that the request failed.
func (s *Scheduler) HandleAdvice(now time.Time, r AdviceRequest, tickets map[string]string, validFor time.Duration, failed bool) {
	s.requests.answered(now, r, failed)
	j := s.jobs[r.Job]
	if j == nil {
		return
	}
	o := j.openOccurrence(r.Occurrence)
	if o == nil || r.Step >= len(o.steps) || o.steps[r.Step] == nil {
		return
	}
	a := &o.steps[r.Step].advice
	if failed {
		a.retryAt = now.Add(adviceRetryInterval)
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
