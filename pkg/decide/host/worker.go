package host

import (
	"cmp"

	"github.com/sesamestream/sesamestream/pkg/decide/task"
	"github.com/sesamestream/sesamestream/pkg/fleet"
)

// handleAnnouncement applies an announcement. It finishes the attempts that ended
// and those of an earlier incarnation of the worker, and adopts those that an
// earlier incarnation of the agent started. An announcement that is outdated or
// bound to another incarnation of the agent gets an empty answer.
func (m *Machine) handleAnnouncement(e WorkerAnnouncement, out []Action) []Action {
	if e.Worker < m.worker || e.Worker == m.worker && e.Sequence < m.sequence {
		return append(out, AnswerWorker{})
	}
	if e.BoundAgent != m.Agent.Incarnation {
		// A start sent by an earlier incarnation of this agent may still reach the worker.
		return append(out, AnswerWorker{})
	}
	newWorker := e.Worker != m.worker
	m.worker = e.Worker
	m.sequence = e.Sequence
	m.total = e.Total
	m.workerResponsive = true
	if newWorker {
		out = m.finishAttemptsOfOldWorker(out)
	}
	for _, a := range m.attempts {
		a.listed = false
	}
	for _, r := range e.Reports {
		out = m.handleReport(r, out)
	}
	if newWorker {
		out = m.requestAllLeases(out)
	}
	out = m.adjustReservations(out)
	return m.answerWorker(out)
}

// answerWorker sends the worker the remaining leases and the attempts that it may drop.
func (m *Machine) answerWorker(out []Action) []Action {
	var w AnswerWorker
	for _, k := range m.sortedKeys() {
		a := m.attempts[k]
		switch a.phase {
		case final:
			if a.acked && m.leaseExpired(a) {
				w.Ended = append(w.Ended, k)
			}
		case starting, running, checkpointing:
			if !a.granted {
				continue
			}
			a.workerLeaseEnd = later(a.workerLeaseEnd, a.leaseEnd)
			w.Leases = append(w.Leases, AttemptLease{Key: k, Remaining: a.leaseEnd.Sub(m.now)})
		}
	}
	return append(out, w)
}

// finishAttemptsOfOldWorker finishes the attempts of earlier incarnations of the
// worker, which no longer run.
func (m *Machine) finishAttemptsOfOldWorker(out []Action) []Action {
	for _, k := range m.sortedKeys() {
		a := m.attempts[k]
		m.removeIfSettled(k, a)
		if a.phase == reserved {
			out = m.finish(k, a, task.Refused, "worker restarted", out)
			continue
		}
		out = m.finish(k, a, task.Stopped, "worker restarted", out)
	}
	return out
}

// handleReport applies the state of one attempt that the worker announced.
func (m *Machine) handleReport(r Report, out []Action) []Action {
	a := m.attempts[r.Key]
	if a == nil {
		a = m.adopt(r)
	}
	a.listed = true
	if r.State == Running {
		a.lastRunningAt = m.now
	}
	if a.phase == final && r.State == Running && m.leaseExpired(a) {
		return m.sendCommand(r.Key, a, StopAttempt, out)
	}
	if a.phase == final {
		return out
	}
	m.observeUsage(a, r)
	if r.Checkpoint != "" && r.Checkpoint != a.checkpoint {
		a.checkpoint = r.Checkpoint
		out = m.answerOwner(r.Key, task.Progress, a, out)
	}
	switch r.State {
	case Running:
		if a.phase == starting {
			a.phase = running
			out = m.answerOwner(r.Key, task.Started, a, out)
		}
	case Done:
		out = m.finish(r.Key, a, task.EndedOK, r.Reason, out)
	case Failed:
		out = m.finish(r.Key, a, task.EndedFailed, r.Reason, out)
	case Stopped:
		out = m.finish(r.Key, a, cmp.Or(a.stopAnswer, task.Stopped), r.Reason, out)
	}
	return out
}

// observeUsage updates the estimates with the usage of a running attempt. A report
// without usage is ignored.
func (m *Machine) observeUsage(a *attempt, r Report) {
	if r.State != Running || r.Usage == (fleet.Resources{}) {
		return
	}
	a.usage = r.Usage
	a.usageReported = true
	prior := a.declared
	if a.adopted {
		prior = r.Usage
	}
	m.estimator.Observe(m.now, a.spec.Kind, prior, r.Usage)
}

// adopt adds an attempt that an earlier incarnation of this agent started. The
// worker still has a lease, which ends within one lease length from now, and is
// sent no other before the owner grants one.
func (m *Machine) adopt(r Report) *attempt {
	a := &attempt{phase: running, worker: m.worker, declared: AtLeastOneSlot(r.Need), checkpoint: r.Checkpoint, reservedAt: m.now, adopted: true}
	// adjustReservations reserves processors and memory from the free capacity.
	a.need = a.declared
	a.need.Processors = 0
	a.need.Memory = 0
	a.leaseEnd = m.now.Add(m.Lease)
	a.workerLeaseEnd = a.leaseEnd
	a.spec = &task.Spec{Kind: r.Kind, Need: r.Need}
	m.attempts[r.Key] = a
	m.reserved = m.reserved.Plus(a.need)
	return a
}

// handleCommandResult applies the result of a command.
func (m *Machine) handleCommandResult(c CommandResult, out []Action) []Action {
	a := m.attempts[c.Command.Key]
	if a == nil || a.phase == final {
		return out
	}
	switch c.Command.Verb {
	case StartAttempt:
		return m.handleStartResult(c, a, out)
	case CheckpointAttempt:
		return m.handleCheckpointResult(c, a, out)
	case StopAttempt:
		return m.handleStopResult(c, a, out)
	}
	return out
}

// handleStartResult finishes an attempt that certainly does not run. An attempt
// that may run is stopped.
func (m *Machine) handleStartResult(c CommandResult, a *attempt, out []Action) []Action {
	if a.phase != starting {
		return out
	}
	switch c.Result {
	case CarriedOut:
		a.phase = running
		return m.answerOwner(c.Command.Key, task.Started, a, out)
	case Refused, NotSent:
		return m.finish(c.Command.Key, a, task.Refused, c.Reason, out)
	default:
		return m.stop(c.Command.Key, task.Stopped, out)
	}
}

// handleStopResult finishes an attempt that the worker has stopped or that had
// ended before.
func (m *Machine) handleStopResult(c CommandResult, a *attempt, out []Action) []Action {
	if c.Result != CarriedOut || a.phase != stopping {
		return out
	}
	kind := a.stopAnswer
	switch c.State {
	case Done:
		kind = task.EndedOK
	case Failed:
		kind = task.EndedFailed
	}
	if c.Checkpoint != "" {
		a.checkpoint = c.Checkpoint
	}
	return m.finish(c.Command.Key, a, kind, c.Reason, out)
}

// handleCheckpointResult stops the attempt, which ends as evicted if the checkpoint
// was saved and as stopped otherwise.
func (m *Machine) handleCheckpointResult(c CommandResult, a *attempt, out []Action) []Action {
	if c.Result == CarriedOut {
		a.checkpoint = c.Checkpoint
	}
	if a.phase != checkpointing {
		return out
	}
	kind := task.Stopped
	if c.Result == CarriedOut {
		kind = task.Evicted
	}
	return m.stop(c.Command.Key, kind, out)
}
