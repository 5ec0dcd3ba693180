package route

import (
	"time"

	"github.com/sesamestream/sesamestream/pkg/fleet"
)

// linkBurst is how much of its rate a link budget may save up.
const linkBurst = time.Second

// A bucket is a token bucket of bytes. It starts full and never gives back:
// in any window w it lets through at most rate*w and one burst.
type bucket struct {
	rate   float64 // bytes a second
	tokens float64
	at     time.Time
}

func (b *bucket) burst() float64 {
	return b.rate * linkBurst.Seconds()
}

func (b *bucket) setRate(rate float64) {
	if b.rate == 0 {
		b.tokens = rate * linkBurst.Seconds()
	}
	b.rate = rate
	b.tokens = min(b.tokens, b.burst())
}

func (b *bucket) refill(now time.Time) {
	if !b.at.IsZero() && now.After(b.at) {
		b.tokens = min(b.tokens+b.rate*now.Sub(b.at).Seconds(), b.burst())
	}
	b.at = now
}

// take spends n and reports whether there was enough.
func (b *bucket) take(now time.Time, n fleet.Bytes) bool {
	b.refill(now)
	if float64(n) > b.tokens {
		return false
	}
	b.tokens -= float64(n)
	return true
}

// charge spends n that has crossed already; later takes wait until it is made up.
func (b *bucket) charge(now time.Time, n fleet.Bytes) {
	b.refill(now)
	b.tokens -= float64(n)
}
