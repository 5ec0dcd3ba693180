package admit

import "github.com/sesamestream/sesamestream/pkg/fleet"

// A Host describes a live host for the calculation of share factors.
type Host struct {
	Connections int
	Kinds       []fleet.Kind
}

// ShareFactors appends the factor of each kind that a host serves: the connections of all
// hosts divided by the connections of the hosts that serve the kind. With these factors the
// local shares of a kind add up to its share of the given hosts, so the floors and ceilings
// of the table hold over any set of hosts that can reach each other.
func ShareFactors(hosts []Host, out []ShareFactor) []ShareFactor {
	total := 0
	serving := make(map[fleet.Kind]int)
	order := make([]fleet.Kind, 0)
	for _, h := range hosts {
		total += h.Connections
		for _, k := range h.Kinds {
			if _, seen := serving[k]; !seen {
				order = append(order, k)
			}
			serving[k] += h.Connections
		}
	}
	for _, k := range order {
		if serving[k] > 0 {
			out = append(out, ShareFactor{Kind: k, Factor: float64(total) / float64(serving[k])})
		}
	}
	return out
}
