package gossip

import (
	"slices"

	"github.com/sesamestream/sesamestream/pkg/decide/member"
	"github.com/sesamestream/sesamestream/pkg/decide/tablesync"
	"github.com/sesamestream/sesamestream/pkg/fleet"
)

const watchKey = "watch"

var empty view

func (g *Gossip) current() *view {
	if v := g.view.Load(); v != nil {
		return v
	}
	return &empty
}

// Members returns the live members of the data centre besides this process.
// The slices that queries return are shared and not to be changed.
func (g *Gossip) Members() []member.Info {
	return g.current().members
}

// Agents returns the agents known to serve k: all of this data centre, in order of ID,
// then the sampled ones of others, in order of place, without their racks.
func (g *Gossip) Agents(k fleet.Kind) []Agent {
	return g.current().agents[k]
}

// KnownMembers returns this process, the live members of its data centre and the sampled ones of others.
func (g *Gossip) KnownMembers() []fleet.Member {
	return g.current().known
}

// Remotes returns what is known of the other data centres.
func (g *Gossip) Remotes() []member.Remote {
	return g.current().remotes
}

// PreferredOwners returns the IDs of up to n known agents that should own shard, the first choice first.
func (g *Gossip) PreferredOwners(shard, n int) []fleet.ID {
	return member.Preferred(shard, g.KnownMembers(), n)
}

// IsStoreWatcher reports whether this process is one of those of its data centre that watch the store.
func (g *Gossip) IsStoreWatcher() bool {
	ms := []fleet.Member{g.Self}
	for _, i := range g.Members() {
		ms = append(ms, i.Member)
	}
	return slices.Contains(member.Rendezvous(watchKey, ms, tablesync.WatchersPerDataCentre), g.Self.ID)
}
