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
// fields before first use. K identifies a task.
type Placer[K comparable] struct {
	Rand *rand.Rand
	// Table holds the operators' limits and weights; without it every kind has weight 1 and no ceiling.
	Table *table.Table
	// Shards is the number of shards that divide ceilings, floors and quotas; zero stands for 1.
	Shards int
	// Shares divides ceilings, floors and quotas by demand; if nil, each shard has an even part.
	Shares *Shares
	// Interference is queried for each compared host; nil stands for no interference.
	Interference Interference

	hosts         map[fleet.ID]*node[K]
	hostList      []*node[K]
	index         hostIndex[K]
	items         map[K]*item[K]
	kinds         map[fleet.Kind]*kindState[K]
	kindList      []*kindState[K]
	teamUsedSlots map[fleet.Team]int
	// teamQueuedSlots holds the number of slots that each team's queued tasks need.
	teamQueuedSlots map[fleet.Team]int
	groupRackTasks  map[rackKey]int
	totalSlots      int
	reservedHosts   int
	queuedTasks     int
	pass            int
}

// A node is the placer's view of a host.
type node[K comparable] struct {
	Host
	free        fleet.Resources
	unconfirmed fleet.Resources
	excluded    bool
	urgentOnly  bool
	bucket      int
	bucketIndex int
	refusedAt   time.Time
	// urgentOnlyUntil is when the host takes non-urgent tasks again. Until then it
	// is left to another shard's urgent task.
	urgentOnlyUntil time.Time
	// reservedFor is the queued task for which the host is reserved.
	reservedFor *item[K]
	// tasks holds the tasks placed on the host.
	tasks []*item[K]
}

// An item is a queued or placed task.
type item[K comparable] struct {
	key          K
	spec         TaskSpec
	queuedAt     time.Time
	assignedAt   time.Time
	host         *node[K]
	queued       bool
	removed      bool
	confirmed    bool
	reservedHost *node[K]
	// failedPass is the last pass in which the task could not be placed.
	failedPass int
	// evictedAt is when tasks were last evicted for this one.
	evictedAt time.Time
	// requestedAt is the time of the last eviction request for the task, requestCount their number.
	requestedAt  time.Time
	requestCount int
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
	p.kinds = map[fleet.Kind]*kindState[K]{}
	p.teamUsedSlots = map[fleet.Team]int{}
	p.teamQueuedSlots = map[fleet.Team]int{}
	p.groupRackTasks = map[rackKey]int{}
	p.index.regions = map[string]*regionHosts[K]{}
}

// UpdateHost applies a host's newest report. Assignments that the host has not
// confirmed yet are subtracted from its free resources.
func (p *Placer[K]) UpdateHost(h Host) {
	p.setUp()
	n := p.hosts[h.ID]
	if n == nil {
		n = &node[K]{bucketIndex: -1, excluded: true}
		n.urgentOnly = xxhash.Sum64String(string(h.ID))%hostsPerUrgentOnly == 0
		p.hosts[h.ID] = n
		p.hostList = append(p.hostList, n)
	}
	p.index.remove(n)
	p.totalSlots += h.Total.Slots - n.Total.Slots
	n.Host = h
	n.free = h.Free.Minus(n.unconfirmed)
	p.index.insert(n)
}

// RemoveHost removes a host that has left the fleet.
func (p *Placer[K]) RemoveHost(id fleet.ID) {
	n := p.hosts[id]
	if n == nil {
		return
	}
	p.index.remove(n)
	p.totalSlots -= n.Total.Slots
	n.excluded = true
	delete(p.hosts, id)
	p.hostList = slices.DeleteFunc(p.hostList, func(o *node[K]) bool { return o == n })
}

// SetExcluded excludes a host from new assignments, or includes it again.
func (p *Placer[K]) SetExcluded(id fleet.ID, excluded bool) {
	n := p.hosts[id]
	if n == nil || n.excluded == excluded {
		return
	}
	p.index.remove(n)
	n.excluded = excluded
	p.index.insert(n)
}

// RecordRefusal records that a host has refused a task.
func (p *Placer[K]) RecordRefusal(now time.Time, id fleet.ID) {
	if n := p.hosts[id]; n != nil {
		n.refusedAt = now
	}
}

// Enqueue queues a task.
func (p *Placer[K]) Enqueue(now time.Time, k K, s TaskSpec) {
	p.setUp()
	if p.items[k] != nil {
		return
	}
	i := &item[K]{key: k, spec: s, queuedAt: now, queued: true}
	p.items[k] = i
	p.kindFor(s.Kind).enqueue(i)
	p.countQueued(i, 1)
}

// RestoreAssigned records a task that is already placed, for example after a replay of the journal.
func (p *Placer[K]) RestoreAssigned(k K, s TaskSpec, host fleet.ID) {
	p.setUp()
	if p.items[k] != nil {
		return
	}
	i := &item[K]{key: k, spec: s, confirmed: true}
	p.items[k] = i
	n := p.hosts[host]
	if n == nil {
		n = &node[K]{Host: Host{ID: host}, bucketIndex: -1, excluded: true}
		p.hosts[host] = n
		p.hostList = append(p.hostList, n)
	}
	p.countAssigned(i, n, 1)
}

// RemoveQueued removes a task from its queue.
func (p *Placer[K]) RemoveQueued(k K) {
	i := p.items[k]
	if i == nil || !i.queued {
		return
	}
	p.unreserveHost(i)
	i.removed = true
	i.queued = false
	p.countQueued(i, -1)
	delete(p.items, k)
}

// Confirm records that the host's own reports include the task from now on.
func (p *Placer[K]) Confirm(k K) {
	i := p.items[k]
	if i == nil || i.host == nil || i.confirmed {
		return
	}
	i.confirmed = true
	i.host.unconfirmed = i.host.unconfirmed.Minus(i.spec.Need)
}

// Release frees the resources of a placed task.
func (p *Placer[K]) Release(k K) {
	i := p.items[k]
	if i == nil || i.host == nil {
		return
	}
	n := i.host
	if !i.confirmed {
		n.unconfirmed = n.unconfirmed.Minus(i.spec.Need)
	}
	p.index.remove(n)
	n.free = capResources(n.free.Plus(i.spec.Need), n.Total)
	p.index.insert(n)
	p.countAssigned(i, n, -1)
	n.removeTask(i)
	delete(p.items, k)
	p.resetRetries()
}

// assign places i on n.
func (p *Placer[K]) assign(now time.Time, i *item[K], n *node[K]) {
	p.unreserveHost(i)
	i.queued = false
	i.assignedAt = now
	p.index.remove(n)
	n.free = n.free.Minus(i.spec.Need)
	n.unconfirmed = n.unconfirmed.Plus(i.spec.Need)
	p.index.insert(n)
	p.countQueued(i, -1)
	p.countAssigned(i, n, 1)
}

// countQueued adds i to the counts of queued tasks if d is 1, and removes it if d is -1.
func (p *Placer[K]) countQueued(i *item[K], d int) {
	k := p.kinds[i.spec.Kind]
	k.queuedTasks += d
	k.queuedSlots += d * slotsOf(i.spec)
	p.teamQueuedSlots[i.spec.Team] += d * slotsOf(i.spec)
	p.queuedTasks += d
}

// countAssigned adds i to the counts of used slots if d is 1, and removes it if d is -1.
func (p *Placer[K]) countAssigned(i *item[K], n *node[K], d int) {
	i.host = n
	if d > 0 {
		n.tasks = append(n.tasks, i)
	}
	k := p.kindFor(i.spec.Kind)
	k.usedSlots += d * slotsOf(i.spec)
	if i.spec.Urgent {
		k.urgentUsedSlots += d * slotsOf(i.spec)
	}
	p.teamUsedSlots[i.spec.Team] += d * slotsOf(i.spec)
	if i.spec.SpreadGroup == "" {
		return
	}
	g := rackKey{group: i.spec.SpreadGroup, rack: n.Place}
	p.groupRackTasks[g] += d
	if p.groupRackTasks[g] == 0 {
		delete(p.groupRackTasks, g)
	}
}

func (n *node[K]) removeTask(i *item[K]) {
	for a := range n.tasks {
		if n.tasks[a] != i {
			continue
		}
		last := len(n.tasks) - 1
		n.tasks[a] = n.tasks[last]
		n.tasks[last] = nil
		n.tasks = n.tasks[:last]
		return
	}
}

func slotsOf(s TaskSpec) int { return max(1, s.Need.Slots) }

// capResources limits each resource of r to that of t.
func capResources(r, t fleet.Resources) fleet.Resources {
	return fleet.Resources{
		Processors:   min(r.Processors, t.Processors),
		Memory:       min(r.Memory, t.Memory),
		Accelerators: min(r.Accelerators, t.Accelerators),
		Slots:        min(r.Slots, t.Slots),
		Connections:  min(r.Connections, t.Connections),
	}
}
