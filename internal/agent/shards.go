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

// The times of shard ownership.
const (
	ownerTTL     = 15 * time.Second
	ownerBackoff = time.Second
	orderTimeout = 2 * time.Second
)

// The pace of one process's journal writes, in writes a second.
const (
	journalWrites = 20
	journalBurst  = 5
)

// shards runs the owners of the shards that this agent owns.
type shards struct {
	base    *base.Base
	count   int
	lease   time.Duration
	ride    time.Duration
	manager *ownership.Manager
	pace    *rate.Limiter

	mu     sync.Mutex
	ctx    context.Context
	owners map[int]*owned
	// ending are the owners that have been told to stop and may still decide.
	ending map[int]*owned
	// addresses are where agents take orders, as they told.
	addresses map[fleet.ID]netip.AddrPort
}

// An owned shard runs until it is given up.
type owned struct {
	owner  *shard.Owner
	cancel context.CancelFunc
	done   chan struct{}
}

// Run owns shards until ctx ends, and gives them up then.
func (s *shards) Run(ctx context.Context) error {
	s.mu.Lock()
	s.ctx = ctx
	s.owners = make(map[int]*owned)
	s.ending = make(map[int]*owned)
	s.addresses = make(map[fleet.ID]netip.AddrPort)
	s.pace = rate.NewLimiter(journalWrites, journalBurst)
	s.mu.Unlock()
	kept := crashable{Store: s.base.Store, killed: s.base.Crashed}
	s.manager = &ownership.Manager{
		Store:      kept,
		Process:    s.base.Self.ProcessIncarnation,
		Address:    s.base.Self.Address,
		Shards:     s.count,
		Lease:      &store.Lease{Store: kept, TTL: ownerTTL},
		Candidates: s.base.PreferredOwners,
		HasEnded:   s.base.Superseded,
		MayRelease: s.settled,
		OnGain:     s.gain,
		OnLoss:     s.lose,
	}
	go s.contact(ctx)
	return s.manager.Run(ctx)
}

// gain starts the owner of a shard.
func (s *shards) gain(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.owners[n] != nil || s.ctx.Err() != nil {
		return
	}
	ctx, cancel := context.WithCancel(s.ctx)
	o := &owned{cancel: cancel, done: make(chan struct{})}
	s.owners[n] = o
	go s.own(ctx, n, o)
}

// lose stops the owner of a shard.
func (s *shards) lose(n int) {
	s.mu.Lock()
	o := s.owners[n]
	delete(s.owners, n)
	if o != nil {
		s.ending[n] = o
	}
	s.mu.Unlock()
	if o != nil {
		o.cancel()
	}
}

// settled reports whether the owner of a shard waits for no owner before it.
func (s *shards) settled(n int) bool {
	o, err := s.get(n)
	return err == nil && o.PredecessorsEnded()
}

// stopped forgets an owner that has stopped.
func (s *shards) stopped(n int, o *owned) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ending[n] == o {
		delete(s.ending, n)
	}
	close(o.done)
}

// own runs the owner, again after an error, as long as the shard is held.
func (s *shards) own(ctx context.Context, n int, o *owned) {
	defer s.stopped(n, o)
	for ctx.Err() == nil {
		x := s.newOwner(n)
		s.mu.Lock()
		o.owner = x
		s.mu.Unlock()
		run, stop := context.WithCancel(ctx)
		go s.share(run, x)
		err := x.Run(ctx)
		stop()
		if ctx.Err() != nil {
			return
		}
		s.base.Log.Warn().Str("event", "ownerStopped").Int("shard", n).Err(err).Msg("")
		// Only a holder opens the journal again: opening it fences whoever has it now.
		for steady.Sleep(ctx, ownerBackoff) && !s.manager.HoldsLease(n, time.Now()) {
			continue
		}
	}
}

func (s *shards) newOwner(n int) *shard.Owner {
	return &shard.Owner{
		System:      s.base.System,
		Log:         &journal.Log{Store: s.base.Store, Shard: n, Process: s.base.Self.ProcessIncarnation, WriteLimiter: s.pace},
		Shard:       n,
		Shards:      s.count,
		TaskLease:   s.lease,
		RideThrough: s.ride,
		Table:       s.base.TableInForce(),
		HasEnded:    func(ctx context.Context, v fleet.ProcessIncarnation) bool { return s.ended(ctx, n, v) },
		HoldsLease:  func(now time.Time) bool { return s.manager.HoldsLease(n, now) },
		SendOrder:   s.send,
		Logger:      s.base.Log,
	}
}

// ended reports whether an earlier owner has died or says that it has ceded.
func (s *shards) ended(ctx context.Context, n int, v fleet.ProcessIncarnation) bool {
	if v == s.base.Self.ProcessIncarnation || s.base.Superseded(v) {
		return true
	}
	to, ok := s.base.IncarnationAddress(v)
	if !ok {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	a, err := peer.Call[message.OwnerQuery, message.OwnerAnswer](ctx, s.base.Node, to, message.OperationOwner, message.OwnerQuery{Shard: n})
	return err == nil && a.Process == v && !a.IsOwner
}

// contact tells the owners when the store last confirmed their lease.
func (s *shards) contact(ctx context.Context) {
	t := time.NewTicker(time.Second)
	defer t.Stop()
	for {
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
		at := s.manager.Lease.ExpiresAt().Add(-ownerTTL)
		for _, o := range s.running() {
			o.RecordStoreContact(at)
		}
	}
}

// running returns the owners that decide.
func (s *shards) running() []*shard.Owner {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []*shard.Owner
	for _, o := range s.owners {
		if ready(o.owner) {
			out = append(out, o.owner)
		}
	}
	return out
}

func ready(o *shard.Owner) bool {
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

// get returns the owner of a shard where it is here and decides.
func (s *shards) get(n int) (*shard.Owner, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.owners[n]
	if o == nil || !ready(o.owner) {
		return nil, shard.ErrNotOwner
	}
	return o.owner, nil
}

// send carries an order to an agent without waiting.
func (s *shards) send(to fleet.ID, o message.Order) {
	o.Owner = s.base.Self.Address
	s.mu.Lock()
	at, ok := s.addresses[to]
	s.mu.Unlock()
	if !ok {
		at, ok = s.base.NewestAddress(to)
	}
	if !ok {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), orderTimeout)
		defer cancel()
		_, err := peer.Call[message.Order, message.Empty](ctx, s.base.Node, at, message.OperationOrder, o)
		if err != nil {
			s.base.Log.Debug().Str("event", "orderFailed").Str("agent", string(to)).Err(err).Msg("")
		}
	}()
}

// tell takes what an agent tells the owner of a shard.
func (s *shards) tell(_ context.Context, t message.AgentReport) (message.Empty, error) {
	o, err := s.get(int(t.Shard))
	if err != nil {
		return message.Empty{}, err
	}
	s.mu.Lock()
	s.addresses[t.Agent.ID] = t.Address
	s.mu.Unlock()
	o.HandleAgentReport(t)
	return message.Empty{}, nil
}

// isOwner answers a later owner that asks whether this process still decides.
func (s *shards) isOwner(_ context.Context, q message.OwnerQuery) (message.OwnerAnswer, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return message.OwnerAnswer{Process: s.base.Self.ProcessIncarnation, IsOwner: s.owners[q.Shard] != nil || s.ending[q.Shard] != nil}, nil
}

// setTable puts a table in force at all owners.
func (s *shards) setTable(t *table.Table) {
	for _, o := range s.running() {
		ctx, cancel := context.WithTimeout(context.Background(), orderTimeout)
		if err := o.SetTable(ctx, t); err != nil && !errors.Is(err, context.Canceled) {
			s.base.Log.Warn().Str("event", "tableFailed").Err(err).Msg("")
		}
		cancel()
	}
}

// owned returns the shards whose owner decides here, in order.
func (s *shards) owned() []int {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []int
	for n, o := range s.owners {
		if ready(o.owner) {
			out = append(out, n)
		}
	}
	slices.Sort(out)
	return out
}
