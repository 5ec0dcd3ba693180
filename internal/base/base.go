// Package base is what entries and agents share: the peer node, membership,
// the table in force, the store and the operators' port.
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

// jobPause is how long a search for a new owner waits between two tries.
const jobPause = 300 * time.Millisecond

// A Base is the common part of a process.
// Its exported fields are set before Run.
type Base struct {
	// Self is the process as its peers see it.
	Self fleet.Member
	// Seeds are peers to join by.
	Seeds []netip.AddrPort
	// Shards is the number of shards.
	Shards int
	// Keys are the keys of mutual TLS.
	Keys *peer.KeyRing
	// GossipKeys are the keys of packets.
	GossipKeys *gossip.KeyRing
	// Store is the one door to the platform's store.
	Store *door.Door
	// Operator serves operators.
	Operator *operator.Server
	// Metrics takes the process's counts.
	Metrics metrics.Registry
	// Log takes the process's events.
	Log *log.Logger
	// System is where the process's actors live.
	System *actor.ActorSystem
	// OnTable is told each table that comes into force, in order; it must not block.
	OnTable func(*table.Table)
	// OnMember is told each change of a member of the data centre; it must not block.
	OnMember func(member.Info, member.State)

	// OwnedShards returns the shards that this process owns, nil for none ever.
	OwnedShards func() []int

	// Node speaks to peers; Prepare makes it.
	Node *peer.Node
	// Handlers answer peers.
	Handlers peer.Handlers
	// BurnRecorder counts how requests are served.
	BurnRecorder burn.Recorder
	// Tables reads and edits the table in the store.
	Tables *tables.Tables

	gossip *gossip.Gossip
	sync   *tableSync
	force  atomic.Pointer[table.Table]
	since  atomic.Pointer[time.Time]
	age    atomic.Pointer[tablesync.ReportAge]
	killed atomic.Bool
	// leaving is set once the process drains.
	leaving atomic.Bool

	mu     sync.RWMutex
	states map[fleet.ID]known
	owners map[int]ownership.Owner
	// preferences are the orders of owners that were worked out lately.
	preferences map[int]preference
}

// A known is the newest that was heard of a member.
type known struct {
	info  member.Info
	state member.State
}

// A Component is one more task of a process, which ends when ctx does.
type Component func(ctx context.Context) error

// Prepare makes what the parts of a process build on; it is called once before Run.
func (b *Base) Prepare() {
	b.states = make(map[fleet.ID]known)
	b.owners = make(map[int]ownership.Owner)
	b.preferences = make(map[int]preference)
	b.Node = &peer.Node{Listen: b.Self.Address, Keys: b.Keys, Handlers: &b.Handlers, Log: b.Log, Metrics: b.Metrics}
	b.Tables = &tables.Tables{Store: b.Store}
	b.sync = newTableSync(b)
	b.gossip = b.newGossip()
	peer.Handle(&b.Handlers, message.OperationTable, func(context.Context, message.Empty) (message.TableAnswer, error) {
		return message.TableAnswer{Table: b.force.Load()}, nil
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

// Run runs the base and the parts until ctx ends. Then drain, which may be
// nil, finishes what is in flight, unless the process was killed; then all stop
// together.
func (b *Base) Run(ctx context.Context, drain func(context.Context), parts ...Component) error {
	inner, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	g, inner := errgroup.WithContext(inner)
	b.sync.start(inner)
	g.Go(func() error { return b.Node.Run(inner) })
	g.Go(func() error { return b.Operator.Run(inner) })
	g.Go(func() error { return b.runGossip(inner) })
	g.Go(func() error { return b.sync.Run(inner) })
	for _, p := range parts {
		g.Go(func() error { return p(inner) })
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

// stop takes leave of the peers and drains.
func (b *Base) stop(ctx context.Context, drain func(context.Context)) {
	if b.killed.Load() {
		return
	}
	b.leaving.Store(true)
	b.Log.Info().Str("event", "stopping").Str("id", string(b.Self.ID)).Msg("")
	if drain != nil {
		drain(ctx)
	}
}

// SimulateCrash makes the end of Run's context a crash: nothing is drained or told.
func (b *Base) SimulateCrash() {
	b.killed.Store(true)
}

// Crashed reports whether Kill was called.
func (b *Base) Crashed() bool {
	return b.killed.Load()
}

// TableInForce returns the table in force, nil where there is none yet.
func (b *Base) TableInForce() *table.Table {
	return b.force.Load()
}

// ApplyAccepted hands over a table that the store has just accepted.
func (b *Base) ApplyAccepted(t table.Table) {
	b.sync.runner.Send(tablesync.StoreAnswered{Table: t})
}
