package dispatch

import (
	"encoding/json"
	"time"

	"github.com/sesamestream/sesamestream/internal/eventlog"
	"github.com/sesamestream/sesamestream/internal/kv"
)

const (
	// shrinkEvery is how often the descriptions of jobs that are over are dropped.
	shrinkEvery = 2 * time.Second
	// shrinkAfter is how long a job has been over by then, so that a change made
	// late for it meets what it knows.
	shrinkAfter = 3 * time.Second
)

// shrink drops the descriptions of jobs that are over from the store: their
// keys stay, so that the same ID isn't taken for a new job, but the next
// scheduler reads only what is open.
func (d *Dispatcher) shrink(now time.Time) {
	jobs := d.plan.Shrink(now.Add(-shrinkAfter))
	if len(jobs) == 0 {
		return
	}
	var puts []kv.Put
	var conditions []kv.Condition
	for _, j := range jobs {
		v, err := json.Marshal(j)
		if err != nil {
			d.Log.Error().Err(err).Str("job", string(j.ID)).Msg("job can't be encoded")
			continue
		}
		key := JobPrefix + string(j.ID)
		puts = append(puts, kv.Put{Key: key, Value: v})
		conditions = append(conditions, kv.Condition{Key: key, Revision: d.jobRevisions[j.ID]})
		delete(d.jobRevisions, j.ID)
	}
	d.stopped.Go(func() {
		for len(puts) > 0 {
			n := min(len(puts), recordsPerChange)
			if _, err := d.apply(kv.Change{Conditions: conditions[:n], Puts: puts[:n]}); err != nil {
				// The next scheduler drops them.
				d.Log.Warning(eventlog.ProgressNotStored).Int("shrunk", len(puts)).Err(err).Msg("")
				return
			}
			puts, conditions = puts[n:], conditions[n:]
		}
	})
}
