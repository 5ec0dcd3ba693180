package agent

import (
	"slices"
	"time"

	"github.com/sesamestream/sesamestream/pkg/decide/admit"
	"github.com/sesamestream/sesamestream/pkg/decide/member"
	"github.com/sesamestream/sesamestream/pkg/fleet"
)

// remoteAge is how long a data centre counts after its last summary.
const remoteAge = 5 * member.ExchangeInterval

// hosts are the live hosts by which the fleet's shares are placed.
func (a *Agent) hosts(now time.Time) []admit.Host {
	own := admit.Host{Connections: a.targets.Connections(now), Kinds: a.targets.Kinds(now)}
	return hostsOf(now, own, a.Base.Members(), a.Base.Remotes())
}

// hostsOf returns the hosts of the own data centre one by one and the others by
// their summaries, but for those that were not heard of lately: a data centre
// that is lost or cut off takes no part of a share.
func hostsOf(now time.Time, own admit.Host, members []member.Info, remotes []member.RemoteDataCentre) []admit.Host {
	out := []admit.Host{own}
	for _, m := range members {
		out = append(out, hostOf(m.Offers))
	}
	for _, r := range fresh(now, remotes) {
		for _, k := range r.Summary.Kinds {
			out = append(out, admit.Host{Connections: int(k.Capacity), Kinds: []fleet.Kind{k.Kind}})
		}
	}
	return out
}

// fresh returns the data centres that were heard of lately.
func fresh(now time.Time, remotes []member.RemoteDataCentre) []member.RemoteDataCentre {
	return slices.DeleteFunc(slices.Clone(remotes), func(r member.RemoteDataCentre) bool { return now.Sub(r.ReceivedAt) > remoteAge })
}

func hostOf(offers []member.Offer) admit.Host {
	var h admit.Host
	for _, o := range offers {
		h.Connections = max(h.Connections, int(o.Limit))
		h.Kinds = append(h.Kinds, o.Kind)
	}
	return h
}
