package succession

import (
	"iter"
	"time"
)

const (
	// LeaderLeaseTTL is the duration of the leader's lease in the store, before whose end
	// no other process can take the leadership. While the store's last answer is
	// younger, the leader needn't ask whether others have newer ones.
	LeaderLeaseTTL = 1200 * time.Millisecond
	// maxStoreOutage is how long a scheduler goes on while no process reaches the store.
	maxStoreOutage = 8 * time.Second
	// maxAnswerSkew is how much later than the scheduler's the last answer of another
	// process may be when the store fails for all: a renewal interval and the delay
	// of the slowest link.
	maxAnswerSkew = 600 * time.Millisecond
	// maxContactInterval bounds the time between two messages of a connected process on the slowest link.
	maxContactInterval = 600 * time.Millisecond
	// ContactTimeout is how long after its last contact a process counts as lost; three pings fit.
	ContactTimeout = 2 * time.Second
	// supersedeMargin is how much newer than the scheduler's own last answer from the
	// store another process's must be for the scheduler to give up: several of its
	// own renewals would fall in between.
	supersedeMargin = time.Second
)

// TermEvidence holds the times from which a scheduler judges whether its term
// still holds. Those of other processes are read only if its own last answer is
// too old to decide.
type TermEvidence struct {
	// LastAnswer is the time of the store's last answer to the scheduler.
	LastAnswer time.Time
	// OtherAnswers are the times of its last answers to the other processes, as they reported them.
	OtherAnswers iter.Seq[time.Time]
	// LostContacts are the times of last contact with processes that are no longer connected.
	LostContacts iter.Seq[time.Time]
}

// LeaseValid reports whether the lease that the store confirmed at lastAnswer is
// still running, so that no other term can have begun, whatever the state of the store.
func LeaseValid(now, lastAnswer time.Time) bool { return now.Sub(lastAnswer) < LeaderLeaseTTL }

// Current reports whether, by the evidence, no other term has begun: the
// scheduler reached the store recently, or the store is unreachable for all
// processes. Only then may the scheduler grant leases.
func (e TermEvidence) Current(now time.Time) bool {
	switch {
	case LeaseValid(now, e.LastAnswer):
		return true
	case now.Sub(e.LastAnswer) > maxStoreOutage:
		return false
	}
	for at := range e.OtherAnswers {
		if at.Sub(e.LastAnswer) > maxAnswerSkew {
			return false
		}
	}
	// A process that was lost at about the same time as the store may still reach
	// it. One that stayed in contact for longer was cut off from the store as well.
	for at := range e.LostContacts {
		if after := at.Sub(e.LastAnswer); after > -ContactTimeout && after < maxAnswerSkew+maxContactInterval {
			return false
		}
	}
	return true
}

// Superseded reports whether another process reaches the store while the
// scheduler doesn't, and returns the time of the store's answer to that process.
func (e TermEvidence) Superseded(now time.Time) (time.Time, bool) {
	if now.Sub(e.LastAnswer) < LeaderLeaseTTL {
		return time.Time{}, false
	}
	for at := range e.OtherAnswers {
		if at.Sub(e.LastAnswer) > supersedeMargin {
			return at, true
		}
	}
	return time.Time{}, false
}
