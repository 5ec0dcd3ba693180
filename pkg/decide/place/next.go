package place

import (
	"time"

	"github.com/sesamestream/sesamestream/pkg/fleet"
)

// Next reserves a host for the task that is to start next, and reports
// whether there was one.
func (p *Placer[K]) Next(now time.Time) (K, fleet.ID, bool) {
	p.setUp()
	p.round++
	for p.queued > 0 {
		k := p.turn(now)
		if k == nil {
			break
		}
		if i, n := p.pick(now, k); n != nil {
			p.reserve(now, i, n)
			return i.key, n.ID, true
		}
		k.retry = now.Add(retryFor)
	}
	var none K
	return none, "", false
}

// turn returns the waiting kind that goes first.
func (p *Placer[K]) turn(now time.Time) *kind[K] {
	var best *kind[K]
	least := 0.0
	for _, k := range p.order {
		if k.queued == 0 || now.Before(k.retry) || !p.open(k) {
			continue
		}
		if r := p.rank(k); best == nil || r < least {
			best = k
			least = r
		}
	}
	return best
}

// open reports whether the ceiling has room for anything that waits of k.
func (p *Placer[K]) open(k *kind[K]) bool {
	if p.room(k) >= 1 {
		return true
	}
	k.urgent.trim()
	return len(k.urgent.items) > 0 && p.urgentRoom(k) >= 1
}

// pick returns a task of k and a host that it fits on.
func (p *Placer[K]) pick(now time.Time, k *kind[K]) (*item[K], *node[K]) {
	if i, n := p.scan(now, k, &k.urgent); n != nil {
		return i, n
	}
	for {
		q := p.team(k, p.round)
		if q == nil {
			return nil, nil
		}
		if i, n := p.scan(now, k, q); n != nil {
			return i, n
		}
	}
}

// scan tries the head of q and a few behind it.
func (p *Placer[K]) scan(now time.Time, k *kind[K], q *fifo[K]) (*item[K], *node[K]) {
	q.trim()
	looked := 0
	for _, i := range q.items {
		if looked > lookPast {
			break
		}
		if !i.queued {
			continue
		}
		looked++
		if !p.allowed(k, i) {
			i.tried = p.round
			continue
		}
		if n := p.find(now, i); n != nil {
			return i, n
		}
		i.tried = p.round
		if now.Sub(i.since) > ageLimit {
			p.keep(i)
		}
	}
	return nil, nil
}

// allowed reports whether the ceiling and the quota have room for i.
func (p *Placer[K]) allowed(k *kind[K], i *item[K]) bool {
	s := float64(slots(i.want))
	room := p.room(k)
	if i.want.Urgent {
		room = max(room, p.urgentRoom(k))
	}
	return s <= room && float64(p.teams[i.want.Team])+s <= p.quota(i.want.Team)
}

// find returns the best of a sample of hosts that i fits on, or nil.
func (p *Placer[K]) find(now time.Time, i *item[K]) *node[K] {
	if n := i.kept; n != nil && p.takes(now, i, n) {
		return n
	}
	w := &i.want
	if w.Region != "" {
		n := p.best(now, i, p.index.regions[w.Region])
		if n != nil || !w.CrossRegion {
			return n
		}
	}
	r := p.index.order
	if len(r) == 0 {
		return nil
	}
	o := p.Rand.IntN(len(r))
	for a := range r {
		if n := p.best(now, i, r[(o+a)%len(r)]); n != nil {
			return n
		}
	}
	return nil
}

// best compares a bounded sample of hosts of g.
func (p *Placer[K]) best(now time.Time, i *item[K], g *region[K]) *node[K] {
	if g == nil {
		return nil
	}
	from := class(i.want.Need.Processors)
	total := g.atLeast(from)
	if total == 0 {
		return nil
	}
	var best *node[K]
	least := 0.0
	found := 0
	start := p.Rand.IntN(total)
	step := 1
	if total > probes {
		step = total/probes | 1
	}
	for a := range min(total, probes) {
		n := g.pick(from, (start+a*step)%total)
		if !p.takes(now, i, n) {
			continue
		}
		if s := p.score(i, n); best == nil || s < least {
			best = n
			least = s
		}
		found++
		if found == sample {
			break
		}
	}
	return best
}

// takes reports whether i may go to n.
func (p *Placer[K]) takes(now time.Time, i *item[K], n *node[K]) bool {
	switch {
	case n.excluded, !i.want.Need.Fits(n.free):
		return false
	case n.kept != nil && n.kept != i:
		return false
	case n.reserve && !i.want.Urgent && len(p.hosts) >= reserveEvery:
		return false
	case !i.want.Urgent && now.Before(n.closed):
		return false
	case now.Sub(n.refused) < refusedFor:
		return false
	}
	for _, h := range i.want.AvoidHosts {
		if h == n.ID {
			return false
		}
	}
	return true
}

// score weighs a host for i, smaller is better.
func (p *Placer[K]) score(i *item[K], n *node[K]) float64 {
	s := 0.0
	if t := n.Total.Processors; t > 0 {
		s = 1 - float64(n.free.Processors-i.want.Need.Processors)/float64(t)
	}
	if p.Interference != nil {
		s += 3 * p.Interference.Penalty(i.want.Kind, n.ID)
	}
	if i.want.SpreadGroup != "" {
		s += 4 * float64(p.groups[rackKey{group: i.want.SpreadGroup, rack: n.Place}])
	}
	return s
}
