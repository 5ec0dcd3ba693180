package succession

import "time"

// A Membership is what a process knows of the present leader's term, from which it decides how
// long it has to wait for hosts if it leads next. All times are of one steady clock. The zero value is
// that of a process that doesn't know the leader.
type Membership struct {
	// epoch is the leader's; 0 if the leader is unknown.
	epoch int64
	// answered is when the last ping was sent that the leader has answered; 0 if none.
	answered time.Duration
	// earlierLeasesEnd is when leases of terms before the leader's have ended.
	earlierLeasesEnd time.Duration
	// renewalEnd is the time until which the leader may renew leases in the outage of which it
	// has given notice; 0 if there is none.
	renewalEnd time.Duration
}

// A HostWait is how long a new leader has to wait for hosts that it doesn't hear of, as they may
// run tasks under leases of earlier terms.
type HostWait struct {
	// Earlier is how long leases of terms before the previous one may last.
	Earlier time.Duration
	// Previous is how long leases of the previous term may last, if its leader may still be active.
	Previous time.Duration
}

// Welcome records that a leader has opened a session. Leases of earlier terms last
// for earlierLeases at most.
func (m *Membership) Welcome(now time.Duration, epoch int64, earlierLeases time.Duration) {
	if m.epoch != epoch {
		*m = Membership{epoch: epoch}
	}
	m.earlierLeasesEnd = now + earlierLeases
}

// Answered records an answer of the leader to the ping sent at the given time. The store hasn't
// answered the leader for outageAge, 0 if it does. Answered reports whether this is the first notice of an
// outage, which is to be echoed at once.
func (m *Membership) Answered(now, sent, outageAge time.Duration) bool {
	m.answered = max(m.answered, sent)
	if outageAge <= 0 {
		m.renewalEnd = 0
		return false
	}
	first := m.renewalEnd == 0
	m.renewalEnd = now - outageAge + maxStoreOutage
	return first
}

// MinHostWait is how long each new leader waits for hosts, where a lease has ended for certain after
// the given time: the previous leader renews leases until it misses an echo.
func MinHostWait(lease time.Duration) time.Duration { return lease + maxMemberSilence }

// HostWait returns how long the process has to wait if it leads from now on, after the term with the
// epoch previous. A lease has ended for certain after the given time.
func (m *Membership) HostWait(now time.Duration, previous int64, lease time.Duration) HostWait {
	// The previous leader's outage began before its lease ended, as did those of earlier leaders.
	longest := max(MinHostWait(lease), maxStoreOutage-LeaderLeaseTTL+lease)
	if m.epoch != previous {
		return HostWait{Earlier: longest, Previous: longest}
	}
	w := HostWait{Earlier: max(m.earlierLeasesEnd-now, 0)}
	switch {
	case m.answered == 0 || now-m.answered > membershipTTL:
		// The leader didn't count on a notice to this process.
		w.Previous = longest
	case m.renewalEnd != 0:
		w.Previous = max(MinHostWait(lease), m.renewalEnd-now+lease)
	default:
		w.Previous = MinHostWait(lease)
	}
	return w
}
