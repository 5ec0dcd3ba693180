// Package fleet_test runs whole deployments in one process under a paused
// clock: real nodes, agents, schedulers and gateways over stand-ins of the
// store, the network and the workers, and checks what callers and workers see.
package fleet_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/netip"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/sesamestream/sesamestream/internal/control"
	"github.com/sesamestream/sesamestream/internal/eventlog"
	"github.com/sesamestream/sesamestream/internal/gateway"
	"github.com/sesamestream/sesamestream/internal/hostagent"
	"github.com/sesamestream/sesamestream/internal/hostagent/standin"
	"github.com/sesamestream/sesamestream/internal/kv/memory"
	network "github.com/sesamestream/sesamestream/internal/link/memory"
	"github.com/sesamestream/sesamestream/pkg/batch"
	"github.com/sesamestream/sesamestream/test/history"
)

const configKey = "config"

var room = batch.Resources{MilliCPU: 4000, MemoryMB: 8000}

// rig is a deployment.
type rig struct {
	t       *testing.T
	store   memory.Store
	net     network.Net
	begin   time.Time
	procs   []*proc
	history *history.History
	rand    *rand.Rand
	// log takes what the processes write: the file LOGS.SEED if LOGS is set, or nothing.
	log io.Writer
}

// proc is a machine: its process may end and start again, its worker lives on.
type proc struct {
	r      *rig
	name   string
	addr   netip.AddrPort
	host   bool
	cores  float64
	store  *memory.Client
	ctl    *control.Process
	cancel context.CancelFunc
	done   chan struct{}

	mu     sync.Mutex
	worker *standin.Worker
	born   int64
}

// newRig starts a deployment; cores are those of its first processes, the others have enough.
func newRig(t *testing.T, seed uint64, entries, hosts int, cores ...float64) *rig {
	r := &rig{t: t, begin: time.Now(), rand: rand.New(rand.NewPCG(seed, 1))}
	r.history = history.New(t, r.begin)
	r.log = io.Discard
	if name := os.Getenv("LOGS"); name != "" {
		f, err := os.Create(fmt.Sprint(name, ".", seed))
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = f.Close() })
		r.log = f
	}
	r.configure(1)
	for i := range entries + hosts {
		a := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), 7000)
		p := &proc{r: r, name: fmt.Sprintf("n%d", i), addr: a, host: i >= entries, store: &memory.Client{Store: &r.store}}
		if i < len(cores) {
			p.cores = cores[i]
		}
		if p.host {
			p.newWorker()
		}
		r.procs = append(r.procs, p)
		p.start()
	}
	return r
}

func (r *rig) configure(version int64) {
	c := batch.Config{Version: version}
	for i, q := range []string{"urgent", "wide"} {
		c.Routes = append(c.Routes, batch.Route{Host: "h", Prefix: "/" + q + "/", Queue: batch.Queue{
			Name: q, Service: "s", Priority: i, MaxAttempts: 3, Stretch: 2, Objective: time.Second,
		}})
	}
	b, err := json.Marshal(c)
	if err != nil {
		r.t.Fatal(err)
	}
	r.store.Put(configKey, b)
}

func decode(b []byte) (batch.Config, error) {
	var c batch.Config
	return c, json.Unmarshal(b, &c)
}

func (p *proc) start() {
	c := &control.Process{
		Name: p.name, Address: p.addr, DataCentre: "d", Region: "r", Host: p.host, Entry: !p.host, Cores: p.cores,
		Store: p.store, Network: network.Host{Net: &p.r.net, Addr: p.addr.Addr()}, Log: eventlog.New(p.r.log, p.name),
		Steady:    func() time.Duration { return time.Since(p.r.begin) },
		Dial:      func(_ netip.AddrPort, k batch.WorkerKey) hostagent.Worker { return p.dial(k) },
		ConfigKey: configKey, DecodeConfig: decode,
		MaxLease: 6 * time.Second, LeaderTTL: control.LeaderTTL, Keep: 10 * time.Minute,
	}
	c.Open()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	p.mu.Lock()
	p.ctl, p.cancel, p.done = c, cancel, done
	p.mu.Unlock()
	go func() {
		defer close(done)
		defer c.Log.Close(0)
		if err := c.Run(ctx); err != nil {
			p.r.t.Errorf("%s: %v", p.name, err)
		}
	}()
	if p.host {
		go p.beat(ctx)
	}
}

// kill ends the process without a word.
func (p *proc) kill() {
	p.mu.Lock()
	cancel, done := p.cancel, p.done
	p.mu.Unlock()
	cancel()
	p.r.net.CloseConns(p.addr.Addr())
	<-done
}

func (p *proc) gateway() *gateway.Gateway {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ctl.Gateway
}

func (p *proc) newWorker() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.born++
	h := p.r.history
	p.worker = &standin.Worker{
		Info: batch.Worker{
			ID: "w-" + p.name, StartTime: p.born, Machine: "m-" + p.name, Service: "s", Address: p.addr.String(), DataCentre: "d",
			Capacity: room, Labels: []string{"a", "r1-1"},
		},
		Duration: h.Duration, Fails: h.Fails, OnStart: h.RunStarted, OnEnd: h.RunEnded, OnEndsAcked: h.EndsAcked,
	}
}

func (p *proc) dial(k batch.WorkerKey) hostagent.Worker {
	p.mu.Lock()
	defer p.mu.Unlock()
	if k != p.worker.Info.Key() {
		return deadWorker{}
	}
	return p.worker
}

// beat sends the worker's heartbeats to the agent.
func (p *proc) beat(ctx context.Context) {
	for seq := int64(1); ctx.Err() == nil; seq++ {
		p.mu.Lock()
		w, c := p.worker, p.ctl
		p.mu.Unlock()
		c.Agent.Heartbeat(hostagent.Heartbeat{Worker: w.Info, Seq: seq})
		select {
		case <-ctx.Done():
		case <-time.After(time.Second):
		}
	}
}

// deadWorker is a life that's over.
type deadWorker struct{}

func (deadWorker) Start(context.Context, hostagent.StartOrder) (hostagent.Answer, error) {
	return hostagent.Answer{}, hostagent.ErrOtherIncarnation
}

func (deadWorker) Stop(context.Context, batch.Task, int, int64) (hostagent.Answer, error) {
	return hostagent.Answer{}, hostagent.ErrOtherIncarnation
}

func (deadWorker) Pace(context.Context, batch.Task, int, int, int64) (hostagent.Answer, error) {
	return hostagent.Answer{}, hostagent.ErrOtherIncarnation
}

func (deadWorker) Hold(context.Context, hostagent.HoldOrder) (hostagent.Answer, hostagent.RunLists, error) {
	return hostagent.Answer{}, hostagent.RunLists{}, hostagent.ErrOtherIncarnation
}

func (r *rig) close() {
	for _, p := range r.procs {
		p.kill()
	}
	for _, p := range r.procs {
		if p.host {
			p.worker.Crash()
		}
	}
	r.store.EndLeases()
}

// submit hands a job in at an entry, again while its outcome is open.
func (r *rig) submit(j *batch.Job) {
	for try := 0; try < 20; try++ {
		p := r.entry()
		g := p.gateway()
		if g == nil {
			continue
		}
		c := *j
		v := g.Submit(context.Background(), time.Now().Add(3*time.Second), &c)
		switch v.Outcome {
		case gateway.Accepted:
			r.history.Accepted(j)
			return
		case gateway.Refused:
			r.history.Refused(j.ID)
			time.Sleep(v.RetryAfter)
		default:
			r.history.OutcomeUnknown(j.ID)
			time.Sleep(200 * time.Millisecond)
		}
	}
}

func (r *rig) entry() *proc {
	for {
		if p := r.procs[r.intn(len(r.procs))]; !p.host {
			return p
		}
	}
}

var randMu sync.Mutex

// intn is for use by several goroutines.
func (r *rig) intn(n int) int {
	randMu.Lock()
	defer randMu.Unlock()
	return r.rand.IntN(n)
}

func (r *rig) job(n int) *batch.Job { return history.Job(n, r.intn) }
