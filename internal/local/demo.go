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

// ErrGuaranteeBroken is returned by a demo in which the deployment broke one of its guarantees.
var ErrGuaranteeBroken = errors.New("demo: a guarantee was broken")

// The kinds of the demo.
const (
	kindGust     fleet.Kind = "gust"
	kindAlert    fleet.Kind = "alert"
	kindSession  fleet.Kind = "session"
	kindForecast fleet.Kind = "forecast"
)

// The schedule of the demo, as times since its start.
const (
	drainDeadline = 3 * time.Second
	floodStart    = 4 * time.Second
	killTime      = 7 * time.Second
	floodEnd      = 11 * time.Second
	outageStart   = 12 * time.Second
	outageEnd     = 15 * time.Second
	loadEnd       = 17 * time.Second
	jobsDeadline  = 27 * time.Second
)

// The load in requests per second.
const (
	gustRate    rate.Limit = 120
	alertRate   rate.Limit = 10
	sessionRate rate.Limit = 100
	floodRate   rate.Limit = 2500
)

// The batch work of the demo. The stand-in of a worker takes the command as a duration.
const (
	demoJobCount    = 4
	demoTasksPerJob = 6
	demoTaskCommand = "3s"
)

// minFloorShareAnswered is the share of a kind's requests within its floor that
// must be answered.
const minFloorShareAnswered = 0.95

// demoTargetDelay is how long a target takes to answer.
const demoTargetDelay = 40 * time.Millisecond

// A Demo runs a cluster under a mixed load with a request flood, a crash and a store outage.
// Its exported fields are set before Run.
type Demo struct {
	// Out receives the report.
	Out io.Writer
	// Dir is the folder for keys.
	Dir string
	// Log receives the events of the processes.
	Log *log.Logger

	cluster      *Cluster
	client       *operator.Client
	recorder     *CallerRecorder
	generator    *LoadGenerator
	acceptedJobs []task.JobID
	dropNext     atomic.Bool
	dropped      atomic.Int32
	startedAt    time.Time
}

// Run runs the demo and returns ErrGuaranteeBroken if a guarantee was broken.
func (d *Demo) Run(ctx context.Context) error {
	if err := d.prepare(); err != nil {
		return err
	}
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	ended := make(chan error, 1)
	go func() { ended <- d.cluster.Run(ctx) }()
	if err := d.waitReady(ctx); err != nil {
		stop()
		if runErr := <-ended; runErr != nil {
			err = runErr
		}
		return err
	}
	d.startedAt = time.Now()
	d.runScenario(ctx)
	r, err := d.report()
	stop()
	if runErr := <-ended; err == nil && runErr != nil {
		err = runErr
	}
	if err != nil {
		return err
	}
	return d.printResult(r)
}

func (d *Demo) prepare() error {
	d.recorder = &CallerRecorder{}
	d.cluster = &Cluster{
		Kinds:       []fleet.Kind{kindGust, kindAlert, kindSession},
		TargetDelay: demoTargetDelay,
		Tasks:       settings.Tasks{Lease: 6 * time.Second, RideThrough: time.Minute, Shards: 2},
		DropAnswer:  d.dropOnce,
		Dir:         d.Dir,
		Log:         d.Log,
	}
	if err := d.cluster.Prepare(); err != nil {
		return err
	}
	d.client = d.cluster.Client()
	d.generator = &LoadGenerator{Recorder: d.recorder}
	for _, e := range d.cluster.Entries {
		d.generator.Entries = append(d.generator.Entries, e.Settings.Caller.Listen)
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

// dropOnce reports whether a target drops its answer to a request. It does so once
// for droppedRequestID after dropNext is set.
func (d *Demo) dropOnce(id string) bool {
	if id == droppedRequestID && d.dropNext.CompareAndSwap(true, false) {
		d.dropped.Add(1)
		return true
	}
	return false
}

// waitReady sets the table and waits until a request is answered through each entry.
func (d *Demo) waitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	if err := d.cluster.SetTable(ctx, DemoTable()); err != nil {
		return err
	}
	warmUp := &LoadGenerator{Recorder: &CallerRecorder{}, Entries: d.generator.Entries}
	for i := range d.generator.Entries {
		for n := 0; ; n++ {
			id := fmt.Sprintf("warm-%d-%d", i, n)
			if warmUp.Send(kindAlert, id, id, i) == fleet.Answered {
				break
			}
			if ctx.Err() != nil {
				return errors.New("demo: the deployment did not become ready")
			}
			time.Sleep(pollInterval)
		}
	}
	return nil
}

// The time limit for the start of a deployment, and the interval of polls.
const (
	readyTimeout = 20 * time.Second
	pollInterval = 100 * time.Millisecond
)

// SetTable sets the first table. It retries until the deployment accepts the table
// or has one already, or until ctx ends.
func (c *Cluster) SetTable(ctx context.Context, t table.Table) error {
	for {
		err := c.Client().Call(ctx, http.MethodPost, operator.PathTable, operator.TableEdit{Table: t, By: "demo"}, nil)
		if err == nil || ctx.Err() != nil {
			return err
		}
		var response *operator.ResponseError
		if errors.As(err, &response) && response.Status == http.StatusConflict {
			return nil
		}
		time.Sleep(pollInterval)
	}
}

// waitUntil waits until t after the start of the demo, or until ctx ends.
func (d *Demo) waitUntil(ctx context.Context, t time.Duration) {
	timer := time.NewTimer(time.Until(d.startedAt.Add(t)))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// runScenario runs the load and injects the faults on schedule.
func (d *Demo) runScenario(ctx context.Context) {
	load, stopLoad := context.WithCancel(ctx)
	defer stopLoad()
	go d.generator.Run(load, Load{Kind: kindGust, Rate: gustRate})
	go d.generator.Run(load, Load{Kind: kindAlert, Rate: alertRate, Unrepeatable: true})
	go d.generator.Run(load, Load{Kind: kindSession, Rate: sessionRate})
	d.submitJobs(ctx)
	d.sendTwice()
	d.sendWithDroppedAnswer()
	d.drainHost(ctx)
	d.waitUntil(ctx, floodStart)
	flood, stopFlood := context.WithCancel(ctx)
	defer stopFlood()
	d.generator.InFlood.Store(true)
	go d.generator.Run(flood, Load{Kind: kindSession, Rate: floodRate})
	d.waitUntil(ctx, killTime)
	d.agentToKill(ctx).Kill()
	d.waitUntil(ctx, floodEnd)
	stopFlood()
	d.generator.InFlood.Store(false)
	d.waitUntil(ctx, outageStart)
	_ = d.cluster.Store.SetFault(storestandin.Fault{Mode: storestandin.Down})
	d.waitUntil(ctx, outageEnd)
	_ = d.cluster.Store.SetFault(storestandin.Fault{Mode: storestandin.Up})
	d.waitUntil(ctx, loadEnd)
	stopLoad()
	d.generator.Wait()
	d.waitForJobs()
}

// agentToKill returns an agent outside the first data centre that owns no shard, so
// that its tasks are resumed within the time of the demo. If there is none, it
// returns the last agent.
func (d *Demo) agentToKill(ctx context.Context) *Member {
	for _, m := range d.cluster.Agents[agentsPerDataCentre:] {
		var s []message.Status
		c := d.cluster.ClientOf(m)
		if err := c.Call(ctx, http.MethodGet, operator.PathStatus+"?only=self", nil, &s); err == nil && len(s[0].Shards) == 0 {
			return m
		}
	}
	return d.cluster.Agents[len(d.cluster.Agents)-1]
}

// submitJobs submits the batch jobs and records those that are accepted.
func (d *Demo) submitJobs(ctx context.Context) {
	for i := range demoJobCount {
		j := operator.Job{
			ID: task.JobID(fmt.Sprintf("forecast-%d", i)), Kind: kindForecast, Team: "forecasters",
			Class: table.ClassBatch, Tasks: demoTasksPerJob, Command: demoTaskCommand,
			Resources: fleet.Resources{Processors: 1000, Memory: 1 << 30, Slots: 1},
		}
		if err := d.client.Call(ctx, http.MethodPost, operator.PathJobs, j, nil); err == nil {
			d.acceptedJobs = append(d.acceptedJobs, j.ID)
		}
	}
}

// The IDs of the request that is sent twice under one key, and of the request whose
// answer is dropped.
const (
	duplicateRequestID = "alert-twice"
	droppedRequestID   = "gust-lost"
)

// sendTwice sends one unrepeatable request through two entries under one key and
// prints the outcomes.
func (d *Demo) sendTwice() {
	first := d.generator.Send(kindAlert, duplicateRequestID, duplicateRequestID, 0)
	second := d.generator.Send(kindAlert, duplicateRequestID, duplicateRequestID, 1)
	d.printf("sent twice under one key through two entries: told %s, then %s; ran %d time(s)\n",
		first, second, d.cluster.TargetRecorder.Runs(duplicateRequestID))
}

// sendWithDroppedAnswer sends a repeatable request whose first answer is dropped,
// and prints the outcome.
func (d *Demo) sendWithDroppedAnswer() {
	d.dropNext.Store(true)
	o := d.generator.Send(kindGust, droppedRequestID, "", 0)
	d.printf("one target lost its answer (%d lost): the caller was told %s\n", d.dropped.Load(), o)
}

// drainHost drains the worker of one host once it has tasks, which evicts them, and
// waits until one is resumed.
func (d *Demo) drainHost(ctx context.Context) {
	id := d.cluster.Agents[0].Settings.ID
	for time.Since(d.startedAt) < drainDeadline && d.tasksOn(ctx, id) == 0 {
		time.Sleep(pollInterval)
	}
	if err := d.client.Call(ctx, http.MethodPost, operator.PathWorkers+"/"+string(id)+"/drain", nil, nil); err != nil {
		d.printf("drain failed: %v\n", err)
	}
	for time.Since(d.startedAt) < floodStart && d.cluster.WorkerRecorder.Counts().Resumed == 0 {
		time.Sleep(pollInterval)
	}
	d.printf("drained the worker of %s: %d task(s) resumed from a checkpoint\n", id, d.cluster.WorkerRecorder.Counts().Resumed)
}

// tasksOn returns the number of tasks on a host.
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

// waitForJobs waits until all accepted jobs are done, or until jobsDeadline.
func (d *Demo) waitForJobs() {
	for time.Since(d.startedAt) < jobsDeadline && d.unfinishedTasks() > 0 {
		time.Sleep(pollInterval)
	}
}

// unfinishedTasks counts the tasks of accepted jobs that no worker has completed.
func (d *Demo) unfinishedTasks() int {
	n := 0
	for _, j := range d.acceptedJobs {
		for i := range demoTasksPerJob {
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
