package place

import (
	"time"

	"github.com/sesamestream/sesamestream/pkg/fleet"
	"github.com/sesamestream/sesamestream/pkg/table"
)

// maxScanPastHead is the maximum number of tasks tried behind a queue head that does not fit.
const maxScanPastHead = 4

// A kindState holds the queues and the slot counts of one kind.
type kindState[K comparable] struct {
	name      fleet.Kind
	row       table.Row
	usedSlots int
	// urgentUsedSlots is the part of usedSlots that urgent tasks use.
	urgentUsedSlots int
	queuedTasks     int
	// queuedSlots is the number of slots that the queued tasks need.
	queuedSlots int
	urgent      fifo[K]
	teamQueues  map[fleet.Team]*fifo[K]
	queueList   []*fifo[K]
	retryAt     time.Time
}

// A fifo is a first-in, first-out queue: the urgent tasks of a kind, or the other tasks of one team.
type fifo[K comparable] struct {
	team  fleet.Team
	items []*item[K]
}

// trimHead drops the tasks at the head that are no longer queued.
func (q *fifo[K]) trimHead() {
	n := 0
	for n < len(q.items) && !q.items[n].queued {
		q.items[n] = nil
		n++
	}
	q.items = q.items[n:]
}

func (k *kindState[K]) enqueue(i *item[K]) {
	k.retryAt = time.Time{}
	if i.spec.Urgent {
		k.urgent.items = append(k.urgent.items, i)
		return
	}
	q := k.teamQueues[i.spec.Team]
	if q == nil {
		q = &fifo[K]{team: i.spec.Team}
		k.teamQueues[i.spec.Team] = q
		k.queueList = append(k.queueList, q)
	}
	q.items = append(q.items, i)
}

func (p *Placer[K]) kindFor(name fleet.Kind) *kindState[K] {
	k := p.kinds[name]
	if k != nil {
		return k
	}
	k = &kindState[K]{name: name, teamQueues: map[fleet.Team]*fifo[K]{}}
	k.row = p.rowFor(name)
	p.kinds[name] = k
	p.kindList = append(p.kindList, k)
	return k
}

func (p *Placer[K]) rowFor(name fleet.Kind) table.Row {
	if p.Table != nil {
		if r, ok := p.Table.Row(name); ok {
			return r
		}
	}
	return table.Row{Kind: name, Weight: 1, Ceiling: 1}
}

// SetTable puts a new version of the table in force.
func (p *Placer[K]) SetTable(t *table.Table) {
	p.Table = t
	for _, k := range p.kindList {
		k.row = p.rowFor(k.name)
	}
	p.resetRetries()
}

// resetRetries ends the retry delay of every kind.
func (p *Placer[K]) resetRetries() {
	for _, k := range p.kindList {
		k.retryAt = time.Time{}
	}
}

// teamQuota returns the maximum number of slots for a team's tasks in this shard.
func (p *Placer[K]) teamQuota(t fleet.Team) float64 {
	if p.Table == nil {
		return float64(p.totalSlots)
	}
	for _, r := range p.Table.Teams {
		if r.Team != t {
			continue
		}
		whole := float64(r.Quota) * float64(p.totalSlots)
		if p.Shares != nil {
			return min(whole, float64(p.Shares.Quota(t)))
		}
		return whole / float64(max(1, p.Shards))
	}
	return float64(p.totalSlots)
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

// belowFloor reports whether k uses fewer slots than this shard's part of its floor.
func (p *Placer[K]) belowFloor(k *kindState[K]) bool {
	whole := float64(k.row.Floor) * float64(p.totalSlots)
	if p.Shares != nil {
		return float64(k.usedSlots) < min(whole, float64(p.Shares.Floor(k.name)))
	}
	return float64(k.usedSlots) < whole/float64(max(1, p.Shards))
}

// headroom returns how many more slots k may use within this shard's part of its ceiling.
func (p *Placer[K]) headroom(k *kindState[K]) float64 {
	whole := float64(k.row.Ceiling) * float64(p.totalSlots)
	if p.Shares != nil {
		return min(whole, float64(p.Shares.Ceiling(k.name))) - float64(k.usedSlots)
	}
	return whole/float64(max(1, p.Shards)) - float64(k.usedSlots)
}

// rank returns the rank of k, lower goes first: kinds with urgent tasks, then kinds below their
// floor, then the others. Within each group, kinds with fewer used slots per weight go first.
func (p *Placer[K]) rank(k *kindState[K]) float64 {
	r := float64(k.usedSlots) / max(k.row.Weight, 1e-9)
	k.urgent.trimHead()
	switch {
	case len(k.urgent.items) > 0:
		return r - 2e12
	case p.belowFloor(k):
		return r - 1e12
	}
	return r
}

// nextTeamQueue returns the nonempty queue whose team uses the fewest slots per weight, or nil.
// It skips queues whose head could not be placed in skipPass.
func (p *Placer[K]) nextTeamQueue(k *kindState[K], skipPass int) *fifo[K] {
	var best *fifo[K]
	lowest := 0.0
	for _, q := range k.queueList {
		q.trimHead()
		if len(q.items) == 0 || q.items[0].failedPass == skipPass {
			continue
		}
		w := float64(p.teamUsedSlots[q.team]) / p.teamWeight(q.team)
		if best == nil || w < lowest {
			best = q
			lowest = w
		}
	}
	return best
}
