package agent

import (
	"slices"
	"time"

	"github.com/sesamestream/sesamestream/pkg/decide/admit"
	"github.com/sesamestream/sesamestream/pkg/decide/member"
	"github.com/sesamestream/sesamestream/pkg/fleet"
)

// maxRemoteAge is how long a data centre is taken into account after its last summary.
const maxRemoteAge = 5 * member.ExchangeInterval

// liveHosts returns the live hosts from which the share factors are calculated.
func (a *Agent) liveHosts(now time.Time) []admit.Host {
	own := admit.Host{Connections: a.targets.Connections(now), Kinds: a.targets.Kinds(now)}
	return mergeHosts(now, own, a.Base.Members(), a.Base.Remotes())
}

// mergeHosts returns each host of the local data centre and, for each other data centre, one host per
// kind in its summary. It omits data centres without a recent summary, so that one that is lost or
// cut off is given no part of a share.
func mergeHosts(now time.Time, own admit.Host, members []member.Info, remotes []member.RemoteDataCentre) []admit.Host {
	out := []admit.Host{own}
	for _, m := range members {
		out = append(out, hostFromOffers(m.Offers))
	}
	for _, r := range freshRemotes(now, remotes) {
		for _, k := range r.Summary.Kinds {
			out = append(out, admit.Host{Connections: int(k.Capacity), Kinds: []fleet.Kind{k.Kind}})
		}
	}
	return out
}

// freshRemotes returns the data centres with a recent summary.
func freshRemotes(now time.Time, remotes []member.RemoteDataCentre) []member.RemoteDataCentre {
	return slices.DeleteFunc(slices.Clone(remotes), func(r member.RemoteDataCentre) bool { return now.Sub(r.ReceivedAt) > maxRemoteAge })
}

// hostFromOffers returns the host that offers describe.
func hostFromOffers(offers []member.Offer) admit.Host {
	var h admit.Host
	for _, o := range offers {
		h.Connections = max(h.Connections, int(o.Limit))
		h.Kinds = append(h.Kinds, o.Kind)
	}
	return h
}
