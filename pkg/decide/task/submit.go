package task

import (
	"github.com/pkg/errors"

	"github.com/sesamestream/sesamestream/pkg/decide/place"
)

// submit accepts a job and replies once its record is committed. Repeating a
// submission is harmless; another job under the same id is a conflict.
func (m *Machine) submit(e Submit, out []Action) []Action {
	j := m.State.Jobs[e.ID]
	if j != nil {
		if j.Digest != specDigest(&e.Spec) {
			return append(out, Reply{Request: e.Request, ID: e.ID, Phase: j.Phase, Err: ErrConflict})
		}
		m.deferUntilCommitted(Reply{Request: e.Request, ID: e.ID, Phase: j.Phase})
		return out
	}
	if err := m.checkSubmit(e); err != nil {
		return append(out, Reply{Request: e.Request, ID: e.ID, Err: err})
	}
	s := e.Spec
	if !m.record(Record{Op: OpSubmit, Task: ID{Job: e.ID}, Spec: &s}) {
		return append(out, Reply{Request: e.Request, ID: e.ID, Err: ErrBadSpec})
	}
	m.deferUntilCommitted(Reply{Request: e.Request, ID: e.ID, Phase: Queued})
	for i := range s.Tasks {
		m.enqueue(ID{Job: e.ID, Index: i})
	}
	return out
}

// checkSubmit returns an error if the job cannot be accepted.
func (m *Machine) checkSubmit(e Submit) error {
	if e.ID == "" || len(e.ID) > MaxIDBytes {
		return errors.WithMessage(ErrBadSpec, "id")
	}
	if !m.mayGrantLeases() {
		return ErrNotReady
	}
	return e.Spec.Check()
}

// cancel cancels a job. The reply waits until none of its tasks runs.
func (m *Machine) cancel(e Cancel, out []Action) []Action {
	j := m.State.Jobs[e.ID]
	if j == nil {
		return append(out, Reply{Request: e.Request, ID: e.ID, Err: ErrUnknownJob})
	}
	if j.Phase.Terminal() {
		m.deferUntilCommitted(Reply{Request: e.Request, ID: e.ID, Phase: j.Phase})
		return out
	}
	m.cancelRequests[e.ID] = append(m.cancelRequests[e.ID], e.Request)
	if j.EndPhase == 0 {
		m.record(Record{Op: OpCancel, Task: ID{Job: e.ID}})
		m.stopJob(e.ID)
	}
	return out
}

// stopJob removes the queued tasks and stops the running tasks of a job that may
// start no further attempt.
func (m *Machine) stopJob(id JobID) {
	j := m.State.Jobs[id]
	for i := range j.Tasks {
		t := ID{Job: id, Index: uint32(i)}
		m.Placer.RemoveQueued(t)
		if r := m.runs[t]; r != nil {
			m.stopAttempt(t, r)
		}
		m.stopPredecessor(t)
	}
	m.reportResult(id)
}

// stopAttempt ends a run at once if no lease for it can have been granted, and
// asks its agent to stop it otherwise.
func (m *Machine) stopAttempt(id ID, r *run) {
	if !r.granted && !r.inherited {
		m.endAttempt(id, Record{Op: OpRequeue, Reason: "cancelled"})
		return
	}
	r.stopSent = m.now
	m.deferUntilCommitted(Stop{Agent: r.host, Epoch: m.epoch, Task: id, Attempt: r.attempt})
}

// reportResult reports the result of a job that is over, once, and answers the
// calls that cancelled it.
func (m *Machine) reportResult(id JobID) {
	j := m.State.Jobs[id]
	if !j.Phase.Terminal() {
		return
	}
	if !m.reported[id] {
		m.reported[id] = true
		m.deferUntilCommitted(JobEnded{ID: id, Phase: j.Phase, Reason: j.Reason})
	}
	for _, r := range m.cancelRequests[id] {
		m.deferUntilCommitted(Reply{Request: r, ID: id, Phase: j.Phase})
	}
	delete(m.cancelRequests, id)
}

// enqueue adds a task to the placer's queue.
func (m *Machine) enqueue(id ID) {
	j := m.State.Jobs[id.Job]
	m.Placer.Enqueue(m.now, id, placementRequest(j, &j.Tasks[id.Index], id))
}

// placementRequest returns the request for a task's placement, which avoids the
// hosts that the task failed on.
func placementRequest(j *Job, t *Task, id ID) place.TaskSpec {
	w := place.TaskSpec{
		Kind:        j.Spec.Kind,
		Team:        j.Spec.Team,
		Need:        j.Spec.Need,
		Urgent:      j.Spec.Urgent,
		Region:      j.Spec.Region,
		CrossRegion: j.Spec.CrossRegion,
		Class:       j.Spec.Class,
	}
	if j.Spec.Spread {
		w.SpreadGroup = string(id.Job)
	}
	for h := range t.FailuresByHost {
		w.AvoidHosts = append(w.AvoidHosts, h)
	}
	return w
}
