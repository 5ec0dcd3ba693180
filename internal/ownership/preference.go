package ownership

import (
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/sesamestream/sesamestream/pkg/fleet"
)

// MaxCandidates is how many lives are ranked for a shard. Those behind never call the store for it.
const MaxCandidates = 12

// RankCandidates ranks lives as owners of each shard, the best first, by rendezvous hashing of their IDs.
// The first of a shard is moved down where it leads as many shards as an even share allows.
func RankCandidates(lives []fleet.ProcessIncarnation, shards int) [][]fleet.ProcessIncarnation {
	if len(lives) == 0 {
		return make([][]fleet.ProcessIncarnation, shards)
	}
	share := (shards + len(lives) - 1) / len(lives)
	led := map[fleet.ID]int{}
	out := make([][]fleet.ProcessIncarnation, shards)
	for s := range shards {
		ls := ranked(lives, s)
		i := slices.IndexFunc(ls, func(l fleet.ProcessIncarnation) bool { return led[l.ID] < share })
		first := ls[i]
		led[first.ID]++
		ls = slices.Insert(slices.Delete(ls, i, i+1), 0, first)
		out[s] = slices.Clone(ls[:min(len(ls), MaxCandidates)])
	}
	return out
}

// ranked returns lives by their hash with the shard.
func ranked(lives []fleet.ProcessIncarnation, shard int) []fleet.ProcessIncarnation {
	type scored struct {
		fleet.ProcessIncarnation
		score uint64
	}
	n := strconv.Itoa(shard)
	ss := make([]scored, len(lives))
	for i, l := range lives {
		ss[i] = scored{l, xxhash.Sum64String(n + "/" + string(l.ID))}
	}
	slices.SortFunc(ss, func(a, b scored) int {
		if a.score != b.score {
			return compare(a.score, b.score)
		}
		return compare(a.ID, b.ID)
	})
	ls := make([]fleet.ProcessIncarnation, len(ss))
	for i, s := range ss {
		ls[i] = s.ProcessIncarnation
	}
	return ls
}

// compare orders a and b.
func compare[T uint64 | fleet.ID](a, b T) int {
	if a < b {
		return -1
	}
	return 1
}
