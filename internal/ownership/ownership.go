// Package ownership spreads the shards over the processes of the fleet: each
// shard has one owner, which holds a lease on the shard's key in the store.
//
// The lease only keeps the others from trying. That two owners never both
// write is the work of the journal.
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
	// DefaultPollInterval is how often the first preferred process looks after a shard.
	DefaultPollInterval = 2 * time.Second
	// DefaultRebalanceDelay is how long another process is preferred before an owner cedes to it.
	DefaultRebalanceDelay = time.Minute
	// ticks is how many times in a period each shard is considered, without a call.
	ticks = 4
)

// A Manager owns the shards this process is preferred for. Its fields are set before Run.
type Manager struct {
	Store   store.Store
	Process fleet.ProcessIncarnation
	Address netip.AddrPort
	Shards  int
	// Lease is run by Run, which sets its Wanted and OnChange.
	Lease *store.Lease
	// Candidates returns the lives that may own the shard, the best first, as Candidates ranks them.
	Candidates func(shard int) []fleet.ProcessIncarnation
	// HasEnded reports whether a life is known to have ended, so that its hold may be broken. It may be nil.
	HasEnded func(fleet.ProcessIncarnation) bool
	// OnGain is called when this process becomes the owner, and must not block.
	OnGain func(shard int)
	// OnLoss is called before the shard is given up, or once its lease is lost, and must not block.
	OnLoss func(shard int)
	// MayRelease reports whether an owner here may cede to one that is preferred: the next one
	// would wait anew for what this one still waits for. Nil is always; it must not block.
	MayRelease func(shard int) bool
	// PollInterval is DefaultPeriod where it is 0.
	PollInterval time.Duration
	// RebalanceDelay is DefaultRebalance where it is 0.
	RebalanceDelay time.Duration

	mu    sync.Mutex
	turns []turn
	lease store.LeaseID
	value []byte
}

// Run owns shards until ctx ends, and then gives all of them up.
func (m *Manager) Run(ctx context.Context) error {
	if err := m.start(); err != nil {
		return err
	}
	c, cancel := context.WithCancel(context.WithoutCancel(ctx))
	ended := make(chan error, 1)
	go func() { ended <- m.Lease.Run(c) }()
	for {
		for s := range m.Shards {
			m.act(ctx, s)
		}
		d := m.PollInterval / ticks
		if !steady.Sleep(ctx, d/2+rand.N(d)) { //nolint:gosec // Jitter needs no secret.
			break
		}
	}
	for s := range m.Shards {
		m.cede(c, s)
	}
	cancel()
	return <-ended
}

// start sets what is derived from the fields.
func (m *Manager) start() error {
	v, err := cbor.Marshal(Owner{Process: m.Process, Address: m.Address})
	if err != nil {
		return errors.Wrap(err, "ownership: value")
	}
	if m.PollInterval == 0 {
		m.PollInterval = DefaultPollInterval
	}
	if m.RebalanceDelay == 0 {
		m.RebalanceDelay = DefaultRebalanceDelay
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.value = v
	m.turns = make([]turn, m.Shards)
	m.Lease.Wanted = m.wanted
	m.Lease.OnChange = m.changed
	return nil
}

// wanted reports whether this process owns a shard.
func (m *Manager) wanted() bool {
	return len(m.Owned()) > 0
}

// changed gives up all shards when the lease is another than the one they are held by.
func (m *Manager) changed() {
	id := m.Lease.ID()
	m.mu.Lock()
	if id == m.lease {
		m.mu.Unlock()
		return
	}
	m.lease = id
	var lost []int
	for s := range m.turns {
		if m.turns[s].owned {
			m.turns[s].lose(time.Now())
			lost = append(lost, s)
		}
	}
	m.mu.Unlock()
	for _, s := range lost {
		m.OnLoss(s)
	}
}

// act does what is due for a shard.
func (m *Manager) act(ctx context.Context, shard int) {
	rank := slices.Index(m.Candidates(shard), m.Process)
	m.mu.Lock()
	v := m.turns[shard].next(time.Now(), rank, m.PollInterval, m.RebalanceDelay)
	m.mu.Unlock()
	switch v {
	case look:
		m.look(ctx, shard, rank)
	case cede:
		if m.MayRelease == nil || m.MayRelease(shard) {
			m.cede(ctx, shard)
		}
	}
}

// look reads who owns a shard, and tries to acquire it if nobody does.
func (m *Manager) look(ctx context.Context, shard, rank int) {
	p, err := m.Store.Get(ctx, key(shard))
	if err != nil && !errors.Is(err, store.ErrNotFound) {
		return
	}
	free := p.Lease == "" || p.Lease == m.Lease.ID()
	if !free && rank == 0 && m.dead(p.Value) {
		free = m.Store.Revoke(ctx, p.Lease) == nil
	}
	m.mu.Lock()
	may := m.turns[shard].may(free, rank)
	m.mu.Unlock()
	if may {
		m.acquire(ctx, shard)
	}
}

// dead reports whether the owner in value is known to have ended.
func (m *Manager) dead(value []byte) bool {
	o, err := decode(value)
	return err == nil && m.HasEnded != nil && m.HasEnded(o.Process)
}

// acquire takes a shard. An answer that is lost is found by the next look.
func (m *Manager) acquire(ctx context.Context, shard int) {
	if !m.Lease.Held(time.Now()) && m.Lease.Refresh(ctx) != nil {
		return
	}
	id := m.Lease.ID()
	ok, err := m.Store.Acquire(ctx, key(shard), m.value, id)
	if err != nil || !ok {
		return
	}
	m.mu.Lock()
	gained := m.lease == id && !m.turns[shard].owned
	if gained {
		m.turns[shard].gain()
	}
	m.mu.Unlock()
	if gained {
		m.OnGain(shard)
	}
}

// cede gives a shard up.
func (m *Manager) cede(ctx context.Context, shard int) {
	m.mu.Lock()
	owned, id := m.turns[shard].owned, m.lease
	m.turns[shard].lose(time.Now())
	m.mu.Unlock()
	if !owned {
		return
	}
	m.OnLoss(shard)
	_, _ = m.Store.Release(ctx, key(shard), m.value, id)
}

// Owned returns the shards this process owns, as far as it knows.
func (m *Manager) Owned() []int {
	m.mu.Lock()
	defer m.mu.Unlock()
	var ss []int
	for s, t := range m.turns {
		if t.owned {
			ss = append(ss, s)
		}
	}
	return ss
}

// HoldsLease reports whether this process owns the shard and its lease is held at now.
func (m *Manager) HoldsLease(shard int, now time.Time) bool {
	return slices.Contains(m.Owned(), shard) && m.Lease.Held(now)
}
