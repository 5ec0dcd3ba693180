package host

import (
	"cmp"

	"github.com/sesamestream/sesamestream/pkg/decide/task"
	"github.com/sesamestream/sesamestream/pkg/fleet"
)

// workerSeen takes an announcement: it ends what ended and what an earlier
// life of the worker ran, and adopts what an earlier life of the agent started.
func (m *Machine) workerSeen(e WorkerAnnouncement, out []Action) []Action {
	if e.Worker < m.worker || e.Worker == m.worker && e.Sequence < m.sequence {
		return append(out, AnswerWorker{})
	}
	if e.BoundAgent != m.Agent.Incarnation {
		// A start of an earlier life of this agent may still reach the worker.
		return append(out, AnswerWorker{})
	}
	fresh := e.Worker != m.worker
	m.worker = e.Worker
	m.sequence = e.Sequence
	m.total = e.Total
	m.alive = true
	if fresh {
		out = m.freed(out)
	}
	for _, a := range m.attempts {
		a.listed = false
	}
	for _, r := range e.Reports {
		out = m.reported(r, out)
	}
	if fresh {
		out = m.renewAll(out)
	}
	out = m.resize(out)
	return m.answerWorker(out)
}

// answerWorker hands the leases of what may go on to the worker.
func (m *Machine) answerWorker(out []Action) []Action {
	var w AnswerWorker
	for _, k := range m.keys() {
		a := m.attempts[k]
		switch a.phase {
		case final:
			if a.acked && m.past(a) {
				w.Ended = append(w.Ended, k)
			}
		case starting, running, saving:
			if !a.granted {
				continue
			}
			a.handed = later(a.handed, a.until)
			w.Leases = append(w.Leases, AttemptLease{Key: k, Remaining: a.until.Sub(m.now)})
		}
	}
	return append(out, w)
}

// freed ends the attempts of earlier lives of the worker: they run no more.
func (m *Machine) freed(out []Action) []Action {
	for _, k := range m.keys() {
		a := m.attempts[k]
		m.forget(k, a)
		if a.phase == reserved {
			out = m.end(k, a, task.Refused, "worker restarted", out)
			continue
		}
		out = m.end(k, a, task.Stopped, "worker restarted", out)
	}
	return out
}

// reported takes what the worker tells of one attempt.
func (m *Machine) reported(r Report, out []Action) []Action {
	a := m.attempts[r.Key]
	if a == nil {
		a = m.adopt(r)
	}
	a.listed = true
	if r.State == Running {
		a.ran = m.now
	}
	if a.phase == final && r.State == Running && m.past(a) {
		return m.command(r.Key, a, StopAttempt, out)
	}
	if a.phase == final {
		return out
	}
	m.learn(a, r)
	if r.Checkpoint != "" && r.Checkpoint != a.saved {
		a.saved = r.Checkpoint
		out = m.say(r.Key, task.Progress, a, out)
	}
	switch r.State {
	case Running:
		if a.phase == starting {
			a.phase = running
			out = m.say(r.Key, task.Started, a, out)
		}
	case Done:
		out = m.end(r.Key, a, task.EndedOK, r.Reason, out)
	case Failed:
		out = m.end(r.Key, a, task.EndedFailed, r.Reason, out)
	case Stopped:
		out = m.end(r.Key, a, cmp.Or(a.onStop, task.Stopped), r.Reason, out)
	}
	return out
}

// learn takes the usage of a running attempt; none reported tells nothing.
func (m *Machine) learn(a *attempt, r Report) {
	if r.State != Running || r.Usage == (fleet.Resources{}) {
		return
	}
	a.used = r.Usage
	a.reported = true
	prior := a.declared
	if a.adopted {
		prior = r.Usage
	}
	m.learner.Observe(m.now, a.spec.Kind, prior, r.Usage)
}

// adopt takes up an attempt that an earlier life of this agent started. It
// holds its room. The worker goes by the lease it has, which ends within one
// lease's length from now, and is handed none before the owner grants one.
func (m *Machine) adopt(r Report) *attempt {
	a := &attempt{phase: running, worker: m.worker, declared: AtLeastOneSlot(r.Need), saved: r.Checkpoint, since: m.now, adopted: true}
	// Its processors and memory are reserved by resize, out of what is left.
	a.need = a.declared
	a.need.Processors = 0
	a.need.Memory = 0
	a.until = m.now.Add(m.Lease)
	a.handed = a.until
	a.spec = &task.Spec{Kind: r.Kind, Need: r.Need}
	m.attempts[r.Key] = a
	m.reserved = m.reserved.Plus(a.need)
	return a
}

// commanded takes the result of a command.
func (m *Machine) commanded(c CommandResult, out []Action) []Action {
	a := m.attempts[c.Command.Key]
	if a == nil || a.phase == final {
		return out
	}
	switch c.Command.Verb {
	case StartAttempt:
		return m.startCommanded(c, a, out)
	case CheckpointAttempt:
		return m.saveCommanded(c, a, out)
	case StopAttempt:
		return m.stopCommanded(c, a, out)
	}
	return out
}

// startCommanded ends an attempt that the worker proved not to run; one that
// may run is seen by the next announcement or stopped when its lease ends.
func (m *Machine) startCommanded(c CommandResult, a *attempt, out []Action) []Action {
	if a.phase != starting {
		return out
	}
	switch c.Result {
	case CarriedOut:
		a.phase = running
		return m.say(c.Command.Key, task.Started, a, out)
	case Refused, NotSent:
		return m.end(c.Command.Key, a, task.Refused, c.Reason, out)
	default:
		return m.stop(c.Command.Key, task.Stopped, out)
	}
}

// stopCommanded ends an attempt that the worker proved to have stopped, or
// that ended by itself before.
func (m *Machine) stopCommanded(c CommandResult, a *attempt, out []Action) []Action {
	if c.Result != CarriedOut || a.phase != stopping {
		return out
	}
	kind := a.onStop
	switch c.State {
	case Done:
		kind = task.EndedOK
	case Failed:
		kind = task.EndedFailed
	}
	if c.Checkpoint != "" {
		a.saved = c.Checkpoint
	}
	return m.end(c.Command.Key, a, kind, c.Reason, out)
}

// saveCommanded goes on to stop the attempt, evicted where it was saved.
func (m *Machine) saveCommanded(c CommandResult, a *attempt, out []Action) []Action {
	if c.Result == CarriedOut {
		a.saved = c.Checkpoint
	}
	if a.phase != saving {
		return out
	}
	kind := task.Stopped
	if c.Result == CarriedOut {
		kind = task.Evicted
	}
	return m.stop(c.Command.Key, kind, out)
}
