// Package gateway serves callers: it stores the jobs that it accepts, reports
// their states, and refuses at once the jobs that cannot be stored.
package gateway

import (
	"context"
	"encoding/json"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/time/rate"

	"github.com/sesamestream/sesamestream/internal/dispatch"
	"github.com/sesamestream/sesamestream/internal/eventlog"
	"github.com/sesamestream/sesamestream/internal/kv"
	"github.com/sesamestream/sesamestream/internal/link"
	"github.com/sesamestream/sesamestream/internal/steady"
	"github.com/sesamestream/sesamestream/internal/telemetry"
	"github.com/sesamestream/sesamestream/pkg/batch"
	"github.com/sesamestream/sesamestream/pkg/decide/schedule"
)

const (
	// storeCallTimeout is how long a call to the store may make no progress; several such times fit
	// into a caller's deadline.
	storeCallTimeout = 700 * time.Millisecond
	// queryTimeout bounds a query to the scheduler; the farthest scheduler answers in 60 ms.
	queryTimeout = 400 * time.Millisecond
	// delegatedWriteTimeout bounds a write that the scheduler makes for the
	// gateway: two calls to the store and the round trip to the scheduler.
	delegatedWriteTimeout = 900 * time.Millisecond
	// responseMargin is the part of a caller's deadline that is left for sending the response.
	responseMargin = 100 * time.Millisecond
	// retryInterval is the pause before a call to the store or the scheduler is repeated.
	retryInterval = 60 * time.Millisecond
	// storeDownThreshold is how long calls to the store have to fail before
	// requests are refused without another call.
	storeDownThreshold = 700 * time.Millisecond
	// refusedRetryLimit is how long one request retries a store that refuses calls.
	refusedRetryLimit = 500 * time.Millisecond
	// minRetryAfter is the shortest Retry-After that is sent while the store is
	// unavailable; the header counts in seconds.
	minRetryAfter = time.Second
	// maxRetryAfter is the longest Retry-After: longer outages are rare, and a
	// caller's objective is a few seconds.
	maxRetryAfter = 4 * time.Second
	// maxContactAge is how old the last contact with the store may be for a job
	// to be written without a preceding read; it is about the duration of one
	// call to the farthest store.
	maxContactAge = 100 * time.Millisecond
	// unknownOutcomeOutageLimit bounds the store outage during which a write of
	// unknown outcome is retried: shorter outages end within a caller's
	// deadline, longer ones rarely do.
	unknownOutcomeOutageLimit = 1200 * time.Millisecond
	// lookupTimeout bounds the read before a job is stored; the farthest store answers in 70 ms.
	lookupTimeout = 400 * time.Millisecond
	// refusalLookupTimeout bounds the query and the read before a submission that was not decoded
	// is refused, which begin half a second before the caller's deadline.
	refusalLookupTimeout = 450 * time.Millisecond
)

// An Outcome is what is known about the effect of a request.
type Outcome int

// The outcomes of a request.
const (
	// Unknown requests may still take effect.
	Unknown Outcome = iota
	// Accepted jobs are stored.
	Accepted
	// Refused jobs never run as a result of this request.
	Refused
	// Found jobs exist, and the query or cancellation succeeded.
	Found
	// NotFound jobs do not exist.
	NotFound
	// TooLarge jobs have a record that the store does not take.
	TooLarge
	// Cancelled jobs were cancelled before they were stored, and never run as a result of this request.
	Cancelled
	// Full jobs never run as a result of this request, as the scheduler has no memory for more.
	Full
)

// maxRecordBytes bounds the record of a job, as the store takes no larger values. A frame between
// processes holds one.
const maxRecordBytes = 1 << 20

// A SubmitResult is the outcome of a job's submission.
type SubmitResult struct {
	Outcome Outcome
	// RetryAfter is how long a refused caller should wait before it retries.
	RetryAfter time.Duration
}

// A Gateway serves callers. Its exported fields are set before Run.
type Gateway struct {
	Store        kv.Store
	Log          *eventlog.Log
	ConfigKey    string
	DecodeConfig func([]byte) (batch.Config, error)
	// Send passes a message to the scheduler and reports whether there is a session with it.
	Send func(link.Message) bool
	// DataCentre is the data centre of the process.
	DataCentre string
	// JobMemory is how many bytes jobs may take of the process while it schedules; 0 is no bound.
	JobMemory int64
	// FenceRate is how many cancellations of unknown jobs the process stores in a second, on average.
	FenceRate rate.Limit

	config  atomic.Pointer[batch.Config]
	stopped atomic.Bool

	mu             sync.Mutex
	pendingReplies map[uint64]chan link.Reply
	lastRequestID  uint64
	failingSince   time.Time
	lastFailure    time.Time
	// lastContact is when the store last answered a call.
	lastContact time.Time
	admission   admission
	// fences bounds the stored cancellations of unknown jobs; nil until the first one.
	fences *rate.Limiter
}

// Run follows the configuration until ctx ends.
func (g *Gateway) Run(ctx context.Context) error {
	kv.Follow(ctx, g.Store, g.ConfigKey, 0, g.applyConfig, g.recordStoreCall)
	return nil
}

func (g *Gateway) applyConfig(i kv.Item) {
	c, err := g.DecodeConfig(i.Value)
	if err != nil {
		g.Log.Warning(eventlog.ConfigRejected).Err(err).Msg("")
		return
	}
	if old := g.config.Load(); old != nil && c.Version <= old.Version {
		return
	}
	g.config.Store(&c)
	g.Log.Event(eventlog.ConfigApplied).Int64("version", c.Version).Int64("revision", int64(i.Revision)).
		Int("routes", len(c.Routes)).Msg("")
}

// Config returns the configuration in force.
func (g *Gateway) Config() (batch.Config, bool) {
	c := g.config.Load()
	if c == nil {
		return batch.Config{}, false
	}
	return *c, true
}

// recordStoreCall updates the availability of the store by the outcome of a call.
func (g *Gateway) recordStoreCall(err error) {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if err == nil || errors.Is(err, kv.ErrConflict) || errors.Is(err, kv.ErrNotFound) || errors.Is(err, kv.ErrCompacted) ||
		errors.Is(err, kv.ErrReplyTooLarge) {
		if !g.failingSince.IsZero() && now.Sub(g.failingSince) > storeDownThreshold {
			g.Log.Event(eventlog.StoreRecovered).Dur("away", now.Sub(g.failingSince)).Msg("")
		}
		g.failingSince, g.lastContact = time.Time{}, now
		return
	}
	if errors.Is(err, context.Canceled) {
		return
	}
	if g.failingSince.IsZero() {
		g.failingSince = now
		g.Log.Warning(eventlog.StoreLost).Err(err).Msg("")
	}
	g.lastFailure = now
}

// StoreDown reports whether calls to the store have failed for storeDownThreshold or longer.
func (g *Gateway) StoreDown() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return !g.failingSince.IsZero() && g.lastFailure.Sub(g.failingSince) >= storeDownThreshold
}

// LastStoreContact returns when the store last answered a call.
func (g *Gateway) LastStoreContact() time.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.lastContact
}

// StoreReachable reports whether the last call reached the store.
func (g *Gateway) StoreReachable() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.failingSince.IsZero()
}

// Ready reports whether the balancer should send callers to this process.
func (g *Gateway) Ready() bool {
	return g.config.Load() != nil && !g.stopped.Load() && !g.StoreDown()
}

// Stop makes Ready report false, so that the balancer takes the process out of rotation.
func (g *Gateway) Stop() { g.stopped.Store(true) }

// RefuseUnread returns Refused for a job whose submission was not decoded. If the scheduler or the store knows the job, an
// earlier submission was accepted, and it returns Accepted. It returns Unknown if a write of the job may
// still take effect or the store can't be read.
func (g *Gateway) RefuseUnread(ctx context.Context, id batch.JobID) Outcome {
	ctx, cancel := context.WithTimeout(ctx, refusalLookupTimeout)
	defer cancel()
	return g.lookUpRefused(ctx, id)
}

// Submit stores a job. Only Refused guarantees that the job does not run as a result of the call.
func (g *Gateway) Submit(ctx context.Context, deadline time.Time, j *batch.Job) SubmitResult {
	began := time.Now()
	if v, d, refused := g.refuseForLoad(ctx, deadline, j); refused {
		g.logLoadRefusal(began, j, v, d)
		return v
	}
	v := g.submitNew(ctx, deadline, j)
	if v.Outcome == Refused {
		// A repeated submission of a job that was accepted earlier, and may have run, must not be refused.
		if _, known := g.query(ctx, link.Query{Job: j.ID}); known {
			v = SubmitResult{Outcome: Accepted}
		} else if g.mayApply(j.ID) {
			// Another submission of the job may still take effect.
			v = SubmitResult{Outcome: Unknown}
		}
	}
	e := eventlog.JobAccepted
	switch v.Outcome {
	case Cancelled:
		e = eventlog.JobRefused
		g.Log.Metrics.Increment(telemetry.Refusals, "reason", "cancelled")
	case TooLarge:
		e = eventlog.JobRefused
		g.Log.Metrics.Increment(telemetry.Refusals, "reason", "recordSize")
	case Refused:
		e = eventlog.JobRefused
		g.Log.Metrics.Increment(telemetry.Refusals, "reason", "storeAway")
	case Unknown:
		e = eventlog.JobOutcomeUnknown
	}
	g.Log.Metrics.Observe(telemetry.AcceptSeconds, time.Since(began))
	g.Log.Event(e).Str("job", string(j.ID)).Str("queue", j.Queue).Dur("took", time.Since(began)).
		Dur("retryAfter", v.RetryAfter).Bool("storeDown", g.StoreDown()).Msg("")
	return v
}

func (g *Gateway) submit(ctx context.Context, deadline time.Time, j *batch.Job) SubmitResult {
	j.Accepted = g.objectiveStart(time.Now(), j.ID)
	b, err := json.Marshal(j)
	if err != nil {
		g.Log.Error().Err(err).Str("job", string(j.ID)).Msg("job can't be encoded")
		return g.refusedResult()
	}
	if len(b) > maxRecordBytes {
		return SubmitResult{Outcome: TooLarge}
	}
	key := dispatch.JobPrefix + string(j.ID)
	ctx, cancel := context.WithDeadline(ctx, deadline.Add(-responseMargin))
	defer cancel()
	switch g.lookUp(ctx, key) {
	case keyPresent:
		return SubmitResult{Outcome: Accepted}
	case storeUnreachable:
		return g.delegatedResult(g.delegateWrite(ctx, j.ID, b))
	case keyAbsent:
	}
	began := time.Now()
	// mayApply is set once a write has an unknown outcome and may still take effect.
	mayApply := false
	for {
		c, cancel := kv.WithStallTimeout(ctx, storeCallTimeout, storeCallTimeout)
		r, err := g.Store.Apply(c, kv.Change{
			Conditions: dispatch.CreationConditions(j.ID), Puts: []kv.Put{{Key: key, Value: b}},
		})
		cancel()
		if ctx.Err() == nil {
			g.recordStoreCall(err)
		}
		switch {
		case err == nil:
			g.Send(link.Message{JobAccepted: &link.JobAccepted{Job: j.ID, Value: b, Revision: int64(r)}})
			return SubmitResult{Outcome: Accepted}
		case errors.Is(err, kv.ErrConflict):
			switch dispatch.CreationOutcome(j.ID, err) {
			case link.Stored:
				return SubmitResult{Outcome: Accepted}
			case link.Fenced:
				// No earlier write of the job can take effect any more.
				return SubmitResult{Outcome: Cancelled, RetryAfter: maxRetryAfter}
			case link.NotStored, link.StoreUnknown:
			}
		case errors.Is(err, kv.ErrUnknown):
			mayApply = true
			// The write may have succeeded and only its response been lost.
			if _, err := g.get(ctx, key); err == nil {
				return SubmitResult{Outcome: Accepted}
			}
			// Writing the same record again is safe, since the key is only created where it does not exist.
			switch o := g.delegateWrite(ctx, j.ID, b); o {
			case link.Stored, link.Fenced:
				return g.delegatedResult(o)
			case link.NotStored, link.StoreUnknown:
			}
		}
		if !mayApply && (time.Since(began) > refusedRetryLimit || ctx.Err() != nil) {
			return g.delegatedResult(g.delegateWrite(ctx, j.ID, b))
		}
		if ctx.Err() != nil || g.storeOutage() > unknownOutcomeOutageLimit {
			return SubmitResult{Outcome: Unknown}
		}
		steady.Sleep(ctx, retryInterval)
	}
}

// storeOutage returns how long calls to the store have been failing, 0 where the last call reached it.
func (g *Gateway) storeOutage() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.failingSince.IsZero() {
		return 0
	}
	return time.Since(g.failingSince)
}

// lookupResult is the result of a lookup of a key in the store.
type lookupResult int

const (
	// keyAbsent means that the key may be written.
	keyAbsent lookupResult = iota
	// keyPresent means that the key exists.
	keyPresent
	// storeUnreachable means that the store cannot be reached and that no write of unknown outcome is pending.
	storeUnreachable
)

// lookUp reads the key unless the store answered a call within maxContactAge.
// Unlike a failed write, a failed read cannot take effect later, so the job
// can be refused with certainty.
func (g *Gateway) lookUp(ctx context.Context, key string) lookupResult {
	g.mu.Lock()
	recent := g.failingSince.IsZero() && time.Since(g.lastContact) < maxContactAge
	g.mu.Unlock()
	switch {
	case recent:
		return keyAbsent
	case g.StoreDown():
		// The watch of the configuration detects when the store recovers; callers need not wait for a read.
		return storeUnreachable
	}
	c, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	_, err := g.Store.Get(c, key)
	if ctx.Err() == nil {
		g.recordStoreCall(err)
	}
	switch {
	case err == nil:
		return keyPresent
	case errors.Is(err, kv.ErrNotFound):
		return keyAbsent
	}
	return storeUnreachable
}

// refusedResult returns a refusal whose RetryAfter is the length of the outage
// so far, within bounds: the delay grows with the outage, so a caller outlasts
// it with a few retries.
func (g *Gateway) refusedResult() SubmitResult {
	return SubmitResult{Refused, min(max(g.storeOutage().Round(time.Second), minRetryAfter), maxRetryAfter)}
}

// State returns the state of a job, from the scheduler or, where it has none, from the store.
func (g *Gateway) State(ctx context.Context, deadline time.Time, id batch.JobID) (batch.JobState, Outcome) {
	ctx, cancel := context.WithDeadline(ctx, deadline.Add(-responseMargin))
	defer cancel()
	for {
		if r, ok := g.query(ctx, link.Query{Job: id}); ok {
			return r.State, Found
		}
		s, o, err := g.storedState(ctx, id)
		if err == nil {
			return s, o
		}
		if ctx.Err() != nil {
			g.Log.Warning(eventlog.JobStateUnknown).Str("job", string(id)).Err(err).Msg("")
			return "", Unknown
		}
		steady.Sleep(ctx, retryInterval)
	}
}

// storedState reads the state of a job from the store.
func (g *Gateway) storedState(ctx context.Context, id batch.JobID) (batch.JobState, Outcome, error) {
	if _, err := g.get(ctx, dispatch.JobPrefix+string(id)); errors.Is(err, kv.ErrNotFound) {
		return "", NotFound, nil
	} else if err != nil {
		return "", Unknown, err
	}
	var p schedule.Progress
	i, err := g.get(ctx, dispatch.StatePrefix+string(id))
	switch {
	case err == nil:
		if err := json.Unmarshal(i.Value, &p); err != nil {
			return "", Unknown, errors.Wrap(err, "gateway: progress")
		}
	case !errors.Is(err, kv.ErrNotFound):
		return "", Unknown, err
	}
	if p.State.Final() {
		return p.State, Found, nil
	}
	switch _, err := g.get(ctx, dispatch.CancelPrefix+string(id)); {
	case err == nil:
		return batch.Cancelled, Found, nil
	case !errors.Is(err, kv.ErrNotFound):
		return "", Unknown, err
	}
	if p.State == "" {
		return batch.Queued, Found, nil
	}
	return p.State, Found, nil
}

// get reads a key and records the outcome of the call.
func (g *Gateway) get(ctx context.Context, key string) (kv.Item, error) {
	c, cancel := kv.WithStallTimeout(ctx, storeCallTimeout, storeCallTimeout)
	defer cancel()
	i, err := g.Store.Get(c, key)
	if ctx.Err() == nil {
		g.recordStoreCall(err)
	}
	return i, err
}
