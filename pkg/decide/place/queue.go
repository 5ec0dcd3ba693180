package place

import (
	"time"

	"github.com/sesamestream/sesamestream/pkg/fleet"
	"github.com/sesamestream/sesamestream/pkg/table"
)

// lookPast is how many tasks behind a head that does not fit are tried.
const lookPast = 4

// A kind is what waits and runs of one row of the table.
type kind[K comparable] struct {
	name fleet.Kind
	row  table.Row
	used int
	// urgentUsed are the slots of the urgent tasks among them.
	urgentUsed int
	queued     int
	// waiting are the slots that the queued tasks ask for.
	waiting int
	urgent  fifo[K]
	teams   map[fleet.Team]*fifo[K]
	order   []*fifo[K]
	retry   time.Time
}

// A fifo is the queue of one team within a kind.
type fifo[K comparable] struct {
	team  fleet.Team
	items []*item[K]
}

func (q *fifo[K]) trim() {
	n := 0
	for n < len(q.items) && !q.items[n].queued {
		q.items[n] = nil
		n++
	}
	q.items = q.items[n:]
}

func (k *kind[K]) push(i *item[K]) {
	k.retry = time.Time{}
	if i.want.Urgent {
		k.urgent.items = append(k.urgent.items, i)
		return
	}
	q := k.teams[i.want.Team]
	if q == nil {
		q = &fifo[K]{team: i.want.Team}
		k.teams[i.want.Team] = q
		k.order = append(k.order, q)
	}
	q.items = append(q.items, i)
}

func (p *Placer[K]) kind(name fleet.Kind) *kind[K] {
	k := p.kinds[name]
	if k != nil {
		return k
	}
	k = &kind[K]{name: name, teams: map[fleet.Team]*fifo[K]{}}
	k.row = p.row(name)
	p.kinds[name] = k
	p.order = append(p.order, k)
	return k
}

func (p *Placer[K]) row(name fleet.Kind) table.Row {
	if p.Table != nil {
		if r, ok := p.Table.Row(name); ok {
			return r
		}
	}
	return table.Row{Kind: name, Weight: 1, Ceiling: 1}
}

// SetTable takes a new version of the table.
func (p *Placer[K]) SetTable(t *table.Table) {
	p.Table = t
	for _, k := range p.order {
		k.row = p.row(k.name)
	}
	p.wakeAll()
}

// wakeAll lets every kind be tried again.
func (p *Placer[K]) wakeAll() {
	for _, k := range p.order {
		k.retry = time.Time{}
	}
}

// quota returns the slots that a team's tasks of this shard never exceed.
func (p *Placer[K]) quota(t fleet.Team) float64 {
	if p.Table == nil {
		return float64(p.slots)
	}
	for _, r := range p.Table.Teams {
		if r.Team != t {
			continue
		}
		whole := float64(r.Quota) * float64(p.slots)
		if p.Shares != nil {
			return min(whole, float64(p.Shares.Quota(t)))
		}
		return whole / float64(max(1, p.Shards))
	}
	return float64(p.slots)
}

func (p *Placer[K]) teamWeight(t fleet.Team) float64 {
	if p.Table != nil {
		for _, r := range p.Table.Teams {
			if r.Team == t && r.Weight > 0 {
				return r.Weight
			}
		}
	}
	return 1
}

// below reports whether k uses less than its floor in this shard.
func (p *Placer[K]) below(k *kind[K]) bool {
	whole := float64(k.row.Floor) * float64(p.slots)
	if p.Shares != nil {
		return float64(k.used) < min(whole, float64(p.Shares.Floor(k.name)))
	}
	return float64(k.used) < whole/float64(max(1, p.Shards))
}

// room returns how many slots k may still take under its ceiling.
func (p *Placer[K]) room(k *kind[K]) float64 {
	whole := float64(k.row.Ceiling) * float64(p.slots)
	if p.Shares != nil {
		return min(whole, float64(p.Shares.Ceiling(k.name))) - float64(k.used)
	}
	return whole/float64(max(1, p.Shards)) - float64(k.used)
}

// rank orders kinds that wait: urgent first, then floors, then weight.
func (p *Placer[K]) rank(k *kind[K]) float64 {
	r := float64(k.used) / max(k.row.Weight, 1e-9)
	k.urgent.trim()
	switch {
	case len(k.urgent.items) > 0:
		return r - 2e12
	case p.below(k):
		return r - 1e12
	}
	return r
}

// team returns the waiting queue whose team has the least for its weight.
func (p *Placer[K]) team(k *kind[K], tried int) *fifo[K] {
	var best *fifo[K]
	least := 0.0
	for _, q := range k.order {
		q.trim()
		if len(q.items) == 0 || q.items[0].tried == tried {
			continue
		}
		w := float64(p.teams[q.team]) / p.teamWeight(q.team)
		if best == nil || w < least {
			best = q
			least = w
		}
	}
	return best
}
