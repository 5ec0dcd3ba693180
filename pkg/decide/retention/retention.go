// Package retention decides at a job's submission whether the scheduler has memory to hold it. The jobs that are
// open, and those that have ended and whose states are still asked for, are one account of bytes, whose limit leaves
// room for a takeover.
//
// The package is pure: the scheduler's Meter makes a Report, which entries receive with each pong, and an entry's
// Ledger takes reports, reservations and times.
package retention

import "time"

const (
	// unreportedShare is the part of its own limit that an entry without any report accepts. Entries that
	// start together while no scheduler leads stay within the limit if they are fewer.
	unreportedShare = 16
	// rateWindow is over how long the rate at which jobs free their bytes is averaged.
	rateWindow = 10 * time.Second
	// minRetryAfter is the resolution of Retry-After, and maxRetryAfter bounds it, as no forecast holds for longer.
	minRetryAfter, maxRetryAfter = time.Second, 30 * time.Second
)

// A Report is what the scheduler holds of jobs, in bytes.
type Report struct {
	Held  int64 `cbor:"1,keyasint"`
	Limit int64 `cbor:"2,keyasint"`
	// Entries is the number of processes that share what is left.
	Entries int `cbor:"3,keyasint"`
	// Freed is how many bytes a second ended jobs gave back lately.
	Freed float64 `cbor:"4,keyasint,omitempty"`
}

// A Meter measures the account in the scheduler.
type Meter struct {
	held, added int64
	freed       float64
	at          time.Time
}

// Observe records the bytes that are held at a time, and all that were ever added until then.
func (m *Meter) Observe(now time.Time, held, added int64) {
	if dt := now.Sub(m.at); !m.at.IsZero() && dt > 0 {
		freed := float64(max(m.held+added-m.added-held, 0)) / dt.Seconds()
		weight := min(dt.Seconds()/rateWindow.Seconds(), 1)
		m.freed += weight * (freed - m.freed)
	}
	m.held, m.added, m.at = held, added, now
}

// Report returns the report of the last observation.
func (m *Meter) Report(limit int64, entries int) *Report {
	return &Report{Held: m.held, Limit: limit, Entries: entries, Freed: m.freed}
}

// A Ledger is what one entry knows of the account.
type Ledger struct {
	// Limit is the limit by the entry's own memory, as it may become the scheduler; 0 is none.
	Limit  int64
	report *Report
	// reserved are the bytes that were reserved since the last report, and earlier those between the last
	// two, which may have been stored after the last report was made.
	reserved, earlier int64
}

// Update records a report of the scheduler.
func (l *Ledger) Update(r Report) {
	l.report = &r
	l.earlier, l.reserved = l.reserved, 0
}

// Reserve reserves bytes for a job that is about to be stored. It returns false if there is no room for it, and after
// which time there is expected to be.
func (l *Ledger) Reserve(bytes int64) (time.Duration, bool) {
	if l.Limit <= 0 {
		return 0, true
	}
	missing := bytes - l.room()
	if missing <= 0 {
		l.reserved += bytes
		return 0, true
	}
	return l.retryAfter(missing), false
}

// room returns the bytes that the entry may still accept.
func (l *Ledger) room() int64 {
	r := l.report
	if r == nil {
		return l.Limit/unreportedShare - l.reserved - l.earlier
	}
	limit := l.Limit
	if r.Limit > 0 {
		limit = min(limit, r.Limit)
	}
	return (limit-r.Held)/int64(max(r.Entries, 1)) - l.reserved - l.earlier
}

// retryAfter returns when bytes that are missing are expected to be free.
func (l *Ledger) retryAfter(missing int64) time.Duration {
	if l.report == nil || l.report.Freed <= 0 {
		return maxRetryAfter
	}
	s := float64(missing) * float64(max(l.report.Entries, 1)) / l.report.Freed
	if s >= maxRetryAfter.Seconds() {
		return maxRetryAfter
	}
	d := time.Duration(s * float64(time.Second))
	return max((d + time.Second - 1).Truncate(time.Second), minRetryAfter)
}
