package task

import (
	"github.com/pkg/errors"

	"github.com/sesamestream/sesamestream/pkg/decide/place"
)

// submit accepts a job once its record is committed.
func (m *Machine) submit(e Submit, out []Action) []Action {
	j := m.State.Jobs[e.ID]
	if j != nil {
		if j.Digest != digest(&e.Spec) {
			return append(out, Reply{Request: e.Request, ID: e.ID, Phase: j.Phase, Err: ErrConflict})
		}
		m.after(Reply{Request: e.Request, ID: e.ID, Phase: j.Phase})
		return out
	}
	if err := m.acceptable(e); err != nil {
		return append(out, Reply{Request: e.Request, ID: e.ID, Err: err})
	}
	s := e.Spec
	if !m.record(Record{Op: OpSubmit, Task: ID{Job: e.ID}, Spec: &s}) {
		return append(out, Reply{Request: e.Request, ID: e.ID, Err: ErrBadSpec})
	}
	m.after(Reply{Request: e.Request, ID: e.ID, Phase: Queued})
	for i := range s.Tasks {
		m.queue(ID{Job: e.ID, Index: i})
	}
	return out
}

func (m *Machine) acceptable(e Submit) error {
	if e.ID == "" || len(e.ID) > MaxIDBytes {
		return errors.WithMessage(ErrBadSpec, "id")
	}
	if !m.mayGrant() {
		return ErrNotReady
	}
	return e.Spec.Check()
}

// cancel bars a job; the reply waits until none of its tasks runs.
func (m *Machine) cancel(e Cancel, out []Action) []Action {
	j := m.State.Jobs[e.ID]
	if j == nil {
		return append(out, Reply{Request: e.Request, ID: e.ID, Err: ErrUnknownJob})
	}
	if j.Phase.Terminal() {
		m.after(Reply{Request: e.Request, ID: e.ID, Phase: j.Phase})
		return out
	}
	m.calls[e.ID] = append(m.calls[e.ID], e.Request)
	if j.EndPhase == 0 {
		m.record(Record{Op: OpCancel, Task: ID{Job: e.ID}})
		m.barred(e.ID)
	}
	return out
}

// barred stops what runs of a job that may start nothing more.
func (m *Machine) barred(id JobID) {
	j := m.State.Jobs[id]
	for i := range j.Tasks {
		t := ID{Job: id, Index: uint32(i)}
		m.Placer.Remove(t)
		if r := m.runs[t]; r != nil {
			m.stop(t, r)
		}
		m.stopMoved(t)
	}
	m.tell(id)
}

// stop ends a run that was never granted at once and asks for the end of others.
func (m *Machine) stop(id ID, r *run) {
	if !r.granted && !r.inherited {
		m.end(id, Record{Op: OpRequeue, Reason: "cancelled"})
		return
	}
	r.asked = m.now
	m.after(Stop{Agent: r.host, Epoch: m.epoch, Task: id, Attempt: r.attempt})
}

// tell gives a job's result to its submitter and to those who cancelled it.
func (m *Machine) tell(id JobID) {
	j := m.State.Jobs[id]
	if !j.Phase.Terminal() {
		return
	}
	if !m.told[id] {
		m.told[id] = true
		m.after(JobEnded{ID: id, Phase: j.Phase, Reason: j.Reason})
	}
	for _, r := range m.calls[id] {
		m.after(Reply{Request: r, ID: id, Phase: j.Phase})
	}
	delete(m.calls, id)
}

// queue offers a task to the placer.
func (m *Machine) queue(id ID) {
	j := m.State.Jobs[id.Job]
	m.Placer.Add(m.now, id, want(j, &j.Tasks[id.Index], id))
}

func want(j *Job, t *Task, id ID) place.Want {
	w := place.Want{
		Kind:        j.Spec.Kind,
		Team:        j.Spec.Team,
		Need:        j.Spec.Need,
		Urgent:      j.Spec.Urgent,
		Region:      j.Spec.Region,
		CrossRegion: j.Spec.CrossRegion,
		Class:       j.Spec.Class,
	}
	if j.Spec.Spread {
		w.Group = string(id.Job)
	}
	for h := range t.FailuresByHost {
		w.Avoid = append(w.Avoid, h)
	}
	return w
}
