package dispatch

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/sesamestream/sesamestream/internal/eventlog"
	"github.com/sesamestream/sesamestream/internal/kv"
)

// readEvacuations reads the keys of the evacuation requests, retrying until it succeeds, and
// the revision at which they were read.
func (d *Dispatcher) readEvacuations(ctx context.Context) ([]string, kv.Revision, error) {
	if d.EvacuationPrefix == "" {
		return nil, 0, nil
	}
	for {
		c, cancel := context.WithTimeout(ctx, evacuationReadTimeout)
		items, at, err := d.Store.Range(c, d.EvacuationPrefix)
		cancel()
		if err == nil {
			keys := make([]string, len(items))
			for i, x := range items {
				keys[i] = x.Key
			}
			return keys, at, nil
		}
		d.Log.Warning(eventlog.StoreLost).Str("call", "evacuations").Err(err).Msg("")
		if !kv.WaitRetry(ctx) {
			return nil, 0, ctx.Err()
		}
	}
}

// evacuationReadTimeout bounds the age of the requests at the first start of a term. A store that
// takes longer for a small answer keeps the scheduler from starting anything.
const evacuationReadTimeout = 2 * time.Second

// followEvacuations applies each change of the evacuation requests in the store until ctx ends.
func (d *Dispatcher) followEvacuations(ctx context.Context, keys []string, from kv.Revision) {
	kv.FollowKeys(ctx, d.Store, d.EvacuationPrefix, keys, from, func(keys []string) {
		d.post(func(time.Time) { d.applyEvacuations(keys) })
	})
}

// applyEvacuations puts the requests of the given keys in force. The values of the keys have no meaning.
func (d *Dispatcher) applyEvacuations(keys []string) {
	var dataCentres []string
	for _, k := range keys {
		c := strings.TrimPrefix(k, d.EvacuationPrefix)
		if c == "" {
			d.Log.Warning(eventlog.ReportRejected).Str("key", k).Msg("evacuation request names no data centre")
			continue
		}
		dataCentres = append(dataCentres, c)
	}
	if slices.Equal(dataCentres, d.evacuations) {
		return
	}
	for _, c := range dataCentres {
		if !slices.Contains(d.evacuations, c) {
			d.Log.Event(eventlog.EvacuationRequested).Str("dataCentre", c).Int("workers", d.scheduler.CountWorkers(c)).Msg("")
		}
	}
	for _, c := range d.evacuations {
		if !slices.Contains(dataCentres, c) {
			d.Log.Event(eventlog.EvacuationEnded).Str("dataCentre", c).Int("workers", d.scheduler.CountWorkers(c)).Msg("")
		}
	}
	d.evacuations = dataCentres
	d.scheduler.SetEvacuations(dataCentres)
}
