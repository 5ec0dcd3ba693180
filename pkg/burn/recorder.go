package burn

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/sesamestream/sesamestream/pkg/fleet"
)

// buckets is how many buckets the longest window needs, with the running one.
const buckets = int(MaxWindow/BucketWidth) + 1

// A Recorder counts what one process sees. Its memory is bounded by the kinds
// and by the buckets of the longest window; buckets without events take none.
// It is safe for concurrent use; each kind has a lock of its own.
type Recorder struct {
	// Since is when the process began to count.
	Since time.Time

	mu      sync.RWMutex
	kinds   map[fleet.Kind]*ring
	dropped uint64
}

// A ring is the buckets of one kind, by their number modulo the size.
type ring struct {
	running atomic.Int64

	mu    sync.Mutex
	slots [buckets]*bucket
}

// A bucket counts what happens in one Width of time.
type bucket struct {
	number int64
	counts Counts
}

// numberOf returns the number of the bucket that counts t.
func numberOf(t time.Time) int64 {
	return t.UnixNano() / int64(BucketWidth)
}

// RecordOutcome counts what a caller was told. An objective of 0 makes no answer late.
func (r *Recorder) RecordOutcome(now time.Time, k fleet.Kind, o fleet.Outcome, latency, objective time.Duration) {
	r.count(now, k, func(c *Counts) {
		switch o {
		case fleet.Answered:
			c.Answered++
			c.Latency.record(latency)
			if objective > 0 && latency > objective {
				c.Late++
			}
		case fleet.NotRun:
			c.NotRun++
		case fleet.Unknown:
			c.Unknown++
		}
	})
}

// An Admission is how an agent treated one request.
type Admission struct {
	// Running is how many other requests of the kind ran here, when it came or
	// when it was decided, whichever is more.
	Running int
	// Floor is how many of the kind may run here for certain.
	Floor int
	// Queued is how long it waited.
	Queued time.Duration
	// Started tells that it was not refused.
	Started bool
}

// RecordAdmission counts how an agent treated a request. Only requests of a kind
// whose use was under its floor count.
func (r *Recorder) RecordAdmission(now time.Time, k fleet.Kind, a Admission, objective time.Duration) {
	if a.Running >= a.Floor {
		return
	}
	r.count(now, k, func(c *Counts) {
		c.FloorAsked++
		switch {
		case !a.Started:
			c.FloorRefused++
		case objective > 0 && a.Queued > objective:
			c.FloorLate++
		}
	})
}

// Begin notes that a request of k runs here and returns how many others do.
func (r *Recorder) Begin(k fleet.Kind) int {
	if g := r.ring(k); g != nil {
		return int(g.running.Add(1)) - 1
	}
	return 0
}

// End notes that a request which Begin noted runs no more.
func (r *Recorder) End(k fleet.Kind) {
	if g := r.ring(k); g != nil {
		g.running.Add(-1)
	}
}

// Running returns how many requests of k run here.
func (r *Recorder) Running(k fleet.Kind) int {
	if g := r.ring(k); g != nil {
		return int(g.running.Load())
	}
	return 0
}

// count changes the bucket of now. An event older than what the ring holds is dropped.
func (r *Recorder) count(now time.Time, k fleet.Kind, f func(*Counts)) {
	g := r.ring(k)
	if g == nil {
		return
	}
	n := numberOf(now)
	g.mu.Lock()
	defer g.mu.Unlock()
	slot := &g.slots[n%int64(buckets)]
	switch b := *slot; {
	case b == nil:
		*slot = &bucket{number: n}
	case b.number < n:
		b.reset(n)
	case b.number > n:
		return
	}
	f(&(*slot).counts)
}

// reset empties the bucket for another time and keeps its memory.
func (b *bucket) reset(n int64) {
	b.number = n
	b.counts = Counts{Latency: b.counts.Latency[:0]}
}

// ring returns the ring of k, nil where there are too many kinds.
func (r *Recorder) ring(k fleet.Kind) *ring {
	r.mu.RLock()
	g := r.kinds[k]
	r.mu.RUnlock()
	if g != nil {
		return g
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if g = r.kinds[k]; g != nil {
		return g
	}
	if len(r.kinds) >= maxKinds {
		r.dropped++
		return nil
	}
	if r.kinds == nil {
		r.kinds = make(map[fleet.Kind]*ring)
	}
	g = &ring{}
	r.kinds[k] = g
	return g
}
