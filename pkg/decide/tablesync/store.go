package tablesync

import (
	"math"
	"time"

	"github.com/sesamestream/sesamestream/pkg/table"
)

// WatchersPerDataCentre is the number of processes in a data centre that watch the store.
const WatchersPerDataCentre = 2

// maxToken is the latest time that a token can name, in seconds.
const maxToken = 4 * math.MaxInt32

// loaded takes an answer of the store.
func (m *Machine) loaded(e StoreAnswered) {
	m.patience = StoreReadDelay
	switch {
	case e.Table.Revision > m.revision():
		m.adopt(e.Table, m.freshToken(), m.now)
	case e.Table.Revision == m.revision() && m.state == InForce:
		m.confirm(m.freshToken(), m.now)
	}
}

// freshToken returns the token of a confirmation at this moment, in seconds of the clock.
func (m *Machine) freshToken() uint64 {
	return uint64(max(0, m.now.Unix()))
}

// heard returns when a confirmation that a peer passed on was made: never later than now,
// whatever the clock of the process that made it shows.
func (m *Machine) heard(token uint64) time.Time {
	t := time.Unix(int64(min(token, maxToken)), 0)
	if t.After(m.now) {
		return m.now
	}
	return t
}

// confirm notes that the store had the revision in force at the time at.
func (m *Machine) confirm(token uint64, at time.Time) {
	if at.After(m.confirmed) {
		m.confirmed = at
	}
	m.schedule()
	if token > m.token {
		m.token = token
		m.do(Announce{Revision: m.revision(), Token: token})
	}
}

// storeUnreachable waits longer before the next read.
func (m *Machine) storeUnreachable() {
	m.patience = min(2*m.patience, MaxStoreReadDelay)
	m.schedule()
}

// schedule sets the time of the next read of the store. A watcher hears of changes by its watch;
// the others read only while they have no table, or one that nobody confirmed for long.
func (m *Machine) schedule() {
	m.read = m.now.Add(m.spread(m.patience))
	if stale := m.confirmed.Add(StaleTableAge); m.state == InForce && m.read.Before(stale) {
		m.read = stale.Add(m.spread(m.patience))
	}
}

func (m *Machine) readStore() {
	m.patience = min(2*m.patience, MaxStoreReadDelay)
	m.schedule()
	m.do(ReadStore{})
}

// watch begins or ends the watch when the choice changed.
func (m *Machine) watch() {
	if m.chosen == m.watching {
		return
	}
	m.watching = m.chosen
	m.do(WatchStore{On: m.watching})
}

// adopt puts t, which the store confirmed at the time at, in force unless the check refuses it.
func (m *Machine) adopt(t table.Table, token uint64, at time.Time) {
	if m.isRefused(t.Revision) {
		return
	}
	if err := m.check(t); err != nil {
		m.refuse(t.Revision)
		m.do(Refuse{Revision: t.Revision, Reason: err})
		return
	}
	m.state, m.current, m.token, m.confirmed = InForce, t, token, at
	m.patience = StoreReadDelay
	m.schedule()
	m.do(Apply{Table: t, Token: token})
	m.forgetOld()
}

func (m *Machine) check(t table.Table) error {
	if m.Validate == nil {
		return nil
	}
	return m.Validate(t)
}

func (m *Machine) refuse(r table.Revision) {
	if len(m.refused) == maxRefused {
		m.refused = m.refused[1:]
	}
	m.refused = append(m.refused, r)
}
