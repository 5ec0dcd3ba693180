package ownership

import "time"

// A move is what to do about a shard.
type move int

const (
	rest move = iota
	look
	cede
)

// A turn decides when one process acts on one shard.
//
// The process of rank r looks every period·2^r, so that all processes together
// look fewer than twice a period, however many they are.
type turn struct {
	owned bool
	// free is whether the shard had no owner at the last look.
	free bool
	// looked is when the store was last asked.
	looked time.Time
	// second is since when an owner is not the first preferred, zero if it is.
	second time.Time
}

// next returns what a process of the rank does at now.
func (t *turn) next(now time.Time, rank int, period, rebalance time.Duration) move {
	if t.owned {
		return t.keep(now, rank, rebalance)
	}
	if rank < 0 || rank >= MaxCandidates || now.Sub(t.looked) < period<<rank {
		return rest
	}
	t.looked = now
	return look
}

// keep returns whether an owner cedes to one that is preferred for long enough.
func (t *turn) keep(now time.Time, rank int, rebalance time.Duration) move {
	if rank == 0 {
		t.second = time.Time{}
		return rest
	}
	if t.second.IsZero() {
		t.second = now
	}
	if now.Sub(t.second) < rebalance {
		return rest
	}
	return cede
}

// may reports whether a process of the rank tries to acquire a shard it found free or not.
func (t *turn) may(free bool, rank int) bool {
	before := t.free
	t.free = free
	return free && (rank == 0 || before)
}

// gain marks the shard as owned.
func (t *turn) gain() {
	*t = turn{owned: true}
}

// lose marks the shard as not owned since now, after which a full period passes before a look.
func (t *turn) lose(now time.Time) {
	*t = turn{looked: now}
}
