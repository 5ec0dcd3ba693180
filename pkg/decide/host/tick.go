package host

import (
	"cmp"
	"slices"
	"time"

	"github.com/sesamestream/sesamestream/pkg/decide/task"
)

// retry is how long a command to the worker may stay without a result.
const retry = 2 * time.Second

// lapseMargin is how long after the end of its lease a worker has surely
// stopped an attempt.
const lapseMargin = time.Second

// reserveTimeout is how long room is kept for an attempt without a lease.
const reserveTimeout = 15 * time.Second

// tick ends what has lost its lease, repeats commands and renews leases.
func (m *Machine) tick(out []Action) []Action {
	for _, k := range m.keys() {
		out = m.look(k, m.attempts[k], out)
	}
	m.dropAsked()
	if m.now.Sub(m.renewed) >= m.Lease/renewals {
		m.renewed = m.now
		out = m.renewAll(out)
	}
	return out
}

func (m *Machine) look(k Key, a *attempt, out []Action) []Action {
	if a.phase != final && a.phase != reserved && m.lapsed(a) {
		return m.end(k, a, cmp.Or(a.onStop, task.Stopped), "lease lapsed at the worker", out)
	}
	switch a.phase {
	case final:
		m.forget(k, a)
	case reserved:
		if a.sent.IsZero() {
			a.sent = m.now
		}
		if m.now.Sub(a.sent) > reserveTimeout {
			return m.end(k, a, task.Refused, "no lease", out)
		}
	case starting, running:
		if !m.now.Before(a.until) {
			return m.stop(k, task.Stopped, out)
		}
	case saving:
		if !m.now.Before(a.until) || m.now.Sub(a.sent) > 2*retry {
			return m.stop(k, task.Stopped, out)
		}
	case stopping:
		if m.now.Sub(a.sent) > retry {
			return m.command(k, a, StopAttempt, out)
		}
	}
	return out
}

// lapsed reports whether the worker has stopped a by itself. One that reports
// it running past its lease does not keep to leases, and its room stays taken.
func (m *Machine) lapsed(a *attempt) bool {
	return m.past(a) && (!m.alive || !a.ran.After(a.handed.Add(lapseMargin)))
}

func (m *Machine) renewAll(out []Action) []Action {
	for _, s := range m.shards() {
		out = m.renew(s, out)
	}
	return out
}

// shards returns the shards that have attempts here, in order.
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
