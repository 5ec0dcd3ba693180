package place

import (
	"math/bits"

	"github.com/sesamestream/sesamestream/pkg/fleet"
)

// bucketCount is the number of buckets by free processors. Each bucket starts at twice the previous one.
const bucketCount = 24

// A hostIndex holds the hosts that can take tasks, by region and free processors.
type hostIndex[K comparable] struct {
	regions    map[string]*regionHosts[K]
	regionList []*regionHosts[K]
}

// A regionHosts holds the hosts of one region in buckets by free processors.
type regionHosts[K comparable] struct {
	buckets [bucketCount][]*node[K]
}

// bucketOf returns the bucket for m free processors.
func bucketOf(m fleet.MilliProcessors) int {
	if m <= 0 {
		return 0
	}
	return min(bucketCount-1, bits.Len64(uint64(m)))
}

func (x *hostIndex[K]) insert(n *node[K]) {
	if n.excluded || n.free.Processors < 0 || n.free.Slots <= 0 && n.Total.Slots > 0 {
		return
	}
	g := x.regions[n.Place.Region]
	if g == nil {
		g = &regionHosts[K]{}
		x.regions[n.Place.Region] = g
		x.regionList = append(x.regionList, g)
	}
	n.bucket = bucketOf(n.free.Processors)
	n.bucketIndex = len(g.buckets[n.bucket])
	g.buckets[n.bucket] = append(g.buckets[n.bucket], n)
}

func (x *hostIndex[K]) remove(n *node[K]) {
	if n.bucketIndex < 0 {
		return
	}
	b := &x.regions[n.Place.Region].buckets[n.bucket]
	last := len(*b) - 1
	moved := (*b)[last]
	(*b)[n.bucketIndex] = moved
	moved.bucketIndex = n.bucketIndex
	(*b)[last] = nil
	*b = (*b)[:last]
	n.bucketIndex = -1
}

// countFrom counts the hosts in bucket c and above.
func (g *regionHosts[K]) countFrom(c int) int {
	n := 0
	for _, b := range g.buckets[c:] {
		n += len(b)
	}
	return n
}

// hostAt returns the i-th host in bucket c and above.
func (g *regionHosts[K]) hostAt(c, i int) *node[K] {
	for _, b := range g.buckets[c:] {
		if i < len(b) {
			return b[i]
		}
		i -= len(b)
	}
	return nil
}
