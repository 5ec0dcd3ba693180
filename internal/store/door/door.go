// Package door limits the calls of a process to the store: it counts the calls, keeps them within a
// budget, applies a timeout to each and stops calling a failing store with a circuit breaker. All calls
// of a process go through it.
package door

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/sony/gobreaker/v2"
	"golang.org/x/time/rate"

	"github.com/sesamestream/sesamestream/internal/store"
)

const (
	// breakerFailureThreshold is the number of consecutive failures that opens the breaker.
	breakerFailureThreshold = 5
	// maxReadRetries bounds the retries of a failed read.
	maxReadRetries = 2
	// histogramSampleSize and histogramDecay are the reservoir size and the decay factor of the
	// histograms of call durations.
	histogramSampleSize = 1028
	histogramDecay      = 0.015
)

// A CallType is a type of call; counters and budgets are kept for each type.
type CallType string

// The types of calls.
const (
	CallWrite CallType = "write"
	CallRead  CallType = "read"
	CallWatch CallType = "watch"
	// CallLease has its own budget, so that other writes cannot delay a renewal until the lease lapses.
	CallLease CallType = "lease"
)

// A Rate is a number of calls per second.
type Rate float64

// A Budget is the number of calls of each type that a process may make per second. Watches count as
// reads.
type Budget struct {
	Writes Rate
	Reads  Rate
	Leases Rate
}

// A LimitedStore is a store.Store that limits the calls to another one. Its exported fields are set
// before its first use.
type LimitedStore struct {
	Store  store.Store
	Budget Budget
	// Timeout bounds one call and, separately, the wait for the budget before it.
	Timeout time.Duration
	// MinOpenTime is the minimum time for which the breaker stays open. A random jitter of up to the
	// same time is added.
	MinOpenTime time.Duration
	// Metrics is the registry of the counters and histograms; nil means metrics.DefaultRegistry.
	Metrics metrics.Registry

	once        sync.Once
	breaker     *gobreaker.CircuitBreaker[struct{}]
	limiters    map[CallType]*rate.Limiter
	mu          sync.Mutex
	lastContact time.Time
	openUntil   time.Time
}

var _ store.Store = (*LimitedStore)(nil)

// initialise creates the breaker and the rate limiters.
func (d *LimitedStore) initialise() {
	if d.Metrics == nil {
		d.Metrics = metrics.DefaultRegistry
	}
	reads := newLimiter(d.Budget.Reads)
	d.limiters = map[CallType]*rate.Limiter{
		CallWrite: newLimiter(d.Budget.Writes), CallRead: reads, CallWatch: reads, CallLease: newLimiter(d.Budget.Leases),
	}
	d.breaker = gobreaker.NewCircuitBreaker[struct{}](gobreaker.Settings{
		Timeout:       d.MinOpenTime,
		ReadyToTrip:   func(c gobreaker.Counts) bool { return c.ConsecutiveFailures >= breakerFailureThreshold },
		IsSuccessful:  answered,
		IsExcluded:    func(err error) bool { return errors.Is(err, store.ErrTooLarge) || errors.Is(err, errCallerCancelled) },
		OnStateChange: d.breakerStateChanged,
	})
}

// newLimiter returns a rate limiter whose burst is the number of calls of one second.
func newLimiter(r Rate) *rate.Limiter {
	return rate.NewLimiter(rate.Limit(r), max(int(r), 1))
}

// answered reports whether err means that the store answered the call.
func answered(err error) bool {
	return err == nil || errors.Is(err, store.ErrNotFound) || errors.Is(err, store.ErrLeaseLapsed)
}

// breakerStateChanged sets the time until which an opened breaker rejects all calls. The jitter keeps
// the processes from calling a recovering store all at once.
func (d *LimitedStore) breakerStateChanged(_ string, _, to gobreaker.State) {
	if to != gobreaker.StateOpen {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.openUntil = time.Now().Add(d.MinOpenTime + rand.N(d.MinOpenTime)) //nolint:gosec // Jitter needs no secret.
}

// errCallerCancelled marks a call that its caller cancelled. The breaker ignores it, because it is no
// evidence about the store.
var errCallerCancelled = errors.New("door: caller cancelled the call")

// call calls f once, subject to the budget, the breaker and the timeout; extra is added to the timeout.
func (d *LimitedStore) call(ctx context.Context, s CallType, extra time.Duration, f func(context.Context) error) error {
	d.once.Do(d.initialise)
	if err := d.waitForBudget(ctx, s); err != nil {
		d.incrementCounter("refused", s)
		return err
	}
	c, cancel := context.WithTimeout(ctx, d.Timeout+extra)
	defer cancel()
	var err error
	_, b := d.breaker.Execute(func() (struct{}, error) {
		d.incrementCounter("calls", s)
		sent := time.Now()
		err = f(c)
		d.recordDuration(s, time.Since(sent))
		d.recordContact(sent, err)
		if err != nil && ctx.Err() != nil {
			return struct{}{}, errCallerCancelled
		}
		return struct{}{}, err
	})
	if errors.Is(b, gobreaker.ErrOpenState) || errors.Is(b, gobreaker.ErrTooManyRequests) {
		d.incrementCounter("refused", s)
		return errors.WithMessage(store.ErrUnavailable, b.Error())
	}
	if err != nil && !answered(err) {
		d.incrementCounter("failed", s)
	}
	return err
}

// waitForBudget waits until the budget permits a call, and fails while the breaker is open. Watches
// also fail while the breaker is half-open.
func (d *LimitedStore) waitForBudget(ctx context.Context, s CallType) error {
	if d.BreakerOpen(time.Now()) || s == CallWatch && d.breaker.State() != gobreaker.StateClosed {
		return errors.WithMessage(store.ErrUnavailable, "circuit breaker is open")
	}
	c, cancel := context.WithTimeout(ctx, d.Timeout)
	defer cancel()
	if err := d.limiters[s].Wait(c); err != nil {
		return errors.WithMessage(store.ErrUnavailable, "call budget exceeded: "+err.Error())
	}
	return nil
}

// recordContact records the time at which a call was sent as the last contact, if the store answered it.
func (d *LimitedStore) recordContact(sent time.Time, err error) {
	if !answered(err) {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if sent.After(d.lastContact) {
		d.lastContact = sent
	}
}

// recordDuration records the duration of a call in microseconds.
func (d *LimitedStore) recordDuration(s CallType, t time.Duration) {
	h := metrics.NewExpDecaySample(histogramSampleSize, histogramDecay)
	metrics.GetOrRegisterHistogram("store.microseconds."+string(s), d.Metrics, h).Update(t.Microseconds())
}

// incrementCounter increments the counter of an outcome for a type of call.
func (d *LimitedStore) incrementCounter(outcome string, s CallType) {
	metrics.GetOrRegisterCounter("store."+outcome+"."+string(s), d.Metrics).Inc(1)
}
