package task

import (
	"github.com/sesamestream/sesamestream/pkg/fleet"
	"github.com/sesamestream/sesamestream/pkg/table"
)

// maxAssignments bounds the assignments of one step.
const maxAssignments = 256

// assign gives queued tasks to hosts.
func (m *Machine) assign() {
	if !m.mayGrant() {
		return
	}
	for range maxAssignments {
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

func (m *Machine) assignTo(id ID, on fleet.ID) {
	h := m.host(on)
	j := m.State.Jobs[id.Job]
	t := &j.Tasks[id.Index]
	if !m.record(Record{Op: OpAssign, Task: id, Attempt: t.Attempt + 1, Host: on, Worker: h.worker}) {
		m.Placer.Free(id)
		return
	}
	r := &run{attempt: t.Attempt, host: on, service: j.Spec.Class == table.ClassService}
	m.runs[id] = r
	h.runs[id] = r
	m.review(on)
	m.after(Start{
		Agent:      fleet.ProcessIncarnation{ID: on, Incarnation: h.agent},
		Worker:     h.worker,
		Epoch:      m.epoch,
		Task:       id,
		Attempt:    t.Attempt,
		Spec:       &j.Spec,
		Checkpoint: t.Checkpoint,
	})
}

// end records the end of the current attempt, which is proved to be over.
func (m *Machine) end(id ID, c Record) {
	r := m.runs[id]
	c.Task = id
	c.Attempt = r.attempt
	c.Reason = clip(c.Reason)
	j := m.State.Jobs[id.Job]
	open := j.EndPhase == 0
	if !m.record(c) {
		return
	}
	delete(m.runs, id)
	delete(m.host(r.host).runs, id)
	m.Placer.Free(id)
	m.review(r.host)
	if j.Tasks[id.Index].Phase == Queued {
		m.queue(id)
	}
	if open && j.EndPhase != 0 {
		m.barred(id.Job)
		return
	}
	m.tell(id.Job)
}

// evict asks the agent of a running task for a checkpoint and its end.
func (m *Machine) evict(id ID) {
	r := m.runs[id]
	if r == nil || r.evicting || !r.granted {
		return
	}
	r.evicting = true
	r.asked = m.now
	m.after(Evict{Agent: r.host, Epoch: m.epoch, Task: id, Attempt: r.attempt})
}

func (m *Machine) host(id fleet.ID) *host {
	h := m.hosts[id]
	if h == nil {
		h = &host{runs: map[ID]*run{}}
		m.hosts[id] = h
	}
	return h
}

// review tells the placer whether a host may be given work.
func (m *Machine) review(id fleet.ID) {
	h := m.host(id)
	l := m.State.Health[id]
	sick := l != nil && l.QuarantineDuration > 0 && (m.at() < l.QuarantinedUntil || len(h.runs) > 0)
	m.Placer.Exclude(id, sick || h.silent || h.draining || h.agent == 0)
}
