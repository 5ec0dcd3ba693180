package place

import (
	"cmp"
	"slices"
	"time"

	"github.com/sesamestream/sesamestream/pkg/fleet"
	"github.com/sesamestream/sesamestream/pkg/table"
)

// evictionInterval is the minimum time between evictions for the same task, so that
// the earlier eviction can take effect.
const evictionInterval = 5 * time.Second

// maxReservedHosts is the maximum number of hosts that long-waiting tasks reserve.
const maxReservedHosts = 4

// sampleHosts returns up to maxHostProbes consecutive hosts from a random start.
func (p *Placer[K]) sampleHosts() []*node[K] {
	if len(p.hostList) <= maxHostProbes {
		return p.hostList
	}
	a := p.Rand.IntN(len(p.hostList) - maxHostProbes)
	return p.hostList[a : a+maxHostProbes]
}

// reserveSampledHost reserves a host for a task that has waited long, so that
// smaller tasks do not starve it.
func (p *Placer[K]) reserveSampledHost(i *item[K]) {
	if i.reservedHost != nil && !i.reservedHost.excluded {
		return
	}
	p.unreserveHost(i)
	if p.reservedHosts >= maxReservedHosts {
		return
	}
	var best *node[K]
	for _, n := range p.sampleHosts() {
		if !p.fitsWhenEmpty(i, n) {
			continue
		}
		if best == nil || n.free.Processors > best.free.Processors {
			best = n
		}
	}
	if best == nil {
		return
	}
	p.reserveHost(i, best)
}

// reserveHost reserves n for i, so that no other task is placed there.
func (p *Placer[K]) reserveHost(i *item[K], n *node[K]) {
	p.unreserveHost(i)
	n.reservedFor = i
	i.reservedHost = n
	p.reservedHosts++
}

func (p *Placer[K]) unreserveHost(i *item[K]) {
	if i.reservedHost == nil {
		return
	}
	i.reservedHost.reservedFor = nil
	i.reservedHost = nil
	p.reservedHosts--
}

// fitsWhenEmpty reports whether i may run on n and would fit there if n were empty.
func (p *Placer[K]) fitsWhenEmpty(i *item[K], n *node[K]) bool {
	if n.excluded || n.reservedFor != nil || !i.spec.Need.Fits(n.Total) || !i.spec.allowsPlace(n.Place) {
		return false
	}
	return !slices.Contains(i.spec.AvoidHosts, n.ID)
}

func (s *TaskSpec) allowsPlace(o fleet.Place) bool {
	return s.Region == "" || s.CrossRegion || s.Region == o.Region
}

// Victims returns batch tasks to evict for a task that has waited for evictAfter
// and is urgent or of a kind below its floor. Of a sample of hosts it takes the
// one with the fewest victims, then the one whose largest victim was placed last.
func (p *Placer[K]) Victims(now time.Time) []K {
	p.setUp()
	for _, k := range p.kindList {
		if k.queuedTasks == 0 {
			continue
		}
		i := p.preemptor(k)
		if i == nil || now.Sub(i.queuedAt) < evictAfter || now.Sub(i.evictedAt) < evictionInterval || !p.withinLimits(k, i) {
			continue
		}
		i.evictedAt = now
		return p.evictFor(i)
	}
	return nil
}

// preemptor returns the first queued task of k that may evict other tasks, or nil.
func (p *Placer[K]) preemptor(k *kindState[K]) *item[K] {
	k.urgent.trimHead()
	if len(k.urgent.items) > 0 {
		return k.urgent.items[0]
	}
	if !p.belowFloor(k) {
		return nil
	}
	if q := p.nextTeamQueue(k, -1); q != nil {
		return q.items[0]
	}
	return nil
}

// evictFor reserves the host with the cheapest victims for i and returns them.
func (p *Placer[K]) evictFor(i *item[K]) []K {
	host, victims := p.cheapestHost(i)
	if host == nil {
		return nil
	}
	p.reserveHost(i, host)
	return taskKeys(victims)
}

// cheapestHost returns the sampled host on which evictions for i cost least, and the victims.
func (p *Placer[K]) cheapestHost(i *item[K]) (*node[K], []*item[K]) {
	var best *node[K]
	var cheapest []*item[K]
	for _, n := range p.sampleHosts() {
		if !p.fitsWhenEmpty(i, n) {
			continue
		}
		v := p.victimsOn(i, n)
		if len(v) > 0 && (best == nil || cheaperVictims(v, cheapest)) {
			best = n
			cheapest = v
		}
	}
	return best, cheapest
}

func taskKeys[K comparable](items []*item[K]) []K {
	var out []K
	for _, v := range items {
		out = append(out, v.key)
	}
	return out
}

// victimsOn returns the fewest batch tasks on n, largest first, whose eviction frees
// enough capacity for i, or nil if that takes more than maxVictimsPerTask. It leaves
// out urgent tasks and kinds below their floor.
func (p *Placer[K]) victimsOn(i *item[K], n *node[K]) []*item[K] {
	var c []*item[K]
	for _, o := range n.tasks {
		if o.spec.Class == table.ClassBatch && !o.spec.Urgent && !p.belowFloor(p.kinds[o.spec.Kind]) {
			c = append(c, o)
		}
	}
	slices.SortFunc(c, func(a, b *item[K]) int {
		if d := cmp.Compare(b.spec.Need.Processors, a.spec.Need.Processors); d != 0 {
			return d
		}
		return b.assignedAt.Compare(a.assignedAt)
	})
	free := n.free
	for a, o := range c {
		if a == maxVictimsPerTask {
			return nil
		}
		free = free.Plus(o.spec.Need)
		if i.spec.Need.Fits(free) {
			return c[:a+1]
		}
	}
	return nil
}

// cheaperVictims reports whether evicting a costs less than evicting b.
func cheaperVictims[K comparable](a, b []*item[K]) bool {
	if len(a) != len(b) {
		return len(a) < len(b)
	}
	return a[0].assignedAt.After(b[0].assignedAt)
}

// Unplaceable returns the head of each queue that has waited for at least after
// and would not fit on any host even if the host were empty.
func (p *Placer[K]) Unplaceable(now time.Time, after time.Duration) []K {
	var out []K
	for _, k := range p.kindList {
		for _, q := range append([]*fifo[K]{&k.urgent}, k.queueList...) {
			q.trimHead()
			if len(q.items) == 0 || len(p.hosts) == 0 {
				continue
			}
			i := q.items[0]
			if now.Sub(i.queuedAt) >= after && !p.fitsAnyHost(i) {
				out = append(out, i.key)
			}
		}
	}
	return out
}

func (p *Placer[K]) fitsAnyHost(i *item[K]) bool {
	for _, n := range p.hosts {
		if i.spec.Need.Fits(n.Total) && i.spec.allowsPlace(n.Place) {
			return true
		}
	}
	return false
}
