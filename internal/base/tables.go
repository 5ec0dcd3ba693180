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

// The times of the table's spreading.
const (
	// watchWait is how long one watch of the store waits.
	watchWait = 50 * time.Second
	// chooseEvery is how often the watchers of the data centre are chosen.
	chooseEvery = 2 * time.Second
	readTimeout = 5 * time.Second
)

// metricRevision is the revision in force.
const metricRevision = "table.revision"

// A tableSync keeps the newest table in force.
type tableSync struct {
	base   *Base
	ctx    context.Context
	runner *runner.Runner[tablesync.Event, tablesync.Action]
	// stop ends the watch of the store; the actor alone touches it.
	stop context.CancelFunc
}

func newTableSync(b *Base) *tableSync {
	seed := uint64(b.Self.Incarnation)
	m := &tablesync.Machine{
		Random:   rand.New(rand.NewPCG(seed, seed)), //nolint:gosec // Spreading reads needs no secret.
		Validate: func(t table.Table) error { return t.Check() },
	}
	s := &tableSync{base: b}
	s.runner = &runner.Runner[tablesync.Event, tablesync.Action]{
		System:  b.System,
		Machine: m,
		Execute: s.carry,
		Wake:    m.Wake,
		Tick:    tablesync.Tick{},
	}
	return s
}

// start spawns the actor, which takes events from then on; ctx ends its calls.
func (s *tableSync) start(ctx context.Context) {
	s.ctx = ctx
	s.runner.Start()
}

// Run keeps the table in force until ctx ends.
func (s *tableSync) Run(ctx context.Context) error {
	defer s.runner.Stop()
	s.runner.Send(tablesync.Tick{})
	t := time.NewTicker(chooseEvery)
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

// carry runs in the actor.
func (s *tableSync) carry(a tablesync.Action) {
	switch a := a.(type) {
	case tablesync.Fetch:
		go s.fetch(a.From)
	case tablesync.Apply:
		s.apply(a)
	case tablesync.Announce:
		s.base.gossip.SetRevision(a.Revision, a.Token)
	case tablesync.Refuse:
		s.base.Log.Warn().Str("event", "tableRefused").Uint64("revision", uint64(a.Revision)).Err(a.Reason).Msg("")
	case tablesync.ReadStore:
		go s.read()
	case tablesync.WatchStore:
		s.watch(a.On)
	case tablesync.ReportAge:
		s.base.age.Store(&a)
	}
}

// apply puts a table in force.
func (s *tableSync) apply(a tablesync.Apply) {
	t := a.Table
	now := time.Now()
	s.base.force.Store(&t)
	s.base.since.Store(&now)
	metrics.GetOrRegisterGauge(metricRevision, s.base.Metrics).Update(int64(t.Revision))
	s.base.Log.Info().Str("event", "tableInForce").Uint64("revision", uint64(t.Revision)).Msg("")
	if s.base.OnTable != nil {
		s.base.OnTable(&t)
	}
	s.base.gossip.SetRevision(t.Revision, a.Token)
}

func (s *tableSync) fetch(from netip.AddrPort) {
	ctx, cancel := context.WithTimeout(s.ctx, tablesync.FetchTimeout)
	defer cancel()
	a, err := peer.Call[message.Empty, message.TableAnswer](ctx, s.base.Node, from, message.OperationTable, message.Empty{})
	if err != nil || a.Table == nil {
		s.runner.Send(tablesync.FetchFailed{From: from})
		return
	}
	s.runner.Send(tablesync.Fetched{Table: *a.Table, From: from})
}

// read asks the store once.
func (s *tableSync) read() {
	ctx, cancel := context.WithTimeout(s.ctx, readTimeout)
	defer cancel()
	v, err := s.base.Tables.Current(ctx)
	if err != nil {
		s.runner.Send(tablesync.StoreUnreachable{})
		return
	}
	s.runner.Send(tablesync.StoreAnswered{Table: v.Table})
}

// watch begins or ends the watch of the store.
func (s *tableSync) watch(on bool) {
	if s.stop != nil {
		s.stop()
		s.stop = nil
	}
	if !on {
		return
	}
	ctx, cancel := context.WithCancel(s.ctx)
	s.stop = cancel
	go s.follow(ctx)
}

// follow reads the newest version, then waits for each one that follows.
func (s *tableSync) follow(ctx context.Context) {
	b := store.NewBackOff()
	for ctx.Err() == nil {
		err := s.followOnce(ctx, b.Reset)
		if ctx.Err() != nil {
			return
		}
		s.base.Log.Debug().Str("event", "watchFailed").Err(err).Msg("")
		s.runner.Send(tablesync.StoreUnreachable{})
		steady.Sleep(ctx, b.NextBackOff())
	}
}

// followOnce follows the versions until the store fails, and returns why.
func (s *tableSync) followOnce(ctx context.Context, reset func()) error {
	v, err := s.base.Tables.Current(ctx)
	if err != nil && !errors.Is(err, tables.ErrNone) {
		return err
	}
	if err == nil {
		s.runner.Send(tablesync.StoreAnswered{Table: v.Table})
	}
	reset()
	var index uint64
	for {
		next, i, err := s.base.Tables.Next(ctx, v.Table.Revision, index, watchWait)
		switch {
		case errors.Is(err, tables.ErrNone):
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
