package ownership

import "time"

// An action is what a process does about a shard after a check.
type action int

const (
	actionNone action = iota
	actionPoll
	actionRelease
)

// A shardState decides when one process polls, acquires or releases one shard.
//
// The process of rank r polls every interval·2^r, so that all processes together
// poll fewer than twice per interval, however many they are.
type shardState struct {
	owned bool
	// wasFree is set if the shard had no owner at the last poll.
	wasFree bool
	// lastPoll is when the process last polled the store, or ceased to own the shard.
	lastPoll time.Time
	// notPreferredSince is since when the owner has not been the first candidate, or zero if it is.
	notPreferredSince time.Time
}

// nextAction returns the action at now of a process with the given rank, which is
// negative if the process is not a candidate.
func (t *shardState) nextAction(now time.Time, rank int, pollInterval, rebalanceDelay time.Duration) action {
	if t.owned {
		return t.ownerAction(now, rank, rebalanceDelay)
	}
	if rank < 0 || rank >= MaxCandidates || now.Sub(t.lastPoll) < pollInterval<<rank {
		return actionNone
	}
	t.lastPoll = now
	return actionPoll
}

// ownerAction returns actionRelease if the owner has not been the first candidate
// for the rebalance delay.
func (t *shardState) ownerAction(now time.Time, rank int, rebalanceDelay time.Duration) action {
	if rank == 0 {
		t.notPreferredSince = time.Time{}
		return actionNone
	}
	if t.notPreferredSince.IsZero() {
		t.notPreferredSince = now
	}
	if now.Sub(t.notPreferredSince) < rebalanceDelay {
		return actionNone
	}
	return actionRelease
}

// mayAcquire records the result of a poll and reports whether a process of the
// given rank tries to acquire the shard. The first candidate does so if the shard
// is free, all others only if it was free at their previous poll too.
func (t *shardState) mayAcquire(free bool, rank int) bool {
	wasFree := t.wasFree
	t.wasFree = free
	return free && (rank == 0 || wasFree)
}

func (t *shardState) markOwned() {
	*t = shardState{owned: true}
}

// markNotOwned marks the shard as not owned. The next poll is a full interval after now.
func (t *shardState) markNotOwned(now time.Time) {
	*t = shardState{lastPoll: now}
}
