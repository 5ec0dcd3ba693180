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

// announced takes the worker's announcement and returns the answer to it.
func (t *tasks) announced(ctx context.Context, a worker.Announcement) (worker.Answer, error) {
	if err := a.Check(); err != nil {
		return worker.Answer{}, err
	}
	e := host.WorkerAnnouncement{Worker: a.Incarnation, Sequence: a.Sequence, BoundAgent: a.BoundAgent, Total: a.Resources}
	for _, r := range a.Attempts {
		if x, ok := reportOf(r); ok {
			e.Reports = append(e.Reports, x)
		}
	}
	t.mu.Lock()
	t.worker = a.Address
	t.seen = time.Now()
	t.mu.Unlock()
	var w *host.AnswerWorker
	t.runner.Send(e)
	// The query runs after the event: its answer has been carried by then, or
	// a later announcement's, which holds as well.
	err := t.runner.Query(ctx, func() { w = t.answer })
	if err != nil {
		return worker.Answer{}, err
	}
	return t.answerOf(w), nil
}

func (t *tasks) answerOf(w *host.AnswerWorker) worker.Answer {
	out := worker.Answer{Agent: t.life.Incarnation}
	if w == nil {
		return out
	}
	for _, r := range w.Leases {
		out.Leases = append(out.Leases, worker.Lease{Attempt: attemptOf(r.Key), Remaining: r.Remaining})
	}
	for _, k := range w.Ended {
		out.Acknowledged = append(out.Acknowledged, attemptOf(k))
	}
	return out
}

// attemptOf writes a key as the worker knows it: "shard/index/job" and a number.
func attemptOf(k host.Key) worker.Attempt {
	return worker.Attempt{
		Task:   fmt.Sprintf("%d/%d/%s", k.Shard, k.Task.Index, k.Task.Job),
		Number: uint64(k.Attempt),
	}
}

// errNotOurs is returned for an attempt that no agent started.
var errNotOurs = errors.New("agent: not an attempt of ours")

func keyOf(a worker.Attempt) (host.Key, error) {
	parts := strings.SplitN(a.Task, "/", 3)
	if len(parts) != 3 {
		return host.Key{}, errNotOurs
	}
	s, err := strconv.ParseUint(parts[0], 10, 16)
	if err != nil {
		return host.Key{}, errNotOurs
	}
	i, err := strconv.ParseUint(parts[1], 10, 32)
	if err != nil {
		return host.Key{}, errNotOurs
	}
	return host.Key{
		Shard:   host.Shard(s),
		Task:    task.ID{Job: task.JobID(parts[2]), Index: uint32(i)},
		Attempt: task.Attempt(a.Number),
	}, nil
}

// states are the worker's words for the states of an attempt.
var states = map[worker.State]host.State{
	worker.Running: host.Running,
	worker.Done:    host.Done,
	worker.Failed:  host.Failed,
	worker.Stopped: host.Stopped,
}

func reportOf(r worker.Report) (host.Report, bool) {
	k, err := keyOf(r.Attempt)
	if err != nil {
		return host.Report{}, false
	}
	return host.Report{
		Key:        k,
		State:      states[r.State],
		Reason:     r.Reason,
		Checkpoint: task.Checkpoint(r.Checkpoint),
		Need:       r.Resources,
		Kind:       r.Kind,
		Usage:      r.Usage,
	}, true
}
