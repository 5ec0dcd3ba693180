package place

import (
	"slices"
	"time"

	"github.com/sesamestream/sesamestream/pkg/fleet"
)

// The limits on evictions that shards request from each other.
const (
	// maxReportListLength is the maximum number of eviction requests, and of reserved hosts, in one report.
	maxReportListLength = 4
	// evictionRequestInterval is the minimum time between eviction requests for the same
	// task, so that the earlier request can take effect.
	evictionRequestInterval = 2 * time.Second
	// urgentOnlyDuration is how long a host takes only urgent tasks to leave capacity to another shard.
	urgentOnlyDuration = 4 * time.Second
)

// An EvictionRequest asks another shard to evict batch tasks for an urgent task
// for which this shard cannot free capacity itself.
type EvictionRequest struct {
	Shard       int             `cbor:"1,keyasint"`
	Need        fleet.Resources `cbor:"2,keyasint"`
	Region      string          `cbor:"3,keyasint,omitempty"`
	CrossRegion bool            `cbor:"4,keyasint,omitempty"`
	AvoidHosts  []fleet.ID      `cbor:"5,keyasint,omitempty"`
}

// EvictionRequests returns the requests to send to other shards now, and the
// hosts that this shard has reserved for urgent tasks.
func (p *Placer[K]) EvictionRequests(now time.Time) ([]EvictionRequest, []fleet.ID) {
	var requests []EvictionRequest
	var reserved []fleet.ID
	for _, k := range p.kindList {
		k.urgent.trimHead()
		for _, i := range k.urgent.items {
			switch {
			case !i.queued:
			case i.reservedHost != nil && !i.reservedHost.excluded:
				reserved = append(reserved, i.reservedHost.ID)
			case len(requests) < maxReportListLength && p.needsEvictionRequest(now, k, i):
				i.requestedAt = now
				requests = append(requests, p.evictionRequest(i))
			}
			if len(reserved) == maxReportListLength || len(requests) == maxReportListLength {
				return requests, reserved
			}
		}
	}
	return requests, reserved
}

func (p *Placer[K]) needsEvictionRequest(now time.Time, k *kindState[K], i *item[K]) bool {
	return now.Sub(i.queuedAt) >= evictAfter && now.Sub(i.requestedAt) >= evictionRequestInterval && p.withinLimits(k, i)
}

// evictionRequest returns a request for i. Successive requests for the same task
// go to different shards, in descending order of the slots that they use.
func (p *Placer[K]) evictionRequest(i *item[K]) EvictionRequest {
	r := EvictionRequest{Shard: p.Shares.busyPeer(i.requestCount), Need: i.spec.Need, Region: i.spec.Region, CrossRegion: i.spec.CrossRegion, AvoidHosts: i.spec.AvoidHosts}
	i.requestCount++
	return r
}

// VictimsForRequest returns batch tasks to evict on one host for the request of
// another shard. The host takes only this shard's urgent tasks for urgentOnlyDuration.
func (p *Placer[K]) VictimsForRequest(now time.Time, r EvictionRequest) ([]K, fleet.ID) {
	p.setUp()
	i := &item[K]{spec: TaskSpec{Urgent: true, Need: r.Need, Region: r.Region, CrossRegion: r.CrossRegion, AvoidHosts: r.AvoidHosts}}
	host, victims := p.cheapestHost(i)
	if host == nil {
		return nil, ""
	}
	host.urgentOnlyUntil = now.Add(urgentOnlyDuration)
	return taskKeys(victims), host.ID
}

// ReserveClearedHost reserves a host on which another shard evicts tasks for the
// first queued urgent task that fits there and has no reservation.
func (p *Placer[K]) ReserveClearedHost(id fleet.ID) {
	n := p.hosts[id]
	if n == nil || n.reservedFor != nil {
		return
	}
	for _, k := range p.kindList {
		for _, i := range k.urgent.items {
			if i.queued && i.reservedHost == nil && !slices.Contains(i.spec.AvoidHosts, id) && i.spec.Need.Fits(n.Total) {
				p.reserveHost(i, n)
				return
			}
		}
	}
}

// RestrictToUrgent keeps this shard's non-urgent tasks off a host that another
// shard has reserved for an urgent task, for urgentOnlyDuration.
func (p *Placer[K]) RestrictToUrgent(now time.Time, id fleet.ID) {
	if n := p.hosts[id]; n != nil {
		n.urgentOnlyUntil = now.Add(urgentOnlyDuration)
	}
}

// urgentHeadroom returns how many more slots urgent tasks of k may use, regardless
// of the non-urgent tasks of their kind. Their limit is an even part of the kind's
// ceiling, at least one slot if the ceiling allows it.
func (p *Placer[K]) urgentHeadroom(k *kindState[K]) float64 {
	whole := float64(k.row.Ceiling) * float64(p.totalSlots)
	return max(min(1, whole), whole/float64(max(1, p.Shards))) - float64(k.urgentUsedSlots)
}

// busyPeer returns the n-th of the other shards with used slots, in descending order of
// their use and starting over after the last. Without any, it returns this shard.
func (s *Shares) busyPeer(n int) int {
	type shard struct{ number, used int }
	var busy []shard
	for i, p := range s.peers {
		x := shard{number: i}
		for name, y := range p.shares {
			if name.Kind != "" {
				x.used += y.Used
			}
		}
		if x.used > 0 {
			busy = append(busy, x)
		}
	}
	if len(busy) == 0 {
		return s.Shard
	}
	slices.SortFunc(busy, func(a, b shard) int {
		if a.used != b.used {
			return b.used - a.used
		}
		return a.number - b.number
	})
	return busy[n%len(busy)].number
}
