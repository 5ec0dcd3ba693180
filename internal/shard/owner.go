// Package shard runs the owner of one shard: it replays the shard's journal,
// holds the machines that decide for it, and carries their actions out.
package shard

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/asynkron/protoactor-go/actor"
	"github.com/phuslu/log"
	"github.com/pkg/errors"

	"github.com/sesamestream/sesamestream/internal/journal"
	"github.com/sesamestream/sesamestream/internal/message"
	"github.com/sesamestream/sesamestream/internal/runner"
	"github.com/sesamestream/sesamestream/pkg/decide/host"
	decidejournal "github.com/sesamestream/sesamestream/pkg/decide/journal"
	"github.com/sesamestream/sesamestream/pkg/decide/place"
	"github.com/sesamestream/sesamestream/pkg/decide/task"
	"github.com/sesamestream/sesamestream/pkg/fleet"
	"github.com/sesamestream/sesamestream/pkg/table"
)

// The times of an owner.
const (
	tickEvery     = 100 * time.Millisecond
	snapshotEvery = 5 * time.Second
	startTimeout  = 5 * time.Second
	retain        = 24 * time.Hour
	hopelessAfter = 2 * time.Minute
)

// snapshotGrowth is how much journal is replayed at the most, in bytes.
const snapshotGrowth fleet.Bytes = 1 << 20

// drift bounds by which part two hosts' clocks run apart.
const drift = 0.02

// ErrNotOwner is returned by an owner that is not, or no longer, the shard's.
var ErrNotOwner = errors.New("shard: not its owner")

// An Owner decides for one shard. Its exported fields are set before Run.
type Owner struct {
	// System is where the owner's actor lives.
	System *actor.ActorSystem
	// Log is the shard's journal.
	Log *journal.Log
	// Shard is the shard's number, Shards how many there are.
	Shard  int
	Shards int
	// TaskLease and Ride are the bounds of the tasks' leases.
	TaskLease   time.Duration
	RideThrough time.Duration
	// Table is the table in force when the owner starts.
	Table *table.Table
	// HasEnded reports whether a life grants leases of the shard no more: it has
	// died, or says itself that it is not the owner. It may block.
	HasEnded func(ctx context.Context, v fleet.ProcessIncarnation) bool
	// HoldsLease reports whether the process holds the shard's lease at a time, by its own clock.
	HoldsLease func(now time.Time) bool
	// SendOrder carries an order to an agent; it must not block.
	SendOrder func(to fleet.ID, o message.Order)
	// Logger takes the owner's events.
	Logger *log.Logger

	ready   chan struct{}
	once    sync.Once
	epoch   task.Epoch
	before  fleet.ProcessIncarnation
	runner  *runner.Runner[task.Event, task.Action]
	machine *task.Machine
	placer  *place.Placer[task.ID]
	shares  *place.Shares
	claims  *claims

	// The fields below are touched by the actor alone.
	requests task.RequestID
	waiting  map[task.RequestID]chan task.Reply

	mu        sync.Mutex
	committed *state
	mark      decidejournal.Mark
	lost      chan struct{}
	lostOnce  sync.Once
}

// Ready is closed once the owner decides.
func (o *Owner) Ready() <-chan struct{} {
	o.prepare()
	return o.ready
}

func (o *Owner) prepare() {
	o.once.Do(func() {
		o.ready = make(chan struct{})
		o.lost = make(chan struct{})
		o.waiting = make(map[task.RequestID]chan task.Reply)
	})
}

// Run owns the shard until ctx ends or another owner takes over, which is
// ErrNotOwner.
func (o *Owner) Run(ctx context.Context) error {
	o.prepare()
	o.Log.OnFenced = o.lose
	sent := time.Now()
	r, err := o.Log.Open(ctx)
	if err != nil {
		return err
	}
	defer o.Log.Close()
	if err := o.build(r); err != nil {
		return err
	}
	o.runner.Start()
	defer o.runner.Stop()
	o.claims.runner.Start()
	defer o.claims.runner.Stop()
	old := o.old(ctx, r.PreviousOwner)
	o.runner.Send(task.Takeover{Epoch: o.epoch, Previous: old, SentAt: sent})
	close(o.ready)
	if old == task.PreviousOwnerGone {
		o.settle(ctx)
	} else {
		go o.watchOld(ctx, time.Now())
	}
	o.Logger.Info().Str("event", "shardOwned").Int("shard", o.Shard).Uint64("epoch", uint64(r.Epoch)).Int("records", len(r.Records)).Msg("")
	return o.loop(ctx)
}

// build makes the machine and the committed state out of a replay.
func (o *Owner) build(r journal.Replay) error {
	live, err := restore(r.Snapshot, r.Records)
	if err != nil {
		return err
	}
	o.committed, err = restore(r.Snapshot, r.Records)
	if err != nil {
		return err
	}
	o.claims = newClaims(o, live.claims)
	o.mark = r.Mark
	o.epoch = task.Epoch(r.Epoch)
	seed := uint64(time.Now().UnixNano())
	o.placer = &place.Placer[task.ID]{
		Rand:   rand.New(rand.NewPCG(seed, uint64(o.Shard))), //nolint:gosec // Placement needs no secret.
		Table:  o.Table,
		Shards: o.Shards,
	}
	if o.Shards > 1 {
		o.shares = &place.Shares{Shard: o.Shard, Shards: o.Shards, Epoch: uint64(r.Epoch)}
		o.placer.Shares = o.shares
	}
	o.machine = &task.Machine{
		State: live.tasks, Placer: o.placer, Lease: o.TaskLease, RideThrough: o.RideThrough, ClockDrift: drift,
		StartTimeout: startTimeout, Retention: retain, GiveUpAfter: hopelessAfter,
	}
	o.runner = &runner.Runner[task.Event, task.Action]{System: o.System, Machine: o.machine, Execute: o.carry}
	return nil
}

func (o *Owner) loop(ctx context.Context) error {
	tick := time.NewTicker(tickEvery)
	defer tick.Stop()
	snap := time.NewTicker(snapshotEvery)
	defer snap.Stop()
	for {
		select {
		case <-tick.C:
			o.runner.Send(task.Tick{})
		case <-snap.C:
			o.snapshot(ctx)
		case <-o.lost:
			// The machine grants nothing more, whatever it still hears.
			o.runner.Send(task.OwnerFenced{})
			return ErrNotOwner
		case <-ctx.Done():
			return nil
		}
	}
}

// lose ends the ownership; it may be called from anywhere.
func (o *Owner) lose() {
	o.lostOnce.Do(func() { close(o.lost) })
}

// carry runs in the actor.
func (o *Owner) carry(a task.Action) {
	switch a := a.(type) {
	case task.Commit:
		o.commit(a)
	case task.Reply:
		if c := o.waiting[a.Request]; c != nil {
			delete(o.waiting, a.Request)
			c <- a
		}
	case task.JobEnded:
		o.Logger.Info().Str("event", "jobEnded").Str("job", string(a.ID)).Str("phase", a.Phase.String()).Str("reason", a.Reason).Msg("")
	case task.OwnershipLost:
		o.lose()
	default:
		if to, m, ok := message.NewOrder(a); ok {
			m.Shard = host.Shard(o.Shard)
			o.SendOrder(to, m)
		}
	}
}

// commit appends records; the machine hears once they are in the journal.
func (o *Owner) commit(c task.Commit) {
	records, err := encodeTasks(c.Records)
	if err != nil {
		o.Logger.Error().Str("event", "recordFailed").Int("shard", o.Shard).Err(err).Msg("")
		o.lose()
		return
	}
	sent := time.Now()
	o.Log.Submit(func(m decidejournal.Mark, err error) {
		if err != nil {
			o.Logger.Warn().Str("event", "commitFailed").Int("shard", o.Shard).Err(err).Msg("")
			o.runner.Send(task.OwnerFenced{})
			o.lose()
			return
		}
		if err := o.apply(m, records); err != nil {
			o.Logger.Error().Str("event", "recordFailed").Int("shard", o.Shard).Err(err).Msg("")
			o.lose()
			return
		}
		o.runner.Send(task.Committed{Token: c.Token, SentAt: sent})
	}, records...)
}

// apply adds committed records to the state that snapshots are made of.
func (o *Owner) apply(m decidejournal.Mark, records [][]byte) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, r := range records {
		if err := o.committed.apply(r); err != nil {
			return err
		}
	}
	o.mark = m
	return nil
}

// snapshot shortens the journal once it has grown enough.
func (o *Owner) snapshot(ctx context.Context) {
	if o.Log.BytesSinceSnapshot() < snapshotGrowth {
		return
	}
	o.mu.Lock()
	b, err := o.committed.encode()
	m := o.mark
	o.mu.Unlock()
	if err == nil {
		err = o.Log.Snapshot(ctx, b, m)
	}
	if err != nil {
		o.Logger.Warn().Str("event", "snapshotFailed").Int("shard", o.Shard).Err(err).Msg("")
	}
}
