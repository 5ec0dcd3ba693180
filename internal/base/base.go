// Package base implements what entry and agent processes share: the peer node, membership,
// the table in force, access to the store and the operators' port.
package base

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/asynkron/protoactor-go/actor"
	"github.com/phuslu/log"
	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/sync/errgroup"

	"github.com/sesamestream/sesamestream/internal/gossip"
	"github.com/sesamestream/sesamestream/internal/message"
	"github.com/sesamestream/sesamestream/internal/operator"
	"github.com/sesamestream/sesamestream/internal/ownership"
	"github.com/sesamestream/sesamestream/internal/peer"
	"github.com/sesamestream/sesamestream/internal/store/door"
	"github.com/sesamestream/sesamestream/internal/tables"
	"github.com/sesamestream/sesamestream/pkg/burn"
	"github.com/sesamestream/sesamestream/pkg/decide/member"
	"github.com/sesamestream/sesamestream/pkg/decide/tablesync"
	"github.com/sesamestream/sesamestream/pkg/fleet"
	"github.com/sesamestream/sesamestream/pkg/table"
)

// shardCallRetryDelay is the wait before a failed call to the owner of a shard is tried again.
const shardCallRetryDelay = 300 * time.Millisecond

// A Base is the part of a process that is the same for every role.
// The exported fields are set before Run.
type Base struct {
	// Self describes the process to its peers.
	Self fleet.Member
	// Seeds are the peers that the process contacts to join the membership.
	Seeds []netip.AddrPort
	// Shards is the number of shards.
	Shards int
	// Keys are the keys for mutual TLS.
	Keys *peer.KeyRing
	// GossipKeys are the keys of the gossip packets.
	GossipKeys *gossip.KeyRing
	// Store carries all calls to the platform's store.
	Store *door.LimitedStore
	// Operator serves operators.
	Operator *operator.Server
	// Metrics holds the metrics of the process.
	Metrics metrics.Registry
	// Log receives the events of the process.
	Log *log.Logger
	// System runs the actors of the process.
	System *actor.ActorSystem
	// OnTable is called, in order, for each table that comes into force; it must not block.
	OnTable func(*table.Table)
	// OnMember is called for each change of a member of the data centre; it must not block.
	OnMember func(member.Info, member.State)

	// OwnedShards returns the shards that this process owns; it is nil in a process that never owns one.
	OwnedShards func() []int

	// Node exchanges messages with the peers; Prepare creates it.
	Node *peer.Node
	// Handlers answer the requests of peers.
	Handlers peer.Handlers
	// BurnRecorder counts outcomes and admissions of requests for the burn report.
	BurnRecorder burn.Recorder
	// Tables reads and edits the table in the store.
	Tables *tables.Tables

	gossip       *gossip.Gossip
	tableSync    *tableSync
	inForce      atomic.Pointer[table.Table]
	inForceSince atomic.Pointer[time.Time]
	tableAge     atomic.Pointer[tablesync.ReportAge]
	crashed      atomic.Bool
	// leaving is set when the process starts to drain.
	leaving atomic.Bool

	mu          sync.RWMutex
	members     map[fleet.ID]memberState
	shardOwners map[int]ownership.Owner
	// ownerRankings caches the result of PreferredOwners by shard.
	ownerRankings map[int]ownerRanking
}

// A memberState is the latest known information and state of a member.
type memberState struct {
	info  member.Info
	state member.State
}

// A Component is a long-running function of a process; it returns when ctx ends.
type Component func(ctx context.Context) error

// Prepare creates what the components of a process use; it is called once, before Run.
func (b *Base) Prepare() {
	b.members = make(map[fleet.ID]memberState)
	b.shardOwners = make(map[int]ownership.Owner)
	b.ownerRankings = make(map[int]ownerRanking)
	b.Node = &peer.Node{Listen: b.Self.Address, Keys: b.Keys, Handlers: &b.Handlers, Log: b.Log, Metrics: b.Metrics}
	b.Tables = &tables.Tables{Store: b.Store, OnInvalid: func(err error) {
		b.Log.Warn().Err(err).Msg("record in the list of tables can't be used")
	}}
	b.tableSync = newTableSync(b)
	b.gossip = b.newGossip()
	peer.Handle(&b.Handlers, message.OperationTable, func(context.Context, message.Empty) (message.TableAnswer, error) {
		return message.TableAnswer{Table: b.inForce.Load()}, nil
	})
	b.Operator.HandleTables(b.Tables, b)
	b.Operator.HandleJobs(b)
	b.Operator.HandleWorkers(b)
	b.Operator.HandleStatus(b)
	b.prepareBurn()
	peer.Handle(&b.Handlers, message.OperationStatus, func(context.Context, message.Empty) (message.Status, error) {
		return b.Status(), nil
	})
}

// Run runs the base and the components until ctx ends. It then calls drain, which may be nil, to
// finish the work in flight, unless SimulateCrash was called, and stops all of them together.
func (b *Base) Run(ctx context.Context, drain func(context.Context), components ...Component) error {
	inner, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	g, inner := errgroup.WithContext(inner)
	b.tableSync.start(inner)
	g.Go(func() error { return b.Node.Run(inner) })
	g.Go(func() error { return b.Operator.Run(inner) })
	g.Go(func() error { return b.runGossip(inner) })
	g.Go(func() error { return b.tableSync.Run(inner) })
	for _, c := range components {
		g.Go(func() error { return c(inner) })
	}
	g.Go(func() error {
		select {
		case <-ctx.Done():
			b.stop(inner, drain)
		case <-inner.Done():
		}
		cancel()
		return nil
	})
	b.Log.Info().Str("event", "started").Str("id", string(b.Self.ID)).Str("role", string(b.Self.Role)).
		Str("dataCentre", b.Self.Place.DataCentre).Msg("")
	err := g.Wait()
	b.Log.Info().Str("event", "stopped").Str("id", string(b.Self.ID)).Msg("")
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// stop marks the process as leaving and drains it, unless SimulateCrash was called.
func (b *Base) stop(ctx context.Context, drain func(context.Context)) {
	if b.crashed.Load() {
		return
	}
	b.leaving.Store(true)
	b.Log.Info().Str("event", "stopping").Str("id", string(b.Self.ID)).Msg("")
	if drain != nil {
		drain(ctx)
	}
}

// SimulateCrash makes Run end as in a crash: it neither drains nor notifies the peers.
func (b *Base) SimulateCrash() {
	b.crashed.Store(true)
}

// Crashed reports whether SimulateCrash was called.
func (b *Base) Crashed() bool {
	return b.crashed.Load()
}

// TableInForce returns the table in force, or nil if there is none yet.
func (b *Base) TableInForce() *table.Table {
	return b.inForce.Load()
}

// ApplyAccepted passes on a table that the store has accepted, so that it comes into force here.
func (b *Base) ApplyAccepted(t table.Table) {
	b.tableSync.runner.Send(tablesync.StoreAnswered{Table: t})
}
