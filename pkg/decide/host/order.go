package host

import (
	"github.com/sesamestream/sesamestream/pkg/decide/task"
	"github.com/sesamestream/sesamestream/pkg/fleet"
)

// handleStart reserves resources for an attempt, or refuses it.
func (m *Machine) handleStart(s Shard, o task.Start, out []Action) []Action {
	if o.Agent != m.Agent || o.Worker != m.worker {
		return out
	}
	k := Key{s, o.Task, o.Attempt}
	if a := m.attempts[k]; a != nil {
		return m.answerRepeatedStart(k, a, out)
	}
	declared := AtLeastOneSlot(o.Spec.Need)
	need := m.estimator.Need(o.Spec.Kind, declared, m.total)
	a := &attempt{phase: reserved, spec: o.Spec, need: need, declared: declared, worker: m.worker, checkpoint: o.Checkpoint, reservedAt: m.now}
	if reason := m.refusalReason(need); reason != "" {
		a.reason = reason
		a.need = fleet.Resources{}
		m.attempts[k] = a
		return m.finish(k, a, task.Refused, reason, out)
	}
	m.attempts[k] = a
	m.reserved = m.reserved.Plus(need)
	return m.answerOwner(k, task.Reserved, a, out)
}

// AtLeastOneSlot returns r with at least one slot, the minimum that a task holds
// on its worker.
func AtLeastOneSlot(r fleet.Resources) fleet.Resources {
	r.Slots = max(r.Slots, 1)
	return r
}

// refusalReason returns why need cannot be reserved, or "" if it can.
func (m *Machine) refusalReason(need fleet.Resources) string {
	switch {
	case m.draining:
		return "draining"
	case !m.workerResponsive:
		return "no worker"
	case !m.reserved.Plus(need).Plus(m.shortfall).Fits(m.total):
		return "no room"
	}
	return ""
}

// answerRepeatedStart answers a start of an attempt that already exists.
func (m *Machine) answerRepeatedStart(k Key, a *attempt, out []Action) []Action {
	switch a.phase {
	case final:
		return m.repeatFinalAnswer(k, a, out)
	case reserved:
		return m.answerOwner(k, task.Reserved, a, out)
	default:
		return m.answerOwner(k, task.Started, a, out)
	}
}

// repeatFinalAnswer sends the final answer again unless the owner has acknowledged it.
func (m *Machine) repeatFinalAnswer(k Key, a *attempt, out []Action) []Action {
	if a.acked {
		return out
	}
	return m.answerOwner(k, a.finalAnswer, a, out)
}

// handleGrant starts reserved attempts and extends the leases of the others. It
// ignores leases that were requested before the attempt was reserved.
func (m *Machine) handleGrant(s Shard, g task.GrantLease, out []Action) []Action {
	if !m.madeLeaseRequest(g.RequestedAt) {
		return out
	}
	until := g.RequestedAt.Add(g.Duration)
	for _, h := range g.Attempts {
		k := Key{s, h.Task, h.Attempt}
		a := m.attempts[k]
		if a == nil || a.phase == final || g.RequestedAt.Before(a.reservedAt) || a.granted && !until.After(a.leaseEnd) {
			continue
		}
		a.leaseEnd = until
		a.granted = true
		if a.phase == reserved && m.now.Before(until) {
			a.phase = starting
			out = m.sendCommand(k, a, StartAttempt, out)
		}
	}
	return out
}

// sendCommand sends a command for an attempt to its worker; a start carries the lease.
func (m *Machine) sendCommand(k Key, a *attempt, v Verb, out []Action) []Action {
	a.sentAt = m.now
	c := Command{Key: k, Verb: v, Worker: a.worker, Sent: m.clock.last, Spec: a.spec, Checkpoint: a.checkpoint}
	if v == StartAttempt {
		a.workerLeaseEnd = a.leaseEnd
		c.Lease = a.leaseEnd.Sub(m.now)
	}
	return append(out, c)
}

// stop stops an attempt, with kind as its final answer once the worker has
// stopped it.
func (m *Machine) stop(k Key, kind task.AnswerKind, out []Action) []Action {
	a := m.attempts[k]
	switch {
	case a == nil:
		// A start that arrives later gets this answer.
		a = &attempt{worker: m.worker}
		m.attempts[k] = a
		return m.finish(k, a, kind, "not held", out)
	case a.phase == final:
		return m.repeatFinalAnswer(k, a, out)
	case a.phase == reserved:
		return m.finish(k, a, task.Refused, "stopped before its start", out)
	case a.phase == stopping:
		return out
	}
	a.phase = stopping
	a.stopAnswer = kind
	return m.sendCommand(k, a, StopAttempt, out)
}

// evict saves a checkpoint of a running attempt and then stops it; an attempt in
// another phase is stopped without one.
func (m *Machine) evict(k Key, out []Action) []Action {
	a := m.attempts[k]
	if a != nil && (a.phase == checkpointing || a.phase == stopping) {
		return out
	}
	if a == nil || a.phase != running {
		return m.stop(k, task.Stopped, out)
	}
	a.phase = checkpointing
	return m.sendCommand(k, a, CheckpointAttempt, out)
}
