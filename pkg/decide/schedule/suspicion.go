package schedule

import (
	"time"

	"github.com/sesamestream/sesamestream/pkg/batch"
)

// A Suspicion tells that a worker was set aside, or that it takes all work again.
type Suspicion struct {
	Key batch.WorkerKey
	// Until is when it's tried again; zero where it takes all work.
	Until time.Time
	// Why and Job say what was seen last, and in a run of which job.
	Why string
	Job batch.JobID
	// Round is how often it was set aside without a run done since.
	Round int
}

func (s *Scheduler) suspect(w *worker, why string, id batch.JobID) {
	s.suspicions = append(s.suspicions, Suspicion{Key: w.Key(), Until: w.health.until, Why: why, Job: id, Round: w.health.round})
}

// fails takes in a failed run on w.
func (s *Scheduler) fails(now time.Time, w *worker, id batch.JobID, works bool) {
	if w.health.fail(now, id, works) {
		s.suspect(w, "runs fail", id)
	}
}

// straggles takes in a run that w held up.
func (s *Scheduler) straggles(now time.Time, w *worker, id batch.JobID) {
	if w.health.straggled(now) {
		s.suspect(w, "runs are held up", id)
	}
}
