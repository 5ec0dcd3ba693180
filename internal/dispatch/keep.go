package dispatch

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"github.com/sesamestream/sesamestream/internal/eventlog"
	"github.com/sesamestream/sesamestream/internal/kv"
	"github.com/sesamestream/sesamestream/internal/link"
	"github.com/sesamestream/sesamestream/internal/telemetry"
	"github.com/sesamestream/sesamestream/pkg/batch"
)

const (
	// keepsAtOnce bounds the records that are written for others at a time, and
	// so their memory: a record is as large as a caller's body.
	keepsAtOnce = 64
	// keepContact is how old the store's last answer may be for a record to be
	// tried at all: three renewals of the lead.
	keepContact = time.Second
	// keepCall bounds each of the two calls to the store; the farthest one answers in 70 ms.
	keepCall = 400 * time.Millisecond
)

// keep stores a job or a cancellation for an entry that has lost the store.
func (d *Dispatcher) keep(now time.Time, s *session, k *link.Keep) {
	answer := func(o link.KeepOutcome) {
		d.Log.Metrics.Count(telemetry.HandOvers, "outcome", o.String())
		d.Log.Event(eventlog.RecordHandedOver).Str("job", string(k.Job)).Str("peer", s.hello.Node).Bool("cancel", k.Value == nil).
			Str("outcome", o.String()).Dur("storeAge", now.Sub(d.Term.LastContact())).Msg("")
		s.conn.Send(link.Message{Reply: &link.Reply{ID: k.ID, Kept: o}})
	}
	switch {
	case !d.loaded || d.keeping >= keepsAtOnce || now.Sub(d.Term.LastContact()) > keepContact:
		answer(link.NotKept)
	case k.Value == nil:
		d.keepCancel(k.Job, answer)
	default:
		d.keepJob(k, answer)
	}
}

func (d *Dispatcher) keepJob(k *link.Keep, answer func(link.KeepOutcome)) {
	var j batch.Job
	if err := json.Unmarshal(k.Value, &j); err != nil || j.ID != k.Job {
		d.Log.Warning(eventlog.ReportRejected).Str("job", string(k.Job)).Err(err).Msg("job handed over can't be read")
		answer(link.NotKept)
		return
	}
	if !d.plan.Serves(j.Queue) {
		// The entry may not have heard that the queue is gone.
		answer(link.NotKept)
		return
	}
	key := JobPrefix + string(k.Job)
	c := kv.Change{Conditions: []kv.Condition{{Key: key}}, Puts: []kv.Put{{Key: key, Value: k.Value}}}
	d.keepRecord(key, c, func(now time.Time, r kv.Revision) {
		d.accepted(now, &link.Accepted{Job: k.Job, Value: k.Value, Revision: int64(r)})
	}, answer)
}

func (d *Dispatcher) keepCancel(id batch.JobID, answer func(link.KeepOutcome)) {
	if !d.plan.Knows(id) {
		answer(link.NotKept)
		return
	}
	key := CancelPrefix + string(id)
	c := kv.Change{Puts: []kv.Put{{Key: key, Value: []byte("cancelled")}}}
	d.keepRecord(key, c, func(now time.Time, _ kv.Revision) { d.plan.Cancel(now, id) }, answer)
}

// keepRecord makes a change that needs no term, unless its key exists. What
// became of it is told in the loop: done is called where it was made.
func (d *Dispatcher) keepRecord(key string, c kv.Change, done func(time.Time, kv.Revision), answer func(link.KeepOutcome)) {
	d.keeping++
	d.stopped.Go(func() {
		r, o := d.putNew(key, c)
		d.post(func(now time.Time) {
			d.keeping--
			if r > 0 {
				done(now, r)
			}
			answer(o)
		})
	})
}

// putNew reads the key first: a read that fails leaves nothing open, so that the record is surely not kept.
func (d *Dispatcher) putNew(key string, c kv.Change) (kv.Revision, link.KeepOutcome) {
	ctx, cancel := context.WithTimeout(d.ctx, keepCall)
	_, err := d.Store.Get(ctx, key)
	cancel()
	switch {
	case err == nil:
		return 0, link.Kept
	case !errors.Is(err, kv.ErrNotFound):
		return 0, link.NotKept
	}
	ctx, cancel = context.WithTimeout(d.ctx, keepCall)
	defer cancel()
	r, err := d.Store.Apply(ctx, c)
	switch {
	case err == nil:
		return r, link.Kept
	case errors.Is(err, kv.ErrConflict):
		return 0, link.Kept
	case errors.Is(err, kv.ErrUnknown):
		return 0, link.KeepUnknown
	}
	return 0, link.NotKept
}
