package task

import (
	"time"

	"github.com/pkg/errors"

	"github.com/sesamestream/sesamestream/pkg/fleet"
	"github.com/sesamestream/sesamestream/pkg/table"
)

// The limits of failures.
const (
	// hopelessHosts is on how many healthy hosts a task fails before its job does.
	hopelessHosts = 3
	// hopelessFails is how often a task fails on healthy hosts before its job does.
	hopelessFails = 6
	// sickTasks is how many different tasks fail on a host before it is set aside.
	sickTasks = 3
	// probeDelay is how long a host is first set aside.
	probeDelay = 30 * time.Second
	// forgiveAfter is how long the failures of a service replica count.
	forgiveAfter = 10 * time.Minute
	// maxProbeDelay bounds how long a host is set aside.
	maxProbeDelay = time.Hour
)

// ErrOutOfOrder is returned for a record that does not follow from the state.
var ErrOutOfOrder = errors.New("task: record does not follow")

// A HostHealth is what failures tell of one host.
type HostHealth struct {
	// FailedTasks are the different tasks that failed since one ended well.
	FailedTasks []ID `cbor:"1,keyasint,omitempty"`
	// QuarantinedUntil is when the host may be probed, since the Unix epoch.
	QuarantinedUntil time.Duration `cbor:"2,keyasint,omitempty"`
	// QuarantineDuration is how long the host was last set aside, zero for a healthy one.
	QuarantineDuration time.Duration `cbor:"3,keyasint,omitempty"`
}

// A State is the durable state of one shard. Records alone change it.
type State struct {
	Version uint8                    `cbor:"1,keyasint"`
	Jobs    map[JobID]*Job           `cbor:"2,keyasint"`
	Health  map[fleet.ID]*HostHealth `cbor:"3,keyasint"`
}

// NewState returns an empty state.
func NewState() *State {
	return &State{Version: Version, Jobs: map[JobID]*Job{}, Health: map[fleet.ID]*HostHealth{}}
}

// Apply changes s by r, or returns ErrOutOfOrder and leaves s alone.
func (s *State) Apply(r Record) error {
	j := s.Jobs[r.Task.Job]
	if r.Op == OpSubmit {
		return s.submit(r, j)
	}
	if j == nil {
		return errors.WithMessage(ErrOutOfOrder, "job")
	}
	switch r.Op {
	case OpCancel:
		j.bar(Cancelled, "cancelled", r.At)
		return nil
	case OpGiveUp:
		j.bar(Failed, r.Reason, r.At)
		return nil
	case OpForget:
		if j.Phase == Queued {
			return errors.WithMessage(ErrOutOfOrder, "forget")
		}
		delete(s.Jobs, r.Task.Job)
		return nil
	}
	if int(r.Task.Index) >= len(j.Tasks) {
		return errors.WithMessage(ErrOutOfOrder, "index")
	}
	return s.change(r, j, &j.Tasks[r.Task.Index])
}

func (s *State) submit(r Record, j *Job) error {
	if j != nil || r.Spec == nil {
		return errors.WithMessage(ErrOutOfOrder, "submit")
	}
	j = &Job{Spec: *r.Spec, Digest: digest(r.Spec), Phase: Queued, UnfinishedTasks: r.Spec.Tasks}
	j.Tasks = make([]Task, r.Spec.Tasks)
	for i := range j.Tasks {
		j.Tasks[i].Phase = Queued
	}
	s.Jobs[r.Task.Job] = j
	return nil
}

func (s *State) change(r Record, j *Job, t *Task) error {
	if r.Op == OpAssign {
		return j.assign(r, t)
	}
	if t.Phase != Assigned || t.Attempt != r.Attempt {
		return errors.WithMessage(ErrOutOfOrder, "attempt")
	}
	if r.Checkpoint != "" {
		t.Checkpoint = r.Checkpoint
	}
	switch r.Op {
	case OpRequeue:
		j.requeue(t, r)
	case OpFail:
		s.fail(r, j, t)
	case OpDone:
		s.well(t.Host)
		j.done(t, r)
	}
	return nil
}

func (j *Job) assign(r Record, t *Task) error {
	if t.Phase != Queued || r.Attempt != t.Attempt+1 || j.EndPhase != 0 {
		return errors.WithMessage(ErrOutOfOrder, "assign")
	}
	t.Phase = Assigned
	t.Attempt = r.Attempt
	t.Host = r.Host
	t.Worker = r.Worker
	return nil
}

// requeue ends the attempt of t; a barred job's task is over with it.
func (j *Job) requeue(t *Task, r Record) {
	t.Host = ""
	t.Worker = 0
	if j.EndPhase == 0 {
		t.Phase = Queued
		return
	}
	j.end(t, j.EndPhase, j.Reason, r.At)
}

// done ends t well; a service replica that ends is replaced.
func (j *Job) done(t *Task, r Record) {
	if j.Spec.Class == table.ClassService || j.EndPhase == Cancelled {
		j.requeue(t, r)
		return
	}
	j.end(t, Done, "", r.At)
}

func (j *Job) end(t *Task, p Phase, reason string, at time.Duration) {
	*t = Task{Phase: p, Attempt: t.Attempt, Reason: reason}
	j.UnfinishedTasks--
	if j.UnfinishedTasks > 0 {
		return
	}
	j.Phase = Done
	if j.EndPhase != 0 {
		j.Phase = j.EndPhase
	}
	j.EndedAt = at
}

// bar ends what is queued of j and lets nothing start again.
func (j *Job) bar(p Phase, reason string, at time.Duration) {
	if j.EndPhase != 0 || j.Phase != Queued {
		return
	}
	j.EndPhase = p
	j.Reason = reason
	for i := range j.Tasks {
		if j.Tasks[i].Phase == Queued {
			j.end(&j.Tasks[i], p, reason, at)
		}
	}
}

func (s *State) fail(r Record, j *Job, t *Task) {
	h := t.Host
	if !s.sicken(h, r.Task, j, r.At) {
		if len(t.FailuresByHost) == 0 || j.forgives(t, r.At) {
			t.FailuresByHost = map[fleet.ID]int{}
			t.FirstFailure = r.At
		}
		t.FailuresByHost[h]++
	}
	total := 0
	for _, n := range t.FailuresByHost {
		total += n
	}
	if len(t.FailuresByHost) >= hopelessHosts || total >= hopelessFails {
		j.bar(Failed, r.Reason, r.At)
	}
	j.requeue(t, r)
}

// forgives reports whether old failures of a long-running replica no longer count.
func (j *Job) forgives(t *Task, at time.Duration) bool {
	return j.Spec.Class == table.ClassService && at-t.FirstFailure > forgiveAfter
}

// sicken counts a failure against a host and reports whether it is set aside.
func (s *State) sicken(h fleet.ID, id ID, j *Job, at time.Duration) bool {
	l := s.Health[h]
	if l == nil {
		l = &HostHealth{}
		s.Health[h] = l
	}
	if l.QuarantineDuration > 0 {
		l.setAside(at)
		return true
	}
	if j.suspect(h) {
		return false
	}
	for _, f := range l.FailedTasks {
		if f == id {
			return false
		}
	}
	l.FailedTasks = append(l.FailedTasks, id)
	if len(l.FailedTasks) < sickTasks {
		return false
	}
	l.setAside(at)
	s.pardon(h)
	return true
}

func (l *HostHealth) setAside(at time.Duration) {
	l.QuarantineDuration = min(max(2*l.QuarantineDuration, probeDelay), maxProbeDelay)
	l.QuarantinedUntil = at + l.QuarantineDuration
}

// suspect reports whether j has failed on another host than h and never ended well.
func (j *Job) suspect(h fleet.ID) bool {
	other := false
	for i := range j.Tasks {
		if j.Tasks[i].Phase == Done {
			return false
		}
		for f := range j.Tasks[i].FailuresByHost {
			other = other || f != h
		}
	}
	return other
}

// pardon takes back what a sick host counted against jobs.
func (s *State) pardon(h fleet.ID) {
	for _, j := range s.Jobs {
		for i := range j.Tasks {
			delete(j.Tasks[i].FailuresByHost, h)
		}
	}
}

// well clears a host on which a task ended well.
func (s *State) well(h fleet.ID) {
	delete(s.Health, h)
}
