package dispatch

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/sesamestream/sesamestream/internal/eventlog"
	"github.com/sesamestream/sesamestream/internal/kv"
	"github.com/sesamestream/sesamestream/internal/link"
	"github.com/sesamestream/sesamestream/internal/telemetry"
	"github.com/sesamestream/sesamestream/pkg/batch"
)

const (
	// maxRelayedWrites bounds the concurrent writes for entries, and so their
	// memory: a record is as large as a caller's body.
	maxRelayedWrites = 64
	// maxRelayContactAge is how old the store's last answer may be for a relayed write
	// to be tried: three renewals of the leader lease.
	maxRelayContactAge = time.Second
	// relayCallTimeout bounds each of the two calls to the store; the farthest store answers in 70 ms.
	relayCallTimeout = 400 * time.Millisecond
)

// relayWrite stores a job, or a cancellation if there is no value, for an entry
// that can't reach the store.
func (d *Dispatcher) relayWrite(now time.Time, s *session, k *link.StoreRequest) {
	reply := func(o link.StoreOutcome) {
		d.Log.Metrics.Increment(telemetry.RelayedWrites, "outcome", o.String())
		d.Log.Event(eventlog.WriteRelayed).Str("job", string(k.Job)).Str("peer", s.hello.Node).Bool("cancel", k.Value == nil).
			Str("outcome", o.String()).Dur("storeAge", now.Sub(d.Term.LastContact())).Msg("")
		s.conn.Send(link.Message{Reply: &link.Reply{ID: k.ID, Outcome: o}})
	}
	switch {
	case !d.loaded || d.relayedWrites >= maxRelayedWrites || now.Sub(d.Term.LastContact()) > maxRelayContactAge:
		reply(link.NotStored)
	case k.Value == nil:
		d.relayCancellation(k.Job, reply)
	default:
		d.relayJob(k, reply)
	}
}

// relayJob stores a job for an entry and passes it to the scheduler.
func (d *Dispatcher) relayJob(k *link.StoreRequest, reply func(link.StoreOutcome)) {
	j, err := decodeJob(k.Job, k.Value)
	if err != nil {
		d.Log.Warning(eventlog.ReportRejected).Str("job", string(k.Job)).Err(err).Msg("job to store for an entry can't be used")
		reply(link.NotStored)
		return
	}
	if !d.scheduler.HasQueue(j.Queue) {
		// The entry may still have a configuration with a queue that was removed since.
		reply(link.NotStored)
		return
	}
	key := JobPrefix + string(k.Job)
	c := kv.Change{Conditions: CreationConditions(k.Job), Puts: []kv.Put{{Key: key, Value: k.Value}}}
	onConflict := func(err error) link.StoreOutcome { return CreationOutcome(k.Job, err) }
	d.writeRelayed(key, c, onConflict, func(now time.Time, r kv.Revision) {
		d.handleAccepted(now, &link.JobAccepted{Job: k.Job, Value: k.Value, Revision: int64(r)})
	}, reply)
}

// relayCancellation stores the cancellation of a known job for an entry and cancels the job.
func (d *Dispatcher) relayCancellation(id batch.JobID, reply func(link.StoreOutcome)) {
	if !d.scheduler.HasJob(id) {
		reply(link.NotStored)
		return
	}
	revision, ok := d.jobRevisions[id]
	if !ok {
		// The job has ended, and its description has been removed.
		reply(link.Stored)
		return
	}
	key := CancelPrefix + string(id)
	c := kv.Change{
		Conditions: []kv.Condition{{Key: JobPrefix + string(id), Revision: revision}},
		Puts:       []kv.Put{{Key: key, Value: []byte("cancelled")}},
	}
	onConflict := func(error) link.StoreOutcome { return link.NotStored }
	d.writeRelayed(key, c, onConflict, func(now time.Time, _ kv.Revision) { d.scheduler.Cancel(now, id) }, reply)
}

// writeRelayed applies a change in the background unless its key exists. The
// change isn't conditional on the term. Back in the event loop it calls done if
// the change was made, and then reply with the outcome, which onConflict tells if a condition doesn't hold.
func (d *Dispatcher) writeRelayed(key string, c kv.Change, onConflict func(error) link.StoreOutcome, done func(time.Time, kv.Revision), reply func(link.StoreOutcome)) {
	d.relayedWrites++
	d.background.Go(func() {
		r, o := d.putIfAbsent(key, c, onConflict)
		d.post(func(now time.Time) {
			d.relayedWrites--
			if r > 0 {
				done(now, r)
			}
			reply(o)
		})
	})
}

// putIfAbsent applies the change if key doesn't exist. It reads the key first: if
// that fails, the record is certainly not stored, so that the outcome is known.
func (d *Dispatcher) putIfAbsent(key string, c kv.Change, onConflict func(error) link.StoreOutcome) (kv.Revision, link.StoreOutcome) {
	ctx, cancel := context.WithTimeout(d.ctx, relayCallTimeout)
	_, err := d.Store.Get(ctx, key)
	cancel()
	switch {
	case err == nil:
		return 0, link.Stored
	case !errors.Is(err, kv.ErrNotFound):
		return 0, link.NotStored
	}
	ctx, cancel = context.WithTimeout(d.ctx, relayCallTimeout)
	defer cancel()
	r, err := d.Store.Apply(ctx, c)
	switch {
	case err == nil:
		return r, link.Stored
	case errors.Is(err, kv.ErrConflict):
		return 0, onConflict(err)
	case errors.Is(err, kv.ErrUnknown):
		return 0, link.StoreUnknown
	}
	return 0, link.NotStored
}
