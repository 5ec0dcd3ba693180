package base

import (
	"context"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/sesamestream/sesamestream/internal/gossip"
	"github.com/sesamestream/sesamestream/internal/peer"
	"github.com/sesamestream/sesamestream/pkg/decide/member"
	"github.com/sesamestream/sesamestream/pkg/decide/tablesync"
	"github.com/sesamestream/sesamestream/pkg/fleet"
	"github.com/sesamestream/sesamestream/pkg/table"
)

// runGossip runs the membership on the node's port.
func (b *Base) runGossip(ctx context.Context) error {
	select {
	case <-b.Node.Ready():
	case <-ctx.Done():
		return nil
	}
	b.gossip.Transport = &peer.Packets{Node: b.Node, Context: ctx}
	return b.gossip.Run(ctx)
}

// newGossip makes the membership of this process.
func (b *Base) newGossip() *gossip.Gossip {
	return &gossip.Gossip{
		System:          b.System,
		Self:            b.Self,
		Seeds:           b.Seeds,
		Keys:            b.GossipKeys,
		Registry:        b.Metrics,
		OnMemberChanged: b.memberChanged,
		OnRevisionSeen: func(r table.Revision, from netip.AddrPort, token uint64) {
			b.sync.runner.Send(tablesync.PeerAnnounced{Revision: r, From: from, Token: token})
		},
	}
}

// memberChanged notes a change and passes it on.
func (b *Base) memberChanged(i member.Info, s member.State) {
	b.mu.Lock()
	b.states[i.ID] = known{info: i, state: s}
	b.mu.Unlock()
	b.Log.Debug().Str("event", "memberChanged").Str("member", string(i.ID)).Int("state", int(s)).Msg("")
	if b.OnMember != nil {
		b.OnMember(i, s)
	}
}

// Members returns the live members of the data centre besides this process.
func (b *Base) Members() []member.Info {
	return b.gossip.Members()
}

// Remotes returns what is known of the other data centres.
func (b *Base) Remotes() []member.RemoteDataCentre {
	return b.gossip.Remotes()
}

// SetOffers announces the kinds that this process serves.
func (b *Base) SetOffers(o []member.Offer) {
	b.gossip.SetOffers(o)
}

// AnnounceLeaving tells the peers that this process stops.
func (b *Base) AnnounceLeaving() {
	b.gossip.AnnounceLeave()
}

// IncarnationAddress returns where a life is reached, and false where it is not known to live.
func (b *Base) IncarnationAddress(v fleet.ProcessIncarnation) (netip.AddrPort, bool) {
	b.mu.RLock()
	k, ok := b.states[v.ID]
	b.mu.RUnlock()
	if ok && k.info.ProcessIncarnation == v && k.state <= member.Suspect {
		return k.info.Address, true
	}
	for _, r := range b.Remotes() {
		for _, c := range r.Summary.Contacts {
			if c.Identity == v {
				return c.Address, true
			}
		}
	}
	return netip.AddrPort{}, false
}

// NewestAddress returns where the newest known life of an ID is reached.
func (b *Base) NewestAddress(id fleet.ID) (netip.AddrPort, bool) {
	if id == b.Self.ID {
		return b.Self.Address, true
	}
	b.mu.RLock()
	k, ok := b.states[id]
	b.mu.RUnlock()
	if ok {
		return k.info.Address, true
	}
	for _, r := range b.Remotes() {
		for _, c := range r.Summary.Contacts {
			if c.Identity.ID == id {
				return c.Address, true
			}
		}
	}
	return netip.AddrPort{}, false
}

// Superseded reports whether a life is known to be over: its ID has a newer one. A
// life that only fell silent is not known to be over.
func (b *Base) Superseded(v fleet.ProcessIncarnation) bool {
	if v.ID == b.Self.ID {
		return v.Incarnation < b.Self.Incarnation
	}
	b.mu.RLock()
	k, ok := b.states[v.ID]
	b.mu.RUnlock()
	if ok {
		return k.info.Incarnation > v.Incarnation
	}
	for _, r := range b.Remotes() {
		for _, c := range r.Summary.Contacts {
			if c.Identity.ID == v.ID {
				return c.Identity.Incarnation > v.Incarnation
			}
		}
	}
	return false
}

// A dataCentre is one data centre with the agents known of it.
type dataCentre struct {
	name   string
	weight uint64
	lives  []fleet.ProcessIncarnation
}

// preferenceAge is how long an order of owners is used again.
const preferenceAge = 2 * time.Second

// A preference is the order of owners of one shard at a time.
type preference struct {
	at    time.Time
	lives []fleet.ProcessIncarnation
}

// PreferredOwners returns the lives that may own a shard, the best first: the
// data centres in the order of their rendezvous hashes, in each its agents in
// the order of theirs. The result is shared and not to be changed.
func (b *Base) PreferredOwners(shard int) []fleet.ProcessIncarnation {
	now := time.Now()
	b.mu.RLock()
	p, ok := b.preferences[shard]
	b.mu.RUnlock()
	if ok && now.Sub(p.at) < preferenceAge {
		return p.lives
	}
	p = preference{at: now, lives: b.preferredOwners(shard)}
	b.mu.Lock()
	b.preferences[shard] = p
	b.mu.Unlock()
	return p.lives
}

func (b *Base) preferredOwners(shard int) []fleet.ProcessIncarnation {
	var out []fleet.ProcessIncarnation
	for _, d := range b.dataCentres(shard) {
		out = append(out, ranked(shard, d.lives)...)
	}
	return out
}

func (b *Base) dataCentres(shard int) []dataCentre {
	own := dataCentre{name: b.Self.Place.Region + "/" + b.Self.Place.DataCentre}
	if b.Self.Role == fleet.RoleAgent {
		own.lives = append(own.lives, b.Self.ProcessIncarnation)
	}
	for _, m := range b.Members() {
		if m.Role == fleet.RoleAgent {
			own.lives = append(own.lives, m.ProcessIncarnation)
		}
	}
	all := []dataCentre{own}
	for _, r := range b.Remotes() {
		d := dataCentre{name: r.Summary.Region + "/" + r.Summary.DataCentre}
		for _, c := range r.Summary.Contacts {
			if c.Role == fleet.RoleAgent {
				d.lives = append(d.lives, c.Identity)
			}
		}
		all = append(all, d)
	}
	for i := range all {
		all[i].weight = weight(shard, all[i].name)
	}
	slices.SortFunc(all, func(x, y dataCentre) int { return order(x.weight, y.weight, x.name, y.name) })
	return all
}

func ranked(shard int, lives []fleet.ProcessIncarnation) []fleet.ProcessIncarnation {
	slices.SortFunc(lives, func(x, y fleet.ProcessIncarnation) int {
		return order(weight(shard, string(x.ID)), weight(shard, string(y.ID)), string(x.ID), string(y.ID))
	})
	return lives
}

// weight is the rendezvous hash of a name for a shard (Thaler and Ravishankar, 1998).
func weight(shard int, name string) uint64 {
	return xxhash.Sum64String(name + "\x00shard\x00" + string(rune('0'+shard)))
}

// order puts the higher weight first and breaks ties by name.
func order(x, y uint64, a, b string) int {
	switch {
	case x > y:
		return -1
	case x < y:
		return 1
	default:
		return strings.Compare(a, b)
	}
}
