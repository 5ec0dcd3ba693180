package task

import (
	"slices"
	"strings"
	"time"

	"github.com/sesamestream/sesamestream/pkg/fleet"
)

// handleLeaseRequest renews the leases of the listed attempts that are current,
// stops the others, and ends the attempts that the agent no longer holds. An
// agent that has not seen this owner's epoch is polled again under it.
func (m *Machine) handleLeaseRequest(e LeaseRequest, out []Action) []Action {
	if !m.acceptSender(e.Sender) {
		return out
	}
	if e.Epoch < m.epoch {
		return m.pollAgent(e.Agent.ID, out)
	}
	g := GrantLease{Agent: e.Agent.ID, Epoch: m.epoch, RequestedAt: e.SentAt, Duration: m.Lease}
	listed := make(map[ID]Attempt, len(e.Attempts))
	for _, l := range e.Attempts {
		listed[l.Task] = l.Attempt
		if l.Final >= Refused {
			a := Answer{Sender: e.Sender, Kind: l.Final, Task: l.Task, Attempt: l.Attempt}
			a.Checkpoint = l.Checkpoint
			a.Reason = l.Reason
			out = m.handleAnswer(a, out)
			continue
		}
		if m.renewLease(e.Sender, l) {
			g.Attempts = append(g.Attempts, l)
			continue
		}
		m.denyLease(e.Sender, l)
	}
	m.endUnlisted(e, listed)
	if len(g.Attempts) > 0 {
		out = append(out, g)
	}
	return out
}

// renewLease extends the lease of an attempt and reports whether it may run. The
// contact with the store must be recent, and the attempt a current one of a job
// that goes on, or a predecessor whose successor has not started.
func (m *Machine) renewLease(s Sender, l HeldAttempt) bool {
	if !m.mayGrantLeases() {
		return false
	}
	if o, ok := m.predecessors[l.Task]; ok && o.host == s.Agent.ID && o.attempt == l.Attempt {
		return true
	}
	r := m.runs[l.Task]
	if r == nil || r.attempt != l.Attempt || r.host != s.Agent.ID {
		return false
	}
	j := m.State.Jobs[l.Task.Job]
	if j.EndPhase != 0 {
		return false
	}
	if !r.granted {
		m.Placer.Confirm(l.Task)
	}
	r.granted = true
	r.recordMessage(s)
	r.leaseEnd = later(r.leaseEnd, m.now.Add(m.withClockDrift(m.Lease)))
	return true
}

// denyLease stops an attempt whose lease was not renewed. A current attempt of a
// job that goes on is left alone, as it only waits for contact with the store.
func (m *Machine) denyLease(s Sender, l HeldAttempt) {
	r := m.runs[l.Task]
	if r != nil && r.attempt == l.Attempt && r.host == s.Agent.ID {
		r.recordMessage(s)
		if j := m.State.Jobs[l.Task.Job]; j.EndPhase == 0 {
			return
		}
	}
	m.deferUntilCommitted(Stop{Agent: s.Agent.ID, Epoch: m.epoch, Task: l.Task, Attempt: l.Attempt})
}

// endUnlisted ends the attempts that the agent's request would list if they were
// running.
func (m *Machine) endUnlisted(e LeaseRequest, listed map[ID]Attempt) {
	var over []ID
	for id, r := range m.host(e.Agent.ID).runs {
		if listed[id] == r.attempt || !r.overIfUnlisted(e.Sender) {
			continue
		}
		over = append(over, id)
	}
	for _, id := range sortIDs(over) {
		m.endAttempt(id, Record{Op: OpRequeue, Reason: "not held"})
	}
}

// overIfUnlisted reports whether a request of s that omits r proves that r is
// over. A run without a lease from this owner is over if it is inherited, as the
// agent ignores a Start of an older epoch; otherwise its Start may still arrive.
// A run with a lease is over if the agent has restarted, or has sent the request
// after its last message on r.
func (r *run) overIfUnlisted(s Sender) bool {
	if !r.granted {
		return r.inherited
	}
	return r.agentIncarnation != s.Agent.Incarnation || s.SentAt.After(r.lastMessage)
}

// recordMessage records when the agent last sent a message on r.
func (r *run) recordMessage(s Sender) {
	if r.agentIncarnation != s.Agent.Incarnation {
		r.agentIncarnation = s.Agent.Incarnation
		r.lastMessage = s.SentAt
		return
	}
	r.lastMessage = later(r.lastMessage, s.SentAt)
}

// pollAgent asks an agent for the attempts that it holds, at most once per
// retryInterval.
func (m *Machine) pollAgent(id fleet.ID, out []Action) []Action {
	h := m.host(id)
	if m.now.Sub(h.polledAt) < retryInterval {
		return out
	}
	h.polledAt = m.now
	return append(out, PollAgent{Agent: id, Epoch: m.epoch})
}

// handleTick ends the runs that have timed out, resends what was not answered
// and sweeps the jobs at intervals.
func (m *Machine) handleTick(out []Action) []Action {
	var ids []ID
	for id, r := range m.runs {
		if m.needsFollowUp(r) {
			ids = append(ids, id)
		}
	}
	for _, id := range sortIDs(ids) {
		if r := m.runs[id]; r != nil {
			out = m.followUp(id, r, out)
		}
	}
	if m.now.Sub(m.lastSweep) >= m.GiveUpAfter/4 {
		m.lastSweep = m.now
		m.sweep()
	}
	return out
}

// needsFollowUp reports whether r must be ended, or its agent contacted, at this
// tick.
func (m *Machine) needsFollowUp(r *run) bool {
	switch {
	case m.leaseLapsed(r), m.startTimedOut(r):
		return true
	case !r.stopSent.IsZero():
		return m.now.Sub(r.stopSent) >= retryInterval
	}
	return r.inherited && !r.granted
}

// leaseLapsed reports whether every lease that may have been granted for r has
// lapsed.
func (m *Machine) leaseLapsed(r *run) bool {
	// After a pause of the owner itself, answers that arrived during the pause
	// are processed before a lease counts as lapsed.
	return (r.granted || r.inherited) && m.now.After(r.leaseEnd) && m.now.Sub(m.resumedAt) >= resumeGrace
}

// startTimedOut reports whether the agent has not asked for the first lease of r
// within StartTimeout.
func (m *Machine) startTimedOut(r *run) bool {
	return !r.granted && !r.inherited && !r.startSent.IsZero() && m.now.Sub(r.startSent) > m.StartTimeout
}

// followUp ends r if it has timed out, and otherwise resends its stop or polls
// its agent.
func (m *Machine) followUp(id ID, r *run, out []Action) []Action {
	switch {
	case m.leaseLapsed(r):
		m.endAttempt(id, Record{Op: OpRequeue, Reason: "lease lapsed"})
	case m.startTimedOut(r):
		m.Placer.RecordRefusal(m.now, r.host)
		m.endAttempt(id, Record{Op: OpRequeue, Reason: "no answer to start"})
	case !r.stopSent.IsZero():
		r.stopSent = m.now
		m.resendStop(id, r)
	default:
		out = m.pollAgent(r.host, out)
	}
	return out
}

// resendStop resends the Stop or Evict of r.
func (m *Machine) resendStop(id ID, r *run) {
	if r.evicting && m.State.Jobs[id.Job].EndPhase == 0 {
		m.deferUntilCommitted(Evict{Agent: r.host, Epoch: m.epoch, Task: id, Attempt: r.attempt})
		return
	}
	m.deferUntilCommitted(Stop{Agent: r.host, Epoch: m.epoch, Task: id, Attempt: r.attempt})
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// sortIDs sorts ids in place and returns them, so that equal inputs give equal
// actions.
func sortIDs(ids []ID) []ID {
	slices.SortFunc(ids, func(a, b ID) int {
		if c := strings.Compare(string(a.Job), string(b.Job)); c != 0 {
			return c
		}
		return int(a.Index) - int(b.Index)
	})
	return ids
}
