package task

import (
	"time"

	"github.com/pkg/errors"

	"github.com/sesamestream/sesamestream/pkg/fleet"
	"github.com/sesamestream/sesamestream/pkg/table"
)

// The limits on failures.
const (
	// maxFailedHostsPerTask is the number of healthy hosts that a task fails on
	// before its job fails.
	maxFailedHostsPerTask = 3
	// maxFailuresPerTask is how often a task fails on healthy hosts before its
	// job fails.
	maxFailuresPerTask = 6
	// failedTasksToQuarantine is the number of different tasks that fail on a
	// host before it is put in quarantine.
	failedTasksToQuarantine = 3
	// initialQuarantine is the length of a host's first quarantine, which
	// doubles with each further failure.
	initialQuarantine = 30 * time.Second
	// serviceFailureExpiry is how long the failures of a service replica count.
	// A replica runs on, so old failures must not add up until its job fails.
	serviceFailureExpiry = 10 * time.Minute
	// maxQuarantine bounds the length of a quarantine.
	maxQuarantine = time.Hour
)

// ErrOutOfOrder is returned for a record that does not follow from the state.
var ErrOutOfOrder = errors.New("task: record does not follow")

// A HostHealth is the failure record of one host.
type HostHealth struct {
	// FailedTasks are the different tasks that failed since the last success.
	FailedTasks []ID `cbor:"1,keyasint,omitempty"`
	// QuarantinedUntil is when the host may be probed with one task, as the
	// duration since the Unix epoch.
	QuarantinedUntil time.Duration `cbor:"2,keyasint,omitempty"`
	// QuarantineDuration is the length of the host's last quarantine, zero for a
	// healthy host.
	QuarantineDuration time.Duration `cbor:"3,keyasint,omitempty"`
}

// A State is the durable state of one shard. Only records change it.
type State struct {
	Version uint8                    `cbor:"1,keyasint"`
	Jobs    map[JobID]*Job           `cbor:"2,keyasint"`
	Health  map[fleet.ID]*HostHealth `cbor:"3,keyasint"`
}

// NewState returns an empty state.
func NewState() *State {
	return &State{Version: Version, Jobs: map[JobID]*Job{}, Health: map[fleet.ID]*HostHealth{}}
}

// Apply applies r to s, or returns ErrOutOfOrder and leaves s unchanged.
func (s *State) Apply(r Record) error {
	j := s.Jobs[r.Task.Job]
	if r.Op == OpSubmit {
		return s.addJob(r, j)
	}
	if j == nil {
		return errors.WithMessage(ErrOutOfOrder, "job")
	}
	switch r.Op {
	case OpCancel:
		j.terminate(Cancelled, "cancelled", r.At)
		return nil
	case OpGiveUp:
		j.terminate(Failed, r.Reason, r.At)
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
	return s.applyToTask(r, j, &j.Tasks[r.Task.Index])
}

// addJob adds the job of an OpSubmit record with all tasks queued.
func (s *State) addJob(r Record, j *Job) error {
	if j != nil || r.Spec == nil {
		return errors.WithMessage(ErrOutOfOrder, "submit")
	}
	j = &Job{Spec: *r.Spec, Digest: specDigest(r.Spec), Phase: Queued, UnfinishedTasks: r.Spec.Tasks}
	j.Tasks = make([]Task, r.Spec.Tasks)
	for i := range j.Tasks {
		j.Tasks[i].Phase = Queued
	}
	s.Jobs[r.Task.Job] = j
	return nil
}

// applyToTask applies a record about the current or next attempt of t.
func (s *State) applyToTask(r Record, j *Job, t *Task) error {
	if r.Op == OpAssign {
		return j.assignTask(r, t)
	}
	if t.Phase != Assigned || t.Attempt != r.Attempt {
		return errors.WithMessage(ErrOutOfOrder, "attempt")
	}
	if r.Checkpoint != "" {
		t.Checkpoint = r.Checkpoint
	}
	switch r.Op {
	case OpRequeue:
		j.requeueTask(t, r)
	case OpFail:
		s.failAttempt(r, j, t)
	case OpDone:
		s.markHealthy(t.Host)
		j.completeTask(t, r)
	}
	return nil
}

// assignTask records the next attempt of t.
func (j *Job) assignTask(r Record, t *Task) error {
	if t.Phase != Queued || r.Attempt != t.Attempt+1 || j.EndPhase != 0 {
		return errors.WithMessage(ErrOutOfOrder, "assign")
	}
	t.Phase = Assigned
	t.Attempt = r.Attempt
	t.Host = r.Host
	t.Worker = r.Worker
	return nil
}

// requeueTask ends the attempt of t. A task of a job that may start no further
// attempt is over with it.
func (j *Job) requeueTask(t *Task, r Record) {
	t.Host = ""
	t.Worker = 0
	if j.EndPhase == 0 {
		t.Phase = Queued
		return
	}
	j.endTask(t, j.EndPhase, j.Reason, r.At)
}

// completeTask ends t with success. A service replica that ends is queued again
// instead, and a task of a cancelled job ends as cancelled.
func (j *Job) completeTask(t *Task, r Record) {
	if j.Spec.Class == table.ClassService || j.EndPhase == Cancelled {
		j.requeueTask(t, r)
		return
	}
	j.endTask(t, Done, "", r.At)
}

// endTask ends t in phase p, and ends j with its last task.
func (j *Job) endTask(t *Task, p Phase, reason string, at time.Duration) {
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

// terminate ends the queued tasks of j and prevents further attempts.
func (j *Job) terminate(p Phase, reason string, at time.Duration) {
	if j.EndPhase != 0 || j.Phase != Queued {
		return
	}
	j.EndPhase = p
	j.Reason = reason
	for i := range j.Tasks {
		if j.Tasks[i].Phase == Queued {
			j.endTask(&j.Tasks[i], p, reason, at)
		}
	}
}

// failAttempt ends the attempt of t and counts the failure against its host, and
// against the job unless the host is in quarantine.
func (s *State) failAttempt(r Record, j *Job, t *Task) {
	h := t.Host
	if !s.countHostFailure(h, r.Task, j, r.At) {
		if len(t.FailuresByHost) == 0 || j.failuresExpired(t, r.At) {
			t.FailuresByHost = map[fleet.ID]int{}
			t.FirstFailure = r.At
		}
		t.FailuresByHost[h]++
	}
	total := 0
	for _, n := range t.FailuresByHost {
		total += n
	}
	if len(t.FailuresByHost) >= maxFailedHostsPerTask || total >= maxFailuresPerTask {
		j.terminate(Failed, r.Reason, r.At)
	}
	j.requeueTask(t, r)
}

// failuresExpired reports whether the failures of a service replica are too old
// to count.
func (j *Job) failuresExpired(t *Task, at time.Duration) bool {
	return j.Spec.Class == table.ClassService && at-t.FirstFailure > serviceFailureExpiry
}

// countHostFailure counts a failure against a host and reports whether the host
// is in quarantine. A task counts once, and not at all if its job is probably at
// fault itself. A failure during quarantine extends it.
func (s *State) countHostFailure(h fleet.ID, id ID, j *Job, at time.Duration) bool {
	l := s.Health[h]
	if l == nil {
		l = &HostHealth{}
		s.Health[h] = l
	}
	if l.QuarantineDuration > 0 {
		l.extendQuarantine(at)
		return true
	}
	if j.failedElsewhere(h) {
		return false
	}
	for _, f := range l.FailedTasks {
		if f == id {
			return false
		}
	}
	l.FailedTasks = append(l.FailedTasks, id)
	if len(l.FailedTasks) < failedTasksToQuarantine {
		return false
	}
	l.extendQuarantine(at)
	s.clearHostFailures(h)
	return true
}

// extendQuarantine starts the first quarantine, or one twice as long as the last.
func (l *HostHealth) extendQuarantine(at time.Duration) {
	l.QuarantineDuration = min(max(2*l.QuarantineDuration, initialQuarantine), maxQuarantine)
	l.QuarantinedUntil = at + l.QuarantineDuration
}

// failedElsewhere reports whether a task of j has failed on another host than h
// and none has succeeded, which suggests that the job is at fault.
func (j *Job) failedElsewhere(h fleet.ID) bool {
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

// clearHostFailures removes the failures on a quarantined host from all tasks.
func (s *State) clearHostFailures(h fleet.ID) {
	for _, j := range s.Jobs {
		for i := range j.Tasks {
			delete(j.Tasks[i].FailuresByHost, h)
		}
	}
}

// markHealthy clears the failures of a host on which a task succeeded.
func (s *State) markHealthy(h fleet.ID) {
	delete(s.Health, h)
}
