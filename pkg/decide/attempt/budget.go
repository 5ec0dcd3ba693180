package attempt

import "time"

// A Budget limits the retries and hedges of one kind: they are at most Ratio of
// the fresh requests, Floor a second and one Burst. It is not safe for
// concurrent use.
type Budget struct {
	// Ratio is the share of fresh requests that may be sent again.
	Ratio float64
	// MinRetriesPerSecond is how many more may be sent again each second.
	MinRetriesPerSecond float64
	// Burst is how many may be saved up.
	Burst float64

	spent float64 // below Burst
	at    time.Time
}

// NewBudget returns a budget of the default size.
func NewBudget() *Budget {
	return &Budget{Ratio: 0.1, MinRetriesPerSecond: 1, Burst: 10}
}

// Available returns how many retries may start at now.
func (b *Budget) Available(now time.Time) int {
	return int(b.Burst - b.spentAt(now))
}

func (b *Budget) spentAt(now time.Time) float64 {
	if b.at.IsZero() || !now.After(b.at) {
		return b.spent
	}
	return max(b.spent-b.MinRetriesPerSecond*now.Sub(b.at).Seconds(), 0)
}

// fresh adds the share of one fresh request.
func (b *Budget) fresh(now time.Time) {
	if b == nil {
		return
	}
	b.pass(now)
	b.spent = max(b.spent-b.Ratio, 0)
}

func (b *Budget) pass(now time.Time) {
	b.spent = b.spentAt(now)
	if now.After(b.at) {
		b.at = now
	}
}

// take pays for one retry and reports whether it could.
func (b *Budget) take(now time.Time) bool {
	if b == nil {
		return true
	}
	b.pass(now)
	if b.spent+1 > b.Burst {
		return false
	}
	b.spent++
	return true
}
