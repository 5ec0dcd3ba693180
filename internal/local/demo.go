package local

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"github.com/pkg/errors"
	"golang.org/x/time/rate"

	storestandin "github.com/sesamestream/sesamestream/internal/consul/standin"
	"github.com/sesamestream/sesamestream/internal/message"
	"github.com/sesamestream/sesamestream/internal/operator"
	"github.com/sesamestream/sesamestream/internal/peer"
	"github.com/sesamestream/sesamestream/internal/settings"
	"github.com/sesamestream/sesamestream/pkg/decide/task"
	"github.com/sesamestream/sesamestream/pkg/fleet"
	"github.com/sesamestream/sesamestream/pkg/table"
)

// ErrGuaranteeBroken is returned by a demonstration in which a promise broke.
var ErrGuaranteeBroken = errors.New("demo: a promise broke")

// The kinds of the demonstration.
const (
	kindGust     fleet.Kind = "gust"
	kindAlert    fleet.Kind = "alert"
	kindSession  fleet.Kind = "session"
	kindForecast fleet.Kind = "forecast"
)

// The course of the demonstration, from its start.
const (
	drainBy    = 3 * time.Second
	floodAt    = 4 * time.Second
	killAt     = 7 * time.Second
	floodUntil = 11 * time.Second
	outageAt   = 12 * time.Second
	outageEnd  = 15 * time.Second
	loadUntil  = 17 * time.Second
	doneBy     = 27 * time.Second
)

// The load, in requests a second.
const (
	rateGust    rate.Limit = 120
	rateAlert   rate.Limit = 10
	rateSession rate.Limit = 100
	rateFlood   rate.Limit = 2500
)

// The batch work.
const (
	demoJobs   = 4
	demoTasks  = 6
	demoLength = "3s"
)

// keptShare is the part of what a kind offers within its floor that it must keep.
const keptShare = 0.95

// demoDelay is how long a target takes for an answer.
const demoDelay = 40 * time.Millisecond

// A Demo runs a cluster under a mixed load with a flood, a crash and an outage.
// Its exported fields are set before Run.
type Demo struct {
	// Out takes the report.
	Out io.Writer
	// Dir takes keys.
	Dir string
	// Log takes the events of the processes.
	Log *log.Logger

	cluster *Cluster
	client  *operator.Client
	callers *CallerRecorder
	traffic *LoadGenerator
	jobs    []task.JobID
	lose    atomic.Bool
	lost    atomic.Int32
	began   time.Time
}

// Run runs the demonstration and returns ErrBroken where a promise broke.
func (d *Demo) Run(ctx context.Context) error {
	if err := d.prepare(); err != nil {
		return err
	}
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	ended := make(chan error, 1)
	go func() { ended <- d.cluster.Run(ctx) }()
	if err := d.ready(ctx); err != nil {
		stop()
		if x := <-ended; x != nil {
			err = x
		}
		return err
	}
	d.began = time.Now()
	d.course(ctx)
	r, err := d.report()
	stop()
	if x := <-ended; err == nil && x != nil {
		err = x
	}
	if err != nil {
		return err
	}
	return d.verdict(r)
}

func (d *Demo) prepare() error {
	d.callers = &CallerRecorder{}
	d.cluster = &Cluster{
		Kinds:       []fleet.Kind{kindGust, kindAlert, kindSession},
		TargetDelay: demoDelay,
		Tasks:       settings.Tasks{Lease: 6 * time.Second, RideThrough: time.Minute, Shards: 2},
		DropAnswer:  d.loseOne,
		Dir:         d.Dir,
		Log:         d.Log,
	}
	if err := d.cluster.Prepare(); err != nil {
		return err
	}
	d.client = d.cluster.Client()
	d.traffic = &LoadGenerator{Recorder: d.callers}
	for _, e := range d.cluster.Entries {
		d.traffic.Entries = append(d.traffic.Entries, e.Settings.Caller.Listen)
	}
	return nil
}

// Client returns a client of the first entry's operators' port.
func (c *Cluster) Client() *operator.Client {
	return c.ClientOf(c.Entries[0])
}

// ClientOf returns a client of the operators' port of a process.
func (c *Cluster) ClientOf(m *Member) *operator.Client {
	return &operator.Client{
		Address: m.Settings.Operator.Listen,
		Token:   c.secrets.OperatorToken,
		Keys:    &peer.Keys{Authority: c.authority.Pool()},
	}
}

// loseOne makes a target lose the answer of the request it is told.
func (d *Demo) loseOne(id string) bool {
	if id == lostRequest && d.lose.CompareAndSwap(true, false) {
		d.lost.Add(1)
		return true
	}
	return false
}

// ready sets the table and waits until every kind is served everywhere.
func (d *Demo) ready(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	if err := d.cluster.SetTable(ctx, DemoTable()); err != nil {
		return err
	}
	warm := &LoadGenerator{Recorder: &CallerRecorder{}, Entries: d.traffic.Entries}
	for i := range d.traffic.Entries {
		for n := 0; ; n++ {
			id := fmt.Sprintf("warm-%d-%d", i, n)
			if warm.Send(kindAlert, id, id, i) == fleet.Answered {
				break
			}
			if ctx.Err() != nil {
				return errors.New("demo: the deployment did not become ready")
			}
			time.Sleep(readyPoll)
		}
	}
	return nil
}

// The times of starting up.
const (
	readyTimeout = 20 * time.Second
	readyPoll    = 100 * time.Millisecond
)

// SetTable sets the first table, as soon as the deployment takes it.
func (c *Cluster) SetTable(ctx context.Context, t table.Table) error {
	for {
		err := c.Client().Call(ctx, http.MethodPost, operator.PathTable, operator.TableEdit{Table: t, By: "demo"}, nil)
		if err == nil || ctx.Err() != nil {
			return err
		}
		var r *operator.ResponseError
		if errors.As(err, &r) && r.Status == http.StatusConflict {
			return nil
		}
		time.Sleep(readyPoll)
	}
}

// at waits for a time of the course.
func (d *Demo) at(ctx context.Context, t time.Duration) {
	x := time.NewTimer(time.Until(d.began.Add(t)))
	defer x.Stop()
	select {
	case <-x.C:
	case <-ctx.Done():
	}
}

// course runs the load and the faults.
func (d *Demo) course(ctx context.Context) {
	load, stop := context.WithCancel(ctx)
	defer stop()
	go d.traffic.Run(load, Load{Kind: kindGust, Rate: rateGust})
	go d.traffic.Run(load, Load{Kind: kindAlert, Rate: rateAlert, Unrepeatable: true})
	go d.traffic.Run(load, Load{Kind: kindSession, Rate: rateSession})
	d.submit(ctx)
	d.tellTwice()
	d.tellLost()
	d.drain(ctx)
	d.at(ctx, floodAt)
	flood, ebb := context.WithCancel(ctx)
	defer ebb()
	d.traffic.InFlood.Store(true)
	go d.traffic.Run(flood, Load{Kind: kindSession, Rate: rateFlood})
	d.at(ctx, killAt)
	d.victim(ctx).Kill()
	d.at(ctx, floodUntil)
	ebb()
	d.traffic.InFlood.Store(false)
	d.at(ctx, outageAt)
	_ = d.cluster.Store.SetFault(storestandin.Fault{Mode: storestandin.Down})
	d.at(ctx, outageEnd)
	_ = d.cluster.Store.SetFault(storestandin.Fault{Mode: storestandin.Up})
	d.at(ctx, loadUntil)
	stop()
	d.traffic.Wait()
	d.finish()
}

// victim returns an agent of another data centre that owns no shard, so that
// its tasks are resumed within the time of the demonstration.
func (d *Demo) victim(ctx context.Context) *Member {
	for _, m := range d.cluster.Agents[agentsEach:] {
		var s []message.Status
		c := d.cluster.ClientOf(m)
		if err := c.Call(ctx, http.MethodGet, operator.PathStatus+"?only=self", nil, &s); err == nil && len(s[0].Shards) == 0 {
			return m
		}
	}
	return d.cluster.Agents[len(d.cluster.Agents)-1]
}

// submit submits the batch work.
func (d *Demo) submit(ctx context.Context) {
	for i := range demoJobs {
		j := operator.Job{
			ID: task.JobID(fmt.Sprintf("forecast-%d", i)), Kind: kindForecast, Team: "forecasters",
			Class: table.ClassBatch, Tasks: demoTasks, Command: demoLength,
			Resources: fleet.Resources{Processors: 1000, Memory: 1 << 30, Slots: 1},
		}
		if err := d.client.Call(ctx, http.MethodPost, operator.PathJobs, j, nil); err == nil {
			d.jobs = append(d.jobs, j.ID)
		}
	}
}

// twiceRequest is sent twice under one key; lostRequest loses its answer.
const (
	twiceRequest = "alert-twice"
	lostRequest  = "gust-lost"
)

// tellTwice sends one unrepeatable request through two entries under one key.
func (d *Demo) tellTwice() {
	first := d.traffic.Send(kindAlert, twiceRequest, twiceRequest, 0)
	second := d.traffic.Send(kindAlert, twiceRequest, twiceRequest, 1)
	d.printf("sent twice under one key through two entries: told %s, then %s; ran %d time(s)\n",
		first, second, d.cluster.TargetRecorder.Runs(twiceRequest))
}

// tellLost loses one answer of a repeatable request.
func (d *Demo) tellLost() {
	d.lose.Store(true)
	o := d.traffic.Send(kindGust, lostRequest, "", 0)
	d.printf("one target lost its answer (%d lost): the caller was told %s\n", d.lost.Load(), o)
}

// drain moves the tasks of one host away once it has some, which evicts them.
func (d *Demo) drain(ctx context.Context) {
	id := d.cluster.Agents[0].Settings.ID
	for time.Since(d.began) < drainBy && d.tasksOn(ctx, id) == 0 {
		time.Sleep(readyPoll)
	}
	if err := d.client.Call(ctx, http.MethodPost, operator.PathWorkers+"/"+string(id)+"/drain", nil, nil); err != nil {
		d.printf("drain failed: %v\n", err)
	}
	for time.Since(d.began) < floodAt && d.cluster.WorkerRecorder.Counts().Resumed == 0 {
		time.Sleep(readyPoll)
	}
	d.printf("drained the worker of %s: %d task(s) resumed from a checkpoint\n", id, d.cluster.WorkerRecorder.Counts().Resumed)
}

// tasksOn returns how many tasks a host has.
func (d *Demo) tasksOn(ctx context.Context, id fleet.ID) int {
	var all []operator.WorkerState
	if err := d.client.Call(ctx, http.MethodGet, operator.PathWorkers, nil, &all); err != nil {
		return 0
	}
	for _, w := range all {
		if w.ID == id {
			return w.Tasks
		}
	}
	return 0
}

// finish waits until all jobs are done.
func (d *Demo) finish() {
	for time.Since(d.began) < doneBy && d.unfinished() > 0 {
		time.Sleep(readyPoll)
	}
}

// unfinished counts the tasks of accepted jobs that no worker has run to their end.
func (d *Demo) unfinished() int {
	n := 0
	for _, j := range d.jobs {
		for i := range demoTasks {
			if d.cluster.WorkerRecorder.CompletedRuns(taskName(j, i, d.cluster.Tasks.Shards)) == 0 {
				n++
			}
		}
	}
	return n
}

func (d *Demo) printf(format string, args ...any) {
	_, _ = fmt.Fprintf(d.Out, format, args...)
}
