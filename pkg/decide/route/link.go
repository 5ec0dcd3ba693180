package route

import (
	"time"

	"github.com/sesamestream/sesamestream/pkg/fleet"
)

// linkBurstPeriod is the time for which an idle link budget accumulates bytes.
const linkBurstPeriod = time.Second

// A tokenBucket limits a byte rate. It starts full and never refunds tokens, so
// trySpend admits at most rate*w plus one burst in any window w.
type tokenBucket struct {
	rate       float64 // bytes per second
	tokens     float64
	refilledAt time.Time
}

func (b *tokenBucket) burst() float64 {
	return b.rate * linkBurstPeriod.Seconds()
}

func (b *tokenBucket) setRate(rate float64) {
	if b.rate == 0 {
		b.tokens = rate * linkBurstPeriod.Seconds()
	}
	b.rate = rate
	b.tokens = min(b.tokens, b.burst())
}

func (b *tokenBucket) refill(now time.Time) {
	if !b.refilledAt.IsZero() && now.After(b.refilledAt) {
		b.tokens = min(b.tokens+b.rate*now.Sub(b.refilledAt).Seconds(), b.burst())
	}
	b.refilledAt = now
}

// trySpend takes n tokens and returns true, or returns false if fewer are left.
func (b *tokenBucket) trySpend(now time.Time, n fleet.Bytes) bool {
	b.refill(now)
	if float64(n) > b.tokens {
		return false
	}
	b.tokens -= float64(n)
	return true
}

// charge takes n tokens for bytes that were already sent. The balance may become
// negative; trySpend fails until it is refilled.
func (b *tokenBucket) charge(now time.Time, n fleet.Bytes) {
	b.refill(now)
	b.tokens -= float64(n)
}
