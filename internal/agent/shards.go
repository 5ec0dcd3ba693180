package agent

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/time/rate"

	"github.com/sesamestream/sesamestream/internal/base"
	"github.com/sesamestream/sesamestream/internal/journal"
	"github.com/sesamestream/sesamestream/internal/message"
	"github.com/sesamestream/sesamestream/internal/ownership"
	"github.com/sesamestream/sesamestream/internal/peer"
	"github.com/sesamestream/sesamestream/internal/shard"
	"github.com/sesamestream/sesamestream/internal/steady"
	"github.com/sesamestream/sesamestream/internal/store"
	"github.com/sesamestream/sesamestream/pkg/fleet"
	"github.com/sesamestream/sesamestream/pkg/table"
)

// Durations of shard ownership.
const (
	ownerLeaseTTL     = 15 * time.Second
	ownerRestartDelay = time.Second
	ownerCallTimeout  = 2 * time.Second
)

// Limits of the journal writes of one process.
const (
	// journalWriteRate is in writes per second.
	journalWriteRate  = 20
	journalWriteBurst = 5
)

// A shardManager runs the owners of the shards that this agent owns.
type shardManager struct {
	base           *base.Base
	shardCount     int
	lease          time.Duration
	rideThrough    time.Duration
	ownership      *ownership.Manager
	journalLimiter *rate.Limiter

	mu     sync.Mutex
	ctx    context.Context
	owners map[int]*ownedShard
	// stopping holds the owners that were cancelled but may still make decisions.
	stopping map[int]*ownedShard
	// agentAddresses holds the addresses for orders that agents have reported.
	agentAddresses map[fleet.ID]netip.AddrPort
}

// An ownedShard is the running owner of one shard. Its done is closed once the owner has stopped.
type ownedShard struct {
	owner  *shard.Owner
	cancel context.CancelFunc
	done   chan struct{}
}

// Run acquires and owns shards until ctx ends, and then releases them.
func (s *shardManager) Run(ctx context.Context) error {
	s.mu.Lock()
	s.ctx = ctx
	s.owners = make(map[int]*ownedShard)
	s.stopping = make(map[int]*ownedShard)
	s.agentAddresses = make(map[fleet.ID]netip.AddrPort)
	s.journalLimiter = rate.NewLimiter(journalWriteRate, journalWriteBurst)
	s.mu.Unlock()
	leaseStore := crashableStore{Store: s.base.Store, crashed: s.base.Crashed}
	s.ownership = &ownership.Manager{
		Store:      leaseStore,
		Process:    s.base.Self.ProcessIncarnation,
		Address:    s.base.Self.Address,
		Shards:     s.shardCount,
		Lease:      &store.Lease{Store: leaseStore, TTL: ownerLeaseTTL},
		Candidates: s.base.PreferredOwners,
		HasEnded:   s.base.Superseded,
		MayRelease: s.ownerSettled,
		OnGain:     s.startOwner,
		OnLoss:     s.stopOwner,
	}
	go s.reportStoreContact(ctx)
	return s.ownership.Run(ctx)
}

// startOwner starts the owner of an acquired shard.
func (s *shardManager) startOwner(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.owners[n] != nil || s.ctx.Err() != nil {
		return
	}
	ctx, cancel := context.WithCancel(s.ctx)
	o := &ownedShard{cancel: cancel, done: make(chan struct{})}
	s.owners[n] = o
	go s.runOwner(ctx, n, o)
}

// stopOwner cancels the owner of a lost shard, without waiting for its end.
func (s *shardManager) stopOwner(n int) {
	s.mu.Lock()
	o := s.owners[n]
	delete(s.owners, n)
	if o != nil {
		s.stopping[n] = o
	}
	s.mu.Unlock()
	if o != nil {
		o.cancel()
	}
}

// ownerSettled reports whether the local owner of a shard is ready and does not wait for the end of
// an earlier owner.
func (s *shardManager) ownerSettled(n int) bool {
	o, err := s.readyOwner(n)
	return err == nil && o.PredecessorsEnded()
}

// removeStopped removes an owner that has stopped.
func (s *shardManager) removeStopped(n int, o *ownedShard) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopping[n] == o {
		delete(s.stopping, n)
	}
	close(o.done)
}

// runOwner runs the owner of a shard until ctx ends, and restarts it after an error.
func (s *shardManager) runOwner(ctx context.Context, n int, o *ownedShard) {
	defer s.removeStopped(n, o)
	for ctx.Err() == nil {
		x := s.newOwner(n)
		s.mu.Lock()
		o.owner = x
		s.mu.Unlock()
		run, stop := context.WithCancel(ctx)
		go s.exchangeShares(run, x)
		err := x.Run(ctx)
		stop()
		if ctx.Err() != nil {
			return
		}
		s.base.Log.Warn().Str("event", "ownerStopped").Int("shard", n).Err(err).Msg("")
		// Restart only while this process holds the shard, because opening the journal fences its
		// current writer.
		for steady.Sleep(ctx, ownerRestartDelay) && !s.ownership.HoldsLease(n, time.Now()) {
			continue
		}
	}
}

// newOwner returns an owner of a shard that is not yet running.
func (s *shardManager) newOwner(n int) *shard.Owner {
	return &shard.Owner{
		System: s.base.System,
		Log: &journal.Log{Store: s.base.Store, Shard: n, Process: s.base.Self.ProcessIncarnation, WriteLimiter: s.journalLimiter, OnInvalid: func(err error) {
			s.base.Log.Warn().Err(err).Int("shard", n).Msg("record among the segments can't be used")
		}},
		Shard:       n,
		Shards:      s.shardCount,
		TaskLease:   s.lease,
		RideThrough: s.rideThrough,
		Table:       s.base.TableInForce(),
		HasEnded:    func(ctx context.Context, v fleet.ProcessIncarnation) bool { return s.predecessorEnded(ctx, n, v) },
		HoldsLease:  func(now time.Time) bool { return s.ownership.HoldsLease(n, now) },
		SendOrder:   s.sendOrder,
		Logger:      s.base.Log,
	}
}

// predecessorEnded reports whether an earlier owner of a shard has died or answers that it no longer
// owns the shard.
func (s *shardManager) predecessorEnded(ctx context.Context, n int, v fleet.ProcessIncarnation) bool {
	if v == s.base.Self.ProcessIncarnation || s.base.Superseded(v) {
		return true
	}
	to, ok := s.base.IncarnationAddress(v)
	if !ok {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, ownerCallTimeout)
	defer cancel()
	a, err := peer.Call[message.OwnerQuery, message.OwnerAnswer](ctx, s.base.Node, to, message.OperationOwner, message.OwnerQuery{Shard: n})
	return err == nil && a.Process == v && !a.IsOwner
}

// reportStoreContact periodically reports to the owners when the store last confirmed the lease, until
// ctx ends.
func (s *shardManager) reportStoreContact(ctx context.Context) {
	t := time.NewTicker(time.Second)
	defer t.Stop()
	for {
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
		at := s.ownership.Lease.ExpiresAt().Add(-ownerLeaseTTL)
		for _, o := range s.readyOwners() {
			o.RecordStoreContact(at)
		}
	}
}

// readyOwners returns the owners that are ready to make decisions.
func (s *shardManager) readyOwners() []*shard.Owner {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []*shard.Owner
	for _, o := range s.owners {
		if isReady(o.owner) {
			out = append(out, o.owner)
		}
	}
	return out
}

// isReady reports whether an owner exists and is ready.
func isReady(o *shard.Owner) bool {
	if o == nil {
		return false
	}
	select {
	case <-o.Ready():
		return true
	default:
		return false
	}
}

// readyOwner returns the owner of a shard if it runs in this process and is ready.
func (s *shardManager) readyOwner(n int) (*shard.Owner, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.owners[n]
	if o == nil || !isReady(o.owner) {
		return nil, shard.ErrNotOwner
	}
	return o.owner, nil
}

// sendOrder sends an order to an agent without waiting for the answer.
func (s *shardManager) sendOrder(to fleet.ID, o message.Order) {
	o.Owner = s.base.Self.Address
	s.mu.Lock()
	at, ok := s.agentAddresses[to]
	s.mu.Unlock()
	if !ok {
		at, ok = s.base.NewestAddress(to)
	}
	if !ok {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), ownerCallTimeout)
		defer cancel()
		_, err := peer.Call[message.Order, message.Empty](ctx, s.base.Node, at, message.OperationOrder, o)
		if err != nil {
			s.base.Log.Debug().Str("event", "orderFailed").Str("agent", string(to)).Err(err).Msg("")
		}
	}()
}

// handleReport passes the report of an agent to the owner of a shard and stores the agent's address.
func (s *shardManager) handleReport(_ context.Context, t message.AgentReport) (message.Empty, error) {
	o, err := s.readyOwner(int(t.Shard))
	if err != nil {
		return message.Empty{}, err
	}
	s.mu.Lock()
	s.agentAddresses[t.Agent.ID] = t.Address
	s.mu.Unlock()
	o.HandleAgentReport(t)
	return message.Empty{}, nil
}

// handleOwnerQuery answers whether this process may still make decisions for a shard; a later owner of
// the shard sends the query.
func (s *shardManager) handleOwnerQuery(_ context.Context, q message.OwnerQuery) (message.OwnerAnswer, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return message.OwnerAnswer{Process: s.base.Self.ProcessIncarnation, IsOwner: s.owners[q.Shard] != nil || s.stopping[q.Shard] != nil}, nil
}

// setTable puts a table in force at all ready owners.
func (s *shardManager) setTable(t *table.Table) {
	for _, o := range s.readyOwners() {
		ctx, cancel := context.WithTimeout(context.Background(), ownerCallTimeout)
		if err := o.SetTable(ctx, t); err != nil && !errors.Is(err, context.Canceled) {
			s.base.Log.Warn().Str("event", "tableFailed").Err(err).Msg("")
		}
		cancel()
	}
}

// ownedShards returns the shards whose owner is ready in this process, sorted.
func (s *shardManager) ownedShards() []int {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []int
	for n, o := range s.owners {
		if isReady(o.owner) {
			out = append(out, n)
		}
	}
	slices.Sort(out)
	return out
}
