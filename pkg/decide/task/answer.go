package task

import "github.com/sesamestream/sesamestream/pkg/fleet"

// current reports whether s is of the newest lives known of its host and of
// no newer owner's epoch.
func (m *Machine) current(s Sender) bool {
	h := m.host(s.Agent.ID)
	if s.Agent.Incarnation < h.agent || s.Worker < h.worker || s.Epoch > m.epoch {
		return false
	}
	m.lives(s.Agent.ID, s.Agent.Incarnation, s.Worker)
	return true
}

// lives notes the incarnations of a host.
func (m *Machine) lives(id fleet.ID, agent, worker fleet.Incarnation) {
	h := m.host(id)
	h.agent = max(h.agent, agent)
	h.worker = max(h.worker, worker)
	h.silent = false
	m.review(id)
}

// answer takes what an agent tells of one attempt.
func (m *Machine) answer(e Answer, out []Action) []Action {
	if !m.current(e.Sender) {
		return out
	}
	r := m.runs[e.Task]
	if r == nil || r.attempt != e.Attempt || r.host != e.Agent.ID {
		m.outdated(e)
		return out
	}
	if e.Kind >= Refused {
		m.final(e, r)
		return out
	}
	return m.report(e, r, out)
}

// outdated stops an attempt that is over, or lets its agent forget it.
func (m *Machine) outdated(e Answer) {
	if o, ok := m.moving[e.Task]; ok && o.host == e.Agent.ID && o.attempt == e.Attempt {
		if e.Kind < Refused {
			return
		}
		delete(m.moving, e.Task)
	}
	if e.Kind >= Refused {
		m.after(Ack{Agent: e.Agent.ID, Epoch: m.epoch, Task: e.Task, Attempt: e.Attempt})
		return
	}
	m.after(Stop{Agent: e.Agent.ID, Epoch: m.epoch, Task: e.Task, Attempt: e.Attempt})
}

func (m *Machine) report(e Answer, r *run, out []Action) []Action {
	r.see(e.Sender)
	switch e.Kind {
	case Reserved:
		l := HeldAttempt{Task: e.Task, Attempt: e.Attempt}
		if m.renew(e.Sender, l) {
			g := GrantLease{Agent: e.Agent.ID, Epoch: m.epoch, Attempts: []HeldAttempt{l}, RequestedAt: e.SentAt, Duration: m.Lease}
			return append(out, g)
		}
		m.stale(e.Sender, l)
	case Started:
		m.stopMoved(e.Task)
	case Progress:
		m.save(e)
	}
	return out
}

// save keeps a checkpoint reference of the current attempt.
func (m *Machine) save(e Answer) {
	t := &m.State.Jobs[e.Task.Job].Tasks[e.Task.Index]
	if e.Checkpoint == "" || t.Checkpoint == e.Checkpoint || len(e.Checkpoint) > MaxTextBytes {
		return
	}
	m.record(Record{Op: OpSaveCheckpoint, Task: e.Task, Attempt: e.Attempt, Checkpoint: e.Checkpoint})
}

// final ends an attempt as its agent proves it.
func (m *Machine) final(e Answer, r *run) {
	if len(e.Checkpoint) > MaxTextBytes {
		e.Checkpoint = ""
	}
	switch e.Kind {
	case Refused:
		m.Placer.Refused(m.now, r.host)
		m.end(e.Task, Record{Op: OpRequeue, Reason: e.Reason})
	case EndedOK:
		m.end(e.Task, Record{Op: OpDone})
	case EndedFailed:
		m.end(e.Task, Record{Op: OpFail, Checkpoint: e.Checkpoint, Reason: e.Reason})
	case Evicted, Stopped:
		m.end(e.Task, Record{Op: OpRequeue, Checkpoint: e.Checkpoint, Reason: e.Reason})
	}
	m.after(Ack{Agent: e.Agent.ID, Epoch: m.epoch, Task: e.Task, Attempt: e.Attempt})
}
