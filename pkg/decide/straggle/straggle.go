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
	// stillTime is how long a run may make no progress: two windows of the
	// figures and the way of a message.
	stillTime = 2*batch.LoadWindow + 100*time.Millisecond
	// coarse is the progress in percent that a run has to make until its speed
	// is known; figures are whole percents of half a second ago.
	coarse = 5
	// gain is how many times the other run's time is left at least, so that a
	// run that's a little slower, as tasks of one step differ by a third, goes on.
	gain = 1.5
	// peersToKnow is how many tasks of a step tell what one takes, the one that's judged among them.
	peersToKnow = 3
	// keptPeers bounds how many times a Peers remembers.
	keptPeers = 32
)

// Peers are the times that tasks of one step took. The zero value knows none.
type Peers struct {
	// took is in order.
	took []time.Duration
}

// Add takes in how long a task took.
func (p *Peers) Add(d time.Duration) {
	if len(p.took) >= keptPeers || d <= 0 {
		return
	}
	at, _ := slices.BinarySearch(p.took, d)
	p.took = slices.Insert(p.took, at, d)
}

// Typical returns what a task of the step takes, by those that are done and
// those at work; false where too few are known. What was declared of a task
// may be off many times over and says nothing here.
func (p *Peers) Typical(running []Run) (time.Duration, bool) {
	all := slices.Clone(p.took)
	for _, r := range running {
		if d, ok := r.Whole(); ok {
			all = append(all, d)
		}
	}
	if len(all) < peersToKnow {
		return 0, false
	}
	slices.Sort(all)
	return all[len(all)/2], true
}

// Slow reports whether a task that took d was held up by its worker.
func (p *Peers) Slow(d time.Duration) bool {
	typical, ok := p.Typical(nil)
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
	// Still runs have stopped making progress.
	Still
	// Slow runs end later than another one that's started now.
	Slow
)

// A Run is what is known of a run at work.
type Run struct {
	// Since is when it was at From percent, the first figure of it.
	Since time.Time
	From  int
	// Rose is when its progress rose to Percent, and Told when that was told last.
	Rose, Told time.Time
	Percent    int
	// Saved reports whether another run goes on from where this one is.
	Saved bool
	// Extra is what another run costs beside its work: the stop of this one and its own start.
	Extra time.Duration
	// Before is how many runs of the task were given up before. Each doubles
	// what the next one has to gain, so that a task whose progress can't be
	// read is left alone in the end.
	Before int
}

// maxBefore bounds the doubling.
const maxBefore = 8

// Whole returns how long r takes from 0 to 100 percent by its progress so far;
// false where that can't be told yet.
func (r Run) Whole() (time.Duration, bool) {
	made := r.Percent - r.From
	if made < coarse {
		return 0, false
	}
	return r.Rose.Sub(r.Since) * 100 / time.Duration(made), true
}

// Judge returns what becomes of r, where a like task takes typical elsewhere.
func Judge(r Run, typical time.Duration) Verdict {
	other := typical
	if r.Saved {
		other = typical * time.Duration(100-r.Percent) / 100
	}
	other = (time.Duration(gain*float64(other)) + r.Extra) << min(r.Before, maxBefore)
	if r.Told.Sub(r.Rose) >= max(stillTime, other/2) {
		return Still
	}
	whole, ok := r.Whole()
	if !ok {
		// Too slow to be measured, for longer than the other run takes as a whole.
		if r.Told.Sub(r.Since) >= max(stillTime, other) {
			return Slow
		}
		return Keep
	}
	if whole*time.Duration(100-r.Percent)/100 > other {
		return Slow
	}
	return Keep
}
