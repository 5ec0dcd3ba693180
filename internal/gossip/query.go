package gossip

import (
	"slices"

	"github.com/sesamestream/sesamestream/pkg/decide/member"
	"github.com/sesamestream/sesamestream/pkg/decide/tablesync"
	"github.com/sesamestream/sesamestream/pkg/fleet"
)

// watcherKey is the rendezvous hashing key by which the store watchers are chosen.
const watcherKey = "watch"

var emptyView view

// currentView returns the newest view, or an empty one before the first.
func (g *Gossip) currentView() *view {
	if v := g.view.Load(); v != nil {
		return v
	}
	return &emptyView
}

// Members returns the live members of the data centre without this process. The slices that
// queries return are shared and must not be modified.
func (g *Gossip) Members() []member.Info {
	return g.currentView().members
}

// Agents returns the agents known to serve k: all those of this data centre, ordered by ID,
// then the sampled ones of other data centres, ordered by place and without their racks.
func (g *Gossip) Agents(k fleet.Kind) []Agent {
	return g.currentView().agents[k]
}

// KnownMembers returns this process, the live members of its data centre and the sampled
// members of other data centres.
func (g *Gossip) KnownMembers() []fleet.Member {
	return g.currentView().known
}

// Remotes returns what is known about the other data centres.
func (g *Gossip) Remotes() []member.RemoteDataCentre {
	return g.currentView().remotes
}

// PreferredOwners returns the IDs of up to n known agents that should own shard, in order of
// preference.
func (g *Gossip) PreferredOwners(shard, n int) []fleet.ID {
	return member.PreferredOwners(shard, g.KnownMembers(), n)
}

// IsStoreWatcher reports whether this process is one of the few of its data centre that watch
// the store.
func (g *Gossip) IsStoreWatcher() bool {
	ms := []fleet.Member{g.Self}
	for _, i := range g.Members() {
		ms = append(ms, i.Member)
	}
	return slices.Contains(member.Rendezvous(watcherKey, ms, tablesync.WatchersPerDataCentre), g.Self.ID)
}
