package place

import (
	"cmp"
	"slices"
	"time"

	"github.com/sesamestream/sesamestream/pkg/fleet"
	"github.com/sesamestream/sesamestream/pkg/table"
)

// chaseEvery is how long an eviction for one task may take before others follow.
const chaseEvery = 5 * time.Second

// maxKeeps bounds the hosts kept for waiting tasks.
const maxKeeps = 4

// some returns a bounded run of hosts from a random start.
func (p *Placer[K]) some() []*node[K] {
	if len(p.all) <= probes {
		return p.all
	}
	a := p.Rand.IntN(len(p.all) - probes)
	return p.all[a : a+probes]
}

// keep holds a host back for a task that has waited long, so that small tasks
// do not take its place for ever.
func (p *Placer[K]) keep(i *item[K]) {
	if i.kept != nil && !i.kept.excluded {
		return
	}
	p.unkeep(i)
	if p.keeps >= maxKeeps {
		return
	}
	var best *node[K]
	for _, n := range p.some() {
		if !p.couldTake(i, n) {
			continue
		}
		if best == nil || n.free.Processors > best.free.Processors {
			best = n
		}
	}
	if best == nil {
		return
	}
	p.keepOn(i, best)
}

// keepOn keeps n for i alone.
func (p *Placer[K]) keepOn(i *item[K], n *node[K]) {
	p.unkeep(i)
	n.kept = i
	i.kept = n
	p.keeps++
}

func (p *Placer[K]) unkeep(i *item[K]) {
	if i.kept == nil {
		return
	}
	i.kept.kept = nil
	i.kept = nil
	p.keeps--
}

// couldTake reports whether i would fit on n were it empty.
func (p *Placer[K]) couldTake(i *item[K], n *node[K]) bool {
	if n.excluded || n.kept != nil || !i.want.Need.Fits(n.Total) || !i.want.within(n.Place) {
		return false
	}
	return !slices.Contains(i.want.AvoidHosts, n.ID)
}

func (w *TaskSpec) within(o fleet.Place) bool {
	return w.Region == "" || w.CrossRegion || w.Region == o.Region
}

// Victims returns batch tasks to evict, so that urgent work, or a kind below
// its floor, that has waited for urgentAfter finds a place. Of a sample of hosts it takes
// the one with the fewest and then the youngest victims.
func (p *Placer[K]) Victims(now time.Time) []K {
	p.setUp()
	for _, k := range p.order {
		if k.queued == 0 {
			continue
		}
		i := p.pressing(k)
		if i == nil || now.Sub(i.since) < urgentAfter || now.Sub(i.chased) < chaseEvery || !p.allowed(k, i) {
			continue
		}
		i.chased = now
		return p.chase(i)
	}
	return nil
}

// pressing returns the first task of k that may evict others, or nil.
func (p *Placer[K]) pressing(k *kind[K]) *item[K] {
	k.urgent.trim()
	if len(k.urgent.items) > 0 {
		return k.urgent.items[0]
	}
	if !p.below(k) {
		return nil
	}
	if q := p.team(k, -1); q != nil {
		return q.items[0]
	}
	return nil
}

// chase chooses the cheapest host to clear for i, keeps it and returns its victims.
func (p *Placer[K]) chase(i *item[K]) []K {
	on, victims := p.cheapest(i)
	if on == nil {
		return nil
	}
	p.keepOn(i, on)
	return keys(victims)
}

// cheapest returns the host of a sample that costs least to clear for i, and its victims.
func (p *Placer[K]) cheapest(i *item[K]) (*node[K], []*item[K]) {
	var on *node[K]
	var least []*item[K]
	for _, n := range p.some() {
		if !p.couldTake(i, n) {
			continue
		}
		v := p.clear(i, n)
		if len(v) > 0 && (on == nil || cheaper(v, least)) {
			on = n
			least = v
		}
	}
	return on, least
}

func keys[K comparable](items []*item[K]) []K {
	var out []K
	for _, v := range items {
		out = append(out, v.key)
	}
	return out
}

// clear returns the fewest batch tasks, largest first, whose end makes room for i on n.
func (p *Placer[K]) clear(i *item[K], n *node[K]) []*item[K] {
	var c []*item[K]
	for _, o := range n.items {
		if o.want.Class == table.ClassBatch && !o.want.Urgent && !p.below(p.kinds[o.want.Kind]) {
			c = append(c, o)
		}
	}
	slices.SortFunc(c, func(a, b *item[K]) int {
		if d := cmp.Compare(b.want.Need.Processors, a.want.Need.Processors); d != 0 {
			return d
		}
		return b.started.Compare(a.started)
	})
	free := n.free
	for a, o := range c {
		if a == maxVictims {
			return nil
		}
		free = free.Plus(o.want.Need)
		if i.want.Need.Fits(free) {
			return c[:a+1]
		}
	}
	return nil
}

// cheaper reports whether evicting a costs less than evicting b.
func cheaper[K comparable](a, b []*item[K]) bool {
	if len(a) != len(b) {
		return len(a) < len(b)
	}
	return a[0].started.After(b[0].started)
}

// Unplaceable returns one waiting task of each queue whose head has waited for
// after and would fit no host even were it empty.
func (p *Placer[K]) Unplaceable(now time.Time, after time.Duration) []K {
	var out []K
	for _, k := range p.order {
		for _, q := range append([]*fifo[K]{&k.urgent}, k.order...) {
			q.trim()
			if len(q.items) == 0 || len(p.hosts) == 0 {
				continue
			}
			i := q.items[0]
			if now.Sub(i.since) >= after && !p.fitsAny(i) {
				out = append(out, i.key)
			}
		}
	}
	return out
}

func (p *Placer[K]) fitsAny(i *item[K]) bool {
	for _, n := range p.hosts {
		if i.want.Need.Fits(n.Total) && i.want.within(n.Place) {
			return true
		}
	}
	return false
}
