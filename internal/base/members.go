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

// runGossip runs the membership protocol on the node's port once the node is ready.
func (b *Base) runGossip(ctx context.Context) error {
	select {
	case <-b.Node.Ready():
	case <-ctx.Done():
		return nil
	}
	b.gossip.Transport = &peer.Packets{Node: b.Node, Context: ctx}
	return b.gossip.Run(ctx)
}

// newGossip returns the membership protocol of this process.
func (b *Base) newGossip() *gossip.Gossip {
	return &gossip.Gossip{
		System:          b.System,
		Self:            b.Self,
		Seeds:           b.Seeds,
		Keys:            b.GossipKeys,
		Registry:        b.Metrics,
		OnMemberChanged: b.handleMemberChange,
		OnRevisionSeen: func(r table.Revision, from netip.AddrPort, token uint64) {
			b.tableSync.runner.Send(tablesync.PeerAnnounced{Revision: r, From: from, Token: token})
		},
	}
}

// handleMemberChange stores the new state of a member and calls OnMember.
func (b *Base) handleMemberChange(i member.Info, s member.State) {
	b.mu.Lock()
	b.members[i.ID] = memberState{info: i, state: s}
	b.mu.Unlock()
	b.Log.Debug().Str("event", "memberChanged").Str("member", string(i.ID)).Int("state", int(s)).Msg("")
	if b.OnMember != nil {
		b.OnMember(i, s)
	}
}

// Members returns the live members of the data centre, except this process.
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

// AnnounceLeaving notifies the peers that this process stops.
func (b *Base) AnnounceLeaving() {
	b.gossip.AnnounceLeave()
}

// IncarnationAddress returns the address of an incarnation, or false if it is not known to be alive.
func (b *Base) IncarnationAddress(v fleet.ProcessIncarnation) (netip.AddrPort, bool) {
	b.mu.RLock()
	k, ok := b.members[v.ID]
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

// NewestAddress returns the address of the newest known incarnation of an ID, or false if none is known.
func (b *Base) NewestAddress(id fleet.ID) (netip.AddrPort, bool) {
	if id == b.Self.ID {
		return b.Self.Address, true
	}
	b.mu.RLock()
	k, ok := b.members[id]
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

// Superseded reports whether an incarnation is known to have ended, because its ID has a newer one.
// An incarnation that is only unresponsive may still be running.
func (b *Base) Superseded(v fleet.ProcessIncarnation) bool {
	if v.ID == b.Self.ID {
		return v.Incarnation < b.Self.Incarnation
	}
	b.mu.RLock()
	k, ok := b.members[v.ID]
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

// A dataCentre is one data centre with its known agents.
type dataCentre struct {
	name   string
	weight uint64
	agents []fleet.ProcessIncarnation
}

// ownerRankingTTL is how long a cached ranking is used.
const ownerRankingTTL = 2 * time.Second

// An ownerRanking is the ranking of the possible owners of one shard at one time.
type ownerRanking struct {
	computedAt time.Time
	owners     []fleet.ProcessIncarnation
}

// PreferredOwners returns the incarnations that may own a shard, the most preferred first. Data centres
// are ordered by their rendezvous weights, and the agents of each data centre by theirs.
// The result is shared and must not be modified.
func (b *Base) PreferredOwners(shard int) []fleet.ProcessIncarnation {
	now := time.Now()
	b.mu.RLock()
	p, ok := b.ownerRankings[shard]
	b.mu.RUnlock()
	if ok && now.Sub(p.computedAt) < ownerRankingTTL {
		return p.owners
	}
	p = ownerRanking{computedAt: now, owners: b.rankOwners(shard)}
	b.mu.Lock()
	b.ownerRankings[shard] = p
	b.mu.Unlock()
	return p.owners
}

func (b *Base) rankOwners(shard int) []fleet.ProcessIncarnation {
	var out []fleet.ProcessIncarnation
	for _, d := range b.rankDataCentres(shard) {
		out = append(out, rankAgents(shard, d.agents)...)
	}
	return out
}

func (b *Base) rankDataCentres(shard int) []dataCentre {
	own := dataCentre{name: b.Self.Place.Region + "/" + b.Self.Place.DataCentre}
	if b.Self.Role == fleet.RoleAgent {
		own.agents = append(own.agents, b.Self.ProcessIncarnation)
	}
	for _, m := range b.Members() {
		if m.Role == fleet.RoleAgent {
			own.agents = append(own.agents, m.ProcessIncarnation)
		}
	}
	all := []dataCentre{own}
	for _, r := range b.Remotes() {
		d := dataCentre{name: r.Summary.Region + "/" + r.Summary.DataCentre}
		for _, c := range r.Summary.Contacts {
			if c.Role == fleet.RoleAgent {
				d.agents = append(d.agents, c.Identity)
			}
		}
		all = append(all, d)
	}
	for i := range all {
		all[i].weight = rendezvousWeight(shard, all[i].name)
	}
	slices.SortFunc(all, func(x, y dataCentre) int { return compareWeights(x.weight, y.weight, x.name, y.name) })
	return all
}

// rankAgents sorts the agents in place, the most preferred first.
func rankAgents(shard int, agents []fleet.ProcessIncarnation) []fleet.ProcessIncarnation {
	slices.SortFunc(agents, func(x, y fleet.ProcessIncarnation) int {
		return compareWeights(rendezvousWeight(shard, string(x.ID)), rendezvousWeight(shard, string(y.ID)), string(x.ID), string(y.ID))
	})
	return agents
}

// rendezvousWeight returns the rendezvous hash of a name for a shard (Thaler and Ravishankar, 1998).
func rendezvousWeight(shard int, name string) uint64 {
	return xxhash.Sum64String(name + "\x00shard\x00" + string(rune('0'+shard)))
}

// compareWeights orders the higher weight first and breaks ties by name.
func compareWeights(x, y uint64, a, b string) int {
	switch {
	case x > y:
		return -1
	case x < y:
		return 1
	default:
		return strings.Compare(a, b)
	}
}
