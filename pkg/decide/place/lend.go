package place

import (
	"slices"
	"time"

	"github.com/sesamestream/sesamestream/pkg/fleet"
)

// The parameters of evictions for other shards.
const (
	// maxCalls bounds what one report asks of other shards.
	maxCalls = 4
	// callEvery is how long a call waits for its effect.
	callEvery = 2 * time.Second
	// closedFor is how long a host is closed to batch work for another shard.
	closedFor = 4 * time.Second
)

// A EvictionRequest asks another shard to evict batch tasks for urgent work that this
// shard cannot make room for by itself.
type EvictionRequest struct {
	Shard       int             `cbor:"1,keyasint"`
	Need        fleet.Resources `cbor:"2,keyasint"`
	Region      string          `cbor:"3,keyasint,omitempty"`
	CrossRegion bool            `cbor:"4,keyasint,omitempty"`
	AvoidHosts  []fleet.ID      `cbor:"5,keyasint,omitempty"`
}

// EvictionRequests returns what to ask of other shards now, and the hosts that are kept
// for urgent work.
func (p *Placer[K]) EvictionRequests(now time.Time) ([]EvictionRequest, []fleet.ID) {
	var calls []EvictionRequest
	var kept []fleet.ID
	for _, k := range p.order {
		k.urgent.trim()
		for _, i := range k.urgent.items {
			switch {
			case !i.queued:
			case i.kept != nil && !i.kept.excluded:
				kept = append(kept, i.kept.ID)
			case len(calls) < maxCalls && p.stuck(now, k, i):
				i.called = now
				calls = append(calls, p.call(i))
			}
			if len(kept) == maxCalls || len(calls) == maxCalls {
				return calls, kept
			}
		}
	}
	return calls, kept
}

func (p *Placer[K]) stuck(now time.Time, k *kind[K], i *item[K]) bool {
	return now.Sub(i.since) >= urgentAfter && now.Sub(i.called) >= callEvery && p.allowed(k, i)
}

// call asks the shards that use most one after the other.
func (p *Placer[K]) call(i *item[K]) EvictionRequest {
	c := EvictionRequest{Shard: p.Shares.busy(i.calls), Need: i.want.Need, Region: i.want.Region, CrossRegion: i.want.CrossRegion, AvoidHosts: i.want.AvoidHosts}
	i.calls++
	return c
}

// VictimsForRequest returns batch tasks to evict on one host for another shard's call. The
// host is closed to batch work of this shard for a while.
func (p *Placer[K]) VictimsForRequest(now time.Time, c EvictionRequest) ([]K, fleet.ID) {
	p.setUp()
	i := &item[K]{want: TaskSpec{Urgent: true, Need: c.Need, Region: c.Region, CrossRegion: c.CrossRegion, AvoidHosts: c.AvoidHosts}}
	on, victims := p.cheapest(i)
	if on == nil {
		return nil, ""
	}
	on.closed = now.Add(closedFor)
	return keys(victims), on.ID
}

// ReserveClearedHost keeps a host that another shard clears for urgent work that waits.
func (p *Placer[K]) ReserveClearedHost(id fleet.ID) {
	n := p.hosts[id]
	if n == nil || n.kept != nil {
		return
	}
	for _, k := range p.order {
		for _, i := range k.urgent.items {
			if i.queued && i.kept == nil && !slices.Contains(i.want.AvoidHosts, id) && i.want.Need.Fits(n.Total) {
				p.keepOn(i, n)
				return
			}
		}
	}
}

// RestrictToUrgent leaves a host to another shard's urgent work for a while.
func (p *Placer[K]) RestrictToUrgent(now time.Time, id fleet.ID) {
	if n := p.hosts[id]; n != nil {
		n.closed = now.Add(closedFor)
	}
}

// urgentRoom returns how many slots urgent work of k may take beside what
// other work of its kind uses: an even part of the kind's ceiling, at least one slot.
func (p *Placer[K]) urgentRoom(k *kind[K]) float64 {
	whole := float64(k.row.Ceiling) * float64(p.slots)
	return max(min(1, whole), whole/float64(max(1, p.Shards))) - float64(k.urgentUsed)
}

// busy returns the n-th of the other shards that use anything, the one that uses most first.
func (s *Shares) busy(n int) int {
	type shard struct{ number, used int }
	var all []shard
	for i, p := range s.peers {
		x := shard{number: i}
		for name, y := range p.shares {
			if name.Kind != "" {
				x.used += y.Used
			}
		}
		if x.used > 0 {
			all = append(all, x)
		}
	}
	if len(all) == 0 {
		return s.Shard
	}
	slices.SortFunc(all, func(a, b shard) int {
		if a.used != b.used {
			return b.used - a.used
		}
		return a.number - b.number
	})
	return all[n%len(all)].number
}
