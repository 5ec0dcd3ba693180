package member

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/sesamestream/sesamestream/pkg/fleet"
)

// PreferredOwners returns the IDs of up to n agents that should own shard, by rendezvous
// hashing (Thaler and Ravishankar, 1998), the most preferred first. It skips members that
// are not agents.
func PreferredOwners(shard int, members []fleet.Member, n int) []fleet.ID {
	agents := make([]fleet.Member, 0, len(members))
	for _, m := range members {
		if m.Role == fleet.RoleAgent {
			agents = append(agents, m)
		}
	}
	return Rendezvous("shard/"+strconv.Itoa(shard), agents, n)
}

// Rendezvous returns the IDs of up to n members, those with the highest hashes for key, the
// highest first.
func Rendezvous(key string, members []fleet.Member, n int) []fleet.ID {
	ids := make([]fleet.ID, 0, len(members))
	for _, m := range members {
		ids = append(ids, m.ID)
	}
	return rendezvousIDs(key, ids, n)
}

// A scoredID is an ID with its hash for a key.
type scoredID struct {
	id    fleet.ID
	score uint64
}

// rendezvousIDs returns up to n of ids, those with the highest hashes for key, the highest first.
func rendezvousIDs(key string, ids []fleet.ID, n int) []fleet.ID {
	ss := make([]scoredID, 0, len(ids))
	for _, id := range ids {
		ss = append(ss, scoredID{id, rendezvousScore(key, id)})
	}
	slices.SortFunc(ss, func(a, b scoredID) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.id, b.id))
	})
	out := make([]fleet.ID, 0, n)
	for _, s := range ss[:min(n, len(ss))] {
		out = append(out, s.id)
	}
	return out
}

func rendezvousScore(key string, id fleet.ID) uint64 {
	return xxhash.Sum64String(key + "\x00" + string(id))
}
