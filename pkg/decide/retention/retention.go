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
	// largestShare is the part of what is left that one job may take, so that large jobs leave room for small ones.
	largestShare = 6
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
	room, entries := l.Limit/unreportedShare, int64(1)
	if r := l.report; r != nil {
		limit := l.Limit
		if r.Limit > 0 {
			limit = min(limit, r.Limit)
		}
		room, entries = limit-r.Held, int64(max(r.Entries, 1))
	}
	used := l.reserved + l.earlier
	missing := bytes*largestShare - (room - used)
	// Entries share what is left, but for a job that is too large for a share.
	shared := used > 0 && (bytes+used)*entries > room
	switch {
	case l.report == nil && (missing > 0 || shared), missing <= 0 && shared:
		// The next report tells more.
		return minRetryAfter, false
	case missing > 0:
		return l.retryAfter(missing), false
	}
	l.reserved += bytes
	return 0, true
}

// retryAfter returns when bytes that are missing are expected to be free.
func (l *Ledger) retryAfter(missing int64) time.Duration {
	if l.report.Freed <= 0 {
		return maxRetryAfter
	}
	s := float64(missing) / l.report.Freed
	if s >= maxRetryAfter.Seconds() {
		return maxRetryAfter
	}
	d := time.Duration(s * float64(time.Second))
	return max((d + time.Second - 1).Truncate(time.Second), minRetryAfter)
}
