// Package shard runs the owner of one shard: it replays the shard's journal,
// runs the state machines for its tasks and claims, and executes their actions.
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

// Intervals and timeouts of an owner.
const (
	tickInterval          = 100 * time.Millisecond
	snapshotInterval      = 5 * time.Second
	taskStartTimeout      = 5 * time.Second
	endedJobRetention     = 24 * time.Hour
	unplaceableJobTimeout = 2 * time.Minute
)

// snapshotThreshold is the size of the segments since the last snapshot, in bytes,
// from which a new snapshot is written. It limits how much a takeover replays.
const snapshotThreshold fleet.Bytes = 1 << 20

// maxClockDrift is the maximum relative difference in speed between the clocks of two hosts.
const maxClockDrift = 0.02

// ErrNotOwner means that the process does not own the shard, or no longer does.
var ErrNotOwner = errors.New("shard: not the owner")

// An Owner places and controls the tasks of one shard and grants its claims. Set
// its exported fields before Run.
type Owner struct {
	// System is the actor system in which the owner's actors run.
	System *actor.ActorSystem
	// Log is the shard's journal.
	Log *journal.Log
	// Shard is the number of the shard, and Shards is the number of shards.
	Shard  int
	Shards int
	// TaskLease is the duration of a task lease.
	TaskLease time.Duration
	// RideThrough is how long task leases are granted without contact with the store.
	RideThrough time.Duration
	// Table is the table in force when the owner starts.
	Table *table.Table
	// HasEnded reports whether process v no longer grants leases of the shard: it
	// has died, or answers that it is not the owner. It may block.
	HasEnded func(ctx context.Context, v fleet.ProcessIncarnation) bool
	// HoldsLease reports whether this process holds the lease on the shard at now, by its own clock.
	HoldsLease func(now time.Time) bool
	// SendOrder sends an order to an agent. It must not block.
	SendOrder func(to fleet.ID, o message.Order)
	// Logger logs the events of the owner.
	Logger *log.Logger

	ready       chan struct{}
	initOnce    sync.Once
	epoch       task.Epoch
	predecessor fleet.ProcessIncarnation
	runner      *runner.Runner[task.Event, task.Action]
	machine     *task.Machine
	placer      *place.Placer[task.ID]
	shares      *place.Shares
	claims      *claims

	// The actor alone uses lastRequest and pendingReplies.
	lastRequest    task.RequestID
	pendingReplies map[task.RequestID]chan task.Reply

	mu            sync.Mutex
	committed     *state
	committedMark decidejournal.Mark
	lost          chan struct{}
	lostOnce      sync.Once
}

// Ready returns a channel that is closed once the owner has replayed the journal
// and handles requests.
func (o *Owner) Ready() <-chan struct{} {
	o.initialise()
	return o.ready
}

func (o *Owner) initialise() {
	o.initOnce.Do(func() {
		o.ready = make(chan struct{})
		o.lost = make(chan struct{})
		o.pendingReplies = make(map[task.RequestID]chan task.Reply)
	})
}

// Run takes the shard over and owns it until ctx ends. It returns ErrNotOwner once
// the ownership is lost.
func (o *Owner) Run(ctx context.Context) error {
	o.initialise()
	o.Log.OnFenced = o.endOwnership
	sent := time.Now()
	r, err := o.Log.Open(ctx)
	if err != nil {
		return err
	}
	defer o.Log.Close()
	if err := o.buildMachines(r); err != nil {
		return err
	}
	o.runner.Start()
	defer o.runner.Stop()
	o.claims.runner.Start()
	defer o.claims.runner.Stop()
	predecessors := o.predecessorState(ctx, r.PreviousOwner)
	o.runner.Send(task.Takeover{Epoch: o.epoch, Previous: predecessors, SentAt: sent})
	close(o.ready)
	if predecessors == task.PreviousOwnerGone {
		o.recordPredecessorsEnded(ctx)
	} else {
		go o.watchPredecessor(ctx, time.Now())
	}
	o.Logger.Info().Str("event", "shardOwned").Int("shard", o.Shard).Uint64("epoch", uint64(r.Epoch)).Int("records", len(r.Records)).Msg("")
	return o.loop(ctx)
}

// buildMachines creates the state machines and the committed state from a replay.
func (o *Owner) buildMachines(r journal.Replay) error {
	live, err := restoreState(r.Snapshot, r.Records)
	if err != nil {
		return err
	}
	o.committed, err = restoreState(r.Snapshot, r.Records)
	if err != nil {
		return err
	}
	o.claims = newClaims(o, live.claims)
	o.committedMark = r.Mark
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
		State: live.tasks, Placer: o.placer, Lease: o.TaskLease, RideThrough: o.RideThrough, ClockDrift: maxClockDrift,
		StartTimeout: taskStartTimeout, Retention: endedJobRetention, GiveUpAfter: unplaceableJobTimeout,
	}
	o.runner = &runner.Runner[task.Event, task.Action]{System: o.System, Machine: o.machine, Execute: o.execute}
	return nil
}

func (o *Owner) loop(ctx context.Context) error {
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	snap := time.NewTicker(snapshotInterval)
	defer snap.Stop()
	for {
		select {
		case <-tick.C:
			o.runner.Send(task.Tick{})
		case <-snap.C:
			o.snapshotIfDue(ctx)
		case <-o.lost:
			// The machine grants no more leases, whatever events still reach it.
			o.runner.Send(task.OwnerFenced{})
			return ErrNotOwner
		case <-ctx.Done():
			return nil
		}
	}
}

// endOwnership makes Run return ErrNotOwner. It is safe for concurrent use.
func (o *Owner) endOwnership() {
	o.lostOnce.Do(func() { close(o.lost) })
}

// execute executes an action of the task machine. It runs in the actor.
func (o *Owner) execute(a task.Action) {
	switch a := a.(type) {
	case task.Commit:
		o.commit(a)
	case task.Reply:
		if c := o.pendingReplies[a.Request]; c != nil {
			delete(o.pendingReplies, a.Request)
			c <- a
		}
	case task.JobEnded:
		o.Logger.Info().Str("event", "jobEnded").Str("job", string(a.ID)).Str("phase", a.Phase.String()).Str("reason", a.Reason).Msg("")
	case task.OwnershipLost:
		o.endOwnership()
	default:
		if to, m, ok := message.NewOrder(a); ok {
			m.Shard = host.Shard(o.Shard)
			o.SendOrder(to, m)
		}
	}
}

// commit appends records to the journal and notifies the task machine once they
// are committed.
func (o *Owner) commit(c task.Commit) {
	records, err := encodeTaskRecords(c.Records)
	if err != nil {
		o.Logger.Error().Str("event", "recordFailed").Int("shard", o.Shard).Err(err).Msg("")
		o.endOwnership()
		return
	}
	sent := time.Now()
	o.Log.Submit(func(m decidejournal.Mark, err error) {
		if err != nil {
			o.Logger.Warn().Str("event", "commitFailed").Int("shard", o.Shard).Err(err).Msg("")
			o.runner.Send(task.OwnerFenced{})
			o.endOwnership()
			return
		}
		if err := o.applyCommitted(m, records); err != nil {
			o.Logger.Error().Str("event", "recordFailed").Int("shard", o.Shard).Err(err).Msg("")
			o.endOwnership()
			return
		}
		o.runner.Send(task.Committed{Token: c.Token, SentAt: sent})
	}, records...)
}

// applyCommitted applies committed records to the state from which snapshots are
// written.
func (o *Owner) applyCommitted(m decidejournal.Mark, records [][]byte) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, r := range records {
		if err := o.committed.applyRecord(r); err != nil {
			return err
		}
	}
	o.committedMark = m
	return nil
}

// snapshotIfDue writes a snapshot if the journal has reached snapshotThreshold.
func (o *Owner) snapshotIfDue(ctx context.Context) {
	if o.Log.BytesSinceSnapshot() < snapshotThreshold {
		return
	}
	o.mu.Lock()
	b, err := o.committed.encodeSnapshot()
	m := o.committedMark
	o.mu.Unlock()
	if err == nil {
		err = o.Log.Snapshot(ctx, b, m)
	}
	if err != nil {
		o.Logger.Warn().Str("event", "snapshotFailed").Int("shard", o.Shard).Err(err).Msg("")
	}
}
