// Package gateway takes callers' jobs in: it stores what it accepts, answers
// what has become of it, and refuses at once what can't be served.
package gateway

import (
	"context"
	"encoding/json"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

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
	// storeCall bounds one call to the store; several fit into a caller's deadline.
	storeCall = 700 * time.Millisecond
	// askTimeout bounds a question to the scheduler; the farthest one takes 60 ms.
	askTimeout = 400 * time.Millisecond
	// handOverTimeout bounds what the scheduler is asked to store: two calls to the store and the way there and back.
	handOverTimeout = 900 * time.Millisecond
	// answerMargin is left for the way back to the caller.
	answerMargin = 100 * time.Millisecond
	// retryPause is the pause before the store is asked again.
	retryPause = 60 * time.Millisecond
	// storeDownAfter is how long calls have to fail until requests are refused without a try.
	storeDownAfter = 700 * time.Millisecond
	// refuseAfter is how long a refusing store is tried again for one request.
	refuseAfter = 500 * time.Millisecond
	// storeRetryAfter is the least that callers are told while the store is away; the header counts in seconds.
	storeRetryAfter = time.Second
	// storeRetryLimit is the most: longer outages are rare, and a caller's objective is a few seconds.
	storeRetryLimit = 4 * time.Second
	// contactFresh is how old the last contact with the store may be to trust it with a job unseen; near one call to the farthest store.
	contactFresh = 100 * time.Millisecond
	// giveUpAfter is how long the store may be away before an open job is
	// given up: shorter breaks pass within a caller's deadline, longer ones rarely do.
	giveUpAfter = 1200 * time.Millisecond
	// lookCall bounds the read before a job is stored; the farthest store answers in 70 ms.
	lookCall = 400 * time.Millisecond
)

// An Outcome says what became of a request.
type Outcome int

// The outcomes of a request.
const (
	// Unknown requests may take effect.
	Unknown Outcome = iota
	// Accepted jobs are stored.
	Accepted
	// Refused jobs never run by this request.
	Refused
	// Found jobs have a state.
	Found
	// NotFound jobs don't exist.
	NotFound
)

// A SubmitResult is the outcome of a job's submission.
type SubmitResult struct {
	Outcome Outcome
	// RetryAfter is when a refused caller may come back.
	RetryAfter time.Duration
}

// A Gateway serves callers. Its exported fields are set before Run.
type Gateway struct {
	Store        kv.Store
	Log          *eventlog.Log
	ConfigKey    string
	DecodeConfig func([]byte) (batch.Config, error)
	// Send passes a message to the scheduler.
	Send func(link.Message) bool

	config  atomic.Pointer[batch.Config]
	stopped atomic.Bool

	mu     sync.Mutex
	asks   map[uint64]chan link.Reply
	next   uint64
	failed time.Time
	failAt time.Time
	// contact is when the store was reached last.
	contact time.Time
}

// Run follows the configuration until ctx ends.
func (g *Gateway) Run(ctx context.Context) error {
	kv.Follow(ctx, g.Store, g.ConfigKey, 0, g.configure, g.reached)
	return nil
}

func (g *Gateway) configure(i kv.Item) {
	c, err := g.DecodeConfig(i.Value)
	if err != nil {
		g.Log.Warning(eventlog.ConfigRejected).Err(err).Msg("")
		return
	}
	if old := g.config.Load(); old != nil && c.Version <= old.Version {
		return
	}
	g.config.Store(&c)
	g.Log.Event(eventlog.ConfigInForce).Int64("version", c.Version).Int64("revision", int64(i.Revision)).
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

// reached takes in the outcome of a call to the store.
func (g *Gateway) reached(err error) {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if err == nil || errors.Is(err, kv.ErrConflict) || errors.Is(err, kv.ErrNotFound) || errors.Is(err, kv.ErrCompacted) {
		if !g.failed.IsZero() && now.Sub(g.failed) > storeDownAfter {
			g.Log.Event(eventlog.StoreRegained).Dur("away", now.Sub(g.failed)).Msg("")
		}
		g.failed, g.contact = time.Time{}, now
		return
	}
	if errors.Is(err, context.Canceled) {
		return
	}
	if g.failed.IsZero() {
		g.failed = now
		g.Log.Warning(eventlog.StoreLost).Err(err).Msg("")
	}
	g.failAt = now
}

// StoreDown reports whether the store has been away for a while.
func (g *Gateway) StoreDown() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return !g.failed.IsZero() && g.failAt.Sub(g.failed) >= storeDownAfter
}

// LastStoreContact returns when the store answered last.
func (g *Gateway) LastStoreContact() time.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.contact
}

// StoreReachable reports whether the last call reached the store.
func (g *Gateway) StoreReachable() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.failed.IsZero()
}

// Ready reports whether callers should be sent here.
func (g *Gateway) Ready() bool {
	return g.config.Load() != nil && !g.stopped.Load() && !g.StoreDown()
}

// Stop takes the gateway out of rotation.
func (g *Gateway) Stop() { g.stopped.Store(true) }

// Submit stores a job. Only a refusal says that the job doesn't run by it.
func (g *Gateway) Submit(ctx context.Context, deadline time.Time, j *batch.Job) SubmitResult {
	began := time.Now()
	v := g.submit(ctx, deadline, j)
	if v.Outcome == Refused {
		// What was accepted before may have run: sent again, it isn't refused.
		if _, known := g.ask(ctx, link.Query{Job: j.ID}); known {
			v = SubmitResult{Outcome: Accepted}
		}
	}
	e := eventlog.JobAccepted
	switch v.Outcome {
	case Refused:
		e = eventlog.JobRefused
		g.Log.Metrics.Count(telemetry.Refusals, "reason", "storeAway")
	case Unknown:
		e = eventlog.JobUnknown
	}
	g.Log.Metrics.Observe(telemetry.AcceptSeconds, time.Since(began))
	g.Log.Event(e).Str("job", string(j.ID)).Str("queue", j.Queue).Dur("took", time.Since(began)).
		Dur("retryAfter", v.RetryAfter).Bool("storeDown", g.StoreDown()).Msg("")
	return v
}

func (g *Gateway) submit(ctx context.Context, deadline time.Time, j *batch.Job) SubmitResult {
	j.Accepted = time.Now()
	b, err := json.Marshal(j)
	if err != nil {
		g.Log.Error().Err(err).Str("job", string(j.ID)).Msg("job can't be encoded")
		return g.refusal()
	}
	key := dispatch.JobPrefix + string(j.ID)
	ctx, cancel := context.WithDeadline(ctx, deadline.Add(-answerMargin))
	defer cancel()
	switch g.look(ctx, key) {
	case seen:
		return SubmitResult{Outcome: Accepted}
	case away:
		return g.verdict(g.handOver(ctx, j.ID, b))
	case absent:
	}
	began := time.Now()
	// open is set once a call may take effect later.
	open := false
	for {
		c, cancel := context.WithTimeout(ctx, storeCall)
		r, err := g.Store.Apply(c, kv.Change{
			Conditions: []kv.Condition{{Key: key}}, Puts: []kv.Put{{Key: key, Value: b}},
		})
		cancel()
		if ctx.Err() == nil {
			g.reached(err)
		}
		switch {
		case err == nil:
			g.Send(link.Message{JobAccepted: &link.JobAccepted{Job: j.ID, Value: b, Revision: int64(r)}})
			return SubmitResult{Outcome: Accepted}
		case errors.Is(err, kv.ErrConflict):
			return SubmitResult{Outcome: Accepted}
		case errors.Is(err, kv.ErrUnknown):
			open = true
			// The answer may be lost alone.
			if _, err := g.get(ctx, key); err == nil {
				return SubmitResult{Outcome: Accepted}
			}
			// The same record may be written twice: its key is only created.
			if g.handOver(ctx, j.ID, b) == link.Stored {
				return SubmitResult{Outcome: Accepted}
			}
		}
		if !open && (time.Since(began) > refuseAfter || ctx.Err() != nil) {
			return g.verdict(g.handOver(ctx, j.ID, b))
		}
		if ctx.Err() != nil || g.away() > giveUpAfter {
			return SubmitResult{Outcome: Unknown}
		}
		steady.Pause(ctx, retryPause)
	}
}

// away returns how long calls to the store have failed.
func (g *Gateway) away() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.failed.IsZero() {
		return 0
	}
	return time.Since(g.failed)
}

// sight is what a look at the store shows of a key.
type sight int

const (
	// absent keys may be written.
	absent sight = iota
	// seen keys exist.
	seen
	// away means that the store can't be reached, and that nothing is open.
	away
)

// look reads the key where the store wasn't reached just now: a read that
// fails leaves nothing open, so that the job can be refused for sure.
func (g *Gateway) look(ctx context.Context, key string) sight {
	g.mu.Lock()
	fresh := g.failed.IsZero() && time.Since(g.contact) < contactFresh
	g.mu.Unlock()
	switch {
	case fresh:
		return absent
	case g.StoreDown():
		// The configuration's watch looks for the store; callers needn't wait for it.
		return away
	}
	c, cancel := context.WithTimeout(ctx, lookCall)
	defer cancel()
	_, err := g.Store.Get(c, key)
	if ctx.Err() == nil {
		g.reached(err)
	}
	switch {
	case err == nil:
		return seen
	case errors.Is(err, kv.ErrNotFound):
		return absent
	}
	return away
}

// refusal tells a caller to come back after as long as the store has been
// away: with a few tries a caller then outlasts an outage that began before.
func (g *Gateway) refusal() SubmitResult {
	return SubmitResult{Refused, min(max(g.away().Round(time.Second), storeRetryAfter), storeRetryLimit)}
}

// State returns a job's state, from the scheduler or else from the store.
func (g *Gateway) State(ctx context.Context, deadline time.Time, id batch.JobID) (batch.JobState, Outcome) {
	ctx, cancel := context.WithDeadline(ctx, deadline.Add(-answerMargin))
	defer cancel()
	for {
		if r, ok := g.ask(ctx, link.Query{Job: id}); ok {
			return r.State, Found
		}
		s, o, err := g.stored(ctx, id)
		if err == nil {
			return s, o
		}
		if ctx.Err() != nil {
			g.Log.Warning(eventlog.StateUnknown).Str("job", string(id)).Err(err).Msg("")
			return "", Unknown
		}
		steady.Pause(ctx, retryPause)
	}
}

// stored reads a job's state from the store.
func (g *Gateway) stored(ctx context.Context, id batch.JobID) (batch.JobState, Outcome, error) {
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

func (g *Gateway) get(ctx context.Context, key string) (kv.Item, error) {
	c, cancel := context.WithTimeout(ctx, storeCall)
	defer cancel()
	i, err := g.Store.Get(c, key)
	if ctx.Err() == nil {
		g.reached(err)
	}
	return i, err
}

// Cancel stores that a job is cancelled.
func (g *Gateway) Cancel(ctx context.Context, deadline time.Time, id batch.JobID) Outcome {
	o := g.cancel(ctx, deadline, id)
	e := eventlog.CancelAccepted
	if o == Unknown {
		e = eventlog.CancelUnknown
	}
	g.Log.Event(e).Str("job", string(id)).Bool("known", o == Found).Msg("")
	return o
}

func (g *Gateway) cancel(ctx context.Context, deadline time.Time, id batch.JobID) Outcome {
	ctx, cancel := context.WithDeadline(ctx, deadline.Add(-answerMargin))
	defer cancel()
	key := dispatch.CancelPrefix + string(id)
	for exists := false; ; {
		if g.StoreDown() && g.handOver(ctx, id, nil) == link.Stored {
			return Found
		}
		if !exists {
			_, err := g.get(ctx, dispatch.JobPrefix+string(id))
			if errors.Is(err, kv.ErrNotFound) {
				return NotFound
			}
			exists = err == nil
		}
		if exists {
			c, done := context.WithTimeout(ctx, storeCall)
			_, err := g.Store.Apply(c, kv.Change{Puts: []kv.Put{{Key: key, Value: []byte("cancelled")}}})
			done()
			if ctx.Err() == nil {
				g.reached(err)
			}
			if err == nil {
				g.Send(link.Message{JobCancelled: &link.JobCancelled{Job: id}})
				return Found
			}
		}
		if ctx.Err() != nil {
			return Unknown
		}
		steady.Pause(ctx, retryPause)
	}
}
