package succession

import (
	"iter"
	"time"
)

const (
	// LeaderLeaseTTL is the duration of the leader's lease in the store, before whose end
	// no other process can take the leadership.
	LeaderLeaseTTL = 1200 * time.Millisecond
	// maxStoreOutage is how long a leader renews leases while no process reaches the store.
	maxStoreOutage = 8 * time.Second
	// maxAnswerSkew is how much later than the leader's the last answer of another
	// process may be when the store fails for all: a renewal interval and the delay
	// of the slowest link.
	maxAnswerSkew = 600 * time.Millisecond
	// outageNoticeAge is the age of the store's last answer from which the leader notifies
	// the members of an outage: two renewals of its lease have failed.
	outageNoticeAge = 600 * time.Millisecond
	// maxMemberSilence is how old the last echo of a member without notice of the outage may be
	// for leases to be renewed: two pings and the delay of the slowest link. The shortest wait of the next
	// leader covers it.
	maxMemberSilence = 1200 * time.Millisecond
	// ContactTimeout is how long after its last contact a process counts as lost; three pings fit.
	ContactTimeout = 2 * time.Second
	// membershipTTL is how long after the leader's last answer to it a process counts as a
	// member, which may lead next without waiting for an outage that it wasn't notified of: the
	// time in which a lost leader is replaced.
	membershipTTL = LeaderLeaseTTL + ContactTimeout
	// supersedeMargin is how much newer than the leader's own last answer from the
	// store another process's must be for the leader to give up: several of its
	// own renewals would fall in between.
	supersedeMargin = time.Second
)

// TermEvidence holds the times from which a leader judges what it may still do.
// Those of other processes are read only if its own last answer is too old to decide.
type TermEvidence struct {
	// LastAnswer is the time of the store's last answer to the leader.
	LastAnswer time.Time
	// OtherAnswers are the times of its last answers to the other processes, as they reported them.
	OtherAnswers iter.Seq[time.Time]
	// Members are the processes that may lead next.
	Members iter.Seq[Member]
}

// LeaseValid reports whether the lease that the store confirmed at lastAnswer is
// still running, so that no other term can have begun, whatever the state of the store.
// Contact with other processes is no proof of that: one that is out of touch may
// reach the store at any time, and one that is in touch may do so after its last message.
func LeaseValid(now, lastAnswer time.Time) bool { return now.Sub(lastAnswer) < LeaderLeaseTTL }

// MayFree reports whether tasks of a lost host whose lease has ended may start elsewhere.
// In a later term the host may have a new lease, so that only the leader's own lease proves
// that they have ended.
func (e TermEvidence) MayFree(now time.Time) bool { return LeaseValid(now, e.LastAnswer) }

// OutageAge returns for how long the store hasn't answered, of which the leader notifies the
// members with each answer; 0 if the store answers.
func (e TermEvidence) OutageAge(now time.Time) time.Duration {
	if age := now.Sub(e.LastAnswer); age > outageNoticeAge {
		return age
	}
	return 0
}

// MayRenew reports whether the leader may renew the leases of hosts. Without a valid lease of
// its own it may do so only if the next leader, whichever process that is, waits until they
// have ended. Each process that may lead next without a long wait must therefore have echoed a notice
// of the outage, or any answer so lately that its term can only just have begun.
func (e TermEvidence) MayRenew(now time.Time) bool {
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
	for m := range e.Members {
		notified := m.LastEchoed.Sub(e.LastAnswer) > outageNoticeAge
		if !notified && !m.expired(e.LastAnswer) && now.Sub(m.LastEchoed) > maxMemberSilence {
			return false
		}
	}
	return true
}

// Superseded reports whether another process reaches the store while the
// leader doesn't, and returns the time of the store's answer to that process.
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
