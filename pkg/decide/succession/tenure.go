package succession

import (
	"iter"
	"time"
)

const (
	// LeaderLeaseTTL is how old the store's last answer may be without asking whether
	// others have newer ones: the lease of the lead, which nobody takes before its end.
	LeaderLeaseTTL = 1200 * time.Millisecond
	// maxStoreOutage is how long a scheduler goes on while the store is away for all.
	maxStoreOutage = 8 * time.Second
	// maxAnswerSkew is how much later than a scheduler another process may have had
	// its last answer when the store goes away for all: a renewal and the slowest link apart.
	maxAnswerSkew = 600 * time.Millisecond
	// maxContactInterval is how often a process is heard at least, with the slowest link.
	maxContactInterval = 600 * time.Millisecond
	// ContactTimeout is how long a process may be silent until it's given up; three pings fit.
	ContactTimeout = 2 * time.Second
	// supersedeMargin is how much newer than a scheduler's own last answer another
	// process's has to be for it to give up: several of its renewals come in between.
	supersedeMargin = time.Second
)

// A TermEvidence is what a scheduler knows of its term. The times of others are only
// read where its own aren't enough.
type TermEvidence struct {
	// LastAnswer is when the store answered the scheduler last.
	LastAnswer time.Time
	// OtherAnswers is when it answered the other processes last, as far as they told.
	OtherAnswers iter.Seq[time.Time]
	// LostContacts is when the processes that aren't in touch any more were heard last.
	LostContacts iter.Seq[time.Time]
}

// LeaseValid reports whether no other term can have begun by now, whatever happened
// to the store: the lease that the store answered lately goes on.
func LeaseValid(now, answered time.Time) bool { return now.Sub(answered) < LeaderLeaseTTL }

// Current reports whether no other term can have begun, as far as the scheduler
// can tell: it reached the store lately, or the store is away for all. Only
// then it may grant leases and take those of lost hosts for over.
func (t TermEvidence) Current(now time.Time) bool {
	switch {
	case LeaseValid(now, t.LastAnswer):
		return true
	case now.Sub(t.LastAnswer) > maxStoreOutage:
		return false
	}
	for at := range t.OtherAnswers {
		if at.Sub(t.LastAnswer) > maxAnswerSkew {
			return false
		}
	}
	// A process that fell silent together with the store may be the one that
	// reaches it. One that was heard for longer met the outage too.
	for at := range t.LostContacts {
		if after := at.Sub(t.LastAnswer); after > -ContactTimeout && after < maxAnswerSkew+maxContactInterval {
			return false
		}
	}
	return true
}

// Superseded reports whether others reach the store and the scheduler doesn't,
// and when it answered one of them.
func (t TermEvidence) Superseded(now time.Time) (time.Time, bool) {
	if now.Sub(t.LastAnswer) < LeaderLeaseTTL {
		return time.Time{}, false
	}
	for at := range t.OtherAnswers {
		if at.Sub(t.LastAnswer) > supersedeMargin {
			return at, true
		}
	}
	return time.Time{}, false
}
