package attempt

import "time"

// A Budget limits the retries and hedges of one kind. In any period they are at
// most Ratio of the new requests, plus MinRetriesPerSecond each second, plus Burst.
// It is not safe for concurrent use.
type Budget struct {
	// Ratio is the share of new requests that may be retried.
	Ratio float64
	// MinRetriesPerSecond is how many retries are allowed each second on top of Ratio.
	MinRetriesPerSecond float64
	// Burst is the most retries that the budget accumulates.
	Burst float64

	spent     float64 // how far the balance is below Burst
	updatedAt time.Time
}

// NewBudget returns a budget with the default limits.
func NewBudget() *Budget {
	return &Budget{Ratio: 0.1, MinRetriesPerSecond: 1, Burst: 10}
}

// Available returns how many retries the budget allows at now.
func (b *Budget) Available(now time.Time) int {
	return int(b.Burst - b.spentAt(now))
}

// spentAt returns spent after the refill of MinRetriesPerSecond up to now.
func (b *Budget) spentAt(now time.Time) float64 {
	if b.updatedAt.IsZero() || !now.After(b.updatedAt) {
		return b.spent
	}
	return max(b.spent-b.MinRetriesPerSecond*now.Sub(b.updatedAt).Seconds(), 0)
}

// addRequest credits the share of one new request.
func (b *Budget) addRequest(now time.Time) {
	if b == nil {
		return
	}
	b.advance(now)
	b.spent = max(b.spent-b.Ratio, 0)
}

// advance applies the refill up to now.
func (b *Budget) advance(now time.Time) {
	b.spent = b.spentAt(now)
	if now.After(b.updatedAt) {
		b.updatedAt = now
	}
}

// trySpend takes one retry from the budget and returns true, or returns false if
// the budget is exhausted.
func (b *Budget) trySpend(now time.Time) bool {
	if b == nil {
		return true
	}
	b.advance(now)
	if b.spent+1 > b.Burst {
		return false
	}
	b.spent++
	return true
}
