// Package hostagent is the part of the system on a host of a worker: it keeps
// the worker's lease alive while the scheduler vouches for it, carries out the
// scheduler's orders, tells what runs and ends, and paces the filling tasks.
package hostagent

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/sesamestream/sesamestream/internal/eventlog"
	"github.com/sesamestream/sesamestream/internal/link"
	"github.com/sesamestream/sesamestream/pkg/batch"
	"github.com/sesamestream/sesamestream/pkg/decide/interfere"
	"github.com/sesamestream/sesamestream/pkg/decide/pacing"
	"github.com/sesamestream/sesamestream/pkg/fleet"
)

// LeaseGrant is how long a host keeps its worker's lease alive after it last heard
// the scheduler. It outlasts the restart of a process and a failover, and is
// below the time in which a lasting task has to run again.
const LeaseGrant = 4 * time.Second

const (
	// orderTimeout bounds one call of an order; a worker on the same host answers in a few milliseconds.
	orderTimeout = 400 * time.Millisecond
	// orderPause is the pause before an unanswered order is sent again.
	orderPause = 60 * time.Millisecond
	// startTries is how often a start is sent before it's taken back.
	startTries = 4
	// holdWait is how long a look waits for an end: each look brings new load figures.
	holdWait = batch.LoadWindow
	// ackWait is the wait of a look while the scheduler hasn't taken the snapshot in.
	ackWait = 100 * time.Millisecond
	// lookPause is the pause between looks that would be answered at once.
	lookPause = 50 * time.Millisecond
	// holdSlack is how much later than asked for a look may return.
	holdSlack = 500 * time.Millisecond
	// lapseSlack covers the worker's clock, which may be 2% slow over a grant.
	lapseSlack = 150 * time.Millisecond
	// tellEvery is how often the scheduler is told how runs get on: each window of the load figures.
	tellEvery = batch.LoadWindow
	// goneKept is how many lives that are over are remembered, as late heartbeats of them may come.
	goneKept = 64
	// fenceRoom is how often a host may raise a session's fence by itself.
	fenceRoom = 64
)

// FencesPerSession is the distance between the fences of two sessions.
const FencesPerSession = fenceRoom

// An Agent serves the workers of one host. Its exported fields are set before Run.
type Agent struct {
	Log *eventlog.Log
	// Dial returns a client for a life of a worker.
	Dial func(netip.AddrPort, batch.WorkerKey) Worker
	// Send passes a message to the scheduler.
	Send func(link.Message) bool
	// Steady is the clock of the leases; it goes on while the machine is suspended.
	Steady func() time.Duration
	// MaxLease is the longest lease that a worker takes.
	MaxLease time.Duration
	// RenewSession asks for a new session; it's called once the fences of this one are used up.
	RenewSession func()

	mu sync.Mutex
	// closed is set once nothing more begins.
	closed  bool
	ctx     context.Context
	begun   time.Duration
	workers map[batch.WorkerKey]*held
	gone    []batch.WorkerKey
	// fence is that of the session; 0 without one.
	fence int64
	// highest is the highest fence that was used in the session.
	highest int64
	// replaced are lives that are over, of which the scheduler isn't told yet,
	// and when it is at the latest.
	replaced map[batch.WorkerKey]time.Duration
	// granted is when the session's lease ends, by Steady.
	granted time.Duration
	// pressure is what the scheduler learned of images.
	pressure map[interfere.Pair]float64
	idle     map[fleet.Kind]time.Duration
	ended    sync.WaitGroup
}

// held is a worker of this host.
type held struct {
	agent  *Agent
	info   batch.Worker
	seq    int64
	client Worker
	ctx    context.Context
	cancel context.CancelFunc
	// changed wakes the holder.
	changed chan struct{}
	look    context.CancelFunc

	fence int64
	// joined is the fence under which a snapshot was sent, acked that it was taken in.
	joined int64
	acked  bool
	// clock is the worker's clock at the steady time clockAt.
	clock   time.Duration
	clockAt time.Duration
	sampled bool
	// until is the latest end of a lease that was asked for, by Steady.
	until time.Duration
	// before is what until was before the last order that asked for a lease.
	before time.Duration
	// leases counts the orders that asked for one.
	leases   int
	lapsed   bool
	failing  bool
	reported int64
	noted    int64
	facts    map[batch.Task]link.RunInfo
	// there are the runs that the worker said it has.
	there map[batch.Task]present
	// found are runs that were there before this process.
	found  map[batch.Task]bool
	pacing pacing.Machine
	// paces wait to be sent to the worker.
	paces     map[paced]int
	pacingNow bool
	told      time.Time
	saved     map[batch.Task]string
}

// Run serves until ctx ends.
func (a *Agent) Run(ctx context.Context) error {
	a.mu.Lock()
	a.ctx, a.begun = ctx, a.Steady()
	a.workers, a.replaced = map[batch.WorkerKey]*held{}, map[batch.WorkerKey]time.Duration{}
	a.mu.Unlock()
	<-ctx.Done()
	// Nothing begins after this, so that all that has begun can be waited for.
	a.mu.Lock()
	a.closed = true
	a.mu.Unlock()
	a.ended.Wait()
	return nil
}

// SetMaxLease changes the longest lease that a worker takes.
func (a *Agent) SetMaxLease(t time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.MaxLease = t
}

// Workers returns the lives of which the scheduler is told: those that are held,
// and those whose end it isn't told yet.
func (a *Agent) Workers() []batch.WorkerKey {
	a.mu.Lock()
	defer a.mu.Unlock()
	var ks []batch.WorkerKey
	for k := range a.workers {
		ks = append(ks, k)
	}
	for k := range a.replaced {
		ks = append(ks, k)
	}
	return ks
}

// NoPriorRuns reports whether nothing that was started before can run on this host:
// it has no worker, and the leases that the process before it renewed are over.
func (a *Agent) NoPriorRuns() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.ctx != nil && len(a.workers) == 0 && len(a.replaced) == 0 && a.Steady()-a.begun > LeaseGrant+lapseSlack
}

// Heartbeat takes a heartbeat.
func (a *Agent) Heartbeat(r Heartbeat) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.ctx == nil || a.closed {
		return false
	}
	k := r.Worker.Key()
	for _, g := range a.gone {
		if g == k {
			return true
		}
	}
	h := a.workers[k]
	if h == nil {
		for o, x := range a.workers {
			if x.info.Address != r.Worker.Address && o.ID != k.ID {
				continue
			}
			if o.Born > k.Born {
				// A heartbeat of a life before, come late.
				return true
			}
			if o.ID == k.ID {
				a.replace(x, "another life took its place")
			} else {
				a.lose(x, "another worker took its place")
			}
		}
		a.hold(r)
		return true
	}
	if r.Seq <= h.seq {
		return true
	}
	h.seq = r.Seq
	changed := h.info.Draining != r.Worker.Draining || h.info.Room != r.Worker.Room
	h.info = r.Worker
	if changed {
		a.Log.Event(eventlog.WorkerChanged).Str("worker", k.ID).Bool("draining", r.Worker.Draining).Int64("seq", r.Seq).Msg("")
		if h.acked {
			a.Send(link.Message{WorkerUpdate: &link.WorkerUpdate{Worker: h.info}})
		}
	}
	return true
}

// WorkerLeft takes the notice that a worker has ended.
func (a *Agent) WorkerLeft(id string, born int64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	for k, h := range a.workers {
		if k.ID == id && (born == 0 || k.Born == born) {
			a.lose(h, "left")
		}
	}
	return true
}

func (a *Agent) hold(r Heartbeat) {
	h := &held{
		agent: a, info: r.Worker, seq: r.Seq, fence: a.raise(),
		// The process before this one may have asked for a lease just before it ended.
		until:   a.Steady() + LeaseGrant,
		changed: make(chan struct{}, 1), facts: map[batch.Task]link.RunInfo{}, there: map[batch.Task]present{}, saved: map[batch.Task]string{}, paces: map[paced]int{}, found: map[batch.Task]bool{},
	}
	ad, err := netip.ParseAddrPort(r.Worker.Address)
	if err != nil {
		a.Log.Warning(eventlog.ReportRejected).Str("worker", r.Worker.ID).Err(err).Msg("")
		return
	}
	h.client = a.Dial(ad, r.Worker.Key())
	h.ctx, h.cancel = context.WithCancel(a.ctx)
	a.workers[r.Worker.Key()] = h
	a.Log.Event(eventlog.WorkerJoined).Str("worker", r.Worker.ID).Int64("born", r.Worker.Born).Str("address", r.Worker.Address).
		Int64("seq", r.Seq).Msg("")
	a.ended.Go(h.run)
}

// SessionOpened opens a session: all workers are fenced anew.
func (a *Agent) SessionOpened(w link.Welcome) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.fence, a.highest, a.granted = w.Fence, w.Fence, 0
	for _, h := range a.workers {
		h.refence(w.Fence)
	}
}

// SessionGranted extends the session's lease, counted from when the ping was sent.
func (a *Agent) SessionGranted(sent, grant time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.granted = max(a.granted, sent+grant)
}

// SessionLost ends the session; the leases run on until their end.
func (a *Agent) SessionLost() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.fence = 0
	for _, h := range a.workers {
		h.acked, h.joined = false, 0
	}
}

func (h *held) refence(fence int64) {
	h.fence, h.joined, h.acked, h.lapsed = fence, 0, false, false
	h.wake()
	if h.look != nil {
		h.look()
	}
}

func (h *held) wake() {
	select {
	case h.changed <- struct{}{}:
	default:
	}
}

// HandleMessage takes what the scheduler says.
func (a *Agent) HandleMessage(m link.Message) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.ctx == nil || a.closed {
		return
	}
	switch {
	case m.SnapshotAck != nil:
		if h := a.workers[m.SnapshotAck.Key]; h != nil && h.fence != 0 && h.joined == h.fence {
			h.acked = true
			for _, f := range m.SnapshotAck.Runs {
				if _, ok := h.facts[f.Task]; !ok {
					h.found[f.Task] = true
				}
				h.facts[f.Task] = f
			}
		}
	case m.Interference != nil:
		a.idle = m.Interference.IdleTail
		a.pressure = make(map[interfere.Pair]float64, len(m.Interference.Entries))
		for _, e := range m.Interference.Entries {
			a.pressure[e.Pair] = float64(e.Weight)
		}
	case m.EndsAck != nil:
		if h := a.workers[m.EndsAck.Key]; h != nil {
			h.noted = max(h.noted, m.EndsAck.UpTo)
			h.wake()
		}
	case m.Start != nil:
		a.start(m.Start)
	case m.Stop != nil:
		if h := a.workers[m.Stop.Key]; h != nil && h.acked {
			fence := h.fence
			a.ended.Go(func() { h.stop(m.Stop.Task, m.Stop.Number, fence) })
		}
	}
}

func (a *Agent) start(s *link.Start) {
	h := a.workers[s.Key]
	refuse := link.Refusal("")
	switch {
	case h == nil || !h.acked:
		refuse = link.RefusedFenced
	case h.info.Draining:
		refuse = link.RefusedDraining
	}
	if refuse != "" {
		a.Send(link.Message{StartResult: &link.StartResult{Key: s.Key, Task: s.Task, Number: s.Number, Refusal: refuse}})
		return
	}
	h.facts[s.Task] = s.Info
	h.ordered(s.Task, s.Number)
	fence := h.fence
	a.ended.Go(func() { h.start(s, fence) })
}
