package agent

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/sesamestream/sesamestream/internal/worker"
	"github.com/sesamestream/sesamestream/pkg/decide/host"
	"github.com/sesamestream/sesamestream/pkg/decide/task"
)

// handleAnnouncement processes an announcement of the worker and returns the answer to it.
func (t *taskManager) handleAnnouncement(ctx context.Context, a worker.Announcement) (worker.Answer, error) {
	if err := a.Check(); err != nil {
		return worker.Answer{}, err
	}
	e := host.WorkerAnnouncement{Worker: a.Incarnation, Sequence: a.Sequence, BoundAgent: a.BoundAgent, Total: a.Resources}
	for _, r := range a.Attempts {
		if x, ok := attemptReport(r); ok {
			e.Reports = append(e.Reports, x)
		}
	}
	t.mu.Lock()
	t.workerAddress = a.Address
	t.lastAnnouncement = time.Now()
	t.mu.Unlock()
	var w *host.AnswerWorker
	t.runner.Send(e)
	// The query runs after the event, so lastAnswer is the answer to this announcement or to a
	// later one, which is valid as well.
	err := t.runner.Query(ctx, func() { w = t.lastAnswer })
	if err != nil {
		return worker.Answer{}, err
	}
	return t.announcementAnswer(w), nil
}

// announcementAnswer converts the state machine's answer to the worker protocol.
func (t *taskManager) announcementAnswer(w *host.AnswerWorker) worker.Answer {
	out := worker.Answer{Agent: t.incarnation.Incarnation}
	if w == nil {
		return out
	}
	for _, r := range w.Leases {
		out.Leases = append(out.Leases, worker.Lease{Attempt: workerAttempt(r.Key), Remaining: r.Remaining})
	}
	for _, k := range w.Ended {
		out.Acknowledged = append(out.Acknowledged, workerAttempt(k))
	}
	return out
}

// workerAttempt converts a key to the worker protocol: the task name "shard/index/job" and the
// attempt number.
func workerAttempt(k host.Key) worker.Attempt {
	return worker.Attempt{
		Task:   fmt.Sprintf("%d/%d/%s", k.Shard, k.Task.Index, k.Task.Job),
		Number: uint64(k.Attempt),
	}
}

// errForeignAttempt is returned for an attempt whose task name was not made by an agent.
var errForeignAttempt = errors.New("agent: attempt was not started by an agent")

// attemptKey parses the task name that workerAttempt formats.
func attemptKey(a worker.Attempt) (host.Key, error) {
	parts := strings.SplitN(a.Task, "/", 3)
	if len(parts) != 3 {
		return host.Key{}, errForeignAttempt
	}
	s, err := strconv.ParseUint(parts[0], 10, 16)
	if err != nil {
		return host.Key{}, errForeignAttempt
	}
	i, err := strconv.ParseUint(parts[1], 10, 32)
	if err != nil {
		return host.Key{}, errForeignAttempt
	}
	return host.Key{
		Shard:   host.Shard(s),
		Task:    task.ID{Job: task.JobID(parts[2]), Index: uint32(i)},
		Attempt: task.Attempt(a.Number),
	}, nil
}

// attemptStates maps the worker protocol's states of an attempt to those of the state machine.
var attemptStates = map[worker.State]host.State{
	worker.Running: host.Running,
	worker.Done:    host.Done,
	worker.Failed:  host.Failed,
	worker.Stopped: host.Stopped,
}

// attemptReport converts a report of the worker; it returns false if no agent started the attempt.
func attemptReport(r worker.Report) (host.Report, bool) {
	k, err := attemptKey(r.Attempt)
	if err != nil {
		return host.Report{}, false
	}
	return host.Report{
		Key:        k,
		State:      attemptStates[r.State],
		Reason:     r.Reason,
		Checkpoint: task.Checkpoint(r.Checkpoint),
		Need:       r.Resources,
		Kind:       r.Kind,
		Usage:      r.Usage,
	}, true
}
