package gateway

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/sesamestream/sesamestream/internal/dispatch"
	"github.com/sesamestream/sesamestream/internal/eventlog"
	"github.com/sesamestream/sesamestream/internal/kv"
	"github.com/sesamestream/sesamestream/internal/link"
	"github.com/sesamestream/sesamestream/internal/telemetry"
	"github.com/sesamestream/sesamestream/pkg/batch"
	"github.com/sesamestream/sesamestream/pkg/decide/overload"
	"github.com/sesamestream/sesamestream/pkg/decide/retention"
	"github.com/sesamestream/sesamestream/pkg/decide/schedule"
)

const (
	// maxRememberedJobs bounds the refused jobs that a gateway remembers, and those whose
	// outcome is unknown. An entry takes about 100 bytes.
	maxRememberedJobs = 4096
	// rememberedFor is how long they are remembered; callers give up sooner.
	rememberedFor = time.Minute
)

// admission is what a gateway knows to refuse jobs for overload. It is lost with the process.
type admission struct {
	// load is the last load summary, or nil.
	load *overload.Summary
	// memory is the account of what jobs take of the scheduler's memory, and heldBytes what the
	// scheduler last reported.
	memory    retention.Ledger
	heldBytes int64
	// firstRefused is when jobs were first refused for overload, unknown when the
	// outcome of a submission was last unknown.
	firstRefused, unknown jobTimes
	// writing counts the submissions of each job that are being written.
	writing map[batch.JobID]int
}

// mayApply reports whether a write of the job may still take effect.
func (a *admission) mayApply(id batch.JobID) bool {
	_, unknown := a.unknown[id]
	return unknown || a.writing[id] > 0 || len(a.unknown) >= maxRememberedJobs
}

// jobTimes are times by job, of a bounded number of jobs.
type jobTimes map[batch.JobID]time.Time

// add adds a job unless it is there already. If the map is full, entries that are too old
// make room; if none is, the job isn't added.
func (m *jobTimes) add(now time.Time, id batch.JobID) {
	if *m == nil {
		*m = jobTimes{}
	}
	if _, ok := (*m)[id]; ok {
		return
	}
	m.makeRoom(now)
	if len(*m) >= maxRememberedJobs {
		return
	}
	(*m)[id] = now
}

// makeRoom deletes the entries that are too old if the map is full.
func (m jobTimes) makeRoom(now time.Time) {
	if len(m) < maxRememberedJobs {
		return
	}
	for x, at := range m {
		if now.Sub(at) > rememberedFor {
			delete(m, x)
		}
	}
}

// SetLoad records a load summary that was received at a time.
func (g *Gateway) SetLoad(now time.Time, s overload.Summary) {
	s.ReceivedAt = now
	g.mu.Lock()
	defer g.mu.Unlock()
	g.admission.load = &s
}

// SetMemory records what jobs take of the scheduler's memory.
func (g *Gateway) SetMemory(r retention.Report) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.admission.memory.Update(r)
	g.admission.heldBytes = r.Held
}

// HeldJobMemory returns how many bytes jobs took of the scheduler's memory when it last reported them.
func (g *Gateway) HeldJobMemory() int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.admission.heldBytes
}

// reserveMemory reserves the scheduler's memory for a job. If there is none, it returns the decision to refuse it.
func (g *Gateway) reserveMemory(j *batch.Job) (overload.Decision, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.admission.memory.Limit = g.JobMemory
	after, ok := g.admission.memory.Reserve(schedule.Footprint(j))
	return overload.Decision{Refuse: !ok, RetryAfter: after, Reason: noMemory}, ok
}

// noMemory is the logged reason of a refusal for want of the scheduler's memory.
const noMemory overload.Reason = "noMemory"

// refuseForLoad decides whether a job is refused as it can't be of use any more, or as the scheduler has no memory
// for it. The last result reports whether it is, or was accepted earlier, in which case nothing is written.
func (g *Gateway) refuseForLoad(ctx context.Context, deadline time.Time, j *batch.Job) (SubmitResult, overload.Decision, bool) {
	now := time.Now()
	refused := Refused
	d := g.decideForLoad(now, j)
	if !d.Refuse {
		if m, ok := g.reserveMemory(j); !ok {
			d, refused = m, Full
		}
	}
	if !d.Refuse || g.mayApply(j.ID) {
		// A write of unknown outcome may still take effect, so the job can't be refused.
		return SubmitResult{}, d, false
	}
	ctx, cancel := context.WithDeadline(ctx, deadline.Add(-responseMargin))
	defer cancel()
	switch g.lookUpRefused(ctx, j.ID) {
	case Accepted:
		return SubmitResult{Outcome: Accepted}, d, true
	case Unknown:
		return SubmitResult{}, d, false
	}
	g.mu.Lock()
	g.admission.firstRefused.add(now, j.ID)
	g.mu.Unlock()
	return SubmitResult{Outcome: refused, RetryAfter: d.RetryAfter}, d, true
}

// lookUpRefused returns Refused if a job that is to be refused wasn't accepted by an earlier submission. It
// returns Accepted if the scheduler or the store knows the job, and Unknown if a write of it may still take effect or
// the store can't be read.
func (g *Gateway) lookUpRefused(ctx context.Context, id batch.JobID) Outcome {
	if _, known := g.query(ctx, link.Query{Job: id}); known {
		return Accepted
	}
	// A write that ends before the read shows in the store, and one that begins meanwhile after it.
	before := g.mayApply(id)
	_, err := g.get(ctx, dispatch.JobPrefix+string(id))
	switch {
	case err == nil:
		return Accepted
	case before || g.mayApply(id) || !errors.Is(err, kv.ErrNotFound):
		return Unknown
	}
	return Refused
}

// mayApply reports whether a write of the job may still take effect.
func (g *Gateway) mayApply(id batch.JobID) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	// While the map is full, any job may have an unknown outcome.
	g.admission.unknown.makeRoom(time.Now())
	return g.admission.mayApply(id)
}

// decideForLoad decides by the last load summary whether j would be of use if it were accepted.
func (g *Gateway) decideForLoad(now time.Time, j *batch.Job) overload.Decision {
	g.mu.Lock()
	s := g.admission.load
	first, refusedBefore := g.admission.firstRefused[j.ID]
	g.mu.Unlock()
	x := overload.Job{Job: j, DataCentre: g.DataCentre}
	if refusedBefore {
		x.Waited = now.Sub(first)
	}
	return overload.Decide(now, s, j.QueueConfig, x)
}

// logLoadRefusal logs and counts the result of a submission that refuseForLoad has decided.
func (g *Gateway) logLoadRefusal(began time.Time, j *batch.Job, v SubmitResult, d overload.Decision) {
	e := eventlog.JobAccepted
	switch v.Outcome {
	case Refused:
		e = eventlog.JobRefused
		g.Log.Metrics.Increment(telemetry.Refusals, "reason", "overload")
	case Full:
		e = eventlog.JobRefused
		g.Log.Metrics.Increment(telemetry.Refusals, "reason", "memory")
	}
	g.Log.Metrics.Observe(telemetry.AcceptSeconds, time.Since(began))
	g.Log.Event(e).Str("job", string(j.ID)).Str("queue", j.Queue).Dur("took", time.Since(began)).Dur("retryAfter", v.RetryAfter).
		Str("why", string(d.Reason)).Dur("estimatedStart", d.Estimate.Start).Dur("estimatedEnd", d.Estimate.End).
		Dur("wait", d.Estimate.Wait()).Dur("limit", d.Limit).Msg("")
}

// objectiveStart returns from when the objective of a job that is accepted now counts: a job
// that was refused for load before isn't put behind those that came since.
func (g *Gateway) objectiveStart(now time.Time, id batch.JobID) time.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	if at, ok := g.admission.firstRefused[id]; ok {
		return at
	}
	return now
}

// submitNew stores a job that wasn't refused for load, and records for later
// submissions of the same job what became of this one.
func (g *Gateway) submitNew(ctx context.Context, deadline time.Time, j *batch.Job) SubmitResult {
	g.mu.Lock()
	if g.admission.writing == nil {
		g.admission.writing = map[batch.JobID]int{}
	}
	g.admission.writing[j.ID]++
	g.mu.Unlock()
	v := g.submit(ctx, deadline, j)
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.admission.writing[j.ID]--; g.admission.writing[j.ID] == 0 {
		delete(g.admission.writing, j.ID)
	}
	switch v.Outcome {
	case Unknown:
		g.admission.unknown.add(time.Now(), j.ID)
	case Accepted:
		delete(g.admission.firstRefused, j.ID)
		delete(g.admission.unknown, j.ID)
	}
	return v
}
