package place

import (
	"time"

	"github.com/sesamestream/sesamestream/pkg/fleet"
)

// Next assigns the next task to start to a host and returns both. It reports
// false if no queued task can be placed now.
func (p *Placer[K]) Next(now time.Time) (K, fleet.ID, bool) {
	p.setUp()
	p.pass++
	for p.queuedTasks > 0 {
		k := p.nextKind(now)
		if k == nil {
			break
		}
		if i, n := p.pickTask(now, k); n != nil {
			p.assign(now, i, n)
			return i.key, n.ID, true
		}
		k.retryAt = now.Add(retryDelay)
	}
	var none K
	return none, "", false
}

// nextKind returns the kind with queued tasks and headroom that ranks first, or nil.
func (p *Placer[K]) nextKind(now time.Time) *kindState[K] {
	var best *kindState[K]
	lowest := 0.0
	for _, k := range p.kindList {
		if k.queuedTasks == 0 || now.Before(k.retryAt) || !p.hasHeadroom(k) {
			continue
		}
		if r := p.rank(k); best == nil || r < lowest {
			best = k
			lowest = r
		}
	}
	return best
}

// hasHeadroom reports whether the ceiling leaves a slot for any queued task of k.
func (p *Placer[K]) hasHeadroom(k *kindState[K]) bool {
	if p.headroom(k) >= 1 {
		return true
	}
	k.urgent.trimHead()
	return len(k.urgent.items) > 0 && p.urgentHeadroom(k) >= 1
}

// pickTask returns a queued task of k and a host on which it fits, or nil.
func (p *Placer[K]) pickTask(now time.Time, k *kindState[K]) (*item[K], *node[K]) {
	if i, n := p.scanQueue(now, k, &k.urgent); n != nil {
		return i, n
	}
	for {
		q := p.nextTeamQueue(k, p.pass)
		if q == nil {
			return nil, nil
		}
		if i, n := p.scanQueue(now, k, q); n != nil {
			return i, n
		}
	}
}

// scanQueue tries the head of q and up to maxScanPastHead tasks behind it.
func (p *Placer[K]) scanQueue(now time.Time, k *kindState[K], q *fifo[K]) (*item[K], *node[K]) {
	q.trimHead()
	scanned := 0
	for _, i := range q.items {
		if scanned > maxScanPastHead {
			break
		}
		if !i.queued {
			continue
		}
		scanned++
		if !p.withinLimits(k, i) {
			i.failedPass = p.pass
			continue
		}
		if n := p.findHost(now, i); n != nil {
			return i, n
		}
		i.failedPass = p.pass
		if now.Sub(i.queuedAt) > reserveAfter {
			p.reserveSampledHost(i)
		}
	}
	return nil, nil
}

// withinLimits reports whether i stays within the kind's ceiling and the team's quota.
func (p *Placer[K]) withinLimits(k *kindState[K], i *item[K]) bool {
	s := float64(slotsOf(i.spec))
	available := p.headroom(k)
	if i.spec.Urgent {
		available = max(available, p.urgentHeadroom(k))
	}
	return s <= available && float64(p.teamUsedSlots[i.spec.Team])+s <= p.teamQuota(i.spec.Team)
}

// findHost returns the best of a sample of hosts on which i fits, or nil. A reserved
// host comes first, then the task's region, then other regions in random rotation.
func (p *Placer[K]) findHost(now time.Time, i *item[K]) *node[K] {
	if n := i.reservedHost; n != nil && p.canPlace(now, i, n) {
		return n
	}
	s := &i.spec
	if s.Region != "" {
		n := p.bestInRegion(now, i, p.index.regions[s.Region])
		if n != nil || !s.CrossRegion {
			return n
		}
	}
	r := p.index.regionList
	if len(r) == 0 {
		return nil
	}
	o := p.Rand.IntN(len(r))
	for a := range r {
		if n := p.bestInRegion(now, i, r[(o+a)%len(r)]); n != nil {
			return n
		}
	}
	return nil
}

// bestInRegion returns the host with the lowest score of a bounded sample of g, or nil.
func (p *Placer[K]) bestInRegion(now time.Time, i *item[K], g *regionHosts[K]) *node[K] {
	if g == nil {
		return nil
	}
	from := bucketOf(i.spec.Need.Processors)
	total := g.countFrom(from)
	if total == 0 {
		return nil
	}
	var best *node[K]
	lowest := 0.0
	found := 0
	start := p.Rand.IntN(total)
	step := 1
	if total > maxHostProbes {
		step = total/maxHostProbes | 1
	}
	for a := range min(total, maxHostProbes) {
		n := g.hostAt(from, (start+a*step)%total)
		if !p.canPlace(now, i, n) {
			continue
		}
		if s := p.score(i, n); best == nil || s < lowest {
			best = n
			lowest = s
		}
		found++
		if found == maxCandidates {
			break
		}
	}
	return best
}

// canPlace reports whether i may be placed on n now.
func (p *Placer[K]) canPlace(now time.Time, i *item[K], n *node[K]) bool {
	switch {
	case n.excluded, !i.spec.Need.Fits(n.free):
		return false
	case n.reservedFor != nil && n.reservedFor != i:
		return false
	case n.urgentOnly && !i.spec.Urgent && len(p.hosts) >= hostsPerUrgentOnly:
		return false
	case !i.spec.Urgent && now.Before(n.urgentOnlyUntil):
		return false
	case now.Sub(n.refusedAt) < refusalBackoff:
		return false
	}
	for _, h := range i.spec.AvoidHosts {
		if h == n.ID {
			return false
		}
	}
	return true
}

// score returns the cost of placing i on n, lower is better: the processor utilisation, the
// interference and the number of tasks of the same group on the rack.
func (p *Placer[K]) score(i *item[K], n *node[K]) float64 {
	s := 0.0
	if t := n.Total.Processors; t > 0 {
		s = 1 - float64(n.free.Processors-i.spec.Need.Processors)/float64(t)
	}
	if p.Interference != nil {
		s += 3 * p.Interference.Penalty(i.spec.Kind, n.ID)
	}
	if i.spec.SpreadGroup != "" {
		s += 4 * float64(p.groupRackTasks[rackKey{group: i.spec.SpreadGroup, rack: n.Place}])
	}
	return s
}
