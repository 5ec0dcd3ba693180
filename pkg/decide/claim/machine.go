package claim

import (
	"cmp"
	"time"

	"github.com/sesamestream/sesamestream/pkg/decide"
	"github.com/sesamestream/sesamestream/pkg/fleet"
)

// The limits of a Machine where its fields are zero.
const (
	defaultRetain = 24 * time.Hour
	defaultLimit  = 1_000_000
	// maxWait is how long a claim waits for its commit; it is far below any retention.
	maxWait = 30 * time.Second
	// bucketSpan is how much time one bucket of keys spans.
	bucketSpan = 30 * time.Minute
)

// An entry is what is known of one key.
type entry struct {
	grant   uint64
	outcome fleet.Outcome
	bucket  time.Duration
}

// A waiter is a reply that waits for its commit.
type waiter struct {
	token Token
	reply Reply
	since time.Time
}

// A Machine holds the claims of one shard. Set its exported fields before the
// first call; a new owner replays the journal by Apply.
type Machine struct {
	// Retention is how long a key is kept after its last change.
	Retention time.Duration
	// MaxKeys bounds the keys held.
	MaxKeys int

	keys    map[Digest]entry
	buckets map[time.Duration][]Digest
	oldest  time.Duration
	last    time.Duration
	waiters []waiter
	token   Token
	done    Token
	lost    bool
}

var _ decide.Machine[Event, Action] = (*Machine)(nil)

// Step applies e at now, appends the actions that follow to out and returns it.
func (m *Machine) Step(now time.Time, e Event, out []Action) []Action {
	if len(m.waiters) > 0 && now.Sub(m.waiters[0].since) > maxWait {
		out = m.fail(now, out)
	}
	m.expire(time.Duration(now.UnixNano()))
	switch e := e.(type) {
	case Claim:
		return m.claim(now, e, out)
	case Report:
		return m.report(now, e, out)
	case Committed:
		m.done = max(m.done, min(e.Token, m.token))
		return m.release(out)
	case StoreUnavailable:
		return m.fail(now, out)
	case OwnershipLost:
		m.lost = true
		return m.fail(now, out)
	}
	return out
}

// Apply changes the claims by a record; replay and the live path share it.
func (m *Machine) Apply(r Record) {
	if m.keys == nil {
		m.keys = map[Digest]entry{}
		m.buckets = map[time.Duration][]Digest{}
	}
	m.expire(r.At)
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
	b := r.At.Truncate(bucketSpan)
	if e.bucket != b {
		m.buckets[b] = append(m.buckets[b], r.Key)
		e.bucket = b
	}
	if m.oldest == 0 || b < m.oldest {
		m.oldest = b
	}
	m.keys[r.Key] = e
}

func (m *Machine) claim(now time.Time, c Claim, out []Action) []Action {
	p := Reply{Request: c.Request, Key: c.Key}
	e, known := m.keys[c.Key]
	switch {
	case m.lost:
		p.Err = ErrNotCommitted
		return append(out, p)
	case known && e.outcome != fleet.NotRun:
		p.Grant = e.grant
		p.Outcome = e.outcome
		p.Err = ErrAlreadyGranted
		return m.wait(now, p, out)
	case !known && len(m.keys) >= cmp.Or(m.MaxKeys, defaultLimit):
		p.Err = ErrFull
		return append(out, p)
	}
	p.Grant = e.grant + 1
	out = m.commit(now, Record{Op: OpGrant, Key: c.Key, Grant: p.Grant}, out)
	return m.wait(now, p, out)
}

func (m *Machine) report(now time.Time, r Report, out []Action) []Action {
	e, known := m.keys[r.Key]
	if m.lost || !known || e.grant != r.Grant || e.outcome != fleet.Unknown {
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
	r.At = max(m.last, time.Duration(now.UnixNano()))
	m.Apply(r)
	m.token++
	return append(out, Commit{Records: []Record{r}, Token: m.token})
}

// wait replies once everything so far is committed.
func (m *Machine) wait(now time.Time, p Reply, out []Action) []Action {
	m.waiters = append(m.waiters, waiter{token: m.token, reply: p, since: now})
	return m.release(out)
}

func (m *Machine) release(out []Action) []Action {
	n := 0
	for n < len(m.waiters) && m.waiters[n].token <= m.done {
		out = append(out, m.waiters[n].reply)
		n++
	}
	m.waiters = m.waiters[n:]
	return out
}

// fail answers all that wait: none of them was granted. A grant that reached
// nobody is released, so that its key may be claimed again.
func (m *Machine) fail(now time.Time, out []Action) []Action {
	failed := m.waiters
	m.waiters = nil
	for _, w := range failed {
		if w.reply.Err == nil && !m.lost {
			out = m.commit(now, Record{Op: OpRelease, Key: w.reply.Key, Grant: w.reply.Grant}, out)
		}
		w.reply.Err = ErrNotCommitted
		out = append(out, w.reply)
	}
	return out
}

// expire drops the buckets that are older than the retention.
func (m *Machine) expire(at time.Duration) {
	m.last = max(m.last, at)
	at = m.last
	for len(m.buckets) > 0 && m.oldest+bucketSpan+cmp.Or(m.Retention, defaultRetain) < at {
		for _, k := range m.buckets[m.oldest] {
			if m.keys[k].bucket == m.oldest {
				delete(m.keys, k)
			}
		}
		delete(m.buckets, m.oldest)
		m.oldest += bucketSpan
	}
}

// Len returns how many keys are held.
func (m *Machine) Len() int { return len(m.keys) }
