package burn

import (
	"cmp"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/sesamestream/sesamestream/pkg/fleet"
)

// Point holds the counts of one step of a series.
type Point struct {
	// Index is the number of whole steps from the point to the current bucket. The
	// current bucket is in no point, because its partial counts would look like a
	// drop in traffic.
	Index  int    `cbor:"1,keyasint"`
	Counts Counts `cbor:"2,keyasint"`
}

// KindCounts holds the counts of one kind.
type KindCounts struct {
	Kind fleet.Kind `cbor:"1,keyasint"`
	// Windows are the counts over the windows of the query, in its order.
	Windows []Counts `cbor:"2,keyasint"`
	// Points are the steps with counts, the newest first.
	Points []Point `cbor:"3,keyasint,omitempty"`
}

// Snapshot is the answer of one or more recorders to a query.
type Snapshot struct {
	// Age is how long the recorder has counted; of several recorders, the longest.
	Age time.Duration `cbor:"1,keyasint"`
	// Kinds are sorted by name.
	Kinds []KindCounts `cbor:"2,keyasint,omitempty"`
	// Dropped counts the events of kinds beyond maxKinds.
	Dropped uint64 `cbor:"3,keyasint,omitempty"`
}

// Snapshot answers a query that Check accepts. A window contains the buckets that
// began within it. It therefore never counts older events, and covers up to one
// BucketWidth less than its length where now is not at the end of a bucket.
func (r *Recorder) Snapshot(now time.Time, q Query) Snapshot {
	r.mu.RLock()
	defer r.mu.RUnlock()
	s := Snapshot{Age: now.Sub(r.Since), Dropped: r.dropped}
	for k, g := range r.kinds {
		s.Kinds = append(s.Kinds, g.snapshot(now, k, q))
	}
	s.sort()
	return s
}

func (s *Snapshot) sort() {
	slices.SortFunc(s.Kinds, func(a, b KindCounts) int { return cmp.Compare(a.Kind, b.Kind) })
}

func (g *ring) snapshot(now time.Time, k fleet.Kind, q Query) KindCounts {
	out := KindCounts{Kind: k, Windows: make([]Counts, len(q.Windows))}
	points := make([]*Counts, q.Points)
	for i := range g.slots {
		g.addBucket(i, now, q, out.Windows, points)
	}
	for i, c := range points {
		if c != nil {
			out.Points = append(out.Points, Point{Index: i, Counts: *c})
		}
	}
	return out
}

// addBucket adds one bucket to its windows and its point. The lock is held for one
// bucket at a time, so that a snapshot does not delay requests.
func (g *ring) addBucket(slot int, now time.Time, q Query, windows []Counts, points []*Counts) {
	g.mu.Lock()
	defer g.mu.Unlock()
	b := g.slots[slot]
	if b == nil {
		return
	}
	age := now.Sub(time.Unix(0, b.number*int64(BucketWidth)))
	if age < 0 {
		return
	}
	for i, w := range q.Windows {
		if age <= w {
			windows[i].Add(&b.counts)
		}
	}
	whole := bucketNumber(now) - 1 - b.number
	if i := int(whole / int64(q.Step/BucketWidth)); whole >= 0 && i < len(points) {
		if points[i] == nil {
			points[i] = &Counts{}
		}
		points[i].Add(&b.counts)
	}
}

// Check returns ErrMalformed if s is not a valid answer to q.
func (s *Snapshot) Check(q Query) error {
	if len(s.Kinds) > maxKinds {
		return errors.Wrap(ErrMalformed, "too many kinds")
	}
	for i, k := range s.Kinds {
		if i > 0 && s.Kinds[i-1].Kind >= k.Kind {
			return errors.Wrap(ErrMalformed, "kinds out of order")
		}
		if err := k.check(q); err != nil {
			return err
		}
	}
	return nil
}

func (k *KindCounts) check(q Query) error {
	if len(k.Windows) != len(q.Windows) || len(k.Points) > q.Points {
		return errors.Wrap(ErrMalformed, "windows or points do not match the query")
	}
	for i := range k.Windows {
		if err := k.Windows[i].check(); err != nil {
			return err
		}
	}
	last := -1
	for i := range k.Points {
		p := &k.Points[i]
		if p.Index <= last || p.Index >= q.Points {
			return errors.Wrap(ErrMalformed, "points out of order")
		}
		last = p.Index
		if err := p.Counts.check(); err != nil {
			return err
		}
	}
	return nil
}

func (c *Counts) check() error {
	if len(c.Latency) > maxCells {
		return errors.Wrap(ErrMalformed, "too many cells")
	}
	if c.Late > c.Answered || c.FloorRefused > c.FloorAsked || c.FloorLate > c.FloorAsked-c.FloorRefused {
		return errors.Wrap(ErrMalformed, "a partial count exceeds its total")
	}
	return nil
}

// Merge adds o, an answer to the same query, to s.
func (s *Snapshot) Merge(o Snapshot) {
	s.Age = max(s.Age, o.Age)
	s.Dropped += o.Dropped
	for _, k := range o.Kinds {
		i, found := slices.BinarySearchFunc(s.Kinds, k.Kind, func(a KindCounts, b fleet.Kind) int { return cmp.Compare(a.Kind, b) })
		if !found {
			s.Kinds = slices.Insert(s.Kinds, i, KindCounts{Kind: k.Kind, Windows: make([]Counts, len(k.Windows))})
		}
		s.Kinds[i].merge(k)
	}
}

func (k *KindCounts) merge(o KindCounts) {
	for i := range o.Windows {
		k.Windows[i].Add(&o.Windows[i])
	}
	for _, p := range o.Points {
		i, found := slices.BinarySearchFunc(k.Points, p.Index, func(a Point, b int) int { return cmp.Compare(a.Index, b) })
		if !found {
			k.Points = slices.Insert(k.Points, i, Point{Index: p.Index})
		}
		k.Points[i].Counts.Add(&p.Counts)
	}
}
