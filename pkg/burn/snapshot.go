package burn

import (
	"cmp"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/sesamestream/sesamestream/pkg/fleet"
)

// A Point is the counts of one step of a series.
type Point struct {
	// Index is how many whole steps the point lies back from the running bucket,
	// which is in no point: it would look like a fall in traffic.
	Index  int    `cbor:"1,keyasint"`
	Counts Counts `cbor:"2,keyasint"`
}

// A KindCounts is what was counted of one kind.
type KindCounts struct {
	Kind fleet.Kind `cbor:"1,keyasint"`
	// Windows are the sums over the windows of the query, in its order.
	Windows []Counts `cbor:"2,keyasint"`
	// Points are the steps in which something was counted, the newest first.
	Points []Point `cbor:"3,keyasint,omitempty"`
}

// A Snapshot is the answer of recorders to a query.
type Snapshot struct {
	// Age is how long the recorder has counted, of several the longest.
	Age time.Duration `cbor:"1,keyasint"`
	// Kinds are in order of their names.
	Kinds []KindCounts `cbor:"2,keyasint,omitempty"`
	// Dropped counts the events of kinds beyond the bound.
	Dropped uint64 `cbor:"3,keyasint,omitempty"`
}

// Snapshot answers a query that Check accepts. A window holds the buckets that
// began within it, so it never counts what is older than the window, and up to
// one Width less than the window where now is not at the end of a bucket.
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
		g.sum(i, now, q, out.Windows, points)
	}
	for i, c := range points {
		if c != nil {
			out.Points = append(out.Points, Point{Index: i, Counts: *c})
		}
	}
	return out
}

// sum adds one bucket to the windows and the point that it belongs to. The lock
// is held for one bucket at a time, so that a snapshot does not hold up requests.
func (g *ring) sum(slot int, now time.Time, q Query, windows []Counts, points []*Counts) {
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
	whole := numberOf(now) - 1 - b.number
	if i := int(whole / int64(q.Step/BucketWidth)); whole >= 0 && i < len(points) {
		if points[i] == nil {
			points[i] = &Counts{}
		}
		points[i].Add(&b.counts)
	}
}

// Check returns ErrMalformed where s is not an answer to q.
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
		return errors.Wrap(ErrMalformed, "other windows or points than asked")
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
	if len(c.Latency) > cells {
		return errors.Wrap(ErrMalformed, "too many cells")
	}
	if c.Late > c.Answered || c.FloorRefused > c.FloorAsked || c.FloorLate > c.FloorAsked-c.FloorRefused {
		return errors.Wrap(ErrMalformed, "a part is larger than its whole")
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
