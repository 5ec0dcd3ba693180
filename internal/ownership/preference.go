package ownership

import (
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/sesamestream/sesamestream/pkg/fleet"
)

// MaxCandidates is how many processes are ranked for a shard. All others never
// call the store for it.
const MaxCandidates = 12

// RankCandidates returns the candidates for the ownership of each shard, the most
// preferred first, by rendezvous hashing of the process IDs. The first candidate is the
// first process in that order that is the first candidate of fewer shards than an even share.
func RankCandidates(processes []fleet.ProcessIncarnation, shards int) [][]fleet.ProcessIncarnation {
	if len(processes) == 0 {
		return make([][]fleet.ProcessIncarnation, shards)
	}
	share := (shards + len(processes) - 1) / len(processes)
	firstCount := map[fleet.ID]int{}
	out := make([][]fleet.ProcessIncarnation, shards)
	for s := range shards {
		ranked := rankByHash(processes, s)
		i := slices.IndexFunc(ranked, func(l fleet.ProcessIncarnation) bool { return firstCount[l.ID] < share })
		first := ranked[i]
		firstCount[first.ID]++
		ranked = slices.Insert(slices.Delete(ranked, i, i+1), 0, first)
		out[s] = slices.Clone(ranked[:min(len(ranked), MaxCandidates)])
	}
	return out
}

// rankByHash returns the processes in the order of their hashes with the shard.
func rankByHash(processes []fleet.ProcessIncarnation, shard int) []fleet.ProcessIncarnation {
	type scored struct {
		fleet.ProcessIncarnation
		score uint64
	}
	n := strconv.Itoa(shard)
	scores := make([]scored, len(processes))
	for i, l := range processes {
		scores[i] = scored{l, xxhash.Sum64String(n + "/" + string(l.ID))}
	}
	slices.SortFunc(scores, func(a, b scored) int {
		if a.score != b.score {
			return compare(a.score, b.score)
		}
		return compare(a.ID, b.ID)
	})
	ranked := make([]fleet.ProcessIncarnation, len(scores))
	for i, s := range scores {
		ranked[i] = s.ProcessIncarnation
	}
	return ranked
}

// compare returns -1 if a is less than b, and otherwise 1.
func compare[T uint64 | fleet.ID](a, b T) int {
	if a < b {
		return -1
	}
	return 1
}
