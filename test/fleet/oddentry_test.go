package fleet_test

import (
	"maps"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sesamestream/sesamestream/internal/dispatch"
)

// oddID is the ID of a job of which another writer left records.
const oddID = "00000000000000ff"

// oddRecords are records that another writer may leave among those that a scheduler reads.
var oddRecords = []struct {
	name string
	// values are the records, by key.
	values map[string]string
}{
	{"node nested too deeply", map[string]string{"sesame/node/odd": strings.Repeat("[", 100000)}},
	{"node with a number too large", map[string]string{"sesame/node/odd": `{"address":1e400,"host":true}`}},
	{"node with a port out of range", map[string]string{"sesame/node/odd": `{"address":"10.0.0.9:99999","host":false}`}},
	{"node that is no JSON", map[string]string{"sesame/node/odd": "\xff\xfe"}},
	{"job nested too deeply", oddJob(`"steps":` + strings.Repeat("[", 20000))},
	{"job with a number too large", oddJob(`"steps":[{"count":1e400}]`)},
	{"job with too many tasks", oddJob(`"steps":[{"count":900000000000000000}]`)},
	{"job with too many occurrences", oddJob(`"repeat":900000000000000000,"interval":1,"steps":[{"count":1}]`)},
	{"job with too many tasks in all occurrences", oddJob(`"repeat":10000,"interval":1,"steps":[{"count":5000}]`)},
	{"job without steps with too many occurrences", oddJob(`"repeat":900000000000000000`)},
	{"job that waits for a step out of range", oddJob(`"steps":[{"count":1,"after":[7]}]`)},
	{"job of another key", map[string]string{dispatch.JobPrefix + oddID: `{"id":"00000000000000fe","queue":"urgent","steps":[{"count":1}]}`}},
	{"progress nested too deeply", map[string]string{dispatch.StatePrefix + oddID: strings.Repeat("[", 100000)}},
	{"progress with a number too large", map[string]string{dispatch.StatePrefix + oddID: `{"tasks":[{"run":1e400}]}`}},
	{"progress of a task out of range", map[string]string{
		dispatch.JobPrefix + oddID:   `{"id":"` + oddID + `","queue":"unknown","steps":[{"count":1}]}`,
		dispatch.StatePrefix + oddID: `{"state":"running","tasks":[{"step":-1},{"index":-7},{"k":-1}]}`,
	}},
	{"estimates that are no CBOR", map[string]string{"sesame/pairs": "\xff\xfe"}},
}

// oddJob returns the record of a job with further fields.
func oddJob(fields string) map[string]string {
	return map[string]string{dispatch.JobPrefix + oddID: `{"id":"` + oddID + `","queue":"urgent",` + fields + "}"}
}

// An odd record in the store ends no process, and the others in its list are followed.
// Before, a stored job with a number too large or a step out of range ended each scheduler
// that read it, one after another, and so did progress of a task out of range.
func TestOddRecordsEndNoScheduler(t *testing.T) {
	for _, c := range oddRecords {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newRig(t, 1, 2, 3)
				time.Sleep(5 * time.Second)
				r.submitJobs(2)
				for _, k := range slices.Sorted(maps.Keys(c.values)) {
					r.store.Put(k, []byte(c.values[k]))
				}
				r.submit(r.newJob(2))
				time.Sleep(5 * time.Second)
				r.submit(r.newJob(3))
				leader := r.leader()
				leader.kill()
				time.Sleep(3 * time.Second)
				leader.start()
				r.submit(r.newJob(4))
				time.Sleep(20 * time.Second)
				r.history.CheckFinalState(r.jobState)
				if n := r.history.StartCount(oddID); n > 0 {
					t.Errorf("a job with an odd record was started %d times", n)
				}
				r.close()
			})
		})
	}
}
