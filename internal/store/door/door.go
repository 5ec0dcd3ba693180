// Package door is the one way by which a process reaches the store: it counts
// calls, keeps them within a budget, bounds them in time and stops calling a
// store that fails.
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
	// tripAfter is how many failures in a row open the breaker.
	tripAfter = 5
	// retries is how often a failed read is tried again.
	retries = 2
	// sampleSize and sampleDecay shape the histograms of call times.
	sampleSize  = 1028
	sampleDecay = 0.015
)

// A CallType is a kind of call with a budget of its own.
type CallType string

// The sorts of calls.
const (
	CallWrite CallType = "write"
	CallRead  CallType = "read"
	CallWatch CallType = "watch"
	// CallLease calls have their own budget, so that other writes never make a lease lapse.
	CallLease CallType = "lease"
)

// A Rate is a number of calls a second.
type Rate float64

// A Budget is how many calls of each sort a process may make in a second. Watches count as reads.
type Budget struct {
	Writes Rate
	Reads  Rate
	Leases Rate
}

// A LimitedStore is a store.Store in front of another. Its fields are set before its first use.
type LimitedStore struct {
	Store  store.Store
	Budget Budget
	// Timeout bounds one call, and the wait for the budget before it.
	Timeout time.Duration
	// MinOpenTime is how long the breaker stays open at least; up to as long again is added at random.
	MinOpenTime time.Duration
	// Metrics takes the counters and timers, metrics.DefaultRegistry where it is nil.
	Metrics metrics.Registry

	once    sync.Once
	breaker *gobreaker.CircuitBreaker[struct{}]
	limits  map[CallType]*rate.Limiter
	mu      sync.Mutex
	contact time.Time
	reopen  time.Time
}

var _ store.Store = (*LimitedStore)(nil)

// open prepares the breaker and the budget.
func (d *LimitedStore) open() {
	if d.Metrics == nil {
		d.Metrics = metrics.DefaultRegistry
	}
	reads := limiter(d.Budget.Reads)
	d.limits = map[CallType]*rate.Limiter{
		CallWrite: limiter(d.Budget.Writes), CallRead: reads, CallWatch: reads, CallLease: limiter(d.Budget.Leases),
	}
	d.breaker = gobreaker.NewCircuitBreaker[struct{}](gobreaker.Settings{
		Timeout:       d.MinOpenTime,
		ReadyToTrip:   func(c gobreaker.Counts) bool { return c.ConsecutiveFailures >= tripAfter },
		IsSuccessful:  answered,
		IsExcluded:    func(err error) bool { return errors.Is(err, store.ErrTooLarge) || errors.Is(err, errGaveUp) },
		OnStateChange: d.changed,
	})
}

// limiter returns a limiter that lets a second's worth of calls pass at once.
func limiter(r Rate) *rate.Limiter {
	return rate.NewLimiter(rate.Limit(r), max(int(r), 1))
}

// answered reports whether the store answered the call.
func answered(err error) bool {
	return err == nil || errors.Is(err, store.ErrNotFound) || errors.Is(err, store.ErrLeaseLapsed)
}

// changed draws when an open breaker may be tried again.
func (d *LimitedStore) changed(_ string, _, to gobreaker.State) {
	if to != gobreaker.StateOpen {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.reopen = time.Now().Add(d.MinOpenTime + rand.N(d.MinOpenTime)) //nolint:gosec // Jitter needs no secret.
}

// errGaveUp marks a call whose caller ended it, which says nothing of the store.
var errGaveUp = errors.New("door: caller gave up")

// call carries out f once within the budget, the breaker and the timeout.
func (d *LimitedStore) call(ctx context.Context, s CallType, extra time.Duration, f func(context.Context) error) error {
	d.once.Do(d.open)
	if err := d.admit(ctx, s); err != nil {
		d.count("refused", s)
		return err
	}
	c, cancel := context.WithTimeout(ctx, d.Timeout+extra)
	defer cancel()
	var err error
	_, b := d.breaker.Execute(func() (struct{}, error) {
		d.count("calls", s)
		asked := time.Now()
		err = f(c)
		d.time(s, time.Since(asked))
		d.confirm(asked, err)
		if err != nil && ctx.Err() != nil {
			return struct{}{}, errGaveUp
		}
		return struct{}{}, err
	})
	if errors.Is(b, gobreaker.ErrOpenState) || errors.Is(b, gobreaker.ErrTooManyRequests) {
		d.count("refused", s)
		return errors.WithMessage(store.ErrUnavailable, b.Error())
	}
	if err != nil && !answered(err) {
		d.count("failed", s)
	}
	return err
}

// admit waits for the budget, and refuses while the breaker rests.
func (d *LimitedStore) admit(ctx context.Context, s CallType) error {
	if d.BreakerOpen(time.Now()) || s == CallWatch && d.breaker.State() != gobreaker.StateClosed {
		return errors.WithMessage(store.ErrUnavailable, "breaker open")
	}
	c, cancel := context.WithTimeout(ctx, d.Timeout)
	defer cancel()
	if err := d.limits[s].Wait(c); err != nil {
		return errors.WithMessage(store.ErrUnavailable, "over budget: "+err.Error())
	}
	return nil
}

// confirm takes the time a call was asked as a contact if it was answered.
func (d *LimitedStore) confirm(asked time.Time, err error) {
	if !answered(err) {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if asked.After(d.contact) {
		d.contact = asked
	}
}

// time records how long a call took, in microseconds.
func (d *LimitedStore) time(s CallType, t time.Duration) {
	h := metrics.NewExpDecaySample(sampleSize, sampleDecay)
	metrics.GetOrRegisterHistogram("store.microseconds."+string(s), d.Metrics, h).Update(t.Microseconds())
}

// count adds one to a counter.
func (d *LimitedStore) count(what string, s CallType) {
	metrics.GetOrRegisterCounter("store."+what+"."+string(s), d.Metrics).Inc(1)
}
