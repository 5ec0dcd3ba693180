package succession

import (
	"iter"
	"maps"
	"time"
)

// Members are the other processes that a leader has answered in its term, connected or not. The zero value has none.
type Members struct {
	members map[processID]Member
}

type processID struct {
	node        string
	incarnation int64
}

// A Member is what the leader knows of another process that it has answered in its term.
type Member struct {
	// LastAnswered is when the leader last answered the process.
	LastAnswered time.Time
	// LastEchoed is when the leader sent the latest answer that the process has echoed; zero if none.
	// The process didn't lead before it received that answer.
	LastEchoed time.Time
}

// Joined records that a process has connected, given the time of the store's last answer to the leader. Earlier
// incarnations on its node have ended. They are forgotten only if none of them can have led before: a term of theirs
// may have been followed by another one.
func (m *Members) Joined(now, lastAnswer time.Time, node string, incarnation int64) {
	if !LeaseValid(now, lastAnswer) {
		return
	}
	maps.DeleteFunc(m.members, func(p processID, _ Member) bool { return p.node == node && p.incarnation != incarnation })
}

// Answered records that the leader answers a process.
func (m *Members) Answered(now time.Time, node string, incarnation int64) {
	if m.members == nil {
		m.members = map[processID]Member{}
	}
	p := processID{node, incarnation}
	x := m.members[p]
	x.LastAnswered = now
	m.members[p] = x
}

// Echoed records that a process echoes the answer that was sent at the given time.
func (m *Members) Echoed(sent time.Time, node string, incarnation int64) {
	p := processID{node, incarnation}
	if x, ok := m.members[p]; ok && sent.After(x.LastEchoed) {
		x.LastEchoed = sent
		m.members[p] = x
	}
}

// Expire forgets the processes that are no members any more, given the time of the store's last answer to the leader.
func (m *Members) Expire(lastAnswer time.Time) {
	maps.DeleteFunc(m.members, func(_ processID, x Member) bool { return x.expired(lastAnswer) })
}

// All returns all members.
func (m *Members) All() iter.Seq[Member] { return maps.Values(m.members) }

// expired reports whether the process was no member any more when a term after the leader's could
// first begin.
func (m Member) expired(lastAnswer time.Time) bool {
	return m.LastAnswered.Add(membershipTTL).Before(lastAnswer.Add(LeaderLeaseTTL))
}
