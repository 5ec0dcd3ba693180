package place

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/sesamestream/sesamestream/pkg/fleet"
	"github.com/sesamestream/sesamestream/pkg/table"
)

// A Placer orders queued tasks and chooses their hosts. Set its exported
// fields before first use. K names a task.
type Placer[K comparable] struct {
	Rand *rand.Rand
	// Table holds the rules; without one every kind has weight 1 and no ceiling.
	Table *table.Table
	// Shards is how many shards divide the shares; zero stands for 1.
	Shards int
	// Shares divides the shares by demand; without it each shard has one part of Shards.
	Shares *Shares
	// Interference is asked for each compared host; nil knows of none.
	Interference Interference

	hosts map[fleet.ID]*node[K]
	all   []*node[K]
	index index[K]
	items map[K]*item[K]
	kinds map[fleet.Kind]*kind[K]
	order []*kind[K]
	teams map[fleet.Team]int
	// waits are the slots that a team's queued tasks ask for.
	waits  map[fleet.Team]int
	groups map[rackKey]int
	slots  int
	keeps  int
	queued int
	round  int
}

// A node is a host as the placer sees it.
type node[K comparable] struct {
	Host
	free     fleet.Resources
	pending  fleet.Resources
	excluded bool
	reserve  bool
	bucket   int
	at       int
	refused  time.Time
	// closed is until when the host is left to another shard's urgent work.
	closed time.Time
	// kept is the waiting task that the host is kept for.
	kept *item[K]
	// items are the tasks placed here.
	items []*item[K]
}

// An item is one task, queued or placed.
type item[K comparable] struct {
	key       K
	want      TaskSpec
	since     time.Time
	started   time.Time
	host      *node[K]
	queued    bool
	gone      bool
	confirmed bool
	kept      *node[K]
	// tried is the round in which the task last fitted nowhere.
	tried int
	// chased is when others were last evicted for the task.
	chased time.Time
	// called is when another shard was last asked, calls how often one was.
	called time.Time
	calls  int
}

type rackKey struct {
	group string
	rack  fleet.Place
}

func (p *Placer[K]) setUp() {
	if p.items != nil {
		return
	}
	p.hosts = map[fleet.ID]*node[K]{}
	p.items = map[K]*item[K]{}
	p.kinds = map[fleet.Kind]*kind[K]{}
	p.teams = map[fleet.Team]int{}
	p.waits = map[fleet.Team]int{}
	p.groups = map[rackKey]int{}
	p.index.regions = map[string]*region[K]{}
}

// UpdateHost takes a host's newest report. What was reserved since and is not
// confirmed by the host is taken from it.
func (p *Placer[K]) UpdateHost(h Host) {
	p.setUp()
	n := p.hosts[h.ID]
	if n == nil {
		n = &node[K]{at: -1, excluded: true}
		n.reserve = xxhash.Sum64String(string(h.ID))%reserveEvery == 0
		p.hosts[h.ID] = n
		p.all = append(p.all, n)
	}
	p.index.remove(n)
	p.slots += h.Total.Slots - n.Total.Slots
	n.Host = h
	n.free = h.Free.Minus(n.pending)
	p.index.insert(n)
}

// RemoveHost drops a host that is no part of the fleet any more.
func (p *Placer[K]) RemoveHost(id fleet.ID) {
	n := p.hosts[id]
	if n == nil {
		return
	}
	p.index.remove(n)
	p.slots -= n.Total.Slots
	n.excluded = true
	delete(p.hosts, id)
	p.all = slices.DeleteFunc(p.all, func(o *node[K]) bool { return o == n })
}

// SetExcluded keeps a host out of the choice, or lets it in again.
func (p *Placer[K]) SetExcluded(id fleet.ID, out bool) {
	n := p.hosts[id]
	if n == nil || n.excluded == out {
		return
	}
	p.index.remove(n)
	n.excluded = out
	p.index.insert(n)
}

// RecordRefusal notes that a host did not take a task.
func (p *Placer[K]) RecordRefusal(now time.Time, id fleet.ID) {
	if n := p.hosts[id]; n != nil {
		n.refused = now
	}
}

// Enqueue queues a task.
func (p *Placer[K]) Enqueue(now time.Time, k K, w TaskSpec) {
	p.setUp()
	if p.items[k] != nil {
		return
	}
	i := &item[K]{key: k, want: w, since: now, queued: true}
	p.items[k] = i
	p.kind(w.Kind).push(i)
	p.wait(i, 1)
}

// RestoreAssigned notes a task that is placed already, as after a replay.
func (p *Placer[K]) RestoreAssigned(k K, w TaskSpec, on fleet.ID) {
	p.setUp()
	if p.items[k] != nil {
		return
	}
	i := &item[K]{key: k, want: w, confirmed: true}
	p.items[k] = i
	n := p.hosts[on]
	if n == nil {
		n = &node[K]{Host: Host{ID: on}, at: -1, excluded: true}
		p.hosts[on] = n
		p.all = append(p.all, n)
	}
	p.count(i, n, 1)
}

// RemoveQueued takes a queued task out.
func (p *Placer[K]) RemoveQueued(k K) {
	i := p.items[k]
	if i == nil || !i.queued {
		return
	}
	p.unkeep(i)
	i.gone = true
	i.queued = false
	p.wait(i, -1)
	delete(p.items, k)
}

// Confirm notes that the host itself counts a task from now on.
func (p *Placer[K]) Confirm(k K) {
	i := p.items[k]
	if i == nil || i.host == nil || i.confirmed {
		return
	}
	i.confirmed = true
	i.host.pending = i.host.pending.Minus(i.want.Need)
}

// Release gives back the place of a task.
func (p *Placer[K]) Release(k K) {
	i := p.items[k]
	if i == nil || i.host == nil {
		return
	}
	n := i.host
	if !i.confirmed {
		n.pending = n.pending.Minus(i.want.Need)
	}
	p.index.remove(n)
	n.free = capped(n.free.Plus(i.want.Need), n.Total)
	p.index.insert(n)
	p.count(i, n, -1)
	n.drop(i)
	delete(p.items, k)
	p.wakeAll()
}

// reserve places i on n.
func (p *Placer[K]) reserve(now time.Time, i *item[K], n *node[K]) {
	p.unkeep(i)
	i.queued = false
	i.started = now
	p.index.remove(n)
	n.free = n.free.Minus(i.want.Need)
	n.pending = n.pending.Plus(i.want.Need)
	p.index.insert(n)
	p.wait(i, -1)
	p.count(i, n, 1)
}

// wait adds d to what waits.
func (p *Placer[K]) wait(i *item[K], d int) {
	k := p.kinds[i.want.Kind]
	k.queued += d
	k.waiting += d * slots(i.want)
	p.waits[i.want.Team] += d * slots(i.want)
	p.queued += d
}

// count adds d to what i uses.
func (p *Placer[K]) count(i *item[K], n *node[K], d int) {
	i.host = n
	if d > 0 {
		n.items = append(n.items, i)
	}
	k := p.kind(i.want.Kind)
	k.used += d * slots(i.want)
	if i.want.Urgent {
		k.urgentUsed += d * slots(i.want)
	}
	p.teams[i.want.Team] += d * slots(i.want)
	if i.want.SpreadGroup == "" {
		return
	}
	g := rackKey{group: i.want.SpreadGroup, rack: n.Place}
	p.groups[g] += d
	if p.groups[g] == 0 {
		delete(p.groups, g)
	}
}

func (n *node[K]) drop(i *item[K]) {
	for a := range n.items {
		if n.items[a] != i {
			continue
		}
		last := len(n.items) - 1
		n.items[a] = n.items[last]
		n.items[last] = nil
		n.items = n.items[:last]
		return
	}
}

func slots(w TaskSpec) int { return max(1, w.Need.Slots) }

func capped(r, t fleet.Resources) fleet.Resources {
	return fleet.Resources{
		Processors:   min(r.Processors, t.Processors),
		Memory:       min(r.Memory, t.Memory),
		Accelerators: min(r.Accelerators, t.Accelerators),
		Slots:        min(r.Slots, t.Slots),
		Connections:  min(r.Connections, t.Connections),
	}
}
