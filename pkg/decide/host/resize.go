package host

import (
	"time"

	"github.com/sesamestream/sesamestream/pkg/fleet"
	"github.com/sesamestream/sesamestream/pkg/table"
)

// The intervals of evictions due to a shortfall.
const (
	// evictionInterval is the minimum time between two evictions, so that one takes
	// effect before the next.
	evictionInterval = 10 * time.Second
	// processorShortfallLimit is how long a shortfall of processors lasts before an
	// attempt is evicted. Processors, unlike memory, can be shared for a while.
	processorShortfallLimit = 20 * time.Second
)

// targetReservation returns the estimated need of an attempt. Its own memory usage
// replaces the estimate of its kind where it is larger.
func (m *Machine) targetReservation(a *attempt) fleet.Resources {
	t := m.estimator.Need(a.spec.Kind, a.declared, m.total)
	if !a.usageReported {
		return t
	}
	t.Memory = min(max(t.Memory, a.usage.Memory), m.total.Memory)
	return t
}

// adjustReservations moves the reservations to their targets. It first shrinks
// them and then grows them into the free capacity; what does not fit is the
// shortfall, which may evict an attempt.
func (m *Machine) adjustReservations(out []Action) []Action {
	keys := m.sortedKeys()
	for _, k := range keys {
		if a := m.attempts[k]; a.phase != final {
			m.setReservation(a, minProcessorsAndMemory(a.need, m.targetReservation(a)))
		}
	}
	m.shortfall = fleet.Resources{}
	for _, k := range keys {
		a := m.attempts[k]
		if a.phase == final {
			continue
		}
		t := m.targetReservation(a)
		m.setReservation(a, minProcessorsAndMemory(t, a.need.Plus(nonNegative(m.total.Minus(m.reserved)))))
		m.shortfall = m.shortfall.Plus(t.Minus(a.need))
	}
	return m.evictForShortfall(out)
}

// setReservation changes the reservation of a to need.
func (m *Machine) setReservation(a *attempt, need fleet.Resources) {
	m.reserved = m.reserved.Plus(need).Minus(a.need)
	a.need = need
}

// evictForShortfall evicts one attempt if there is a shortfall of memory, or one
// of processors for at least processorShortfallLimit.
func (m *Machine) evictForShortfall(out []Action) []Action {
	if m.shortfall.Processors == 0 || m.processorsSufficientAt.IsZero() {
		m.processorsSufficientAt = m.now
	}
	due := m.shortfall.Memory > 0 || m.now.Sub(m.processorsSufficientAt) >= processorShortfallLimit
	if !due || m.now.Sub(m.evictedAt) < evictionInterval {
		return out
	}
	k, ok := m.evictionCandidate()
	if !ok {
		return out
	}
	m.evictedAt = m.now
	return m.evict(k, out)
}

// evictionCandidate returns the most recently reserved running attempt, preferring
// batch over services.
func (m *Machine) evictionCandidate() (best Key, ok bool) {
	for _, k := range m.sortedKeys() {
		a := m.attempts[k]
		if a.phase != running {
			continue
		}
		if !ok || evictedBefore(a, m.attempts[best]) {
			best = k
			ok = true
		}
	}
	return best, ok
}

// evictedBefore reports whether a is a better candidate for eviction than b.
func evictedBefore(a, b *attempt) bool {
	as, bs := a.spec.Class == table.ClassService, b.spec.Class == table.ClassService
	if as != bs {
		return bs
	}
	return a.reservedAt.After(b.reservedAt)
}

// minProcessorsAndMemory returns a with its processors and memory limited to those of b.
func minProcessorsAndMemory(a, b fleet.Resources) fleet.Resources {
	a.Processors = min(a.Processors, b.Processors)
	a.Memory = min(a.Memory, b.Memory)
	return a
}

// nonNegative returns r with negative processors and memory replaced by 0.
func nonNegative(r fleet.Resources) fleet.Resources {
	r.Processors = max(r.Processors, 0)
	r.Memory = max(r.Memory, 0)
	return r
}
