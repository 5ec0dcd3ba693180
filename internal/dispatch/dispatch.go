// Package dispatch runs the elected scheduler. It holds the sessions with the
// nodes, passes reports of the nodes and changes in the store to the scheduling
// algorithm, sends its orders to the hosts and stores the progress of the jobs.
package dispatch

import (
	"context"
	"encoding/json"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/sesamestream/sesamestream/internal/codec"
	"github.com/sesamestream/sesamestream/internal/election"
	"github.com/sesamestream/sesamestream/internal/eventlog"
	"github.com/sesamestream/sesamestream/internal/hostagent"
	"github.com/sesamestream/sesamestream/internal/kv"
	"github.com/sesamestream/sesamestream/internal/link"
	"github.com/sesamestream/sesamestream/pkg/batch"
	"github.com/sesamestream/sesamestream/pkg/decide/interfere"
	"github.com/sesamestream/sesamestream/pkg/decide/overload"
	"github.com/sesamestream/sesamestream/pkg/decide/retention"
	"github.com/sesamestream/sesamestream/pkg/decide/schedule"
	"github.com/sesamestream/sesamestream/pkg/decide/succession"
)

const (
	// leaseGrantMargin is added to a granted lease when the scheduler computes its end.
	// With Grant/50 it covers host clocks that are 2% slow and the delay of the message.
	leaseGrantMargin = 150 * time.Millisecond
	// maxStoreContactAge is how old the store's last answer to a node may be for the node
	// to count as connected to the store: the time of a watch and a ping.
	maxStoreContactAge = 2500 * time.Millisecond
	// MaxLeaseDuration is how long after its grant a lease has ended for certain.
	MaxLeaseDuration = hostagent.LeaseGrant + hostagent.LeaseGrant/20 + 2*leaseGrantMargin
	// staleLeaderWindow is how long the previous scheduler may go on accepting new jobs
	// without knowing of this term: until its next lease renewal fails.
	staleLeaderWindow = 1500 * time.Millisecond
	// tickInterval is the resolution of the dispatcher's timeouts and intervals.
	tickInterval = 100 * time.Millisecond
	// flushInterval is how long progress is collected for one write; ends of runs are acknowledged only after the write.
	flushInterval = 120 * time.Millisecond
	// storeCallTimeout is how long a call to the store may make no progress.
	storeCallTimeout = 900 * time.Millisecond
	// loadTimeout is the same for the reads of all keys below a prefix, which take several calls.
	loadTimeout = 4 * storeCallTimeout
	// maxSessionsPerTerm is how many session fences are reserved for each term.
	maxSessionsPerTerm = 100000
	// collectInterval is how often expired jobs are removed.
	collectInterval = 10 * time.Second
	// eventQueueSize is how many events may be queued before the readers of the node links block.
	eventQueueSize = 4096
)

// Key prefixes of the scheduler in the store.
const (
	// InputPrefix holds what the entries write: jobs and cancellations.
	InputPrefix = "sesame/in/"
	// JobPrefix holds the accepted jobs.
	JobPrefix = InputPrefix + "job/"
	// CancelPrefix holds the cancellations of jobs.
	CancelPrefix = InputPrefix + "cancel/"
	// StatePrefix holds the progress of the jobs, which only the scheduler writes.
	StatePrefix = "sesame/st/"
	// nodePrefix holds the addresses of the nodes and whether they are hosts.
	nodePrefix = "sesame/node/"
)

// A Dispatcher runs the scheduler for one term. Its exported fields are set before Run.
type Dispatcher struct {
	Store kv.Store
	Term  *election.Term
	Node  string
	Log   *eventlog.Log
	// ConfigKey is the store key of the operators' configuration, DecodeConfig decodes its value.
	ConfigKey    string
	DecodeConfig func([]byte) (batch.Config, error)
	// EvacuationPrefix is the prefix of the store keys that request the evacuation of the data
	// centre that the rest of the key names; empty where there are no such requests.
	EvacuationPrefix string
	// Keep is how long ended jobs are retained.
	Keep time.Duration
	// JobMemory is how many bytes jobs may take; 0 is no bound.
	JobMemory int64
	// Advise calls the policy service; nil if there is none.
	Advise Adviser
	// HostWait is how long the scheduler waits for hosts that may run tasks under leases of earlier terms.
	HostWait succession.HostWait
	// Announce announces the scheduler to the node at address, which has no session; nil announces nothing.
	Announce func(address string, epoch int64)

	startTime time.Time
	events    chan func(now time.Time)
	scheduler *schedule.Scheduler
	config    batch.Config
	// evacuations are the data centres whose evacuation is requested, sorted.
	evacuations []string
	sessions    map[string]*session
	// nodes are the nodes registered in the store, by name, and those whose keys were removed in this term.
	nodes map[string]node
	// awaitedHosts are the hosts that may run tasks of an earlier term and haven't reported all their workers.
	awaitedHosts map[string]bool
	// sessionCount is the number of sessions opened in the term.
	sessionCount int64
	// workerLeaseEnds is when the leases of the workers of lost sessions end.
	workerLeaseEnds map[batch.WorkerKey]time.Time
	// hostLeaseEnds is when the last leases end that hosts got before their present sessions, or
	// in earlier terms. An entry is removed once it has passed.
	hostLeaseEnds map[string]time.Time
	// members are the other nodes that were answered in this term.
	members succession.Members
	// earlierLeasesEnd is when the leases of terms before the previous one have ended,
	// previousLeasesEnd when those of the previous one have.
	earlierLeasesEnd, previousLeasesEnd time.Time
	// strongest is the strength of the strongest process that isn't on a host.
	strongest float64
	// endAcks is, by worker, the highest sequence number of the ends of runs that are acknowledged after the next flush.
	endAcks map[batch.WorkerKey]int64
	// progressRevisions are the revisions of the progress keys, jobRevisions those of the job keys.
	progressRevisions, jobRevisions map[batch.JobID]kv.Revision
	// deferredJobs are new jobs that arrived while another term may have begun.
	deferredJobs []deferredJob
	// relayedWrites is the number of writes in progress for entries that lost the store.
	relayedWrites int
	// loadSummary is sent to the entries; nil until the scheduler has one.
	loadSummary *overload.Summary
	// memory measures what jobs take.
	memory retention.Meter
	// memoryReport is sent to the entries; nil until the state is loaded, or if there is no bound.
	memoryReport *retention.Report
	// expired are the jobs whose records, or cancellations, have expired and are still to be removed; collecting is set
	// while they are.
	expired    []batch.JobID
	collecting bool
	// flushing is set while a flush is in progress, loaded once the state in the store is read.
	flushing, loaded bool
	// Times of the last periodic actions.
	lastFlush, lastCollection, lastShrink, lastEstimatesSent,
	lastEstimatesStored, lastAnnounce, lastHandoverCheck, lastMemoryCheck time.Time

	ctx        context.Context
	background sync.WaitGroup
	// registrations holds an element for each write of a node's key in progress.
	registrations chan struct{}
}

// node is a registered process. Its exported fields are stored below nodePrefix.
type node struct {
	Address string `json:"address"`
	Host    bool   `json:"host"`
	// revision is the revision of the node's key.
	revision kv.Revision
	// keyRemoved is set once the key is, or may be, removed because the node's leases
	// have ended; the scheduler still announces itself to the node. The revision isn't
	// 0 if the removal has to be repeated.
	keyRemoved bool
	// incarnation is that of the process that last registered or connected in this term; 0 if none did.
	incarnation int64
}

// session is the session with one node.
type session struct {
	hello link.Hello
	conn  *link.Conn
	// fence is 0 until the session is opened.
	fence int64
	// lastContact is when the last message of the node arrived.
	lastContact time.Time
	// leaseEnd is the latest time at which the last granted lease ends.
	leaseEnd time.Time
	// previousLeaseEnd is when the last lease ends that the node got before the session, or that its workers held when they joined.
	previousLeaseEnd time.Time
	// storeContact is when the store last answered the node, as far as known; zero if unknown.
	storeContact time.Time
	// storeContactSince is when the current uninterrupted contact of the node with the store began.
	storeContactSince time.Time
	// workers are the workers of which the session received a snapshot.
	workers map[batch.WorkerKey]bool
	// registering is set while the key of the node is being written.
	registering bool
	// pendingSnapshots are the snapshots that wait for the registration, in the order of their arrival.
	pendingSnapshots []pendingSnapshot
	// awaitedSnapshots are the workers named in the hello whose snapshots haven't arrived.
	awaitedSnapshots map[batch.WorkerKey]bool
	// sentEstimates are the interference estimates last sent to the host.
	sentEstimates interfere.EstimateSet
}

// Run schedules until ctx ends or the term is lost.
func (d *Dispatcher) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	d.ctx = ctx
	d.startTime = time.Now()
	d.scheduler = schedule.New()
	d.sessions, d.nodes, d.awaitedHosts = map[string]*session{}, map[string]node{}, map[string]bool{}
	d.jobRevisions = map[batch.JobID]kv.Revision{}
	d.earlierLeasesEnd, d.previousLeasesEnd = d.startTime.Add(d.HostWait.Earlier), d.startTime.Add(d.HostWait.Previous)
	d.progressRevisions, d.hostLeaseEnds = map[batch.JobID]kv.Revision{}, map[string]time.Time{}
	d.workerLeaseEnds, d.endAcks = map[batch.WorkerKey]time.Time{}, map[batch.WorkerKey]int64{}
	d.registrations = make(chan struct{}, maxRegistrations)
	var g errgroup.Group
	g.Go(func() error { return d.load(ctx) })
	d.loop(ctx)
	cancel()
	for _, s := range d.sessions {
		s.conn.Close()
	}
	err := g.Wait()
	d.background.Wait()
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// Open creates the event queue; it must be called before Accept and Run.
func (d *Dispatcher) Open() { d.events = make(chan func(time.Time), eventQueueSize) }

// post queues an event for the loop and reports whether it did; false if the term is lost.
func (d *Dispatcher) post(f func(now time.Time)) bool {
	select {
	case d.events <- f:
		return true
	case <-d.Term.Lost():
		return false
	}
}

// loop handles events and ticks until ctx ends or the term is lost. All events
// in the queue are handled before each scheduling pass.
func (d *Dispatcher) loop(ctx context.Context) {
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.Term.Lost():
			return
		case f := <-d.events:
			f(time.Now())
		case <-tick.C:
			d.tick(time.Now())
		}
		for n := len(d.events); n > 0; n-- {
			(<-d.events)(time.Now())
		}
		d.schedulePass(time.Now())
	}
}

// load reads the state from the store, retrying until it succeeds, and then
// follows changes of the input and of the configuration.
func (d *Dispatcher) load(ctx context.Context) error {
	var in, states, nodes []kv.Item
	var config, estimates kv.Item
	var from kv.Revision
	for {
		c, cancel := kv.WithStallTimeout(ctx, loadTimeout, loadTimeout)
		g, c := errgroup.WithContext(c)
		g.Go(func() (err error) { in, from, err = d.Store.Range(c, InputPrefix); return err })
		g.Go(func() (err error) { states, _, err = d.Store.Range(c, StatePrefix); return err })
		g.Go(func() (err error) { nodes, _, err = d.Store.Range(c, nodePrefix); return err })
		g.Go(func() (err error) {
			if config, err = d.Store.Get(c, d.ConfigKey); errors.Is(err, kv.ErrNotFound) {
				return nil
			}
			return err
		})
		g.Go(func() (err error) {
			if estimates, err = d.Store.Get(c, estimatesKey); errors.Is(err, kv.ErrNotFound) {
				return nil
			}
			return err
		})
		err := g.Wait()
		cancel()
		if err == nil {
			break
		}
		d.Log.Warning(eventlog.StoreLost).Str("call", "load").Err(err).Msg("")
		if !kv.WaitRetry(ctx) {
			return ctx.Err()
		}
	}
	// The reads above may take seconds, so that requests read beside them would be as old at the first start.
	evacuationKeys, evacuationsFrom, err := d.readEvacuations(ctx)
	if err != nil {
		return err
	}
	d.post(func(now time.Time) {
		// The requests in force apply before the first start of the term.
		d.applyEvacuations(evacuationKeys)
		d.restore(now, in, states, nodes, config, estimates)
	})
	if d.EvacuationPrefix != "" {
		d.background.Go(func() { d.followEvacuations(ctx, evacuationKeys, evacuationsFrom) })
	}
	d.background.Go(func() { d.followConfig(ctx, config.Revision) })
	return d.followInput(ctx, from)
}

// restore sets the state of the dispatcher from what the store held when the term began.
func (d *Dispatcher) restore(now time.Time, in, states, nodes []kv.Item, config, estimates kv.Item) {
	d.restoreEstimates(estimates)
	if len(config.Value) > 0 {
		d.applyConfig(config)
	}
	progress := map[string]*schedule.Progress{}
	for _, i := range states {
		var p schedule.Progress
		if err := json.Unmarshal(i.Value, &p); err != nil {
			d.Log.Warning(eventlog.ReportRejected).Str("key", i.Key).Err(err).Msg("stored progress can't be decoded")
			d.progressRevisions[batch.JobID(strings.TrimPrefix(i.Key, StatePrefix))] = i.Revision
			continue
		}
		id := strings.TrimPrefix(i.Key, StatePrefix)
		progress[id] = &p
		d.progressRevisions[batch.JobID(id)] = i.Revision
	}
	for _, i := range nodes {
		var n node
		if err := json.Unmarshal(i.Value, &n); err != nil {
			d.Log.Warning(eventlog.ReportRejected).Str("key", i.Key).Err(err).Msg("stored node can't be decoded")
			continue
		}
		n.revision = i.Revision
		name := strings.TrimPrefix(i.Key, nodePrefix)
		d.nodes[name] = n
		if n.Host {
			d.awaitedHosts[name] = true
			d.hostLeaseEnds[name] = d.hostWaitEnd()
		}
	}
	for _, i := range in {
		if id, ok := strings.CutPrefix(i.Key, JobPrefix); ok {
			d.addJob(now, i, progress[id], i.Revision < d.Term.Epoch)
		}
	}
	for _, i := range in {
		if id, ok := strings.CutPrefix(i.Key, CancelPrefix); ok {
			d.scheduler.Cancel(now, batch.JobID(id))
		}
	}
	d.loaded = true
	for name, s := range d.sessions {
		d.openSession(now, name, s)
	}
	d.Log.Event(eventlog.StateLoaded).Int64("epoch", int64(d.Term.Epoch)).Int("jobs", len(in)).Int("nodes", len(nodes)).
		Dur("took", now.Sub(d.startTime)).Msg("")
	d.announce(now)
	d.tryCompleteTakeover(now)
}

// announce announces the scheduler to the nodes without a session.
func (d *Dispatcher) announce(now time.Time) {
	if d.Announce == nil {
		return
	}
	d.lastAnnounce = now
	for name, n := range d.nodes {
		if d.sessions[name] == nil {
			d.Announce(n.Address, int64(d.Term.Epoch))
		}
	}
}

// restoreEstimates loads the interference estimates stored by the previous scheduler.
func (d *Dispatcher) restoreEstimates(estimates kv.Item) {
	if len(estimates.Value) == 0 {
		return
	}
	p, err := codec.Decode[link.Interference](estimates.Value)
	if err != nil {
		d.Log.Warning(eventlog.ReportRejected).Str("key", estimatesKey).Err(err).Msg("stored interference estimates can't be decoded")
		return
	}
	d.scheduler.LoadInterferenceEstimates(p.Entries, p.IdleTail)
}

// applyConfig applies a stored configuration unless it's older than the one in force.
func (d *Dispatcher) applyConfig(i kv.Item) {
	c, err := d.DecodeConfig(i.Value)
	if err != nil {
		d.Log.Warning(eventlog.ConfigRejected).Err(err).Msg("")
		return
	}
	if c.Version < d.config.Version {
		return
	}
	d.config = c
	d.scheduler.Configure(&c)
	d.Log.Event(eventlog.ConfigApplied).Int64("version", c.Version).Int64("revision", int64(i.Revision)).Msg("")
}

// followInput watches the store for new jobs and cancellations. If the history
// of the watch was compacted or exceeds a reply, it reads them all again.
func (d *Dispatcher) followInput(ctx context.Context, from kv.Revision) error {
	cursor := kv.NewCursor(from)
	for ctx.Err() == nil {
		items, upto, err := kv.WatchOnce(ctx, d.Store, InputPrefix, cursor.From())
		switch {
		case errors.Is(err, kv.ErrCompacted), errors.Is(err, kv.ErrReplyTooLarge):
			c, cancel := kv.WithStallTimeout(ctx, loadTimeout, loadTimeout)
			items, upto, err = d.Store.Range(c, InputPrefix)
			cancel()
			if err != nil {
				kv.WaitRetry(ctx)
				continue
			}
			cursor = kv.NewCursor(upto)
		case err != nil:
			kv.WaitRetry(ctx)
			continue
		default:
			cursor.Advance(time.Now(), len(items), upto)
		}
		if len(items) == 0 {
			continue
		}
		d.post(func(now time.Time) {
			for _, i := range items {
				if strings.HasPrefix(i.Key, JobPrefix) && !i.Removed {
					d.addOrDefer(now, i, now.Sub(d.startTime) < staleLeaderWindow)
				}
			}
			for _, i := range items {
				if id, ok := strings.CutPrefix(i.Key, CancelPrefix); ok && !i.Removed {
					d.scheduler.Cancel(now, batch.JobID(id))
				}
			}
		})
	}
	return ctx.Err()
}

// followConfig applies each new configuration in the store until ctx ends.
func (d *Dispatcher) followConfig(ctx context.Context, from kv.Revision) {
	kv.Follow(ctx, d.Store, d.ConfigKey, from, func(i kv.Item) {
		d.post(func(time.Time) { d.applyConfig(i) })
	}, func(error) {})
}
