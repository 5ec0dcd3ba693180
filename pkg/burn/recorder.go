package burn

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/sesamestream/sesamestream/pkg/fleet"
)

// bucketCount is the number of buckets for the longest window and the current bucket.
const bucketCount = int(MaxWindow/BucketWidth) + 1

// Recorder counts the outcomes and admissions that one process observes. Its memory
// is bounded by maxKinds and by the buckets of the longest window; buckets without
// events use none. It is safe for concurrent use; each kind has its own lock.
type Recorder struct {
	// Since is the time at which the process began to count.
	Since time.Time

	mu      sync.RWMutex
	kinds   map[fleet.Kind]*ring
	dropped uint64
}

// ring is the ring buffer of the buckets of one kind, indexed by their number
// modulo bucketCount.
type ring struct {
	running atomic.Int64

	mu    sync.Mutex
	slots [bucketCount]*bucket
}

// bucket holds the counts of one BucketWidth of time.
type bucket struct {
	number int64
	counts Counts
}

// bucketNumber returns the number of the bucket that t belongs to.
func bucketNumber(t time.Time) int64 {
	return t.UnixNano() / int64(BucketWidth)
}

// RecordOutcome counts an outcome that was reported to a caller. With an objective
// of 0, no answer is late.
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

// Admission is the admission decision of an agent on one request.
type Admission struct {
	// Running is the number of other requests of the kind that ran on the agent when
	// the request arrived or when it was decided, whichever is larger.
	Running int
	// Floor is the number of requests of the kind that the agent guarantees to run.
	Floor int
	// Queued is how long the request waited.
	Queued time.Duration
	// Started is set if the request was not refused.
	Started bool
}

// RecordAdmission counts an admission decision. Requests of a kind at or above its
// floor are not counted.
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

// Begin records that a request of k has started and returns the number of other
// running requests of k.
func (r *Recorder) Begin(k fleet.Kind) int {
	if g := r.ring(k); g != nil {
		return int(g.running.Add(1)) - 1
	}
	return 0
}

// End records that a request recorded by Begin has ended.
func (r *Recorder) End(k fleet.Kind) {
	if g := r.ring(k); g != nil {
		g.running.Add(-1)
	}
}

// Running returns the number of running requests of k.
func (r *Recorder) Running(k fleet.Kind) int {
	if g := r.ring(k); g != nil {
		return int(g.running.Load())
	}
	return 0
}

// count applies f to the bucket of now. An event older than the bucket in its slot
// is ignored.
func (r *Recorder) count(now time.Time, k fleet.Kind, f func(*Counts)) {
	g := r.ring(k)
	if g == nil {
		return
	}
	n := bucketNumber(now)
	g.mu.Lock()
	defer g.mu.Unlock()
	slot := &g.slots[n%int64(bucketCount)]
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

// reset empties the bucket for reuse under number n and keeps its memory.
func (b *bucket) reset(n int64) {
	b.number = n
	b.counts = Counts{Latency: b.counts.Latency[:0]}
}

// ring returns the ring of k, or nil if there are too many kinds.
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
