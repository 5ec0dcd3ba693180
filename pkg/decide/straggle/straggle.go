// Package straggle decides which runs to give up for another one elsewhere. It
// answers fleets in which a few workers turn several times slower, or leave
// their tasks standing still, while the rest of a step ends in time: the whole
// step would wait for the slowest of its tasks.
package straggle

import (
	"slices"
	"time"

	"github.com/sesamestream/sesamestream/pkg/batch"
)

const (
	// minStallTime is how long a run may make no progress: two windows of the
	// figures and the way of a message.
	minStallTime = 2*batch.LoadWindow + 100*time.Millisecond
	// minProgressPercent is the progress in percent that a run has to make until its speed
	// is known; figures are whole percents of half a second ago.
	minProgressPercent = 5
	// minSpeedup is how many times the other run's time is left at least, so that a
	// run that's a little slower, as tasks of one step differ by a third, goes on.
	minSpeedup = 1.5
	// minPeers is how many tasks of a step tell what one takes, the one that's judged among them.
	minPeers = 3
	// maxPeers bounds how many times a Peers remembers.
	maxPeers = 32
)

// PeerDurations are the times that tasks of one step took. The zero value knows none.
type PeerDurations struct {
	// durations is in order.
	durations []time.Duration
}

// Add takes in how long a task took.
func (p *PeerDurations) Add(d time.Duration) {
	if len(p.durations) >= maxPeers || d <= 0 {
		return
	}
	at, _ := slices.BinarySearch(p.durations, d)
	p.durations = slices.Insert(p.durations, at, d)
}

// Median returns what a task of the step takes, by those that are done and
// those at work; false where too few are known. What was declared of a task
// may be off many times over and says nothing here.
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

// IsSlow reports whether a task that took d was held up by its worker.
func (p *PeerDurations) IsSlow(d time.Duration) bool {
	typical, ok := p.Median(nil)
	return ok && d > time.Duration(slowFactor*float64(typical))
}

// slowFactor is how many times the time of its peers a task takes on a slow
// worker at least; tasks of one step differ by less.
const slowFactor = 2.5

// A Verdict says what becomes of a run.
type Verdict int

// The verdicts.
const (
	// Keep lets the run go on.
	Keep Verdict = iota
	// Stalled runs have stopped making progress.
	Stalled
	// Slow runs end later than another one that's started now.
	Slow
)

// A Run is what is known of a run at work.
type Run struct {
	// FirstReport is when it was at From percent, the first figure of it.
	FirstReport  time.Time
	FirstPercent int
	// LastProgress is when its progress rose to Percent, and LastReport when that was told last.
	LastProgress, LastReport time.Time
	Percent                  int
	// Resumable reports whether another run goes on from where this one is.
	Resumable bool
	// RestartCost is what another run costs beside its work: the stop of this one and its own start.
	RestartCost time.Duration
	// PriorReplacements is how many runs of the task were given up before. Each doubles
	// what the next one has to gain, so that a task whose progress can't be
	// read is left alone in the end.
	PriorReplacements int
}

// maxDoublings bounds the doubling.
const maxDoublings = 8

// ProjectedDuration returns how long r takes from 0 to 100 percent by its progress so far;
// false where that can't be told yet.
func (r Run) ProjectedDuration() (time.Duration, bool) {
	made := r.Percent - r.FirstPercent
	if made < minProgressPercent {
		return 0, false
	}
	return r.LastProgress.Sub(r.FirstReport) * 100 / time.Duration(made), true
}

// Judge returns what becomes of r, where a like task takes typical elsewhere.
func Judge(r Run, typical time.Duration) Verdict {
	other := typical
	if r.Resumable {
		other = typical * time.Duration(100-r.Percent) / 100
	}
	other = (time.Duration(minSpeedup*float64(other)) + r.RestartCost) << min(r.PriorReplacements, maxDoublings)
	if r.LastReport.Sub(r.LastProgress) >= max(minStallTime, other/2) {
		return Stalled
	}
	whole, ok := r.ProjectedDuration()
	if !ok {
		// Too slow to be measured, for longer than the other run takes as a whole.
		if r.LastReport.Sub(r.FirstReport) >= max(minStallTime, other) {
			return Slow
		}
		return Keep
	}
	if whole*time.Duration(100-r.Percent)/100 > other {
		return Slow
	}
	return Keep
}
