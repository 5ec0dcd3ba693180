// Package control assembles the parts of one process: its node, and the gateway,
// the host agent or both. The adapters to the platform are passed in.
package control

import (
	"context"
	"net/netip"
	"time"

	"golang.org/x/sync/errgroup"
	"golang.org/x/time/rate"

	"github.com/sesamestream/sesamestream/internal/dispatch"
	"github.com/sesamestream/sesamestream/internal/election"
	"github.com/sesamestream/sesamestream/internal/eventlog"
	"github.com/sesamestream/sesamestream/internal/gateway"
	"github.com/sesamestream/sesamestream/internal/hostagent"
	"github.com/sesamestream/sesamestream/internal/intake"
	"github.com/sesamestream/sesamestream/internal/kv"
	"github.com/sesamestream/sesamestream/internal/link"
	"github.com/sesamestream/sesamestream/internal/node"
	"github.com/sesamestream/sesamestream/internal/telemetry"
	"github.com/sesamestream/sesamestream/pkg/batch"
	"github.com/sesamestream/sesamestream/pkg/decide/overload"
	"github.com/sesamestream/sesamestream/pkg/decide/retention"
	"github.com/sesamestream/sesamestream/pkg/decide/succession"
)

// LeaderTTL is the duration of the leader lease. A killed scheduler is replaced
// only after it, so it's close to the minimum of the store.
const LeaderTTL = succession.LeaderLeaseTTL

// A Process is one process of the system. Its exported fields are set before Open.
type Process struct {
	Name       string
	Address    netip.AddrPort
	DataCentre string
	Region     string
	// Host is set for a process beside a worker, Entry for one that serves callers.
	Host, Entry bool
	// Cores is the processor time that the process may use, in cores; 0 if unknown.
	Cores float64
	// LinkMbps is the capacity of the network link of the process, in Mbit/s; 0 if unknown.
	LinkMbps float64
	Store    kv.Store
	Network  link.Network
	Log      *eventlog.Log
	// Steady is the monotonic clock by which leases are measured.
	Steady func() time.Duration
	// Dial returns a client for one incarnation of a worker.
	Dial func(netip.AddrPort, batch.WorkerKey) hostagent.Worker
	// Advise calls the policy service; nil if there is none.
	Advise dispatch.Adviser
	// ConfigKey is the store key of the operators' configuration, DecodeConfig decodes its value.
	ConfigKey    string
	DecodeConfig func([]byte) (batch.Config, error)
	// EvacuationPrefix is the prefix of the store keys that request evacuations of data centres; empty is none.
	EvacuationPrefix string
	// JobMemory is how many bytes jobs may take of the process while it schedules; 0 is no bound.
	JobMemory int64
	// FenceRate is how many cancellations of unknown jobs an entry stores in a second, on average.
	FenceRate rate.Limit
	// MaxLinks bounds the connections of other processes to this one; 0 is no bound.
	MaxLinks int
	// Frames bounds the bytes of the frames that other processes send on them; nil is no bound.
	Frames *intake.Budget
	// OnLimit is called each time a peer reaches a limit; nil is none.
	OnLimit func(intake.Reason)
	// MaxLease is the longest lease that a worker accepts.
	MaxLease time.Duration
	// LeaderTTL is the duration of the leader lease in the store.
	LeaderTTL time.Duration
	// Keep is how long ended jobs are retained.
	Keep time.Duration

	// Gateway and Agent are set by Open; Gateway is nil unless Entry is set, Agent unless Host is.
	Gateway *gateway.Gateway
	Agent   *hostagent.Agent
	node    *node.Node
}

// Open creates the parts of the process; it must be called before Run.
func (c *Process) Open() {
	incarnation := time.Now().UnixNano()
	c.node = &node.Node{
		Elector: &election.Elector{Store: c.Store, Node: c.Name, Address: c.Address, TTL: c.LeaderTTL},
		Log:     c.Log, Network: c.Network, Listen: c.Address, LeaseClock: c.Steady,
		Self: succession.Process{Name: c.Name, Cores: c.Cores, LinkMbps: c.LinkMbps, Host: c.Host},
		LastStoreContact: func() time.Time {
			if c.Gateway == nil {
				return time.Time{}
			}
			return c.Gateway.LastStoreContact()
		},
		RunsEnded: func() bool { return c.Agent != nil && c.Agent.NoPriorRuns() },
		Hello: func() link.Hello {
			h := link.Hello{
				Node: c.Name, Incarnation: incarnation, Address: c.Address.String(), DataCentre: c.DataCentre, Region: c.Region, Host: c.Host,
				Cores: c.Cores, LinkMbps: c.LinkMbps,
			}
			if c.Agent != nil {
				h.Workers = c.Agent.Workers()
			}
			return h
		},
		MaxConns:      c.MaxLinks,
		Frames:        c.Frames,
		OnLimit:       c.OnLimit,
		NewDispatcher: c.newDispatcher,
		OnMessage:     c.handleMessage,
		OnWelcome: func(w link.Welcome) {
			if c.Agent != nil {
				c.Agent.SessionOpened(w)
			}
		},
		OnGrant: func(sent, grant time.Duration) {
			if c.Agent != nil {
				c.Agent.SessionGranted(sent, grant)
			}
		},
		OnLoad: func(s *overload.Summary) {
			if c.Gateway != nil {
				c.Gateway.SetLoad(time.Now(), *s)
			}
		},
		OnMemory: func(r retention.Report) {
			if c.Gateway != nil {
				c.Gateway.SetMemory(r)
			}
		},
		OnSessionLost: func() {
			if c.Agent != nil {
				c.Agent.SessionLost()
			}
		},
	}
	c.node.Elector.Strongest = c.node.Strongest
	m := c.Log.Metrics
	m.RegisterGauge(telemetry.Leading, func() float64 { return boolToFloat(c.node.IsLeader()) })
	m.RegisterGauge(telemetry.SessionUp, func() float64 { return boolToFloat(c.node.Connected()) })
	if c.Host {
		c.Agent = &hostagent.Agent{Log: c.Log, Send: c.node.Send, Steady: c.Steady, MaxLease: c.MaxLease, Dial: c.Dial, RenewSession: c.node.Reconnect}
	}
	if c.Entry {
		c.Gateway = &gateway.Gateway{
			Store: c.Store, Log: c.Log, ConfigKey: c.ConfigKey, DecodeConfig: c.DecodeConfig, Send: c.node.Send,
			DataCentre: c.DataCentre, JobMemory: c.JobMemory, FenceRate: c.FenceRate,
		}
		m.RegisterGauge(telemetry.JobMemory, func() float64 { return float64(c.Gateway.HeldJobMemory()) })
		m.RegisterGauge(telemetry.StoreUp, func() float64 { return boolToFloat(c.Gateway.StoreReachable()) })
		m.RegisterGauge(telemetry.ConfigVersion, func() float64 {
			v, _ := c.Gateway.Config()
			return float64(v.Version)
		})
	}
}

// Links returns how many connections other processes have opened to this one.
func (c *Process) Links() int { return c.node.Links() }

// boolToFloat returns 1 for true and 0 for false, as metrics show them.
func boolToFloat(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

// newDispatcher returns the dispatcher for a term led by this process.
func (c *Process) newDispatcher(t *election.Term) *dispatch.Dispatcher {
	return &dispatch.Dispatcher{
		Store: c.Store, Term: t, Node: c.Name, Log: c.Log, ConfigKey: c.ConfigKey, DecodeConfig: c.DecodeConfig,
		EvacuationPrefix: c.EvacuationPrefix, Keep: c.Keep, Advise: c.Advise, JobMemory: c.JobMemory,
	}
}

// handleMessage passes a message of the scheduler to the agent and the gateway.
func (c *Process) handleMessage(m link.Message) {
	if c.Agent != nil {
		c.Agent.HandleMessage(m)
	}
	if c.Gateway != nil {
		c.Gateway.HandleMessage(m)
	}
}

// Run runs all parts until ctx ends or one of them fails.
func (c *Process) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	if c.Agent != nil {
		g.Go(func() error { return c.Agent.Run(ctx) })
	}
	if c.Gateway != nil {
		g.Go(func() error { return c.Gateway.Run(ctx) })
	}
	g.Go(func() error { return c.node.Run(ctx) })
	return g.Wait()
}

// Resign gives up the leadership if this process has it.
func (c *Process) Resign(ctx context.Context) { c.node.Resign(ctx) }
