// Package straggle detects stragglers: runs that should be stopped and
// restarted on another worker. It is made for fleets in which a few workers
// become several times slower, or stall their tasks, while the rest of a step
// ends in time, so that the whole step would wait for its slowest task.
package straggle

import (
	"slices"
	"time"

	"github.com/sesamestream/sesamestream/pkg/batch"
)

const (
	// minStallTime is the least time without progress after which a run counts as
	// stalled: two reporting windows and the delay of a message.
	minStallTime = 2*batch.LoadWindow + 100*time.Millisecond
	// minProgressPercent is the progress in percent that a run must make before its
	// speed is estimated; reports are in whole percents and half a second old.
	minProgressPercent = 5
	// minSpeedup is how many times the work time of its replacement a run's remaining
	// time has to be. It keeps runs that are a little slower than their peers,
	// since tasks of one step differ by a third.
	minSpeedup = 1.5
	// minPeers is the least number of tasks of a step from whose durations a median
	// is taken, the task that is judged included.
	minPeers = 3
	// maxPeers bounds the durations that a PeerDurations stores.
	maxPeers = 32
)

// PeerDurations holds the durations of completed tasks of one step. The zero value is empty.
type PeerDurations struct {
	// durations is sorted in ascending order.
	durations []time.Duration
}

// Add records the duration of a completed task.
func (p *PeerDurations) Add(d time.Duration) {
	if len(p.durations) >= maxPeers || d <= 0 {
		return
	}
	at, _ := slices.BinarySearch(p.durations, d)
	p.durations = slices.Insert(p.durations, at, d)
}

// Median returns the median duration of the step's tasks, both completed and
// running; false if too few are known. It ignores the declared estimates, which
// may be wrong many times over.
func (p *PeerDurations) Median(running []Run) (time.Duration, bool) {
	all := slices.Clone(p.durations)
	for _, r := range running {
		if d, ok := r.ProjectedDuration(); ok {
			all = append(all, d)
		}
	}
	if len(all) < minPeers {
		return 0, false
	}
	slices.Sort(all)
	return all[len(all)/2], true
}

// IsSlow reports whether d is so long for a task of the step that its worker must have delayed it.
func (p *PeerDurations) IsSlow(d time.Duration) bool {
	median, ok := p.Median(nil)
	return ok && d > time.Duration(slowFactor*float64(median))
}

// slowFactor is how many times the median of its peers a task must take to count
// as delayed by its worker; tasks of one step differ by less.
const slowFactor = 2.5

// A Verdict is the decision on a run.
type Verdict int

// The verdicts.
const (
	// Keep lets the run continue.
	Keep Verdict = iota
	// Stalled says that the run has stopped making progress.
	Stalled
	// Slow says that a replacement started now would end earlier.
	Slow
)

// A Run holds the progress of a run in execution.
type Run struct {
	// FirstReport is the time of the run's first progress report, which gave FirstPercent.
	FirstReport  time.Time
	FirstPercent int
	// LastProgress is when the progress rose to Percent, LastReport the time of the latest report.
	LastProgress, LastReport time.Time
	Percent                  int
	// Resumable is set if a replacement continues from the progress of this run.
	Resumable bool
	// RestartCost is the time that a replacement takes beside its work: to stop this run and to start.
	RestartCost time.Duration
	// PriorReplacements is how many runs of the task were replaced before. Each
	// doubles the time that a replacement is assumed to take, so that a task whose
	// progress isn't readable is eventually left alone.
	PriorReplacements int
}

// maxDoublings bounds the doublings for PriorReplacements.
const maxDoublings = 8

// ProjectedDuration returns how long r takes from 0 to 100 percent, extrapolated
// from its progress so far; false if that is too little.
func (r Run) ProjectedDuration() (time.Duration, bool) {
	progress := r.Percent - r.FirstPercent
	if progress < minProgressPercent {
		return 0, false
	}
	return r.LastProgress.Sub(r.FirstReport) * 100 / time.Duration(progress), true
}

// Judge returns the verdict on r, given the expected duration of the task on
// another worker.
func Judge(r Run, expected time.Duration) Verdict {
	replacement := expected
	if r.Resumable {
		replacement = expected * time.Duration(100-r.Percent) / 100
	}
	replacement = (time.Duration(minSpeedup*float64(replacement)) + r.RestartCost) << min(r.PriorReplacements, maxDoublings)
	if r.LastReport.Sub(r.LastProgress) >= max(minStallTime, replacement/2) {
		return Stalled
	}
	projected, ok := r.ProjectedDuration()
	if !ok {
		// Too little progress for an estimate in the time of a whole replacement.
		if r.LastReport.Sub(r.FirstReport) >= max(minStallTime, replacement) {
			return Slow
		}
		return Keep
	}
	if projected*time.Duration(100-r.Percent)/100 > replacement {
		return Slow
	}
	return Keep
}
