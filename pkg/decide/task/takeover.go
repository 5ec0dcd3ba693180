package task

import (
	"maps"
	"slices"

	"github.com/sesamestream/sesamestream/pkg/decide/place"
	"github.com/sesamestream/sesamestream/pkg/fleet"
	"github.com/sesamestream/sesamestream/pkg/table"
)

// takeOver makes the machine the owner and asks every host that may run a task.
func (m *Machine) takeOver(e Takeover, out []Action) []Action {
	m.owner = true
	m.epoch = e.Epoch
	m.contact = e.SentAt
	wait := m.stretch(m.Lease + m.RideThrough)
	if e.Previous == PreviousOwnerGone {
		wait = m.stretch(m.Lease)
	}
	var ids []ID
	for id, j := range m.State.Jobs {
		for i := range j.Tasks {
			ids = append(ids, ID{Job: id, Index: uint32(i)})
		}
	}
	for _, id := range sorted(ids) {
		j := m.State.Jobs[id.Job]
		switch t := &j.Tasks[id.Index]; t.Phase {
		case Queued:
			m.queue(id)
		case Assigned:
			r := &run{attempt: t.Attempt, host: t.Host, inherited: true}
			r.until = m.now.Add(wait)
			r.service = j.Spec.Class == table.ClassService
			m.inherit(id, r)
			out = m.ask(t.Host, out)
		}
	}
	return out
}

func (m *Machine) inherit(id ID, r *run) {
	m.runs[id] = r
	h := m.host(r.host)
	h.runs[id] = r
	h.worker = max(h.worker, m.State.Jobs[id.Job].Tasks[id.Index].Worker)
	j := m.State.Jobs[id.Job]
	m.Placer.Occupy(id, want(j, &j.Tasks[id.Index], id), r.host)
	if j.EndPhase != 0 {
		m.stop(id, r)
	}
}

// oldEnded shortens the wait for attempts that only the old owner could have granted.
func (m *Machine) oldEnded() {
	t := m.now.Add(m.stretch(m.Lease))
	for _, r := range m.runs {
		if r.inherited && !r.granted && t.Before(r.until) {
			r.until = t
		}
	}
}

// hostSeen takes the newest view of a host, and asks one that has restarted.
func (m *Machine) hostSeen(v place.Host, out []Action) []Action {
	h := m.host(v.ID)
	if v.Agent < h.agent || v.Worker < h.worker {
		return out
	}
	reborn := v.Agent > h.agent || v.Worker > h.worker
	h.draining = v.Draining
	m.Placer.See(v)
	m.lives(v.ID, v.Agent, v.Worker)
	if reborn && len(h.runs) > 0 {
		return m.ask(v.ID, out)
	}
	return out
}

// silent keeps a host out and replaces its service replicas, which are not exclusive.
func (m *Machine) silent(id fleet.ID) {
	h := m.host(id)
	h.silent = true
	m.review(id)
	for _, k := range m.services(h) {
		m.end(k, Record{Op: OpRequeue, Reason: "host silent"})
	}
}

// drain evicts batch tasks, and starts replicas elsewhere before it stops them.
func (m *Machine) drain(id fleet.ID) {
	h := m.host(id)
	h.draining = true
	m.review(id)
	for _, k := range m.services(h) {
		r := h.runs[k]
		if r.granted {
			m.moving[k] = moved{host: id, attempt: r.attempt}
		}
		m.end(k, Record{Op: OpRequeue, Reason: "host drains"})
	}
	var ids []ID
	for k := range h.runs {
		ids = append(ids, k)
	}
	for _, k := range sorted(ids) {
		m.evict(k)
	}
}

func (m *Machine) services(h *host) []ID {
	var ids []ID
	for k, r := range h.runs {
		if r.service {
			ids = append(ids, k)
		}
	}
	return sorted(ids)
}

// stopMoved stops the attempt whose successor runs.
func (m *Machine) stopMoved(id ID) {
	o, ok := m.moving[id]
	if !ok {
		return
	}
	delete(m.moving, id)
	m.after(Stop{Agent: o.host, Epoch: m.epoch, Task: id, Attempt: o.attempt})
}

// lookOver gives up jobs that fit no host, forgets old ones and probes sick hosts.
func (m *Machine) lookOver() {
	for _, id := range slices.Sorted(maps.Keys(m.State.Health)) {
		m.review(id)
	}
	for _, id := range m.Placer.Misfits(m.now, m.GiveUpAfter) {
		if j := m.State.Jobs[id.Job]; j.EndPhase == 0 {
			m.record(Record{Op: OpGiveUp, Task: ID{Job: id.Job}, Reason: "fits no worker"})
			m.barred(id.Job)
		}
	}
	var old []ID
	for id, j := range m.State.Jobs {
		if j.Phase.Terminal() && m.at()-j.EndedAt > m.Retention {
			old = append(old, ID{Job: id})
		}
	}
	for _, id := range sorted(old) {
		m.record(Record{Op: OpForget, Task: id})
		delete(m.told, id.Job)
	}
}
