package task

import "github.com/sesamestream/sesamestream/pkg/fleet"

// acceptSender reports whether s comes from the newest known incarnations of its
// host's processes and has seen no newer owner's epoch. If so, it records the
// incarnations.
func (m *Machine) acceptSender(s Sender) bool {
	h := m.host(s.Agent.ID)
	if s.Agent.Incarnation < h.agent || s.Worker < h.worker || s.Epoch > m.epoch {
		return false
	}
	m.updateIncarnations(s.Agent.ID, s.Agent.Incarnation, s.Worker)
	return true
}

// updateIncarnations records the incarnations of a host's processes and marks
// the host as responsive.
func (m *Machine) updateIncarnations(id fleet.ID, agent, worker fleet.Incarnation) {
	h := m.host(id)
	h.agent = max(h.agent, agent)
	h.worker = max(h.worker, worker)
	h.unresponsive = false
	m.updateExclusion(id)
}

// handleAnswer processes an agent's answer on one attempt.
func (m *Machine) handleAnswer(e Answer, out []Action) []Action {
	if !m.acceptSender(e.Sender) {
		return out
	}
	r := m.runs[e.Task]
	if r == nil || r.attempt != e.Attempt || r.host != e.Agent.ID {
		m.handleOutdatedAnswer(e)
		return out
	}
	if e.Kind >= Refused {
		m.handleFinalAnswer(e, r)
		return out
	}
	return m.handleNonFinalAnswer(e, r, out)
}

// handleOutdatedAnswer processes an answer on an attempt that is not the current
// one: it stops the attempt, or acknowledges its final answer. A predecessor
// keeps running until its successor has started.
func (m *Machine) handleOutdatedAnswer(e Answer) {
	if o, ok := m.predecessors[e.Task]; ok && o.host == e.Agent.ID && o.attempt == e.Attempt {
		if e.Kind < Refused {
			return
		}
		delete(m.predecessors, e.Task)
	}
	if e.Kind >= Refused {
		m.deferUntilCommitted(Ack{Agent: e.Agent.ID, Epoch: m.epoch, Task: e.Task, Attempt: e.Attempt})
		return
	}
	m.deferUntilCommitted(Stop{Agent: e.Agent.ID, Epoch: m.epoch, Task: e.Task, Attempt: e.Attempt})
}

// handleNonFinalAnswer processes an answer on a current attempt that goes on.
func (m *Machine) handleNonFinalAnswer(e Answer, r *run, out []Action) []Action {
	r.recordMessage(e.Sender)
	switch e.Kind {
	case Reserved:
		l := HeldAttempt{Task: e.Task, Attempt: e.Attempt}
		if m.renewLease(e.Sender, l) {
			g := GrantLease{Agent: e.Agent.ID, Epoch: m.epoch, Attempts: []HeldAttempt{l}, RequestedAt: e.SentAt, Duration: m.Lease}
			return append(out, g)
		}
		m.denyLease(e.Sender, l)
	case Started:
		m.stopPredecessor(e.Task)
	case Progress:
		m.saveCheckpoint(e)
	}
	return out
}

// saveCheckpoint records the checkpoint reference of the current attempt if it
// is new and within MaxTextBytes.
func (m *Machine) saveCheckpoint(e Answer) {
	t := &m.State.Jobs[e.Task.Job].Tasks[e.Task.Index]
	if e.Checkpoint == "" || t.Checkpoint == e.Checkpoint || len(e.Checkpoint) > MaxTextBytes {
		return
	}
	m.record(Record{Op: OpSaveCheckpoint, Task: e.Task, Attempt: e.Attempt, Checkpoint: e.Checkpoint})
}

// handleFinalAnswer ends an attempt on its agent's final answer, which proves
// that the attempt does not run.
func (m *Machine) handleFinalAnswer(e Answer, r *run) {
	if len(e.Checkpoint) > MaxTextBytes {
		e.Checkpoint = ""
	}
	switch e.Kind {
	case Refused:
		m.Placer.RecordRefusal(m.now, r.host)
		m.endAttempt(e.Task, Record{Op: OpRequeue, Reason: e.Reason})
	case EndedOK:
		m.endAttempt(e.Task, Record{Op: OpDone})
	case EndedFailed:
		m.endAttempt(e.Task, Record{Op: OpFail, Checkpoint: e.Checkpoint, Reason: e.Reason})
	case Evicted, Stopped:
		m.endAttempt(e.Task, Record{Op: OpRequeue, Checkpoint: e.Checkpoint, Reason: e.Reason})
	}
	m.deferUntilCommitted(Ack{Agent: e.Agent.ID, Epoch: m.epoch, Task: e.Task, Attempt: e.Attempt})
}
