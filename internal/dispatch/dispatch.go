// Package dispatch runs the elected scheduler: it holds the sessions of the
// nodes, feeds what they and the store tell into the decision, carries its
// orders to the hosts and keeps the jobs' progress in the store.
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
	"github.com/sesamestream/sesamestream/pkg/decide/schedule"
	"github.com/sesamestream/sesamestream/pkg/decide/succession"
)

const (
	// grantSlack covers clocks that are 2% slow and the way of a message.
	grantSlack = 150 * time.Millisecond
	// contactEvery is how old the last answer of a node in touch may be: a watch and a ping.
	contactEvery = 2500 * time.Millisecond
	// silentHost is how long a takeover waits for a host that it doesn't hear:
	// the last grant of the scheduler before it, and the time that one takes to notice.
	silentHost = hostagent.Grant + hostagent.Grant/20 + 1500*time.Millisecond
	// unawareTime is how long the scheduler before may go on without knowing of
	// this term while it still hears of new jobs: until its next renewal fails.
	unawareTime = 1500 * time.Millisecond
	// tickEvery is the resolution of the scheduler's own times.
	tickEvery = 100 * time.Millisecond
	// flushEvery is how long progress is collected for one write; ends are noted only after it.
	flushEvery = 120 * time.Millisecond
	// storeCall bounds other calls to the store.
	storeCall = 900 * time.Millisecond
	// fenceStep is how many sessions one term numbers.
	fenceStep = 100000
	// collectEvery is how often ended jobs are looked for.
	collectEvery = 10 * time.Second
	// mailbox is how many events may wait before the nodes' readers do.
	mailbox = 4096
)

// The keys of the scheduler in the store.
const (
	// InputPrefix is below which the entries write: jobs and cancellations.
	InputPrefix = "sesame/in/"
	// JobPrefix holds the jobs as they were accepted.
	JobPrefix = InputPrefix + "job/"
	// CancelPrefix holds the cancelled jobs.
	CancelPrefix = InputPrefix + "cancel/"
	// StatePrefix holds the progress, which only the scheduler writes.
	StatePrefix = "sesame/st/"
	nodePrefix  = "sesame/node/"
)

// A Dispatcher is one term of the scheduler. Its exported fields are set before Run.
type Dispatcher struct {
	Store kv.Store
	Term  *election.Term
	Node  string
	Log   *eventlog.Log
	// ConfigKey and DecodeConfig give the operators' configuration.
	ConfigKey    string
	DecodeConfig func([]byte) (batch.Config, error)
	// Keep is how long an ended job stays known.
	Keep time.Duration
	// Advise asks the policy service; nil where there is none.
	Advise Adviser
	// Announce tells a node without a session where the scheduler is.
	Announce func(address string, epoch int64)

	begun    time.Time
	events   chan func(now time.Time)
	plan     *schedule.Scheduler
	config   batch.Config
	sessions map[string]*session
	// nodes are the addresses of all nodes in the store.
	nodes map[string]node
	// unheard are the hosts that may run earlier work.
	unheard map[string]bool
	// fences counts the sessions of the term.
	fences int64
	// lapses are the workers of lost sessions, and when their leases are over.
	lapses map[batch.WorkerKey]time.Time
	// leaving are the hosts without a session, and when their leases are over.
	leaving map[string]time.Time
	// lastHeard tells when the nodes without a session were heard last.
	lastHeard map[string]time.Time
	// strongest is the strength of the strongest process that no work runs beside.
	strongest float64
	// notes are the ends that a worker may forget after the next flush.
	notes map[batch.WorkerKey]int64
	// revisions are those of the stored progress, jobRevisions those of the jobs' own keys.
	revisions, jobRevisions map[batch.JobID]kv.Revision
	// arrived are new jobs that came while the term may have been over.
	arrived []arrival
	// keeping counts the records that are being written for others.
	keeping int
	// writing is set while a flush is under way, loaded once the store was read.
	writing, loaded bool
	// These are the last times of what is done now and then.
	flushed, swept, shrunk, taught, keptPairs, told, handed time.Time
	ctx                                                     context.Context
	stopped                                                 sync.WaitGroup
	wants                                                   chan schedule.Want
}

type node struct {
	Address string `json:"address"`
	Host    bool   `json:"host"`
	// revision is that of its key.
	revision kv.Revision
	// forgotten nodes have no key any more, as their leases are over; they are
	// still told where the scheduler is.
	forgotten bool
	// life is that of the process that was last registered or seen in this term.
	life int64
}

// session is the link of one node.
type session struct {
	hello link.Hello
	conn  *link.Conn
	// fence is 0 until the session is welcomed.
	fence int64
	heard time.Time
	// granted is when the lease granted last is over at the latest.
	granted time.Time
	// before is when the lease of the session before is over.
	before time.Time
	// contact is when the store answered the node last, at the latest; zero where nothing is known.
	contact time.Time
	// inTouch is since when the store has answered it without a break.
	inTouch time.Time
	workers map[batch.WorkerKey]bool
	// wanted are the workers of which a snapshot is due.
	wanted map[batch.WorkerKey]bool
	// taught is what the host was told last of the images that run on it.
	taught interfere.Lesson
}

// Run schedules until ctx ends or the term is lost.
func (d *Dispatcher) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	d.ctx = ctx
	d.begun = time.Now()
	d.plan = schedule.New()
	d.sessions, d.nodes, d.unheard = map[string]*session{}, map[string]node{}, map[string]bool{}
	d.jobRevisions = map[batch.JobID]kv.Revision{}
	d.revisions, d.leaving, d.lastHeard = map[batch.JobID]kv.Revision{}, map[string]time.Time{}, map[string]time.Time{}
	d.lapses, d.notes = map[batch.WorkerKey]time.Time{}, map[batch.WorkerKey]int64{}
	d.wants = make(chan schedule.Want, adviceQueue)
	var g errgroup.Group
	g.Go(func() error { return d.load(ctx) })
	if d.Advise != nil {
		d.stopped.Go(func() { d.advise(ctx) })
	}
	d.loop(ctx)
	cancel()
	for _, s := range d.sessions {
		s.conn.Close()
	}
	err := g.Wait()
	d.stopped.Wait()
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// Open prepares the mailbox; it's called before Accept and Run.
func (d *Dispatcher) Open() { d.events = make(chan func(time.Time), mailbox) }

// post hands an event to the loop.
func (d *Dispatcher) post(f func(now time.Time)) bool {
	select {
	case d.events <- f:
		return true
	case <-d.Term.Lost():
		return false
	}
}

func (d *Dispatcher) loop(ctx context.Context) {
	tick := time.NewTicker(tickEvery)
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
		d.schedule(time.Now())
	}
}

// load reads all that the store holds and then follows its changes.
func (d *Dispatcher) load(ctx context.Context) error {
	var in, states, nodes []kv.Item
	var config, pairs kv.Item
	var from kv.Revision
	for {
		c, cancel := context.WithTimeout(ctx, 4*storeCall)
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
			if pairs, err = d.Store.Get(c, pairsKey); errors.Is(err, kv.ErrNotFound) {
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
	d.post(func(now time.Time) { d.take(now, in, states, nodes, config, pairs) })
	d.stopped.Go(func() { d.followConfig(ctx, config.Revision) })
	return d.follow(ctx, from)
}

// take takes in what the store held when the term began.
func (d *Dispatcher) take(now time.Time, in, states, nodes []kv.Item, config, pairs kv.Item) {
	d.learn(pairs)
	if len(config.Value) > 0 {
		d.configure(config)
	}
	progress := map[string]*schedule.Progress{}
	for _, i := range states {
		var p schedule.Progress
		if err := json.Unmarshal(i.Value, &p); err != nil {
			d.Log.Warning(eventlog.ReportRejected).Str("key", i.Key).Err(err).Msg("stored progress can't be read")
			d.revisions[batch.JobID(strings.TrimPrefix(i.Key, StatePrefix))] = i.Revision
			continue
		}
		id := strings.TrimPrefix(i.Key, StatePrefix)
		progress[id] = &p
		d.revisions[batch.JobID(id)] = i.Revision
	}
	for _, i := range nodes {
		var n node
		if err := json.Unmarshal(i.Value, &n); err != nil {
			d.Log.Warning(eventlog.ReportRejected).Str("key", i.Key).Err(err).Msg("stored node can't be read")
			continue
		}
		n.revision = i.Revision
		name := strings.TrimPrefix(i.Key, nodePrefix)
		d.nodes[name] = n
		if n.Host {
			d.unheard[name] = true
		}
	}
	for _, i := range in {
		if id, ok := strings.CutPrefix(i.Key, JobPrefix); ok {
			d.add(now, i, progress[id], i.Revision < d.Term.Epoch)
		}
	}
	for _, i := range in {
		if id, ok := strings.CutPrefix(i.Key, CancelPrefix); ok {
			d.plan.Cancel(now, batch.JobID(id))
		}
	}
	d.loaded = true
	for name, s := range d.sessions {
		d.welcome(now, name, s)
	}
	d.Log.Event(eventlog.StateLoaded).Int64("epoch", int64(d.Term.Epoch)).Int("jobs", len(in)).Int("nodes", len(nodes)).
		Dur("took", now.Sub(d.begun)).Msg("")
	d.settle(now)
}

// learn takes in what the scheduler before knew of images.
func (d *Dispatcher) learn(pairs kv.Item) {
	if len(pairs.Value) == 0 {
		return
	}
	p, err := codec.Decode[link.Pressure](pairs.Value)
	if err != nil {
		d.Log.Warning(eventlog.ReportRejected).Str("key", pairsKey).Err(err).Msg("stored pairs can't be read")
		return
	}
	d.plan.Learn(p.Entries, p.Idle)
}

// arrive takes a new job in, once no other term can have begun before it was
// stored: the next scheduler starts what came after its own begin at once, and
// takes all that came before it for work that may run.
func (d *Dispatcher) arrive(now time.Time, i kv.Item, earlier bool) {
	if !succession.Holds(now, d.Term.LastContact()) {
		d.arrived = append(d.arrived, arrival{i, earlier})
		return
	}
	d.add(now, i, nil, earlier)
}

// arrival is a new job that waits until it's sure that the term goes on.
type arrival struct {
	item    kv.Item
	earlier bool
}

// admit takes in the jobs that came while the term may have been over.
func (d *Dispatcher) admit(now time.Time) {
	if len(d.arrived) == 0 || !succession.Holds(now, d.Term.LastContact()) {
		return
	}
	for _, a := range d.arrived {
		d.add(now, a.item, nil, a.earlier)
	}
	d.arrived = nil
}

func (d *Dispatcher) add(now time.Time, i kv.Item, p *schedule.Progress, earlier bool) {
	if d.plan.Knows(batch.JobID(strings.TrimPrefix(i.Key, JobPrefix))) {
		return
	}
	var j batch.Job
	if err := json.Unmarshal(i.Value, &j); err != nil {
		d.Log.Warning(eventlog.ReportRejected).Str("key", i.Key).Err(err).Msg("stored job can't be read")
		return
	}
	d.plan.Add(now, &j, p, earlier)
	d.jobRevisions[j.ID] = i.Revision
	d.Log.Event(eventlog.JobQueued).Str("job", string(j.ID)).Str("queue", j.Queue).Int64("revision", int64(i.Revision)).
		Bool("earlier", earlier).Msg("")
}

func (d *Dispatcher) configure(i kv.Item) {
	c, err := d.DecodeConfig(i.Value)
	if err != nil {
		d.Log.Warning(eventlog.ConfigRejected).Err(err).Msg("")
		return
	}
	if c.Version < d.config.Version {
		return
	}
	d.config = c
	d.plan.Configure(&c)
	d.Log.Event(eventlog.ConfigInForce).Int64("version", c.Version).Int64("revision", int64(i.Revision)).Msg("")
}

// follow feeds new jobs and cancellations in.
func (d *Dispatcher) follow(ctx context.Context, from kv.Revision) error {
	for ctx.Err() == nil {
		items, upto, err := kv.WatchOnce(ctx, d.Store, InputPrefix, from)
		switch {
		case errors.Is(err, kv.ErrCompacted):
			c, cancel := context.WithTimeout(ctx, 4*storeCall)
			items, upto, err = d.Store.Range(c, InputPrefix)
			cancel()
			if err != nil {
				kv.WaitRetry(ctx)
				continue
			}
		case err != nil:
			kv.WaitRetry(ctx)
			continue
		}
		from = max(from, upto)
		if len(items) == 0 {
			continue
		}
		d.post(func(now time.Time) {
			for _, i := range items {
				if strings.HasPrefix(i.Key, JobPrefix) && !i.Removed {
					d.arrive(now, i, now.Sub(d.begun) < unawareTime)
				}
			}
			for _, i := range items {
				if id, ok := strings.CutPrefix(i.Key, CancelPrefix); ok && !i.Removed {
					d.plan.Cancel(now, batch.JobID(id))
				}
			}
		})
	}
	return ctx.Err()
}

func (d *Dispatcher) followConfig(ctx context.Context, from kv.Revision) {
	kv.Follow(ctx, d.Store, d.ConfigKey, from, func(i kv.Item) {
		d.post(func(time.Time) { d.configure(i) })
	}, func(error) {})
}
