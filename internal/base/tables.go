package base

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"

	"github.com/sesamestream/sesamestream/internal/message"
	"github.com/sesamestream/sesamestream/internal/peer"
	"github.com/sesamestream/sesamestream/internal/runner"
	"github.com/sesamestream/sesamestream/internal/steady"
	"github.com/sesamestream/sesamestream/internal/store"
	"github.com/sesamestream/sesamestream/internal/tables"
	"github.com/sesamestream/sesamestream/pkg/decide/tablesync"
	"github.com/sesamestream/sesamestream/pkg/table"
)

// Times of the synchronisation of the table.
const (
	// storeWatchTimeout is how long one watch call to the store waits for a change.
	storeWatchTimeout = 50 * time.Second
	// watcherCheckInterval is how often the process checks whether it is one of the watchers of its
	// data centre.
	watcherCheckInterval = 2 * time.Second
	// storeReadTimeout bounds one read of the table from the store.
	storeReadTimeout = 5 * time.Second
)

// metricTableRevision is the name of the gauge of the revision in force.
const metricTableRevision = "table.revision"

// A tableSync puts the newest table in force that the store or a peer offers.
type tableSync struct {
	base   *Base
	ctx    context.Context
	runner *runner.Runner[tablesync.Event, tablesync.Action]
	// stopWatch cancels the watch of the store; only the actor uses it.
	stopWatch context.CancelFunc
}

func newTableSync(b *Base) *tableSync {
	seed := uint64(b.Self.Incarnation)
	m := &tablesync.Machine{
		Random:   rand.New(rand.NewPCG(seed, seed)), //nolint:gosec // The jitter of the reads needs no cryptographic randomness.
		Validate: func(t table.Table) error { return t.Check() },
	}
	s := &tableSync{base: b}
	s.runner = &runner.Runner[tablesync.Event, tablesync.Action]{
		System:  b.System,
		Machine: m,
		Execute: s.execute,
		Wake:    m.Wake,
		Tick:    tablesync.Tick{},
	}
	return s
}

// start starts the actor, which accepts events from then on; the end of ctx cancels its calls.
func (s *tableSync) start(ctx context.Context) {
	s.ctx = ctx
	s.runner.Start()
}

// Run keeps the table in force up to date until ctx ends.
func (s *tableSync) Run(ctx context.Context) error {
	defer s.runner.Stop()
	s.runner.Send(tablesync.Tick{})
	t := time.NewTicker(watcherCheckInterval)
	defer t.Stop()
	for {
		s.runner.Send(tablesync.WatcherChanged{Watcher: s.base.gossip.IsStoreWatcher()})
		select {
		case <-t.C:
		case <-ctx.Done():
			return nil
		}
	}
}

// execute carries out an action of the machine; it runs in the actor.
func (s *tableSync) execute(a tablesync.Action) {
	switch a := a.(type) {
	case tablesync.Fetch:
		go s.fetchFromPeer(a.From)
	case tablesync.Apply:
		s.apply(a)
	case tablesync.Announce:
		s.base.gossip.SetRevision(a.Revision, a.Token)
	case tablesync.Refuse:
		s.base.Log.Warn().Str("event", "tableRefused").Uint64("revision", uint64(a.Revision)).Err(a.Reason).Msg("")
	case tablesync.ReadStore:
		go s.readStore()
	case tablesync.WatchStore:
		s.setWatching(a.On)
	case tablesync.ReportAge:
		s.base.tableAge.Store(&a)
	}
}

// apply puts a table in force and announces its revision.
func (s *tableSync) apply(a tablesync.Apply) {
	t := a.Table
	now := time.Now()
	s.base.inForce.Store(&t)
	s.base.inForceSince.Store(&now)
	metrics.GetOrRegisterGauge(metricTableRevision, s.base.Metrics).Update(int64(t.Revision))
	s.base.Log.Info().Str("event", "tableInForce").Uint64("revision", uint64(t.Revision)).Msg("")
	if s.base.OnTable != nil {
		s.base.OnTable(&t)
	}
	s.base.gossip.SetRevision(t.Revision, a.Token)
}

func (s *tableSync) fetchFromPeer(from netip.AddrPort) {
	ctx, cancel := context.WithTimeout(s.ctx, tablesync.FetchTimeout)
	defer cancel()
	a, err := peer.Call[message.Empty, message.TableAnswer](ctx, s.base.Node, from, message.OperationTable, message.Empty{})
	if err != nil || a.Table == nil {
		s.runner.Send(tablesync.FetchFailed{From: from})
		return
	}
	s.runner.Send(tablesync.Fetched{Table: *a.Table, From: from})
}

// readStore reads the newest version from the store once.
func (s *tableSync) readStore() {
	ctx, cancel := context.WithTimeout(s.ctx, storeReadTimeout)
	defer cancel()
	v, err := s.base.Tables.Current(ctx)
	if err != nil {
		s.runner.Send(tablesync.StoreUnreachable{})
		return
	}
	s.runner.Send(tablesync.StoreAnswered{Table: v.Table})
}

// setWatching starts or stops the watch of the store.
func (s *tableSync) setWatching(on bool) {
	if s.stopWatch != nil {
		s.stopWatch()
		s.stopWatch = nil
	}
	if !on {
		return
	}
	ctx, cancel := context.WithCancel(s.ctx)
	s.stopWatch = cancel
	go s.followStore(ctx)
}

// followStore reads the newest version and then each later one, and backs off after an error,
// until ctx ends.
func (s *tableSync) followStore(ctx context.Context) {
	b := store.NewBackOff()
	for ctx.Err() == nil {
		err := s.followUntilError(ctx, b.Reset)
		if ctx.Err() != nil {
			return
		}
		s.base.Log.Debug().Str("event", "watchFailed").Err(err).Msg("")
		s.runner.Send(tablesync.StoreUnreachable{})
		steady.Sleep(ctx, b.NextBackOff())
	}
}

// followUntilError reads versions until a call to the store fails, and returns the error. It calls
// reset once the store has answered.
func (s *tableSync) followUntilError(ctx context.Context, reset func()) error {
	v, err := s.base.Tables.Current(ctx)
	if err != nil && !errors.Is(err, tables.ErrNoTable) {
		return err
	}
	if err == nil {
		s.runner.Send(tablesync.StoreAnswered{Table: v.Table})
	}
	reset()
	var index uint64
	for {
		next, i, err := s.base.Tables.WaitNext(ctx, v.Table.Revision, index, storeWatchTimeout)
		switch {
		case errors.Is(err, tables.ErrNoTable):
			index = i
			if v.Table.Revision > 0 {
				s.runner.Send(tablesync.StoreAnswered{Table: v.Table})
			}
		case err != nil:
			return err
		default:
			v = next
			index = 0
			s.runner.Send(tablesync.StoreAnswered{Table: v.Table})
		}
	}
}
