package dispatch

import (
	"encoding/json"
	"time"

	"github.com/sesamestream/sesamestream/internal/eventlog"
	"github.com/sesamestream/sesamestream/internal/kv"
)

const (
	// shrinkInterval is how often the descriptions of ended jobs are removed from the store.
	shrinkInterval = 2 * time.Second
	// shrinkMinAge is how long a job must have ended before its description is removed,
	// so that a delayed change for the job still finds the revision that it expects.
	shrinkMinAge = 3 * time.Second
)

// shrinkEndedJobs removes the descriptions of ended jobs from the store, so that
// the next scheduler has to load only the open jobs in full. The keys stay, so
// that the IDs aren't accepted for new jobs.
func (d *Dispatcher) shrinkEndedJobs(now time.Time) {
	jobs := d.scheduler.DropDescriptions(now.Add(-shrinkMinAge))
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
	d.background.Go(func() {
		for len(puts) > 0 {
			n := min(len(puts), maxRecordsPerChange)
			if _, err := d.applyInTerm(kv.Change{Conditions: conditions[:n], Puts: puts[:n]}); err != nil {
				// The next scheduler removes the descriptions.
				d.Log.Warning(eventlog.ProgressNotStored).Int("shrunk", len(puts)).Err(err).Msg("")
				return
			}
			puts, conditions = puts[n:], conditions[n:]
		}
	})
}
