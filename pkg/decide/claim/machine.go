package claim

import (
	"cmp"
	"time"

	"github.com/sesamestream/sesamestream/pkg/decide"
	"github.com/sesamestream/sesamestream/pkg/fleet"
)

// The limits of a Machine. The defaults apply where its fields are zero.
const (
	defaultRetention = 24 * time.Hour
	defaultMaxKeys   = 1_000_000
	// maxCommitWait is the maximum time a claim waits for its commit. It is far below any retention.
	maxCommitWait = 30 * time.Second
	// expiryBucketSpan is the time span of one bucket of keys that expire together.
	expiryBucketSpan = 30 * time.Minute
)

// A keyState holds the latest grant of one key and its outcome.
type keyState struct {
	grant        uint64
	outcome      fleet.Outcome
	expiryBucket time.Duration
}

// A pendingReply is a reply that is sent once its commit is in the journal.
type pendingReply struct {
	token Token
	reply Reply
	since time.Time
}

// A Machine holds the claims of one shard. Set its exported fields before the
// first call. A new owner replays the journal with Apply.
type Machine struct {
	// Retention is how long a key is kept after its last change; zero stands for 24 hours.
	Retention time.Duration
	// MaxKeys is the maximum number of keys held; zero stands for one million.
	MaxKeys int

	keys           map[Digest]keyState
	buckets        map[time.Duration][]Digest
	oldestBucket   time.Duration
	lastTime       time.Duration
	pendingReplies []pendingReply
	lastToken      Token
	committedToken Token
	ownershipLost  bool
}

var _ decide.Machine[Event, Action] = (*Machine)(nil)

// Step applies e at the time now, appends the resulting actions to out and returns it.
func (m *Machine) Step(now time.Time, e Event, out []Action) []Action {
	if len(m.pendingReplies) > 0 && now.Sub(m.pendingReplies[0].since) > maxCommitWait {
		out = m.failPendingReplies(now, out)
	}
	m.expireKeys(time.Duration(now.UnixNano()))
	switch e := e.(type) {
	case Claim:
		return m.claim(now, e, out)
	case Report:
		return m.report(now, e, out)
	case Committed:
		m.committedToken = max(m.committedToken, min(e.Token, m.lastToken))
		return m.sendCommittedReplies(out)
	case StoreUnavailable:
		return m.failPendingReplies(now, out)
	case OwnershipLost:
		m.ownershipLost = true
		return m.failPendingReplies(now, out)
	}
	return out
}

// Apply applies a record to the claims. Both replay and new commits use it.
func (m *Machine) Apply(r Record) {
	if m.keys == nil {
		m.keys = map[Digest]keyState{}
		m.buckets = map[time.Duration][]Digest{}
	}
	m.expireKeys(r.At)
	e := m.keys[r.Key]
	switch {
	case r.Op == OpGrant && r.Grant == e.grant+1:
		e.outcome = fleet.Unknown
	case r.Op == OpAnswered && r.Grant == e.grant && e.outcome == fleet.Unknown:
		e.outcome = fleet.Answered
	case r.Op == OpRelease && r.Grant == e.grant && e.outcome == fleet.Unknown:
		e.outcome = fleet.NotRun
	default:
		return
	}
	e.grant = r.Grant
	b := r.At.Truncate(expiryBucketSpan)
	if e.expiryBucket != b {
		m.buckets[b] = append(m.buckets[b], r.Key)
		e.expiryBucket = b
	}
	if m.oldestBucket == 0 || b < m.oldestBucket {
		m.oldestBucket = b
	}
	m.keys[r.Key] = e
}

func (m *Machine) claim(now time.Time, c Claim, out []Action) []Action {
	p := Reply{Request: c.Request, Key: c.Key}
	e, known := m.keys[c.Key]
	switch {
	case m.ownershipLost:
		p.Err = ErrNotCommitted
		return append(out, p)
	case known && e.outcome != fleet.NotRun:
		p.Grant = e.grant
		p.Outcome = e.outcome
		p.Err = ErrAlreadyGranted
		return m.replyAfterCommit(now, p, out)
	case !known && len(m.keys) >= cmp.Or(m.MaxKeys, defaultMaxKeys):
		p.Err = ErrFull
		return append(out, p)
	}
	p.Grant = e.grant + 1
	out = m.commit(now, Record{Op: OpGrant, Key: c.Key, Grant: p.Grant}, out)
	return m.replyAfterCommit(now, p, out)
}

func (m *Machine) report(now time.Time, r Report, out []Action) []Action {
	e, known := m.keys[r.Key]
	if m.ownershipLost || !known || e.grant != r.Grant || e.outcome != fleet.Unknown {
		return out
	}
	switch r.Outcome {
	case fleet.Answered:
		return m.commit(now, Record{Op: OpAnswered, Key: r.Key, Grant: r.Grant}, out)
	case fleet.NotRun:
		return m.commit(now, Record{Op: OpRelease, Key: r.Key, Grant: r.Grant}, out)
	}
	return out
}

func (m *Machine) commit(now time.Time, r Record, out []Action) []Action {
	r.Version = Version
	r.At = max(m.lastTime, time.Duration(now.UnixNano()))
	m.Apply(r)
	m.lastToken++
	return append(out, Commit{Records: []Record{r}, Token: m.lastToken})
}

// replyAfterCommit sends the reply p once all records up to now are committed.
func (m *Machine) replyAfterCommit(now time.Time, p Reply, out []Action) []Action {
	m.pendingReplies = append(m.pendingReplies, pendingReply{token: m.lastToken, reply: p, since: now})
	return m.sendCommittedReplies(out)
}

// sendCommittedReplies sends the pending replies whose records are committed.
func (m *Machine) sendCommittedReplies(out []Action) []Action {
	n := 0
	for n < len(m.pendingReplies) && m.pendingReplies[n].token <= m.committedToken {
		out = append(out, m.pendingReplies[n].reply)
		n++
	}
	m.pendingReplies = m.pendingReplies[n:]
	return out
}

// failPendingReplies answers all pending claims with ErrNotCommitted. A grant
// that was not yet sent is released, so that its key may be claimed again.
func (m *Machine) failPendingReplies(now time.Time, out []Action) []Action {
	failed := m.pendingReplies
	m.pendingReplies = nil
	for _, w := range failed {
		if w.reply.Err == nil && !m.ownershipLost {
			out = m.commit(now, Record{Op: OpRelease, Key: w.reply.Key, Grant: w.reply.Grant}, out)
		}
		w.reply.Err = ErrNotCommitted
		out = append(out, w.reply)
	}
	return out
}

// expireKeys removes the keys in buckets that are older than the retention.
func (m *Machine) expireKeys(at time.Duration) {
	m.lastTime = max(m.lastTime, at)
	at = m.lastTime
	for len(m.buckets) > 0 && m.oldestBucket+expiryBucketSpan+cmp.Or(m.Retention, defaultRetention) < at {
		for _, k := range m.buckets[m.oldestBucket] {
			if m.keys[k].expiryBucket == m.oldestBucket {
				delete(m.keys, k)
			}
		}
		delete(m.buckets, m.oldestBucket)
		m.oldestBucket += expiryBucketSpan
	}
}

// Len returns the number of keys held.
func (m *Machine) Len() int { return len(m.keys) }
