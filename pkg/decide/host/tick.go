package host

import (
	"cmp"
	"slices"
	"time"

	"github.com/sesamestream/sesamestream/pkg/decide/task"
)

// commandRetryInterval is how long a stop may stay without a result before it is
// sent again; a checkpoint may take twice as long.
const commandRetryInterval = 2 * time.Second

// leaseExpiryMargin is the time after the end of its lease by which a worker has
// certainly stopped an attempt.
const leaseExpiryMargin = time.Second

// reservationTimeout is how long resources stay reserved for an attempt without a lease.
const reservationTimeout = 15 * time.Second

// tick stops attempts whose lease has expired, retries commands and requests renewals.
func (m *Machine) tick(out []Action) []Action {
	for _, k := range m.sortedKeys() {
		out = m.checkAttempt(k, m.attempts[k], out)
	}
	m.dropExpiredLeaseRequests()
	if m.now.Sub(m.renewedAt) >= m.Lease/renewalsPerLease {
		m.renewedAt = m.now
		out = m.requestAllLeases(out)
	}
	return out
}

// checkAttempt applies the timeouts of one attempt.
func (m *Machine) checkAttempt(k Key, a *attempt, out []Action) []Action {
	if a.phase != final && a.phase != reserved && m.stoppedByLeaseExpiry(a) {
		return m.finish(k, a, cmp.Or(a.stopAnswer, task.Stopped), "lease lapsed at the worker", out)
	}
	switch a.phase {
	case final:
		m.removeIfSettled(k, a)
	case reserved:
		if a.sentAt.IsZero() {
			a.sentAt = m.now
		}
		if m.now.Sub(a.sentAt) > reservationTimeout {
			return m.finish(k, a, task.Refused, "no lease", out)
		}
	case starting, running:
		if !m.now.Before(a.leaseEnd) {
			return m.stop(k, task.Stopped, out)
		}
	case checkpointing:
		if !m.now.Before(a.leaseEnd) || m.now.Sub(a.sentAt) > 2*commandRetryInterval {
			return m.stop(k, task.Stopped, out)
		}
	case stopping:
		if m.now.Sub(a.sentAt) > commandRetryInterval {
			return m.sendCommand(k, a, StopAttempt, out)
		}
	}
	return out
}

// stoppedByLeaseExpiry reports whether the worker has stopped a at the end of its
// lease. A worker that reports a running past its lease does not respect leases, so
// the reservation of a is kept.
func (m *Machine) stoppedByLeaseExpiry(a *attempt) bool {
	return m.leaseExpired(a) && (!m.workerResponsive || !a.lastRunningAt.After(a.workerLeaseEnd.Add(leaseExpiryMargin)))
}

func (m *Machine) requestAllLeases(out []Action) []Action {
	for _, s := range m.shards() {
		out = m.requestLeases(s, out)
	}
	return out
}

// shards returns the shards with attempts on this host, in ascending order.
func (m *Machine) shards() []Shard {
	var out []Shard
	for k := range m.attempts {
		if !slices.Contains(out, k.Shard) {
			out = append(out, k.Shard)
		}
	}
	slices.Sort(out)
	return out
}
