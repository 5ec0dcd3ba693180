package task

import (
	"github.com/sesamestream/sesamestream/pkg/fleet"
	"github.com/sesamestream/sesamestream/pkg/table"
)

// maxAssignmentsPerStep bounds the tasks that one step assigns.
const maxAssignmentsPerStep = 256

// assign assigns queued tasks to hosts and evicts the tasks that the placer
// chose as victims.
func (m *Machine) assign() {
	if !m.mayGrantLeases() {
		return
	}
	for range maxAssignmentsPerStep {
		id, h, ok := m.Placer.Next(m.now)
		if !ok {
			break
		}
		m.assignTo(id, h)
	}
	for _, id := range m.Placer.Victims(m.now) {
		m.evict(id)
	}
}

// assignTo records the next attempt of a task on a host and starts it once the
// record is committed.
func (m *Machine) assignTo(id ID, on fleet.ID) {
	h := m.host(on)
	j := m.State.Jobs[id.Job]
	t := &j.Tasks[id.Index]
	if !m.record(Record{Op: OpAssign, Task: id, Attempt: t.Attempt + 1, Host: on, Worker: h.worker}) {
		m.Placer.Release(id)
		return
	}
	r := &run{attempt: t.Attempt, host: on, service: j.Spec.Class == table.ClassService}
	m.runs[id] = r
	h.runs[id] = r
	m.updateExclusion(on)
	m.deferUntilCommitted(Start{
		Agent:      fleet.ProcessIncarnation{ID: on, Incarnation: h.agent},
		Worker:     h.worker,
		Epoch:      m.epoch,
		Task:       id,
		Attempt:    t.Attempt,
		Spec:       &j.Spec,
		Checkpoint: t.Checkpoint,
	})
}

// endAttempt ends a task's current attempt with record c and frees its place.
// The attempt must be known not to run any more.
func (m *Machine) endAttempt(id ID, c Record) {
	r := m.runs[id]
	c.Task = id
	c.Attempt = r.attempt
	c.Reason = truncate(c.Reason)
	j := m.State.Jobs[id.Job]
	wasOpen := j.EndPhase == 0
	if !m.record(c) {
		return
	}
	delete(m.runs, id)
	delete(m.host(r.host).runs, id)
	m.Placer.Release(id)
	m.updateExclusion(r.host)
	if j.Tasks[id.Index].Phase == Queued {
		m.enqueue(id)
	}
	if wasOpen && j.EndPhase != 0 {
		m.stopJob(id.Job)
		return
	}
	m.reportResult(id.Job)
}

// evict asks the agent of a running task to checkpoint and stop it.
func (m *Machine) evict(id ID) {
	r := m.runs[id]
	if r == nil || r.evicting || !r.granted {
		return
	}
	r.evicting = true
	r.stopSent = m.now
	m.deferUntilCommitted(Evict{Agent: r.host, Epoch: m.epoch, Task: id, Attempt: r.attempt})
}

// host returns the state of a host and creates it if there is none.
func (m *Machine) host(id fleet.ID) *host {
	h := m.hosts[id]
	if h == nil {
		h = &host{runs: map[ID]*run{}}
		m.hosts[id] = h
	}
	return h
}

// updateExclusion updates whether the placer may assign tasks to a host. A host
// whose quarantine has ended gets one task at a time as a probe.
func (m *Machine) updateExclusion(id fleet.ID) {
	h := m.host(id)
	l := m.State.Health[id]
	quarantined := l != nil && l.QuarantineDuration > 0 && (m.recordTime() < l.QuarantinedUntil || len(h.runs) > 0)
	m.Placer.SetExcluded(id, quarantined || h.unresponsive || h.draining || h.agent == 0)
}
