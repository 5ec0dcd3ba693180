package admit

import "github.com/sesamestream/sesamestream/pkg/fleet"

// A Host is what the placing of shares needs to know of one live host.
type Host struct {
	Connections int
	Kinds       []fleet.Kind
}

// ShareFactors appends the factor of each kind that some host serves: the connections
// of all hosts over those of the hosts that serve the kind. With it the local
// shares of a kind add up to its share of the hosts given, so the table holds
// over any set of hosts that see each other.
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
