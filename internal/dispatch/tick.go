package dispatch

import (
	"encoding/json"
	"maps"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/sesamestream/sesamestream/internal/codec"
	"github.com/sesamestream/sesamestream/internal/election"
	"github.com/sesamestream/sesamestream/internal/eventlog"
	"github.com/sesamestream/sesamestream/internal/kv"
	"github.com/sesamestream/sesamestream/internal/link"
	"github.com/sesamestream/sesamestream/internal/telemetry"
	"github.com/sesamestream/sesamestream/pkg/batch"
	"github.com/sesamestream/sesamestream/pkg/decide/schedule"
	"github.com/sesamestream/sesamestream/pkg/decide/succession"
)

// announceInterval is how often the scheduler announces itself to nodes without a session.
const announceInterval = 300 * time.Millisecond

// estimatesSendInterval is how often changed interference estimates are sent to the
// hosts; it takes some seconds of samples until there is an estimate for a pair of images.
const estimatesSendInterval = time.Second

// sendEstimates sends each host the interference estimates for the images that run
// on it, and periodically stores those for all images.
func (d *Dispatcher) sendEstimates(now time.Time) {
	for _, s := range d.sessions {
		if s.hello.Host && s.fence != 0 {
			d.sendHostEstimates(s)
		}
	}
	if now.Sub(d.lastEstimatesStored) > estimatesStoreInterval {
		d.lastEstimatesStored = now
		if l := d.scheduler.InterferenceEstimates(now); len(l.Estimates) > 0 {
			d.background.Go(func() { d.storeEstimates(link.Interference{Entries: l.Estimates, IdleTail: l.IdleTails}) })
		}
	}
}

// sendHostEstimates sends a host the interference estimates by which it paces its
// runs, unless those sent last still cover them.
func (d *Dispatcher) sendHostEstimates(s *session) {
	l := d.scheduler.HostInterferenceEstimates(maps.Keys(s.workers))
	if s.sentEstimates.Covers(l) {
		return
	}
	s.sentEstimates = l
	s.conn.Send(link.Message{Interference: &link.Interference{Entries: l.Estimates, IdleTail: l.IdleTails}})
}

const (
	// estimatesKey holds the interference estimates for the next scheduler.
	estimatesKey = "sesame/pairs"
	// estimatesStoreInterval is how often they are stored; the next scheduler has to learn later estimates again.
	estimatesStoreInterval = 3 * time.Second
)

// storeEstimates stores the interference estimates. It isn't retried, as a loss
// costs the next scheduler only some seconds of learning.
func (d *Dispatcher) storeEstimates(p link.Interference) {
	v, err := codec.Encode(p)
	if err != nil {
		d.Log.Error().Err(err).Msg("interference estimates can't be encoded")
		return
	}
	if _, err := d.applyInTerm(kv.Change{Puts: []kv.Put{{Key: estimatesKey, Value: v}}}); err != nil {
		d.Log.Warning(eventlog.ProgressNotStored).Str("key", estimatesKey).Err(err).Msg("")
	}
}

// tick checks the timeouts and runs the periodic actions that are due.
func (d *Dispatcher) tick(now time.Time) {
	for _, s := range d.sessions {
		if now.Sub(s.lastContact) > link.SessionTimeout {
			d.closeSession(now, s, "silent")
		}
	}
	for k, at := range d.workerLeaseEnds {
		if now.After(at) && d.termEvidence().MayFree(now) {
			d.scheduler.ExpectLateStarts(now, k)
			d.removeWorker(k, "lease lapsed")
		}
	}
	for name, at := range d.hostLeaseEnds {
		if now.After(at) {
			d.removeHost(name)
		}
	}
	d.members.Expire(d.Term.LastContact())
	d.tryCompleteTakeover(now)
	d.stepDownIfSuperseded(now)
	d.addDeferredJobs(now)
	if d.loaded && now.Sub(d.lastAnnounce) > announceInterval {
		d.announce(now)
	}
	if now.Sub(d.lastEstimatesSent) > estimatesSendInterval {
		d.lastEstimatesSent = now
		d.sendEstimates(now)
	}
	if now.Sub(d.lastHandoverCheck) > handoverCheckInterval {
		d.lastHandoverCheck = now
		d.tryHandOver(now)
	}
	if now.Sub(d.lastMemoryCheck) > memoryInterval {
		d.lastMemoryCheck = now
		d.measureMemory(now)
	}
	if now.Sub(d.lastShrink) > shrinkInterval {
		d.lastShrink = now
		d.shrinkEndedJobs(now)
	}
	if now.Sub(d.lastCollection) > collectInterval {
		d.lastCollection = now
		d.collectExpiredJobs(now)
	}
}

// stepDownIfSuperseded ends the term if other nodes reach the store and this process doesn't.
func (d *Dispatcher) stepDownIfSuperseded(now time.Time) {
	t := d.termEvidence()
	if at, ok := t.Superseded(now); ok {
		d.Log.Warning(eventlog.LeadershipLost).Str("why", "another node reaches the store").
			Dur("storeAge", now.Sub(t.LastAnswer)).Dur("peerAge", now.Sub(at)).Msg("")
		d.Term.Lose()
	}
}

// schedulePass runs one pass of the scheduling algorithm, sends its orders and
// stores the progress that changed.
func (d *Dispatcher) schedulePass(now time.Time) {
	if !d.loaded {
		return
	}
	o := d.scheduler.Schedule(now)
	// Between passes there is room that waiting work is about to take.
	if l := d.scheduler.LoadSummary(now); now.Sub(d.startTime) >= succession.MinHostWait(MaxLeaseDuration) {
		// Until then workers may still be joining, and their absence isn't a shortage.
		d.loadSummary = l
	}
	d.Log.Metrics.Observe(telemetry.SchedulePassSeconds, time.Since(now))
	for _, x := range o.Stops {
		d.Log.Event(eventlog.RunStopping).Str("job", string(x.Task.Job)).Str("task", x.Task.String()).Int("run", x.Number).
			Str("worker", x.Key.ID).Str("why", x.Reason).Msg("")
		d.send(x.Host, link.Message{Stop: &link.Stop{Key: x.Key, Task: x.Task, Number: x.Number}})
	}
	for _, x := range o.Starts {
		if x.FirstOfJob {
			d.Log.Metrics.Observe(telemetry.FirstStartSeconds, x.QueueDelay)
		}
		d.Log.Event(eventlog.RunOrdered).Str("job", string(x.Task.Job)).Str("task", x.Task.String()).Int("run", x.Number).
			Str("worker", x.Key.ID).Str("peer", x.Host).Str("image", x.Step.Image).Int("tier", x.Reason.Tier).Dur("slack", x.Reason.Slack).Int("roomMilliCpu", x.Reason.Free.MilliCPU).
			Int("roomMb", x.Reason.Free.MemoryMB).Int("leftoverMilliCpu", x.Reason.SpareMilliCPU).
			Bool("endless", x.Step.LongRunning).Msg("")
		if n := d.sessions[x.Host]; n != nil && (x.Step.BestEffort || x.Step.LatencyTarget > 0) {
			// The run may interfere with others, or be a victim, from its start on.
			d.sendHostEstimates(n)
		}
		d.send(x.Host, link.Message{Start: &link.Start{
			Key: x.Key, Task: x.Task, Number: x.Number, Spec: x.Spec, Checkpoint: x.Checkpoint, Ticket: x.Ticket, Info: runInfo(x.Task, x.Step),
		}})
	}
	for _, x := range o.HealthChanges {
		d.logQuarantine(now, x)
	}
	for _, x := range o.Waits {
		d.Log.Warning(eventlog.TaskWaiting).Str("job", string(x.Task.Job)).Str("task", x.Task.String()).Dur("waited", x.Waited).
			Dur("backoff", x.Backoff).Str("workers", x.Workers.String()).Msg("")
	}
	for _, x := range o.Yields {
		d.Log.Metrics.Increment(telemetry.Yields, "kind", string(x.Kind))
		d.Log.Event(eventlog.RunYields).Str("job", string(x.Task.Job)).Str("task", x.Task.String()).Str("worker", x.Worker).Str("kind", string(x.Kind)).
			Str("needJob", string(x.Need)).Int("needStep", x.NeedStep).Dur("slack", x.Slack).Int("missingMilliCpu", x.MissingMilliCPU).
			Int("freesMilliCpu", x.FreedMilliCPU).Float64("lostCoreSeconds", x.LostWork).Float64("gainedCoreSeconds", x.GainedWork).Msg("")
	}
	for _, w := range o.AdviceRequests {
		d.requestAdvice(w)
	}
	d.flush(now)
}

// logQuarantine logs that a worker is quarantined or released.
func (d *Dispatcher) logQuarantine(now time.Time, x schedule.HealthChange) {
	if x.QuarantinedUntil.IsZero() {
		d.Log.Event(eventlog.WorkerReleased).Str("worker", x.Key.ID).Str("why", x.Reason).Str("job", string(x.Job)).Msg("")
		return
	}
	d.Log.Warning(eventlog.WorkerQuarantined).Str("worker", x.Key.ID).Str("why", x.Reason).Str("job", string(x.Job)).
		Dur("for", x.QuarantinedUntil.Sub(now)).Int("round", x.BackoffLevel).Msg("")
}

// flush stores the progress that changed, and then acknowledges to the workers the ends of runs that it covers.
func (d *Dispatcher) flush(now time.Time) {
	if d.flushing || now.Sub(d.lastFlush) < flushInterval {
		return
	}
	dirty := d.scheduler.TakeDirty()
	acks := d.endAcks
	if len(dirty) == 0 && len(acks) == 0 {
		return
	}
	d.endAcks = map[batch.WorkerKey]int64{}
	d.lastFlush = now
	var records []progressRecord
	for _, id := range dirty {
		p, ok := d.scheduler.Progress(id)
		if !ok {
			continue
		}
		v, err := json.Marshal(p)
		if err != nil {
			d.Log.Error().Err(err).Str("job", string(id)).Msg("progress can't be encoded")
			continue
		}
		records = append(records, progressRecord{id: id, progress: p, value: v, revision: d.progressRevisions[id]})
	}
	if len(records) == 0 {
		d.acknowledgeEnds(acks)
		return
	}
	d.flushing = true
	d.background.Go(func() {
		err := d.writeRecords(records)
		d.post(func(now time.Time) {
			d.flushing = false
			for _, r := range records {
				if r.revision == 0 && !r.stored {
					delete(d.progressRevisions, r.id)
				} else {
					d.progressRevisions[r.id] = r.revision
				}
				if !r.stored {
					d.scheduler.MarkDirty(r.id)
					continue
				}
				d.scheduler.MarkStored(r.id, r.progress)
				if r.progress.State.Final() {
					d.observeJobEnd(now, r)
					d.Log.Event(eventlog.JobEnded).Str("job", string(r.id)).Str("state", string(r.progress.State)).
						Dur("stored", now.Sub(r.progress.Ended)).Msg("")
				}
			}
			if err != nil {
				d.Log.Warning(eventlog.ProgressNotStored).Int("jobs", len(records)).Err(err).Msg("")
				for k, n := range acks {
					d.endAcks[k] = max(d.endAcks[k], n)
				}
				return
			}
			d.acknowledgeEnds(acks)
		})
	})
}

// observeJobEnd records the durations of an ended job in the metrics.
func (d *Dispatcher) observeJobEnd(now time.Time, r progressRecord) {
	d.Log.Metrics.Observe(telemetry.EndStoredSeconds, now.Sub(r.progress.Ended))
	if j, ok := d.scheduler.Job(r.id); ok && !j.Accepted.IsZero() {
		d.Log.Metrics.Observe(telemetry.JobSeconds, now.Sub(j.Accepted), "queue", j.Queue)
	}
	if x, ok := d.scheduler.EstimateError(r.id); ok {
		d.observeEstimate(x.Queue, "start", x.SeenStart-x.PredictedStart)
		d.observeEstimate(x.Queue, "end", x.SeenEnd-x.PredictedEnd)
		d.Log.Event(eventlog.EstimateCompared).Str("job", string(r.id)).Str("queue", x.Queue).Dur("estimatedStart", x.PredictedStart).
			Dur("start", x.SeenStart).Dur("estimatedEnd", x.PredictedEnd).Dur("end", x.SeenEnd).Msg("")
	}
}

// observeEstimate records by how much the start or end of a job was later than its estimate.
func (d *Dispatcher) observeEstimate(queue, of string, late time.Duration) {
	sign := "late"
	if late < 0 {
		sign, late = "early", -late
	}
	d.Log.Metrics.Observe(telemetry.EstimateErrorSeconds, late, "queue", queue, "of", of, "seen", sign)
}

// applyInTerm applies a change on the condition that this term is the newest.
func (d *Dispatcher) applyInTerm(c kv.Change) (kv.Revision, error) {
	c.Conditions = append([]kv.Condition{{Key: election.EpochKey, Revision: d.Term.Epoch}}, c.Conditions...)
	ctx, cancel := kv.WithStallTimeout(d.ctx, storeCallTimeout, storeCallTimeout)
	defer cancel()
	return d.Store.Apply(ctx, c)
}

// progressRecord is the progress of one job that is being written to the store.
type progressRecord struct {
	id       batch.JobID
	progress *schedule.Progress
	value    []byte
	// revision is the last known revision of the key, and a condition of the change:
	// a change that timed out may be applied seconds later and mustn't undo a newer one.
	revision kv.Revision
	stored   bool
}

// acknowledgeEnds notifies the workers which ends of runs are stored, so that they
// stop reporting them.
func (d *Dispatcher) acknowledgeEnds(acks map[batch.WorkerKey]int64) {
	for k, n := range acks {
		host, ok := d.scheduler.Host(k)
		if !ok {
			continue
		}
		d.send(host, link.Message{EndsAck: &link.EndsAck{Key: k, UpTo: n}})
	}
}

// maxRecordsPerChange is how many records fit into one change, with a condition and
// a put for each and the condition on the epoch.
const maxRecordsPerChange = (kv.MaxChangeEntries - 1) / 2

// writeRecords stores the records in batches of maxRecordsPerChange and updates their revisions.
func (d *Dispatcher) writeRecords(records []progressRecord) error {
	for len(records) > 0 {
		n := min(len(records), maxRecordsPerChange)
		if err := d.writeBatch(records[:n]); err != nil {
			return err
		}
		records = records[n:]
	}
	return nil
}

// writeBatch stores records in one change. On a conflict it updates their revisions.
func (d *Dispatcher) writeBatch(records []progressRecord) error {
	var c kv.Change
	for _, r := range records {
		key := StatePrefix + string(r.id)
		c.Conditions = append(c.Conditions, kv.Condition{Key: key, Revision: r.revision})
		c.Puts = append(c.Puts, kv.Put{Key: key, Value: r.value})
	}
	revision, err := d.applyInTerm(c)
	if err == nil {
		for i := range records {
			records[i].revision, records[i].stored = revision, true
		}
		return nil
	}
	var conflict *kv.Conflict
	if errors.As(err, &conflict) {
		d.resolveConflict(records, conflict)
	}
	return err
}

// resolveConflict updates the revisions of the records from a conflict, which
// occurs after a change that timed out was applied after all. It ends the term if
// the conflict shows a newer epoch.
func (d *Dispatcher) resolveConflict(records []progressRecord, c *kv.Conflict) {
	if r, ok := c.Revision(election.EpochKey); ok && r != d.Term.Epoch {
		d.Log.Warning(eventlog.LeadershipLost).Str("why", "newer epoch in the store").Int64("epoch", int64(r)).Msg("")
		d.Term.Lose()
		return
	}
	for i := range records {
		records[i].revision, _ = c.Revision(StatePrefix + string(records[i].id))
	}
}

// collectExpiredJobs removes from the store the jobs that ended more than Keep ago, and the cancellations of unknown jobs
// from before that.
func (d *Dispatcher) collectExpiredJobs(now time.Time) {
	if len(d.deferredJobs) > 0 || d.collecting {
		// The cancellation of a job that isn't added yet has to stay.
		return
	}
	for _, id := range d.scheduler.RemoveExpired(now.Add(-d.Keep)) {
		delete(d.jobRevisions, id)
		delete(d.progressRevisions, id)
		d.expired = append(d.expired, id)
	}
	// A job may have been submitted again since a removal without an answer.
	d.expired = slices.DeleteFunc(d.expired, d.scheduler.HasJob)
	if len(d.expired) == 0 {
		return
	}
	d.collecting = true
	ids := d.expired
	d.background.Go(func() {
		const keysPerJob = 3
		removed := 0
		for removed < len(ids) {
			n := min(len(ids)-removed, (kv.MaxChangeEntries-1)/keysPerJob)
			var c kv.Change
			for _, id := range ids[removed : removed+n] {
				c.Removes = append(c.Removes, JobPrefix+string(id), CancelPrefix+string(id), StatePrefix+string(id))
			}
			if _, err := d.applyInTerm(c); err != nil {
				d.Log.Warning(eventlog.ProgressNotStored).Int("removes", n).Err(err).Msg("")
				break
			}
			removed += n
		}
		d.post(func(time.Time) {
			// What could not be removed is removed with the next collection.
			d.collecting, d.expired = false, slices.Delete(d.expired, 0, removed)
		})
	})
}
