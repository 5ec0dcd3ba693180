package host

import (
	"time"

	"github.com/sesamestream/sesamestream/pkg/fleet"
	"github.com/sesamestream/sesamestream/pkg/table"
)

// The times of making room for what grew.
const (
	// shedEvery is the time between two evictions for room.
	shedEvery = 10 * time.Second
	// processorsShortFor is how long processors, which can be shared, have to
	// be short before an attempt is evicted for them.
	processorsShortFor = 20 * time.Second
)

// target returns what an attempt should hold. Its own use of memory counts
// where it is above its kind's.
func (m *Machine) target(a *attempt) fleet.Resources {
	t := m.learner.Need(a.spec.Kind, a.declared, m.total)
	if !a.reported {
		return t
	}
	t.Memory = min(max(t.Memory, a.used.Memory), m.total.Memory)
	return t
}

// resize lets reservations follow what was learned. They shrink at once and
// grow into the room there is; what finds none is short, and makes room.
func (m *Machine) resize(out []Action) []Action {
	keys := m.keys()
	for _, k := range keys {
		if a := m.attempts[k]; a.phase != final {
			m.hold(a, smaller(a.need, m.target(a)))
		}
	}
	m.short = fleet.Resources{}
	for _, k := range keys {
		a := m.attempts[k]
		if a.phase == final {
			continue
		}
		t := m.target(a)
		m.hold(a, smaller(t, a.need.Plus(positive(m.total.Minus(m.reserved)))))
		m.short = m.short.Plus(t.Minus(a.need))
	}
	return m.shed(out)
}

func (m *Machine) hold(a *attempt, need fleet.Resources) {
	m.reserved = m.reserved.Plus(need).Minus(a.need)
	a.need = need
}

// shed evicts one attempt where memory is short, or processors have been for
// some time, and lets that take effect before the next.
func (m *Machine) shed(out []Action) []Action {
	if m.short.Processors == 0 || m.processorsFull.IsZero() {
		m.processorsFull = m.now
	}
	wanted := m.short.Memory > 0 || m.now.Sub(m.processorsFull) >= processorsShortFor
	if !wanted || m.now.Sub(m.shedAt) < shedEvery {
		return out
	}
	k, ok := m.victim()
	if !ok {
		return out
	}
	m.shedAt = m.now
	return m.evict(k, out)
}

// victim returns the attempt that ran least, of batch where there is one.
func (m *Machine) victim() (best Key, ok bool) {
	for _, k := range m.keys() {
		a := m.attempts[k]
		if a.phase != running {
			continue
		}
		if !ok || cheaper(a, m.attempts[best]) {
			best = k
			ok = true
		}
	}
	return best, ok
}

func cheaper(a, b *attempt) bool {
	as, bs := a.spec.Class == table.ClassService, b.spec.Class == table.ClassService
	if as != bs {
		return bs
	}
	return a.since.After(b.since)
}

// smaller returns the processors and memory of the smaller of both, the rest of a.
func smaller(a, b fleet.Resources) fleet.Resources {
	a.Processors = min(a.Processors, b.Processors)
	a.Memory = min(a.Memory, b.Memory)
	return a
}

func positive(r fleet.Resources) fleet.Resources {
	r.Processors = max(r.Processors, 0)
	r.Memory = max(r.Memory, 0)
	return r
}
