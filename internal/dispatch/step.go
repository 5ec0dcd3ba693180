package dispatch

import (
	"context"
	"encoding/json"
	"maps"
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
)

// announceEvery is how often a node without a session is told where the scheduler is.
const announceEvery = 300 * time.Millisecond

// teachEvery is how often the hosts are told what was learned of images; a pair is known after some seconds.
const teachEvery = time.Second

// teach tells each host what was learned of the images that run on it, and
// keeps what was learned of all.
func (d *Dispatcher) teach(now time.Time) {
	for _, s := range d.sessions {
		if s.hello.Host && s.fence != 0 {
			d.teachHost(s)
		}
	}
	if now.Sub(d.keptPairs) > keepPairsEvery {
		d.keptPairs = now
		if l := d.plan.Pressures(now); len(l.Entries) > 0 {
			d.stopped.Go(func() { d.keepPairs(link.Pressure{Entries: l.Entries, Idle: l.Idle}) })
		}
	}
}

// teachHost tells a host what it needs to pace its runs, unless it knows it.
func (d *Dispatcher) teachHost(s *session) {
	l := d.plan.Beside(maps.Keys(s.workers))
	if s.taught.Covers(l) {
		return
	}
	s.taught = l
	s.conn.Send(link.Message{Pressure: &link.Pressure{Entries: l.Entries, Idle: l.Idle}})
}

const (
	// pairsKey holds what was learned of images, for the next scheduler.
	pairsKey = "sesame/pairs"
	// keepPairsEvery is how often it's stored: what is learned in that time is learned again.
	keepPairsEvery = 3 * time.Second
)

// keepPairs stores what was learned; a loss costs the next scheduler some seconds of learning.
func (d *Dispatcher) keepPairs(p link.Pressure) {
	v, err := codec.Encode(p)
	if err != nil {
		d.Log.Error().Err(err).Msg("pairs can't be encoded")
		return
	}
	if _, err := d.apply(kv.Change{Puts: []kv.Put{{Key: pairsKey, Value: v}}}); err != nil {
		d.Log.Warning(eventlog.ProgressNotStored).Str("key", pairsKey).Err(err).Msg("")
	}
}

func (d *Dispatcher) tick(now time.Time) {
	for _, s := range d.sessions {
		if now.Sub(s.heard) > link.SessionTimeout {
			d.leave(now, s, "silent")
		}
	}
	for k, at := range d.lapses {
		if now.After(at) && d.tenure().Newest(now) {
			d.gone(k, "lease lapsed")
		}
	}
	for name, at := range d.leaving {
		if now.After(at) {
			d.forget(name)
		}
	}
	d.settle(now)
	d.stepDown(now)
	d.admit(now)
	if d.loaded && d.Announce != nil && now.Sub(d.told) > announceEvery {
		d.told = now
		for name, n := range d.nodes {
			if d.sessions[name] == nil {
				d.Announce(n.Address, int64(d.Term.Epoch))
			}
		}
	}
	if now.Sub(d.taught) > teachEvery {
		d.taught = now
		d.teach(now)
	}
	if now.Sub(d.handed) > handOverEvery {
		d.handed = now
		d.handOver(now)
	}
	if now.Sub(d.shrunk) > shrinkEvery {
		d.shrunk = now
		d.shrink(now)
	}
	if now.Sub(d.swept) > collectEvery {
		d.swept = now
		d.collect(now)
	}
}

// stepDown gives the term up where others reach the store and this process doesn't.
func (d *Dispatcher) stepDown(now time.Time) {
	t := d.tenure()
	if at, ok := t.Superseded(now); ok {
		d.Log.Warning(eventlog.LeadLost).Str("why", "another node reaches the store").
			Dur("storeAge", now.Sub(t.Answered)).Dur("peerAge", now.Sub(at)).Msg("")
		d.Term.Lose()
	}
}

// schedule carries the decision's orders out and stores what changed.
func (d *Dispatcher) schedule(now time.Time) {
	if !d.loaded {
		return
	}
	o := d.plan.Schedule(now)
	d.Log.Metrics.Observe(telemetry.PassSeconds, time.Since(now))
	for _, x := range o.Stops {
		d.Log.Event(eventlog.RunStopping).Str("job", string(x.Task.Job)).Str("task", x.Task.String()).Int("run", x.Number).
			Str("worker", x.Key.ID).Str("why", x.Why).Msg("")
		d.send(x.Host, link.Message{Stop: &link.Stop{Key: x.Key, Task: x.Task, Number: x.Number}})
	}
	for _, x := range o.Starts {
		if x.First {
			d.Log.Metrics.Observe(telemetry.FirstStartSeconds, x.Waited)
		}
		d.Log.Event(eventlog.RunOrdered).Str("job", string(x.Task.Job)).Str("task", x.Task.String()).Int("run", x.Number).
			Str("worker", x.Key.ID).Str("peer", x.Host).Str("image", x.Step.Image).Int("tier", x.Why.Tier).Dur("slack", x.Why.Slack).Int("roomMilliCpu", x.Why.Room.MilliCPU).
			Int("roomMb", x.Why.Room.MemoryMB).Int("leftoverMilliCpu", x.Why.Leftover).Msg("")
		if n := d.sessions[x.Host]; n != nil && (x.Step.Fills || x.Step.TailTarget > 0) {
			// The run may disturb, or be disturbed, from its start on.
			d.teachHost(n)
		}
		d.send(x.Host, link.Message{Start: &link.Start{
			Key: x.Key, Task: x.Task, Number: x.Number, Spec: x.Spec, Saved: x.Saved, Ticket: x.Ticket, Fact: fact(x.Task, x.Step),
		}})
	}
	for _, x := range o.Suspicions {
		d.suspected(now, x)
	}
	for _, w := range o.Wants {
		d.ask(w)
	}
	d.flush(now)
}

// suspected logs that a worker is set aside or trusted again.
func (d *Dispatcher) suspected(now time.Time, x schedule.Suspicion) {
	if x.Until.IsZero() {
		d.Log.Event(eventlog.WorkerTrusted).Str("worker", x.Key.ID).Str("why", x.Why).Str("job", string(x.Job)).Msg("")
		return
	}
	d.Log.Warning(eventlog.WorkerSetAside).Str("worker", x.Key.ID).Str("why", x.Why).Str("job", string(x.Job)).
		Dur("for", x.Until.Sub(now)).Int("round", x.Round).Msg("")
}

// flush stores the progress that changed, and lets the workers forget the ends that are in it.
func (d *Dispatcher) flush(now time.Time) {
	if d.writing || now.Sub(d.flushed) < flushEvery {
		return
	}
	dirty := d.plan.Dirty()
	notes := d.notes
	if len(dirty) == 0 && len(notes) == 0 {
		return
	}
	d.notes = map[batch.WorkerKey]int64{}
	d.flushed = now
	var records []record
	for _, id := range dirty {
		p, ok := d.plan.Progress(id)
		if !ok {
			continue
		}
		v, err := json.Marshal(p)
		if err != nil {
			d.Log.Error().Err(err).Str("job", string(id)).Msg("progress can't be encoded")
			continue
		}
		records = append(records, record{id: id, progress: p, value: v, revision: d.revisions[id]})
	}
	if len(records) == 0 {
		d.noted(notes)
		return
	}
	d.writing = true
	d.stopped.Go(func() {
		err := d.write(records)
		d.post(func(now time.Time) {
			d.writing = false
			for _, r := range records {
				if r.revision == 0 && !r.stored {
					delete(d.revisions, r.id)
				} else {
					d.revisions[r.id] = r.revision
				}
				if !r.stored {
					d.plan.Redo(r.id)
					continue
				}
				d.plan.Stored(r.id, r.progress)
				if r.progress.State.Final() {
					d.ended(now, r)
					d.Log.Event(eventlog.JobEnded).Str("job", string(r.id)).Str("state", string(r.progress.State)).
						Dur("stored", now.Sub(r.progress.Ended)).Msg("")
				}
			}
			if err != nil {
				d.Log.Warning(eventlog.ProgressNotStored).Int("jobs", len(records)).Err(err).Msg("")
				for k, n := range notes {
					d.notes[k] = max(d.notes[k], n)
				}
				return
			}
			d.noted(notes)
		})
	})
}

// ended notes how long a job took.
func (d *Dispatcher) ended(now time.Time, r record) {
	d.Log.Metrics.Observe(telemetry.EndStoredSeconds, now.Sub(r.progress.Ended))
	if j, ok := d.plan.Job(r.id); ok && !j.Accepted.IsZero() {
		d.Log.Metrics.Observe(telemetry.JobSeconds, now.Sub(j.Accepted), "queue", j.Queue)
	}
}

// apply makes a change under the condition that this term is the newest.
func (d *Dispatcher) apply(c kv.Change) (kv.Revision, error) {
	c.Conditions = append([]kv.Condition{{Key: election.EpochKey, Revision: d.Term.Epoch}}, c.Conditions...)
	ctx, cancel := context.WithTimeout(d.ctx, storeCall)
	defer cancel()
	return d.Store.Apply(ctx, c)
}

// record is the progress of one job on its way to the store.
type record struct {
	id       batch.JobID
	progress *schedule.Progress
	value    []byte
	// revision is that of the key as known. A change that was given up may
	// still be made seconds later; by this it can't undo a newer one.
	revision kv.Revision
	stored   bool
}

func (d *Dispatcher) noted(notes map[batch.WorkerKey]int64) {
	for k, n := range notes {
		host, ok := d.plan.Host(k)
		if !ok {
			continue
		}
		d.send(host, link.Message{Noted: &link.Noted{Key: k, Upto: n}})
	}
}

// recordsPerChange is how many records fit into one change: a condition and a put each, and the epoch's condition.
const recordsPerChange = (kv.MaxChangeEntries - 1) / 2

// write stores the records, as many at a time as one change holds, and notes their revisions.
func (d *Dispatcher) write(records []record) error {
	for len(records) > 0 {
		n := min(len(records), recordsPerChange)
		if err := d.writeSome(records[:n]); err != nil {
			return err
		}
		records = records[n:]
	}
	return nil
}

func (d *Dispatcher) writeSome(records []record) error {
	var c kv.Change
	for _, r := range records {
		key := StatePrefix + string(r.id)
		c.Conditions = append(c.Conditions, kv.Condition{Key: key, Revision: r.revision})
		c.Puts = append(c.Puts, kv.Put{Key: key, Value: r.value})
	}
	revision, err := d.apply(c)
	if err == nil {
		for i := range records {
			records[i].revision, records[i].stored = revision, true
		}
		return nil
	}
	var conflict *kv.Conflict
	if errors.As(err, &conflict) {
		d.resolve(records, conflict)
	}
	return err
}

// resolve takes in how the keys stand after a change that was given up was made after all.
func (d *Dispatcher) resolve(records []record, c *kv.Conflict) {
	if r, ok := c.Revision(election.EpochKey); ok && r != d.Term.Epoch {
		d.Log.Warning(eventlog.LeadLost).Str("why", "newer epoch in the store").Int64("epoch", int64(r)).Msg("")
		d.Term.Lose()
		return
	}
	for i := range records {
		records[i].revision, _ = c.Revision(StatePrefix + string(records[i].id))
	}
}

// collect removes the jobs that ended long ago.
func (d *Dispatcher) collect(now time.Time) {
	ids := d.plan.Expired(now.Add(-d.Keep))
	if len(ids) == 0 {
		return
	}
	for _, id := range ids {
		delete(d.jobRevisions, id)
		delete(d.revisions, id)
	}
	d.stopped.Go(func() {
		const keysOfJob = 3
		for len(ids) > 0 {
			n := min(len(ids), (kv.MaxChangeEntries-1)/keysOfJob)
			var c kv.Change
			for _, id := range ids[:n] {
				c.Removes = append(c.Removes, JobPrefix+string(id), CancelPrefix+string(id), StatePrefix+string(id))
			}
			if _, err := d.apply(c); err != nil {
				d.Log.Warning(eventlog.ProgressNotStored).Int("removes", n).Err(err).Msg("")
				return
			}
			ids = ids[n:]
		}
	})
}
