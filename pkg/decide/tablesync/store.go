package tablesync

import (
	"math"
	"time"

	"github.com/sesamestream/sesamestream/pkg/table"
)

// WatchersPerDataCentre is the number of processes of a data centre that watch the store.
const WatchersPerDataCentre = 2

// maxTokenSeconds is the latest time that a token can represent, in seconds since the Unix epoch.
const maxTokenSeconds = 4 * math.MaxInt32

// handleStoreAnswer applies a newer table of the store or records that the store confirmed the
// revision in force.
func (m *Machine) handleStoreAnswer(e StoreAnswered) {
	m.readDelay = StoreReadDelay
	switch {
	case e.Table.Revision > m.revision():
		m.adopt(e.Table, m.newToken(), m.now)
	case e.Table.Revision == m.revision() && m.state == InForce:
		m.recordConfirmation(m.newToken(), m.now)
	}
}

// newToken returns the token of a confirmation made now: the seconds since the Unix epoch.
func (m *Machine) newToken() uint64 {
	return uint64(max(0, m.now.Unix()))
}

// confirmationTime returns the time of a confirmation that a peer announced. It is never later
// than now, because the clock of the process that got the confirmation may be ahead.
func (m *Machine) confirmationTime(token uint64) time.Time {
	t := time.Unix(int64(min(token, maxTokenSeconds)), 0)
	if t.After(m.now) {
		return m.now
	}
	return t
}

// recordConfirmation records that the revision in force was the newest in the store at the given
// time, and announces the confirmation if its token is newer.
func (m *Machine) recordConfirmation(token uint64, at time.Time) {
	if at.After(m.confirmedAt) {
		m.confirmedAt = at
	}
	m.scheduleRead()
	if token > m.token {
		m.token = token
		m.emit(Announce{Revision: m.revision(), Token: token})
	}
}

// handleStoreUnreachable doubles the delay before the next read, up to MaxStoreReadDelay.
func (m *Machine) handleStoreUnreachable() {
	m.readDelay = min(2*m.readDelay, MaxStoreReadDelay)
	m.scheduleRead()
}

// scheduleRead sets the time of the next store read. Processes learn of changes by their watch or
// from peers, so they read only while they have no table or while the table in force has not been
// confirmed for StaleTableAge.
func (m *Machine) scheduleRead() {
	m.nextRead = m.now.Add(m.jitter(m.readDelay))
	if stale := m.confirmedAt.Add(StaleTableAge); m.state == InForce && m.nextRead.Before(stale) {
		m.nextRead = stale.Add(m.jitter(m.readDelay))
	}
}

// readStore requests a store read and doubles the delay before the next one, up to MaxStoreReadDelay.
func (m *Machine) readStore() {
	m.readDelay = min(2*m.readDelay, MaxStoreReadDelay)
	m.scheduleRead()
	m.emit(ReadStore{})
}

// updateWatch starts or stops the watch of the store when the process becomes or stops being a watcher.
func (m *Machine) updateWatch() {
	if m.isWatcher == m.watching {
		return
	}
	m.watching = m.isWatcher
	m.emit(WatchStore{On: m.watching})
}

// adopt puts t, which the store confirmed at the given time, in force unless it is invalid.
func (m *Machine) adopt(t table.Table, token uint64, at time.Time) {
	if m.isRefused(t.Revision) {
		return
	}
	if err := m.validate(t); err != nil {
		m.rememberRefused(t.Revision)
		m.emit(Refuse{Revision: t.Revision, Reason: err})
		return
	}
	m.state, m.current, m.token, m.confirmedAt = InForce, t, token, at
	m.readDelay = StoreReadDelay
	m.scheduleRead()
	m.emit(Apply{Table: t, Token: token})
	m.dropOldSources()
}

func (m *Machine) validate(t table.Table) error {
	if m.Validate == nil {
		return nil
	}
	return m.Validate(t)
}

// rememberRefused records a refused revision, so that it is not fetched and refused again. It
// keeps the last maxRefusedRevisions of them.
func (m *Machine) rememberRefused(r table.Revision) {
	if len(m.refusedRevisions) == maxRefusedRevisions {
		m.refusedRevisions = m.refusedRevisions[1:]
	}
	m.refusedRevisions = append(m.refusedRevisions, r)
}
