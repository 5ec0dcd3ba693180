package place

import (
	"math/bits"

	"github.com/sesamestream/sesamestream/pkg/fleet"
)

// classes is how many buckets of free processors there are; each spans a doubling.
const classes = 24

// An index holds the hosts that may be chosen, by region and free processors.
type index[K comparable] struct {
	regions map[string]*region[K]
	order   []*region[K]
}

// A region holds the hosts of one region in buckets.
type region[K comparable] struct {
	buckets [classes][]*node[K]
}

// class returns the bucket of m.
func class(m fleet.MilliProcessors) int {
	if m <= 0 {
		return 0
	}
	return min(classes-1, bits.Len64(uint64(m)))
}

func (x *index[K]) insert(n *node[K]) {
	if n.excluded || n.free.Processors < 0 || n.free.Slots <= 0 && n.Total.Slots > 0 {
		return
	}
	g := x.regions[n.Place.Region]
	if g == nil {
		g = &region[K]{}
		x.regions[n.Place.Region] = g
		x.order = append(x.order, g)
	}
	n.bucket = class(n.free.Processors)
	n.at = len(g.buckets[n.bucket])
	g.buckets[n.bucket] = append(g.buckets[n.bucket], n)
}

func (x *index[K]) remove(n *node[K]) {
	if n.at < 0 {
		return
	}
	b := &x.regions[n.Place.Region].buckets[n.bucket]
	last := len(*b) - 1
	moved := (*b)[last]
	(*b)[n.at] = moved
	moved.at = n.at
	(*b)[last] = nil
	*b = (*b)[:last]
	n.at = -1
}

// atLeast counts the hosts in bucket c and above.
func (g *region[K]) atLeast(c int) int {
	n := 0
	for _, b := range g.buckets[c:] {
		n += len(b)
	}
	return n
}

// pick returns host i of those in bucket c and above.
func (g *region[K]) pick(c, i int) *node[K] {
	for _, b := range g.buckets[c:] {
		if i < len(b) {
			return b[i]
		}
		i -= len(b)
	}
	return nil
}
