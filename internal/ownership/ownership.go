// Package ownership distributes the shards over the processes of the fleet: each
// shard has one owner, which holds a lease on the shard's key in the store.
//
// The lease only keeps other processes from trying to acquire the shard. The
// journal ensures that two owners never both write.
package ownership

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/sesamestream/sesamestream/internal/steady"
	"github.com/sesamestream/sesamestream/internal/store"
	"github.com/sesamestream/sesamestream/pkg/fleet"
)

const (
	// DefaultPollInterval is how often the first candidate polls the owner of a shard.
	DefaultPollInterval = 2 * time.Second
	// DefaultRebalanceDelay is how long another process is the first candidate
	// before the owner releases the shard to it.
	DefaultRebalanceDelay = time.Minute
	// checksPerPoll is how often each shard is checked per poll interval. A check
	// by itself makes no call to the store.
	checksPerPoll = 4
)

// A Manager acquires the shards for which this process is preferred. Set its
// exported fields before Run.
type Manager struct {
	Store   store.Store
	Process fleet.ProcessIncarnation
	Address netip.AddrPort
	Shards  int
	// Lease is the lease on all owned shards. Run sets its Needed and OnChange and runs it.
	Lease *store.Lease
	// Candidates returns the processes that may own the shard, the most preferred
	// first, as ranked by RankCandidates.
	Candidates func(shard int) []fleet.ProcessIncarnation
	// HasEnded reports whether a process is known to have ended, so that its
	// lease may be revoked. It may be nil.
	HasEnded func(fleet.ProcessIncarnation) bool
	// OnGain is called when this process becomes the owner, and must not block.
	OnGain func(shard int)
	// OnLoss is called before the shard is released, or once its lease is lost, and must not block.
	OnLoss func(shard int)
	// MayRelease reports whether the shard may be released to a preferred process.
	// An owner that still waits for its predecessors keeps the shard, as the next
	// owner would have to start that wait again. Nil means always; it must not block.
	MayRelease func(shard int) bool
	// PollInterval is the poll interval of the first candidate; 0 means DefaultPollInterval.
	PollInterval time.Duration
	// RebalanceDelay is the delay before a release to a preferred process; 0 means
	// DefaultRebalanceDelay.
	RebalanceDelay time.Duration

	mu         sync.Mutex
	states     []shardState
	leaseID    store.LeaseID
	ownerValue []byte
}

// Run acquires and releases shards until ctx ends, and then releases all of them.
func (m *Manager) Run(ctx context.Context) error {
	if err := m.prepare(); err != nil {
		return err
	}
	c, cancel := context.WithCancel(context.WithoutCancel(ctx))
	ended := make(chan error, 1)
	go func() { ended <- m.Lease.Run(c) }()
	for {
		for s := range m.Shards {
			m.checkShard(ctx, s)
		}
		d := m.PollInterval / checksPerPoll
		if !steady.Sleep(ctx, d/2+rand.N(d)) { //nolint:gosec // Jitter needs no secret.
			break
		}
	}
	for s := range m.Shards {
		m.release(c, s)
	}
	cancel()
	return <-ended
}

// prepare sets the defaults and the unexported fields.
func (m *Manager) prepare() error {
	v, err := cbor.Marshal(Owner{Process: m.Process, Address: m.Address})
	if err != nil {
		return errors.Wrap(err, "ownership: encode owner")
	}
	if m.PollInterval == 0 {
		m.PollInterval = DefaultPollInterval
	}
	if m.RebalanceDelay == 0 {
		m.RebalanceDelay = DefaultRebalanceDelay
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.ownerValue = v
	m.states = make([]shardState, m.Shards)
	m.Lease.Needed = m.ownsAny
	m.Lease.OnChange = m.leaseChanged
	return nil
}

// ownsAny reports whether this process owns any shard.
func (m *Manager) ownsAny() bool {
	return len(m.Owned()) > 0
}

// leaseChanged marks all shards as lost if the lease is no longer the one with
// which they were acquired.
func (m *Manager) leaseChanged() {
	id := m.Lease.ID()
	m.mu.Lock()
	if id == m.leaseID {
		m.mu.Unlock()
		return
	}
	m.leaseID = id
	var lost []int
	for s := range m.states {
		if m.states[s].owned {
			m.states[s].markNotOwned(time.Now())
			lost = append(lost, s)
		}
	}
	m.mu.Unlock()
	for _, s := range lost {
		m.OnLoss(s)
	}
}

// checkShard polls or releases a shard if that is due.
func (m *Manager) checkShard(ctx context.Context, shard int) {
	rank := slices.Index(m.Candidates(shard), m.Process)
	m.mu.Lock()
	v := m.states[shard].nextAction(time.Now(), rank, m.PollInterval, m.RebalanceDelay)
	m.mu.Unlock()
	switch v {
	case actionPoll:
		m.pollOwner(ctx, shard, rank)
	case actionRelease:
		if m.MayRelease == nil || m.MayRelease(shard) {
			m.release(ctx, shard)
		}
	}
}

// pollOwner reads the owner of a shard, and tries to acquire the shard if it has
// none. The first candidate also revokes the lease of an owner that has ended.
func (m *Manager) pollOwner(ctx context.Context, shard, rank int) {
	p, err := m.Store.Get(ctx, ownerKey(shard))
	if err != nil && !errors.Is(err, store.ErrNotFound) {
		return
	}
	free := p.Lease == "" || p.Lease == m.Lease.ID()
	if !free && rank == 0 && m.ownerEnded(p.Value) {
		free = m.Store.Revoke(ctx, p.Lease) == nil
	}
	m.mu.Lock()
	acquire := m.states[shard].mayAcquire(free, rank)
	m.mu.Unlock()
	if acquire {
		m.acquire(ctx, shard)
	}
}

// ownerEnded reports whether the owner encoded in value is known to have ended.
func (m *Manager) ownerEnded(value []byte) bool {
	o, err := decodeOwner(value)
	return err == nil && m.HasEnded != nil && m.HasEnded(o.Process)
}

// acquire tries to acquire a shard. If the answer is lost, the next poll finds
// the shard held by the lease of this process and tries again.
func (m *Manager) acquire(ctx context.Context, shard int) {
	if !m.Lease.Held(time.Now()) && m.Lease.Refresh(ctx) != nil {
		return
	}
	id := m.Lease.ID()
	ok, err := m.Store.Acquire(ctx, ownerKey(shard), m.ownerValue, id)
	if err != nil || !ok {
		return
	}
	m.mu.Lock()
	gained := m.leaseID == id && !m.states[shard].owned
	if gained {
		m.states[shard].markOwned()
	}
	m.mu.Unlock()
	if gained {
		m.OnGain(shard)
	}
}

// release releases a shard after OnLoss has returned.
func (m *Manager) release(ctx context.Context, shard int) {
	m.mu.Lock()
	owned, id := m.states[shard].owned, m.leaseID
	m.states[shard].markNotOwned(time.Now())
	m.mu.Unlock()
	if !owned {
		return
	}
	m.OnLoss(shard)
	_, _ = m.Store.Release(ctx, ownerKey(shard), m.ownerValue, id)
}

// Owned returns the shards that this process believes it owns.
func (m *Manager) Owned() []int {
	m.mu.Lock()
	defer m.mu.Unlock()
	var owned []int
	for s, t := range m.states {
		if t.owned {
			owned = append(owned, s)
		}
	}
	return owned
}

// HoldsLease reports whether this process owns the shard and its lease is held at now.
func (m *Manager) HoldsLease(shard int, now time.Time) bool {
	return slices.Contains(m.Owned(), shard) && m.Lease.Held(now)
}
