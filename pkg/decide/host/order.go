package host

import (
	"github.com/sesamestream/sesamestream/pkg/decide/task"
	"github.com/sesamestream/sesamestream/pkg/fleet"
)

// start reserves room for an attempt, or refuses it.
func (m *Machine) start(s Shard, o task.Start, out []Action) []Action {
	if o.Agent != m.Agent || o.Worker != m.worker {
		return out
	}
	k := Key{s, o.Task, o.Attempt}
	if a := m.attempts[k]; a != nil {
		return m.again(k, a, out)
	}
	declared := AtLeastOneSlot(o.Spec.Need)
	need := m.learner.Need(o.Spec.Kind, declared, m.total)
	a := &attempt{phase: reserved, spec: o.Spec, need: need, declared: declared, worker: m.worker, saved: o.Checkpoint, since: m.now}
	if why := m.refusal(need); why != "" {
		a.reason = why
		a.need = fleet.Resources{}
		m.attempts[k] = a
		return m.end(k, a, task.Refused, why, out)
	}
	m.attempts[k] = a
	m.reserved = m.reserved.Plus(need)
	return m.say(k, task.Reserved, a, out)
}

// AtLeastOneSlot returns what a task holds on its worker: at least one slot.
func AtLeastOneSlot(r fleet.Resources) fleet.Resources {
	r.Slots = max(r.Slots, 1)
	return r
}

// refusal returns why need has no room here, or "".
func (m *Machine) refusal(need fleet.Resources) string {
	switch {
	case m.draining:
		return "draining"
	case !m.alive:
		return "no worker"
	case !m.reserved.Plus(need).Plus(m.short).Fits(m.total):
		return "no room"
	}
	return ""
}

// again answers a repeated start.
func (m *Machine) again(k Key, a *attempt, out []Action) []Action {
	switch a.phase {
	case final:
		return m.repeat(k, a, out)
	case reserved:
		return m.say(k, task.Reserved, a, out)
	default:
		return m.say(k, task.Started, a, out)
	}
}

// repeat tells a final answer again unless the owner has taken it.
func (m *Machine) repeat(k Key, a *attempt, out []Action) []Action {
	if a.acked {
		return out
	}
	return m.say(k, a.answer, a, out)
}

// granted starts what waited for its lease and prolongs what runs.
func (m *Machine) granted(s Shard, g task.GrantLease, out []Action) []Action {
	if !m.hasAsked(g.RequestedAt) {
		return out
	}
	until := g.RequestedAt.Add(g.Duration)
	for _, h := range g.Attempts {
		k := Key{s, h.Task, h.Attempt}
		a := m.attempts[k]
		if a == nil || a.phase == final || g.RequestedAt.Before(a.since) || a.granted && !until.After(a.until) {
			continue
		}
		a.until = until
		a.granted = true
		if a.phase == reserved && m.now.Before(until) {
			a.phase = starting
			out = m.command(k, a, StartAttempt, out)
		}
	}
	return out
}

func (m *Machine) command(k Key, a *attempt, v Verb, out []Action) []Action {
	a.sent = m.now
	c := Command{Key: k, Verb: v, Worker: a.worker, Sent: m.clock.last, Spec: a.spec, Checkpoint: a.saved}
	if v == StartAttempt {
		a.handed = a.until
		c.Lease = a.until.Sub(m.now)
	}
	return append(out, c)
}

// stop ends an attempt with the answer kind once the worker has stopped it.
func (m *Machine) stop(k Key, kind task.AnswerKind, out []Action) []Action {
	a := m.attempts[k]
	switch {
	case a == nil:
		// A start that is still on its way finds this answer.
		a = &attempt{worker: m.worker}
		m.attempts[k] = a
		return m.end(k, a, kind, "not held", out)
	case a.phase == final:
		return m.repeat(k, a, out)
	case a.phase == reserved:
		return m.end(k, a, task.Refused, "stopped before its start", out)
	case a.phase == stopping:
		return out
	}
	a.phase = stopping
	a.onStop = kind
	return m.command(k, a, StopAttempt, out)
}

// evict checkpoints an attempt and then stops it.
func (m *Machine) evict(k Key, out []Action) []Action {
	a := m.attempts[k]
	if a != nil && (a.phase == saving || a.phase == stopping) {
		return out
	}
	if a == nil || a.phase != running {
		return m.stop(k, task.Stopped, out)
	}
	a.phase = saving
	return m.command(k, a, CheckpointAttempt, out)
}
