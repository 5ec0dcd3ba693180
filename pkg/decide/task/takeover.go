package task

import (
	"maps"
	"slices"

	"github.com/sesamestream/sesamestream/pkg/decide/place"
	"github.com/sesamestream/sesamestream/pkg/fleet"
	"github.com/sesamestream/sesamestream/pkg/table"
)

// takeOver makes the machine the owner, enqueues the queued tasks and polls the
// hosts of the assigned ones. An assigned task counts as running until the leases
// that previous owners may have granted have lapsed, or its agent answers.
func (m *Machine) takeOver(e Takeover, out []Action) []Action {
	m.owner = true
	m.epoch = e.Epoch
	m.lastStoreContact = e.SentAt
	wait := m.withClockDrift(m.Lease + m.RideThrough)
	if e.Previous == PreviousOwnerGone {
		wait = m.withClockDrift(m.Lease)
	}
	var ids []ID
	for id, j := range m.State.Jobs {
		for i := range j.Tasks {
			ids = append(ids, ID{Job: id, Index: uint32(i)})
		}
	}
	for _, id := range sortIDs(ids) {
		j := m.State.Jobs[id.Job]
		switch t := &j.Tasks[id.Index]; t.Phase {
		case Queued:
			m.enqueue(id)
		case Assigned:
			r := &run{attempt: t.Attempt, host: t.Host, inherited: true}
			r.leaseEnd = m.now.Add(wait)
			r.service = j.Spec.Class == table.ClassService
			m.inherit(id, r)
			out = m.pollAgent(t.Host, out)
		}
	}
	return out
}

// inherit adds the run of an attempt that a previous owner assigned.
func (m *Machine) inherit(id ID, r *run) {
	m.runs[id] = r
	h := m.host(r.host)
	h.runs[id] = r
	h.worker = max(h.worker, m.State.Jobs[id.Job].Tasks[id.Index].Worker)
	j := m.State.Jobs[id.Job]
	m.Placer.RestoreAssigned(id, placementRequest(j, &j.Tasks[id.Index], id), r.host)
	if j.EndPhase != 0 {
		m.stopAttempt(id, r)
	}
}

// previousOwnerEnded shortens the wait for the leases that only the previous owner
// can have granted.
func (m *Machine) previousOwnerEnded() {
	t := m.now.Add(m.withClockDrift(m.Lease))
	for _, r := range m.runs {
		if r.inherited && !r.granted && t.Before(r.leaseEnd) {
			r.leaseEnd = t
		}
	}
}

// updateHost applies the current state of a host and polls its agent if one of
// its processes has restarted.
func (m *Machine) updateHost(v place.Host, out []Action) []Action {
	h := m.host(v.ID)
	if v.Agent < h.agent || v.Worker < h.worker {
		return out
	}
	restarted := v.Agent > h.agent || v.Worker > h.worker
	h.draining = v.Draining
	m.Placer.UpdateHost(v)
	m.updateIncarnations(v.ID, v.Agent, v.Worker)
	if restarted && len(h.runs) > 0 {
		return m.pollAgent(v.ID, out)
	}
	return out
}

// hostUnresponsive excludes a host from placement and replaces its service
// replicas at once, as two attempts of a replica may run at the same time.
func (m *Machine) hostUnresponsive(id fleet.ID) {
	h := m.host(id)
	h.unresponsive = true
	m.updateExclusion(id)
	for _, k := range m.serviceTasks(h) {
		m.endAttempt(k, Record{Op: OpRequeue, Reason: "host silent"})
	}
}

// drainHost excludes a host from placement and evicts its batch tasks. Service
// replicas are started elsewhere before they are stopped.
func (m *Machine) drainHost(id fleet.ID) {
	h := m.host(id)
	h.draining = true
	m.updateExclusion(id)
	for _, k := range m.serviceTasks(h) {
		r := h.runs[k]
		if r.granted {
			m.predecessors[k] = predecessor{host: id, attempt: r.attempt}
		}
		m.endAttempt(k, Record{Op: OpRequeue, Reason: "host drains"})
	}
	var ids []ID
	for k := range h.runs {
		ids = append(ids, k)
	}
	for _, k := range sortIDs(ids) {
		m.evict(k)
	}
}

// serviceTasks returns the service tasks that a host runs.
func (m *Machine) serviceTasks(h *host) []ID {
	var ids []ID
	for k, r := range h.runs {
		if r.service {
			ids = append(ids, k)
		}
	}
	return sortIDs(ids)
}

// stopPredecessor stops the predecessor of a task's current attempt.
func (m *Machine) stopPredecessor(id ID) {
	o, ok := m.predecessors[id]
	if !ok {
		return
	}
	delete(m.predecessors, id)
	m.deferUntilCommitted(Stop{Agent: o.host, Epoch: m.epoch, Task: id, Attempt: o.attempt})
}

// sweep fails the jobs that fit no host, deletes jobs after Retention, and lets
// the hosts whose quarantine has ended be probed.
func (m *Machine) sweep() {
	for _, id := range slices.Sorted(maps.Keys(m.State.Health)) {
		m.updateExclusion(id)
	}
	for _, id := range m.Placer.Unplaceable(m.now, m.GiveUpAfter) {
		if j := m.State.Jobs[id.Job]; j.EndPhase == 0 {
			m.record(Record{Op: OpGiveUp, Task: ID{Job: id.Job}, Reason: "fits no worker"})
			m.stopJob(id.Job)
		}
	}
	var expired []ID
	for id, j := range m.State.Jobs {
		if j.Phase.Terminal() && m.recordTime()-j.EndedAt > m.Retention {
			expired = append(expired, ID{Job: id})
		}
	}
	for _, id := range sortIDs(expired) {
		m.record(Record{Op: OpForget, Task: id})
		delete(m.reported, id.Job)
	}
}
