// Package hostagent runs on each host with a worker. It renews the worker's
// lease while the scheduler grants it, passes on the scheduler's orders, reports
// running and ended runs, and throttles best-effort tasks.
package hostagent

import (
	"context"
	"maps"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/sesamestream/sesamestream/internal/eventlog"
	"github.com/sesamestream/sesamestream/internal/link"
	"github.com/sesamestream/sesamestream/pkg/batch"
	"github.com/sesamestream/sesamestream/pkg/decide/interfere"
	"github.com/sesamestream/sesamestream/pkg/decide/pacing"
	"github.com/sesamestream/sesamestream/pkg/fleet"
)

// LeaseGrant is how long a host renews its worker's lease after its last contact
// with the scheduler. It's longer than the restart of a process and a failover
// take, and shorter than the time within which a long-running task has to run again.
const LeaseGrant = 4 * time.Second

const (
	// orderTimeout bounds one call to the worker; a worker on the same host answers within a few milliseconds.
	orderTimeout = 400 * time.Millisecond
	// orderRetryPause is the pause before an unanswered order is sent again.
	orderRetryPause = 60 * time.Millisecond
	// maxStartAttempts is how often a start is sent before it's given up and stopped.
	maxStartAttempts = 4
	// pollWait is how long a poll waits for a run to end; one load window, so that each poll returns new load figures.
	pollWait = batch.LoadWindow
	// unackedPollWait is the wait of a poll until the scheduler has acknowledged the snapshot.
	unackedPollWait = 100 * time.Millisecond
	// pollPause is the pause between polls that would be answered without a wait.
	pollPause = 50 * time.Millisecond
	// delayedAckPollPause is the same while the acknowledgement of ends is delayed, which may take seconds.
	delayedAckPollPause = 100 * time.Millisecond
	// pollTimeoutSlack is how much longer than its wait a poll may take before it times out.
	pollTimeoutSlack = 500 * time.Millisecond
	// leaseClockSlack covers the drift of the worker's clock, which may run 2% slow during a LeaseGrant.
	leaseClockSlack = 150 * time.Millisecond
	// progressInterval is the time between two progress reports: one per load window.
	progressInterval = batch.LoadWindow
	// leaveTimeout is how long after its notice a worker that leaves may still answer.
	leaveTimeout = 500 * time.Millisecond
	// maxEndedWorkers is how many ended incarnations are remembered, so that their late heartbeats are ignored.
	maxEndedWorkers = 64
	// fencesPerSession is the number of fences that a host may use in one session without asking the scheduler.
	fencesPerSession = 64
)

// FencesPerSession is the distance between the fences of two sessions.
const FencesPerSession = fencesPerSession

// An Agent manages the workers of one host. Its exported fields must be set before Run.
type Agent struct {
	Log *eventlog.Log
	// Dial returns a client for a worker incarnation.
	Dial func(netip.AddrPort, batch.WorkerKey) Worker
	// Send sends a message to the scheduler.
	Send func(link.Message) bool
	// Steady is the monotonic clock for leases; it keeps counting while the machine is suspended.
	Steady func() time.Duration
	// MaxLease is the longest lease that a worker accepts.
	MaxLease time.Duration
	// RenewSession asks for a new session. It's called once the fences of the current one are used up.
	RenewSession func()

	mu sync.Mutex
	// closed is set once no new background work may start.
	closed bool
	ctx    context.Context
	// startedAt is when Run was called, by Steady.
	startedAt time.Duration
	workers   map[batch.WorkerKey]*workerHandle
	// endedWorkers are the last incarnations that were removed, oldest first.
	endedWorkers []batch.WorkerKey
	// inSession is set while there is a session.
	inSession bool
	// fence is the first fence of the last session; 0 before the first one.
	fence int64
	// highestFence is the highest fence used since that session began.
	highestFence int64
	// replaced are the ended incarnations that aren't reported as gone yet, with
	// the time by which they are.
	replaced map[batch.WorkerKey]time.Duration
	// named are the incarnations that the request for a session named.
	named []batch.WorkerKey
	// grantEnd is when the session's lease ends, by Steady.
	grantEnd time.Duration
	// interference are the scheduler's interference estimates between images.
	interference map[interfere.Pair]float64
	// idleTails are, by image, the lowest tail latencies of latency-critical tasks.
	idleTails  map[fleet.Kind]time.Duration
	background sync.WaitGroup
}

// workerHandle is the agent's state for one worker incarnation.
type workerHandle struct {
	agent  *Agent
	info   batch.Worker
	seq    int64
	client Worker
	ctx    context.Context
	cancel context.CancelFunc
	// wakeups ends the pause between two polls.
	wakeups chan struct{}
	// cancelPoll cancels the current poll.
	cancelPoll context.CancelFunc

	// fence is the fence of the orders to this worker; 0 if none is available.
	fence int64
	// generation counts the snapshots that were called for. Orders of an earlier generation are given up.
	generation int
	// snapshotTaken is set once the snapshot of the generation was sent, and snapshotAcked once the
	// scheduler has acknowledged it.
	snapshotTaken, snapshotAcked bool
	inFlight
	// openReported is set once the incarnation was reported as gone with starts that the next one may carry out.
	openReported bool
	// renewedAt is when the last poll was sent that may have changed the worker's state, by Steady.
	renewedAt time.Duration
	// clock is the worker's clock at the time clockReadAt, by Steady.
	clock       time.Duration
	clockReadAt time.Duration
	clockKnown  bool
	// answered is set once the worker has answered under a fence of its own, so that no call
	// to an earlier incarnation reaches it any more.
	answered bool
	// leaseEnd is the latest end of all leases that the worker may hold, by Steady.
	leaseEnd time.Duration
	// previousLeaseEnd is the value of leaseEnd before the last lease request.
	previousLeaseEnd time.Duration
	// leaseRequests counts the lease requests.
	leaseRequests int
	// leaseLapsed is set if the worker was reported as gone because its lease expired.
	leaseLapsed bool
	// leaveNoticed is set from a notice, at leaveNoticedAt by Steady, that this incarnation or an earlier one has
	// left, until this one is known to go on.
	leaveNoticed   bool
	leaveNoticedAt time.Duration
	// unresponsive is set if the last poll failed.
	unresponsive bool
	// reportedSeq is the sequence number of the last end that was reported to the scheduler.
	reportedSeq int64
	// ackedSeq is the sequence number of the last end that the scheduler acknowledged.
	ackedSeq int64
	// forgottenSeq is the highest number up to which the worker was told to forget its ends, and has answered.
	forgottenSeq int64
	runInfo      map[batch.Task]link.RunInfo
	// knownRuns are the runs that the worker should list.
	knownRuns map[batch.Task]knownRun
	// preexisting are the runs that were started before this process took over the worker.
	preexisting map[batch.Task]bool
	pacing      pacing.Machine
	// pendingPaces are the paces, in percent, that still have to be sent to the worker.
	pendingPaces map[runKey]int
	// sendingPaces is set while sendPaces runs.
	sendingPaces   bool
	progressSentAt time.Time
	// reportedCheckpoints are the checkpoints that were last reported to the scheduler.
	reportedCheckpoints map[batch.Task]string
}

// Run manages the workers until ctx is done.
func (a *Agent) Run(ctx context.Context) error {
	a.mu.Lock()
	a.ctx, a.startedAt = ctx, a.Steady()
	a.workers, a.replaced = map[batch.WorkerKey]*workerHandle{}, map[batch.WorkerKey]time.Duration{}
	a.mu.Unlock()
	<-ctx.Done()
	// No background work may start from here on, as it's waited for below.
	a.mu.Lock()
	a.closed = true
	a.mu.Unlock()
	a.background.Wait()
	return nil
}

// longestLease is how long a lease of any length lasts at most. The worker's clock may be 2% slow.
func (a *Agent) longestLease() time.Duration { return a.MaxLease + a.MaxLease/50 }

// SetMaxLease changes MaxLease while the agent runs.
func (a *Agent) SetMaxLease(t time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.MaxLease = t
}

// Workers returns the incarnations that the scheduler counts as present: the
// current ones, and ended ones that aren't reported as gone yet. They are named when a
// session is requested; those that end before it is opened are reported then.
func (a *Agent) Workers() []batch.WorkerKey {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.named = slices.AppendSeq(slices.Collect(maps.Keys(a.workers)), maps.Keys(a.replaced))
	return a.named
}

// NoPriorRuns reports whether no earlier run can still be running on this host:
// it has no worker, and the leases that the previous process renewed have expired.
func (a *Agent) NoPriorRuns() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.ctx != nil && len(a.workers) == 0 && len(a.replaced) == 0 && a.Steady()-a.startedAt > LeaseGrant+leaseClockSlack
}

// maxWorkers bounds the workers of a host, each of which is polled over connections of its own. A
// host has one worker, and for a short time its successor.
const maxWorkers = 64

// Heartbeat handles a worker's heartbeat, and reports whether the agent accepts heartbeats.
func (a *Agent) Heartbeat(r Heartbeat) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.ctx == nil || a.closed {
		return false
	}
	k := r.Worker.Key()
	for _, g := range a.endedWorkers {
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
			if o.StartTime > k.StartTime {
				// This is a late heartbeat of an earlier incarnation.
				return true
			}
			if o.ID == k.ID {
				a.replaceWorker(x, "another life took its place")
			} else {
				a.endWorker(x, "another worker took its place")
			}
		}
		if len(a.workers) >= maxWorkers {
			a.Log.Warning(eventlog.ReportRejected).Str("worker", k.ID).Str("why", "too many workers").Msg("")
			return false
		}
		a.addWorker(r)
		return true
	}
	if r.Seq <= h.seq {
		return true
	}
	h.seq = r.Seq
	if h.openReported {
		h.openReported = false
		a.Send(link.Message{WorkerGone: &link.WorkerGone{Key: k, Reason: "its life goes on", StillLives: true}})
	}
	// The scheduler counts down the time for which a worker is cold; only one that turns cold or warm is reported.
	turned := r.Worker.ColdRemaining > h.info.ColdRemaining || (r.Worker.ColdRemaining == 0) != (h.info.ColdRemaining == 0)
	changed := h.info.Draining != r.Worker.Draining || h.info.Capacity != r.Worker.Capacity || h.info.DataCentre != r.Worker.DataCentre || turned
	h.info = r.Worker
	if changed {
		a.Log.Event(eventlog.WorkerChanged).Str("worker", k.ID).Bool("draining", r.Worker.Draining).Int64("seq", r.Seq).Msg("")
		if h.snapshotTaken {
			// Links keep the order, so that this arrives after the snapshot that it changes.
			a.Send(link.Message{WorkerUpdate: &link.WorkerUpdate{Worker: h.info}})
		}
	}
	return true
}

// WorkerLeft handles a worker's notice that it has shut down. A notice that names no incarnation, with a startTime
// of 0, may be a late one of an earlier incarnation: the present one ends only once its address refuses connections.
func (a *Agent) WorkerLeft(id string, startTime int64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	for k, h := range a.workers {
		switch {
		case k.ID != id:
		case startTime == 0:
			h.leaveNoticed, h.leaveNoticedAt = true, a.Steady()
			a.Log.Event(eventlog.WorkerChanged).Str("worker", id).Int64("born", k.StartTime).Bool("leaves", true).Msg("")
		case k.StartTime == startTime:
			a.replaceWorker(h, "left")
		}
	}
	return true
}

// addWorker starts to poll a new worker incarnation.
func (a *Agent) addWorker(r Heartbeat) {
	h := &workerHandle{
		agent: a, info: r.Worker, seq: r.Seq, fence: a.nextFence(),
		inFlight: inFlight{earlierStartsEnd: a.startedAt + a.longestLease()},
		wakeups:  make(chan struct{}, 1), runInfo: map[batch.Task]link.RunInfo{}, knownRuns: map[batch.Task]knownRun{}, reportedCheckpoints: map[batch.Task]string{}, pendingPaces: map[runKey]int{}, preexisting: map[batch.Task]bool{},
	}
	ad, err := netip.ParseAddrPort(r.Worker.Address)
	if err != nil {
		a.Log.Warning(eventlog.ReportRejected).Str("worker", r.Worker.ID).Err(err).Msg("")
		return
	}
	h.client = a.Dial(ad, r.Worker.Key())
	h.ctx, h.cancel = context.WithCancel(a.ctx)
	a.workers[r.Worker.Key()] = h
	a.Log.Event(eventlog.WorkerJoined).Str("worker", r.Worker.ID).Int64("born", r.Worker.StartTime).Str("address", r.Worker.Address).
		Int64("seq", r.Seq).Msg("")
	a.background.Go(h.pollLoop)
}

// SessionOpened starts a session with the scheduler. All workers get its fence and send a new snapshot.
func (a *Agent) SessionOpened(w link.Welcome) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.inSession, a.fence, a.highestFence, a.grantEnd = true, w.Fence, w.Fence, 0
	for _, h := range a.workers {
		h.setFence(w.Fence)
	}
	for _, k := range a.named {
		if _, pending := a.replaced[k]; !pending && a.workers[k] == nil {
			a.reportGone(k, "ended before the session", nil)
		}
	}
	a.named = nil
}

// SessionGranted extends the session's lease by a grant that counts from when the ping was sent.
func (a *Agent) SessionGranted(sent, grant time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.grantEnd = max(a.grantEnd, sent+grant)
}

// SessionLost ends the session. Leases already granted to workers stay valid until they expire,
// and its fences stay those of this host: incarnations that start before the next session are
// fenced off from orders sent to earlier ones.
func (a *Agent) SessionLost() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.inSession = false
	for _, h := range a.workers {
		h.snapshotAcked, h.snapshotTaken = false, false
	}
}

// setFence moves the worker to a new fence, and restarts its poll to take a new snapshot.
func (h *workerHandle) setFence(fence int64) {
	h.fence = fence
	h.beginGeneration()
	h.wake()
	if h.cancelPoll != nil {
		h.cancelPoll()
	}
}

// beginGeneration calls for a new snapshot of the worker under its present fence.
func (h *workerHandle) beginGeneration() {
	h.generation++
	h.snapshotTaken, h.snapshotAcked, h.leaseLapsed, h.openReported = false, false, false, false
}

// wake ends the pause before the next poll.
func (h *workerHandle) wake() {
	select {
	case h.wakeups <- struct{}{}:
	default:
	}
}

// HandleMessage handles a message from the scheduler.
func (a *Agent) HandleMessage(m link.Message) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.ctx == nil || a.closed {
		return
	}
	switch {
	case m.SnapshotAck != nil:
		if h := a.workers[m.SnapshotAck.Key]; h != nil && h.fence != 0 && h.snapshotTaken {
			h.snapshotAcked = true
			for _, r := range m.SnapshotAck.Runs {
				if _, ok := h.runInfo[r.Task]; !ok {
					h.preexisting[r.Task] = true
				}
				h.runInfo[r.Task] = r
			}
		}
	case m.Interference != nil:
		a.idleTails = m.Interference.IdleTail
		a.interference = make(map[interfere.Pair]float64, len(m.Interference.Entries))
		for _, e := range m.Interference.Entries {
			a.interference[e.Pair] = float64(e.Weight)
		}
	case m.EndsAck != nil:
		if h := a.workers[m.EndsAck.Key]; h != nil {
			h.ackedSeq = max(h.ackedSeq, m.EndsAck.UpTo)
			h.wake()
		}
	case m.Start != nil:
		a.handleStart(m.Start)
	case m.Stop != nil:
		if h := a.workers[m.Stop.Key]; h != nil && h.snapshotAcked {
			generation := h.generation
			a.background.Go(func() { h.sendStop(m.Stop.Task, m.Stop.Number, generation) })
		}
	}
}

// handleStart refuses a start, or sends it to the worker in the background.
func (a *Agent) handleStart(s *link.Start) {
	h := a.workers[s.Key]
	refusal := link.Refusal("")
	switch {
	case h == nil || !h.snapshotAcked:
		refusal = link.RefusedFenced
	case h.info.Draining:
		refusal = link.RefusedDraining
	}
	if refusal != "" {
		a.Send(link.Message{StartResult: &link.StartResult{Key: s.Key, Task: s.Task, Number: s.Number, Refusal: refusal}})
		return
	}
	h.runInfo[s.Task] = s.Info
	h.startOrdered(s.Task, s.Number)
	generation := h.generation
	a.background.Go(func() { h.sendStart(s, generation) })
}
