package dispatch

import (
	"encoding/json"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/sesamestream/sesamestream/internal/eventlog"
	"github.com/sesamestream/sesamestream/internal/kv"
	"github.com/sesamestream/sesamestream/pkg/batch"
	"github.com/sesamestream/sesamestream/pkg/decide/schedule"
	"github.com/sesamestream/sesamestream/pkg/decide/succession"
)

// addOrDefer adds a new job, or defers it until it's certain that no other term
// began before the job was stored. The next scheduler starts jobs stored after
// the beginning of its term at once, and assumes that older ones may be running.
// The flag earlier marks a job that an earlier scheduler may have started.
func (d *Dispatcher) addOrDefer(now time.Time, i kv.Item, earlier bool) {
	if !succession.LeaseValid(now, d.Term.LastContact()) {
		d.deferredJobs = append(d.deferredJobs, deferredJob{i, earlier})
		return
	}
	d.addJob(now, i, nil, earlier)
}

// deferredJob is a new job that waits until the term is confirmed.
type deferredJob struct {
	item    kv.Item
	earlier bool
}

// addDeferredJobs adds the deferred jobs once the term is confirmed.
func (d *Dispatcher) addDeferredJobs(now time.Time) {
	if len(d.deferredJobs) == 0 || !succession.LeaseValid(now, d.Term.LastContact()) {
		return
	}
	for _, a := range d.deferredJobs {
		d.addJob(now, a.item, nil, a.earlier)
	}
	d.deferredJobs = nil
}

// addJob passes a stored job and its progress, if any, to the scheduler. Jobs
// that the scheduler has already are ignored.
func (d *Dispatcher) addJob(now time.Time, i kv.Item, p *schedule.Progress, earlier bool) {
	id := batch.JobID(strings.TrimPrefix(i.Key, JobPrefix))
	if d.scheduler.HasJob(id) {
		return
	}
	j, err := decodeJob(id, i.Value)
	if err != nil {
		d.Log.Warning(eventlog.ReportRejected).Str("key", i.Key).Err(err).Msg("stored job can't be used")
		return
	}
	d.scheduler.Add(now, j, p, earlier)
	d.jobRevisions[j.ID] = i.Revision
	d.Log.Event(eventlog.JobQueued).Str("job", string(j.ID)).Str("queue", j.Queue).Int64("revision", int64(i.Revision)).
		Bool("earlier", earlier).Msg("")
}

// decodeJob decodes and checks the stored record of a job, which may come from another writer.
func decodeJob(id batch.JobID, value []byte) (*batch.Job, error) {
	var j batch.Job
	if err := json.Unmarshal(value, &j); err != nil {
		return nil, errors.Wrap(batch.ErrBadJob, err.Error())
	}
	if j.ID != id {
		return nil, errors.Wrapf(batch.ErrBadJob, "record of %q", j.ID)
	}
	if len(j.Steps) == 0 && j.Repeat == 0 {
		// The description of the ended job has been removed.
		return &j, nil
	}
	return &j, j.Check()
}
